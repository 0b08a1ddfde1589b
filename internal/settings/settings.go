// Package settings reads and validates the JSON settings files of the daemons.
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

// Error reports every problem found in a settings file.
type Error struct {
	Path     string
	Problems []string
}

// Error names the file and lists all problems.
func (e *Error) Error() string {
	return fmt.Sprintf("settings %s: %s", e.Path, strings.Join(e.Problems, "; "))
}

// Load reads settings of type T from a file. It rejects unknown keys and values that break a validation rule.
func Load[T any](path string) (T, error) {
	var cfg T
	data, err := os.ReadFile(path)
	if err != nil {
		return cfg, fmt.Errorf("settings: %w", err)
	}
	if err := decode(data, &cfg); err != nil {
		return cfg, &Error{Path: path, Problems: []string{err.Error()}}
	}
	if problems := validate(cfg); len(problems) > 0 {
		return cfg, &Error{Path: path, Problems: problems}
	}
	return cfg, nil
}

func decode(data []byte, cfg any) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(cfg); err != nil {
		return err
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the settings object")
	}
	return nil
}

func validate(cfg any) []string {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.SplitN(f.Tag.Get("json"), ",", 2)[0]
	})
	err := v.Struct(cfg)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return nil
	}
	var problems []string
	for _, f := range fieldErrors {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		problems = append(problems, fmt.Sprintf("%s: must satisfy %s", key, strings.TrimSpace(f.Tag()+" "+f.Param())))
	}
	return problems
}
