// Package delete implements "nutmegdock template delete".
package delete

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/remover"
)

// Args are the command's arguments.
type Args struct {
	Name string `arg:"positional,required" help:"name of the template"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock template delete chat"
}

// Options are what the command needs.
type Options struct {
	Args
	Remove func(ctx context.Context, o ident.ObjectPath) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Remove: remover.New(f).Remove}
	return func(ctx context.Context) error { return deleteRun(ctx, opts) }
}

func deleteRun(ctx context.Context, opts *Options) error {
	return opts.Remove(ctx, ident.TemplateObject(ident.Template(opts.Name)))
}
