// Package viewer prints one configuration object for a command.
package viewer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

// Viewer prints objects. Set its fields before use.
type Viewer struct {
	// Object returns the current state of an object.
	Object func(ctx context.Context, o ident.ObjectPath) (reducer.ObjectState, error)
	// ObjectAt returns the state of an object at an offset of the configuration log.
	ObjectAt func(ctx context.Context, o ident.ObjectPath, offset ident.Offset) (reducer.ObjectState, error)
	// JSON selects JSON output without a heading.
	JSON bool
	// Out receives the output.
	Out io.Writer
}

// New returns a Viewer that uses the factory's entry host.
func New(f *factory.Factory) *Viewer {
	c := f.Client()
	return &Viewer{Object: c.Object, ObjectAt: c.ObjectAt, JSON: f.JSON, Out: f.Out}
}

// View prints the current state of an object, or its state at an offset of the configuration log.
func (v *Viewer) View(ctx context.Context, o ident.ObjectPath, offset *ident.Offset) error {
	entry, err := v.readEntry(ctx, o, offset)
	if err != nil {
		return err
	}
	if entry.Revision == 0 || entry.Record.Delete {
		return fmt.Errorf("%s does not exist; see the list command", o)
	}
	if v.JSON {
		return json.NewEncoder(v.Out).Encode(entry)
	}
	rec := entry.Record
	fmt.Fprintf(v.Out, "%s, revision %d, by %s at %s\n", o, entry.Revision, rec.Author, rec.Time.Format(time.RFC3339))
	enc := json.NewEncoder(v.Out)
	enc.SetIndent("", "  ")
	switch {
	case rec.Template != nil:
		return enc.Encode(rec.Template)
	case rec.Deployment != nil:
		return enc.Encode(rec.Deployment)
	}
	return enc.Encode(rec.Organisation)
}

func (v *Viewer) readEntry(ctx context.Context, o ident.ObjectPath, offset *ident.Offset) (reducer.ObjectState, error) {
	if offset == nil {
		return v.Object(ctx, o)
	}
	return v.ObjectAt(ctx, o, *offset)
}
