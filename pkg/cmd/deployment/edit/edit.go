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

// Args are the command's arguments.
type Args struct {
	Name     string `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT"`
	Template string `arg:"--template" help:"another template"`
	DryRun   bool   `arg:"--dry-run" help:"show what the change would do, and publish nothing"`
	factory.Overrides
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock deployment edit agency/chat --replicas 6"
}

// Options are what the command needs.
type Options struct {
	Args
	Object  func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	Submit  func(ctx context.Context, rec catalog.Record) error
	Preview func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
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
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	if cur.Record.Deployment == nil {
		return fmt.Errorf("deployment %s does not exist; create it first", opts.Name)
	}
	d := *cur.Record.Deployment
	if opts.Template != "" {
		d.Template = ident.Template(opts.Template)
	}
	if err := opts.Apply(&d); err != nil {
		return err
	}
	rec := catalog.Record{Object: object, Base: cur.Revision, Deployment: &d}
	if opts.DryRun {
		return opts.Preview(ctx, rec)
	}
	return opts.Submit(ctx, rec)
}
