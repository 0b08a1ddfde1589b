// Package delete implements "nutmegdock organisation delete".
package delete

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/remover"
)

// Args holds the command-line arguments.
type Args struct {
	Name string `arg:"positional,required" help:"name of the organisation"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock organisation delete agency"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Remove func(ctx context.Context, o ident.ObjectPath) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Remove: remover.New(f).Remove}
	return func(ctx context.Context) error { return deleteRun(ctx, opts) }
}

func deleteRun(ctx context.Context, opts *Options) error {
	return opts.Remove(ctx, ident.OrganisationObject(ident.Organisation(opts.Name)))
}
