// Package undo implements "nutmegdock undo".
package undo

import (
	"context"
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/admin"
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
	History  func(ctx context.Context, f admin.HistoryFilter) ([]reducer.Audit, error)
	ObjectAt func(ctx context.Context, o ident.Object, at ident.Offset) (reducer.Entry, error)
	Submit   func(ctx context.Context, rec catalog.Record) error
}

// Command returns the command, ready to run.
func Command(f *factory.Factory, a Args) func(ctx context.Context) error {
	c := f.Client()
	opts := &Options{Args: a, History: c.History, ObjectAt: c.ObjectAt, Submit: submitter.New(f).Submit}
	return func(ctx context.Context) error { return undoRun(ctx, opts) }
}

// undoRun publishes the state before the change as a new change. Its base is the revision that the change made, so
// that a later change of the same object is not undone with it.
func undoRun(ctx context.Context, opts *Options) error {
	audit, err := find(ctx, opts)
	if err != nil {
		return err
	}
	before, err := opts.ObjectAt(ctx, audit.Object, audit.Offset)
	if err != nil {
		return err
	}
	rec := before.Record
	rec.ID = ""
	rec.Object = audit.Object
	rec.Base = audit.Revision
	rec.Delete = before.Revision == 0 || before.Record.Delete
	return opts.Submit(ctx, rec)
}

func find(ctx context.Context, opts *Options) (reducer.Audit, error) {
	list, err := opts.History(ctx, admin.HistoryFilter{Verdict: reducer.Accepted})
	if err != nil {
		return reducer.Audit{}, err
	}
	for _, a := range list {
		if a.ID == ident.Change(opts.ID) {
			return a, nil
		}
	}
	return reducer.Audit{}, fmt.Errorf("no accepted change %s in the history; see nutmegdock history", opts.ID)
}
