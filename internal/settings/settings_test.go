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

const samples = "../../docs/settings/"

func TestSamplesAreValid(t *testing.T) {
	is := is.New(t)
	_, err := settings.Load[entryhost.Settings](samples + "entryd.json")
	is.NoErr(err)
	_, err = settings.Load[endpointhost.Settings](samples + "endpointd.json")
	is.NoErr(err)
	_, err = settings.Load[platform.Settings](samples + "platformd.json")
	is.NoErr(err)
	_, err = authorizer.LoadTokens(samples + "tokens.json")
	is.NoErr(err)
}

func TestEveryFaultIsNamedByItsKey(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "s.json")
	is.NoErr(os.WriteFile(path, []byte(`{"host":"a","zone":"z","listen":"nowhere","grace":0}`), 0o600))
	_, err := settings.Load[entryhost.Settings](path)
	var bad *settings.Error
	is.True(errors.As(err, &bad))
	for _, key := range []string{"region", "listen", "admin", "control", "log", "members", "store", "tokens", "grace"} {
		is.True(strings.Contains(err.Error(), key+": must satisfy")) // the fault of this key
	}
}

func TestMalformedFilesAreRefused(t *testing.T) {
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
			var bad *settings.Error
			is.True(errors.As(err, &bad))
		})
	}
}

func TestPageNamesEveryKey(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/SETTINGS.md")
	is.NoErr(err)
	for _, settings := range []any{entryhost.Settings{}, endpointhost.Settings{}, platform.Settings{}} {
		kind := reflect.TypeOf(settings)
		for i := range kind.NumField() {
			key, _, _ := strings.Cut(kind.Field(i).Tag.Get("json"), ",")
			if !strings.Contains(string(page), "`"+key+"`") {
				t.Errorf("docs/SETTINGS.md does not name %q of %s", key, kind)
			}
		}
	}
}
