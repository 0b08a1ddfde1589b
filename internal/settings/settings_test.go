package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/endpointhost"
	"github.com/nutmegdock/nutmegdock/internal/entryhost"
	"github.com/nutmegdock/nutmegdock/internal/settings"
	"github.com/nutmegdock/nutmegdock/internal/standin/platform"
)

const sampleDir = "../../docs/settings/"

func TestSampleFilesAreValid(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load[entryhost.Settings](sampleDir + "entryd.json")
	is.NoErr(err)
	_, err = settings.Load[endpointhost.Settings](sampleDir + "endpointd.json")
	is.NoErr(err)
	_, err = settings.Load[platform.Settings](sampleDir + "platformd.json")
	is.NoErr(err)
	_, err = authorizer.LoadTokens(sampleDir + "tokens.json")
	is.NoErr(err)
}

func TestLoadReportsEveryInvalidKey(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "s.json")
	is.NoErr(os.WriteFile(path, []byte(`{"host":"a","zone":"z","listen":"nowhere","grace":0}`), 0o600))
	_, err := settings.Load[entryhost.Settings](path)
	var settingsErr *settings.Error
	is.True(errors.As(err, &settingsErr))
	for _, key := range []string{"region", "listen", "admin", "control", "log", "members", "store", "tokens", "grace"} {
		is.True(strings.Contains(err.Error(), key+": must satisfy")) // the error names this key
	}
}

func TestLoadRejectsMalformedFiles(t *testing.T) {
	for name, content := range map[string]string{
		"unknown key":   `{"hots":"a"}`,
		"wrong type":    `{"grace":"long"}`,
		"two objects":   `{} {}`,
		"not an object": `[]`,
		"empty":         ``,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "s.json")
			is.NoErr(os.WriteFile(path, []byte(content), 0o600))
			_, err := settings.Load[entryhost.Settings](path)
			var settingsErr *settings.Error
			is.True(errors.As(err, &settingsErr))
		})
	}
}

func TestSettingsPageListsEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	for _, settings := range []any{entryhost.Settings{}, endpointhost.Settings{}, platform.Settings{}} {
		kind := reflect.TypeOf(settings)
		for i := range kind.NumField() {
			key, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("docs/SETTINGS.md does not list %q of %s", key, kind)
			}
		}
	}
}
