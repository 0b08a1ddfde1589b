// Package create implements "nutmegdock deployment create".
package create

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Args are the command's arguments.
type Args struct {
	Name     string `arg:"positional,required" help:"ORGANISATION/DEPLOYMENT"`
	Template string `arg:"--template,required" help:"template that the deployment uses"`
	factory.Overrides
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock deployment create agency/chat --template chat --replicas 4"
}

// Options are what the command needs.
type Options struct {
	Args
	Object func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	Submit func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	opts := &Options{Args: a, Object: f.Client().Object, Submit: submitter.New(f).Submit}
	return func(ctx context.Context) error { return createRun(ctx, opts) }
}

func createRun(ctx context.Context, opts *Options) error {
	org, name, err := factory.ParseDeployment(opts.Name)
	if err != nil {
		return err
	}
	d := &catalog.Deployment{Template: ident.Template(opts.Template)}
	if err := opts.Apply(d); err != nil {
		return err
	}
	object := ident.DeploymentObject(org, name)
	rec := catalog.Record{Object: object, Deployment: d}
	cur, err := opts.Object(ctx, object)
	if err != nil {
		return err
	}
	if cur.Record.Delete {
		rec.Base = cur.Revision
	}
	return opts.Submit(ctx, rec)
}
