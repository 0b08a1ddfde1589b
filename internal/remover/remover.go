// Package remover deletes a configuration object for a command by publishing its deletion.
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
	// Submit publishes a change and prints its verdict.
	Submit func(ctx context.Context, rec catalog.Record) error
}

// New returns a Remover that uses the factory's entry host.
func New(f *factory.Factory) *Remover {
	return &Remover{Object: f.Client().Object, Submit: submitter.New(f).Submit}
}

// Remove deletes an object. It fails if the object has never existed.
func (r *Remover) Remove(ctx context.Context, o ident.ObjectPath) error {
	current, err := r.Object(ctx, o)
	if err != nil {
		return err
	}
	if current.Revision == 0 {
		return fmt.Errorf("%s does not exist; see the list command", o)
	}
	return r.Submit(ctx, catalog.Record{Object: o, Base: current.Revision, Delete: true})
}
