// Package settings reads and checks the JSON settings of the daemons.
package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// Error lists everything that is wrong with a settings file.
type Error struct {
	Path   string
	Faults []string
}

// Error names the file and all faults.
func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(e.Faults, "; "))
}

// Load reads settings of type T from a file. Unknown keys and values that break a rule are faults.
func Load[T any](path string) (T, error) {
	var cfg T
	data, err := os.ReadFile(path)
	if err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if err := parse(data, &cfg); err != nil {
		return cfg, &Error{Path: path, Faults: []string{err.Error()}}
	}
	if faults := check(cfg); len(faults) > 0 {
		return cfg, &Error{Path: path, Faults: faults}
	}
	return cfg, nil
}

func parse(data []byte, cfg any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text after the settings object")
	}
	return nil
}

func check(cfg any) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.SplitN(f.Tag.Get("json"), ",", 2)[0]
	})
	err := v.Struct(cfg)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	var out []string
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		out = append(out, fmt.Sprintf("%s: must satisfy %s", key, strings.TrimSpace(f.Tag()+" "+f.Param())))
	}
	return out
}
