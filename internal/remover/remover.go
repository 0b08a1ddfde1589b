// Package remover publishes the deletion of an object for a command.
package remover

import (
	"context"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Remover deletes objects. Set its fields before use.
type Remover struct {
	// Object returns the current state of an object.
	Object func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	// Submit publishes a change and prints the verdict.
	Submit func(ctx context.Context, rec catalog.Record) error
}

// New returns a remover for the factory's entry host.
func New(f *factory.Factory) *Remover {
	return &Remover{Object: f.Client().Object, Submit: submitter.New(f).Submit}
}

// Remove deletes an object that exists.
func (r *Remover) Remove(ctx context.Context, o ident.ObjectPath) error {
	cur, err := r.Object(ctx, o)
	if err != nil {
		return err
	}
	if cur.Revision == 0 {
		return fmt.Errorf("%s does not exist; see the list command", o)
	}
	return r.Submit(ctx, catalog.Record{Object: o, Base: cur.Revision, Delete: true})
}
