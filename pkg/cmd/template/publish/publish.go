// Package publish implements "nutmegdock template publish".
package publish

import (
	"context"
	"fmt"
	"os"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Args are the command's arguments.
type Args struct {
	Name   string `arg:"positional,required" help:"name of the template"`
	File   string `arg:"--file,required" help:"JSON file with the template's parameters"`
	DryRun bool   `arg:"--dry-run" help:"show what the change would do, and publish nothing"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock template publish chat --file chat.json --dry-run"
}

// Options are what the command needs.
type Options struct {
	Args
	ReadFile func(path string) ([]byte, error)
	Object   func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	Submit   func(ctx context.Context, rec catalog.Record) error
	Preview  func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	s := submitter.New(f)
	opts := &Options{Args: a, ReadFile: os.ReadFile, Object: f.Client().Object, Submit: s.Submit, Preview: s.Preview}
	return func(ctx context.Context) error { return publishRun(ctx, opts) }
}

func publishRun(ctx context.Context, opts *Options) error {
	data, err := opts.ReadFile(opts.File)
	if err != nil {
		return fmt.Errorf("read template: %w", err)
	}
	t, err := factory.ParseTemplate(data)
	if err != nil {
		return fmt.Errorf("%s: %w", opts.File, err)
	}
	object := ident.TemplateObject(ident.Template(opts.Name))
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	rec := catalog.Record{Object: object, Base: cur.Revision, Template: t}
	if opts.DryRun {
		return opts.Preview(ctx, rec)
	}
	return opts.Submit(ctx, rec)
}
