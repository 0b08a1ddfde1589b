// Package create implements "nutmegdock organisation create".
package create

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Args are the command's arguments.
type Args struct {
	Name   string `arg:"positional,required" help:"name of the organisation"`
	Key    string `arg:"--key-file,required" help:"file with the organisation's bearer key"`
	Weight int    `arg:"--weight" default:"1" help:"share of the capacity"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock organisation create agency --key-file agency.key --weight 4"
}

// Options are what the command needs.
type Options struct {
	Args
	ReadFile func(path string) ([]byte, error)
	Object   func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	Submit   func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, ReadFile: os.ReadFile, Object: f.Client().Object, Submit: submitter.New(f).Submit}
	return func(ctx context.Context) error { return createRun(ctx, opts) }
}

func createRun(ctx context.Context, opts *Options) error {
	data, err := opts.ReadFile(opts.Key)
	if err != nil {
		return fmt.Errorf("read key: %w", err)
	}
	key := strings.TrimSpace(string(data))
	if key == "" {
		return errors.New("key file is empty; write the organisation's bearer key into it")
	}
	object := ident.OrganisationObject(ident.Organisation(opts.Name))
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	org := &catalog.Organisation{Key: manifest.DigestOf([]byte(key)), Weight: opts.Weight}
	return opts.Submit(ctx, catalog.Record{Object: object, Base: cur.Revision, Organisation: org})
}
