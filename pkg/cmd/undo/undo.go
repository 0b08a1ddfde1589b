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

// Args are the command's arguments.
type Args struct {
	ID string `arg:"positional,required" help:"id of the change, as history shows it"`
}

// Example shows a use of the command.
func (Args) Example() string {
	return "nutmegdock undo 5f0c0e0e-3d1f-4d5e-9a55-0d2a86f0a1c7"
}

// Options are what the command needs.
type Options struct {
	Args
	Undo   func(ctx context.Context, id ident.ChangeID) (catalog.Record, error)
	Find   func(ctx context.Context, id ident.ChangeID) (reducer.AuditEntry, error)
	Submit func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	c := f.Client()
	opts := &Options{Args: a, Undo: c.UndoRecord, Find: c.FindChange, Submit: submitter.New(f).Submit}
	return func(ctx context.Context) error { return undoRun(ctx, opts) }
}

// undoRun publishes the state before the change as a new change. Its base is the revision that the change made, so
// that a later change of the same object is not undone with it.
func undoRun(ctx context.Context, opts *Options) error {
	id := ident.ChangeID(opts.ID)
	rec, err := opts.Undo(ctx, id)
	if err != nil {
		return err
	}
	audit, err := opts.Find(ctx, id)
	if err != nil {
		return err
	}
	rec.Base = audit.Revision
	return opts.Submit(ctx, rec)
}
