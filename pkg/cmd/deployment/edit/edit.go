// Package edit implements "nutmegdock deployment edit".
package edit

import (
	"context"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Args holds the command-line arguments.
type Args struct {
	Name     string `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT"`
	Template string `arg:"--template" help:"replace the deployment's template"`
	DryRun   bool   `arg:"--dry-run" help:"show the effects of the change without publishing it"`
	factory.Overrides
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock deployment edit agency/chat --replicas 6"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Object  func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	Submit  func(ctx context.Context, rec catalog.Record) error
	Preview func(ctx context.Context, rec catalog.Record) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	s := submitter.New(f)
	opts := &Options{Args: a, Object: f.Client().Object, Submit: s.Submit, Preview: s.Preview}
	return func(ctx context.Context) error { return editRun(ctx, opts) }
}

func editRun(ctx context.Context, opts *Options) error {
	org, name, err := factory.ParseDeployment(opts.Name)
	if err != nil {
		return err
	}
	object := ident.DeploymentObject(org, name)
	current, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	if current.Record.Deployment == nil {
		return fmt.Errorf("deployment %s does not exist; create it first", opts.Name)
	}
	d := *current.Record.Deployment
	if opts.Template != "" {
		d.Template = ident.Template(opts.Template)
	}
	if err := opts.Apply(&d); err != nil {
		return err
	}
	rec := catalog.Record{Object: object, Base: current.Revision, Deployment: &d}
	if opts.DryRun {
		return opts.Preview(ctx, rec)
	}
	return opts.Submit(ctx, rec)
}
