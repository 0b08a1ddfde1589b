package admin

import (
	"context"
	"reflect"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

// Preview tells what a change would do if it were published now.
type Preview struct {
	Audit reducer.Audit `json:"audit"`
	Moves []Move        `json:"moves"`
}

// Move is a deployment that a change would give other parameters.
type Move struct {
	Organisation ident.Organisation `json:"organisation"`
	Deployment   ident.Deployment   `json:"deployment"`
	Before       *catalog.Effective `json:"before,omitempty"`
	After        *catalog.Effective `json:"after,omitempty"`
}

type deploymentKey struct {
	organisation ident.Organisation
	name         ident.Deployment
}

func (a *Admin) preview(ctx context.Context, rec catalog.Record) (any, error) {
	var offset ident.Offset
	a.View(func(s *reducer.Reducer) { offset = s.Offset() })
	state, err := a.Replay(ctx, offset)
	if err != nil {
		return nil, err
	}
	data, err := rec.Encode()
	if err != nil {
		return nil, err
	}
	before := state.Deployments()
	audit := state.Apply(data)
	return Preview{Audit: audit, Moves: moves(before, state.Deployments())}, nil
}

func moves(before, after []catalog.Effective) []Move {
	out := []Move{}
	old := make(map[deploymentKey]catalog.Effective)
	for _, d := range before {
		old[keyOf(d)] = d
	}
	for _, d := range after {
		was, existed := old[keyOf(d)]
		delete(old, keyOf(d))
		switch {
		case !existed:
			out = append(out, Move{Organisation: d.Organisation, Deployment: d.Name, After: &d})
		case !sameParameters(was, d):
			out = append(out, Move{Organisation: d.Organisation, Deployment: d.Name, Before: &was, After: &d})
		}
	}
	for _, d := range before {
		if _, gone := old[keyOf(d)]; gone {
			out = append(out, Move{Organisation: d.Organisation, Deployment: d.Name, Before: &d})
		}
	}
	return out
}

func keyOf(d catalog.Effective) deploymentKey {
	return deploymentKey{organisation: d.Organisation, name: d.Name}
}

// sameParameters compares what a change can alter; the set before the last change is history.
func sameParameters(a, b catalog.Effective) bool {
	a.Previous, b.Previous = "", ""
	return reflect.DeepEqual(a, b)
}
