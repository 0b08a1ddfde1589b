// Package view implements "nutmegdock deployment view".
package view

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/viewer"
)

// Args holds the command-line arguments.
type Args struct {
	Name string        `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT"`
	At   *ident.Offset `arg:"--at" help:"offset in the configuration log; default is the current state"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock deployment view agency/chat"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	View func(ctx context.Context, o ident.ObjectPath, offset *ident.Offset) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, View: viewer.New(f).View}
	return func(ctx context.Context) error { return viewRun(ctx, opts) }
}

func viewRun(ctx context.Context, opts *Options) error {
	org, name, err := factory.ParseDeployment(opts.Name)
	if err != nil {
		return err
	}
	return opts.View(ctx, ident.DeploymentObject(org, name), opts.At)
}
