// Package undo implements "nutmegdock undo".
package undo

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
	"github.com/nutmegdock/nutmegdock/internal/submitter"
)

// Args holds the command-line arguments.
type Args struct {
	ID string `arg:"positional,required" help:"ID of the change, as shown by history"`
}

// Example returns the example that the help shows.
func (Args) Example() string {
	return "nutmegdock undo 5f0c0e0e-3d1f-4d5e-9a55-0d2a86f0a1c7"
}

// Options holds the arguments and dependencies of the command.
type Options struct {
	Args
	Inverse func(ctx context.Context, id ident.ChangeID) (catalog.Record, error)
	Audit   func(ctx context.Context, id ident.ChangeID) (reducer.AuditEntry, error)
	Submit  func(ctx context.Context, rec catalog.Record) error
}

// Command returns a function that runs the command.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	c := f.Client()
	opts := &Options{Args: a, Inverse: c.UndoRecord, Audit: c.FindChange, Submit: submitter.New(f).Submit}
	return func(ctx context.Context) error { return undoRun(ctx, opts) }
}

// undoRun restores the state before the change by publishing a new change. The new change is based on the revision that
// the undone change made, so it conflicts if the object has changed since instead of reverting later changes too.
func undoRun(ctx context.Context, opts *Options) error {
	id := ident.ChangeID(opts.ID)
	rec, err := opts.Inverse(ctx, id)
	if err != nil {
		return err
	}
	audit, err := opts.Audit(ctx, id)
	if err != nil {
		return err
	}
	rec.Base = audit.Revision
	return opts.Submit(ctx, rec)
}
