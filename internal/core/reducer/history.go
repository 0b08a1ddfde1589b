package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Filter selects audit entries. A zero field selects all of them.
type Filter struct {
	// Prefix is the start of the object's path.
	Prefix string
	// Organisation selects the organisation itself and its deployments.
	Organisation ident.Organisation
	Author       ident.Author
	Verdict      Verdict
	// Since and Until bound the time that the record states. Until is exclusive.
	Since, Until time.Time
	// From is the lowest offset.
	From ident.Offset
	// Limit is the maximum number of entries, the latest ones; zero means no limit.
	Limit int
}

// HorizonError reports an offset that the audit trail does not cover.
type HorizonError struct {
	Offset, First, Last ident.Offset
}

// Error states the offset and the range of available offsets.
func (e *HorizonError) Error() string {
	return fmt.Sprintf("state at offset %d is not available; available offsets are %d to %d", e.Offset, e.First, e.Last)
}

// History returns the kept part of the audit trail, oldest entry first.
func (r *Reducer) History() []Audit {
	return slices.Clone(r.history)
}

// Select returns the audit entries that match a filter, oldest entry first.
func (r *Reducer) Select(f Filter) []Audit {
	out := []Audit{}
	for _, a := range slices.Backward(r.history) {
		if f.Limit > 0 && len(out) == f.Limit {
			break
		}
		if f.matches(a) {
			out = append(out, a)
		}
	}
	slices.Reverse(out)
	return out
}

func (f Filter) matches(a Audit) bool {
	switch {
	case !strings.HasPrefix(string(a.Object), f.Prefix):
	case f.Organisation != "" && !belongsTo(a.Object, f.Organisation):
	case f.Author != "" && f.Author != a.Author:
	case f.Verdict != "" && f.Verdict != a.Verdict:
	case !f.Since.IsZero() && a.Time.Before(f.Since):
	case !f.Until.IsZero() && !a.Time.Before(f.Until):
	case a.Offset < f.From:
	default:
		return true
	}
	return false
}

// belongsTo reports whether an object is the organisation itself or one of its deployments.
func belongsTo(o ident.Object, org ident.Organisation) bool {
	return o == ident.OrganisationObject(org) || strings.HasPrefix(string(o), "deployment/"+string(org)+"/")
}

// At returns the objects as they were at an offset, deleted ones included. It reverts the later audit entries.
func (r *Reducer) At(offset ident.Offset) (map[ident.Object]Entry, error) {
	if offset < r.oldestOffset() || offset > r.offset {
		return nil, &HorizonError{Offset: offset, First: r.oldestOffset(), Last: r.offset}
	}
	out := make(map[ident.Object]Entry, r.objects.Len())
	for o, e := range r.objects.All() {
		out[o] = *e
	}
	for _, a := range slices.Backward(r.history) {
		if a.Offset < offset {
			break
		}
		switch {
		case a.Verdict != Accepted:
		case a.Before == nil:
			delete(out, a.Object)
		default:
			out[a.Object] = *a.Before
		}
	}
	return out, nil
}

// Undo returns a record without id and author that restores the object's state before an accepted change. Its base is
// the object's current revision, so that it conflicts if the object changes in the meantime. It also reverts later
// changes of the object; there are some if Base differs from the revision of the change.
func (r *Reducer) Undo(id ident.Change) (catalog.Record, error) {
	a, ok := r.Find(id)
	if !ok {
		return catalog.Record{}, &catalog.Error{Reason: fmt.Sprintf("change %s is not in the audit trail", id)}
	}
	if a.Verdict != Accepted {
		return catalog.Record{}, &catalog.Error{Reason: fmt.Sprintf("change %s has verdict %s; only accepted changes can be undone", id, a.Verdict)}
	}
	current, _ := r.Object(a.Object)
	rec := catalog.Record{Object: a.Object, Base: current.Revision, Delete: true}
	if a.Before != nil && !a.Before.Record.Delete {
		old := a.Before.Record
		rec.Delete, rec.Template, rec.Deployment, rec.Organisation = false, old.Template, old.Deployment, old.Organisation
	}
	return rec, nil
}

// Preview is the effect that a record would have as the next record of the log.
type Preview struct {
	Audit Audit `json:"audit"`
	// Moves lists the deployments whose parameters or weights would change, ordered by path.
	Moves []Move `json:"moves"`
}

// Move is the change of one deployment. Before is absent if it is created, After if it is deleted.
type Move struct {
	Object ident.Object       `json:"object"`
	Before *catalog.Effective `json:"before,omitempty"`
	After  *catalog.Effective `json:"after,omitempty"`
}

// Preview returns the effect that a record would have. It does not change the state.
func (r *Reducer) Preview(rec catalog.Record) (Preview, error) {
	data, err := rec.Encode()
	if err != nil {
		return Preview{}, fmt.Errorf("preview: %w", err)
	}
	next := r.Clone()
	out := Preview{Audit: next.Apply(data), Moves: []Move{}}
	if out.Audit.Verdict != Accepted {
		return out, nil
	}
	for _, o := range r.affectedDeployments(rec) {
		before, _ := r.effective.Get(o)
		after, _ := next.effective.Get(o)
		if before != after {
			out.Moves = append(out.Moves, Move{Object: o, Before: before, After: after})
		}
	}
	return out, nil
}

// affectedDeployments returns the deployments that a record can change.
func (r *Reducer) affectedDeployments(rec catalog.Record) []ident.Object {
	kind, names := catalog.Split(rec.Object)
	switch kind {
	case "deployment":
		return []ident.Object{rec.Object}
	case "template":
		return r.Users(ident.Template(names[0]))
	}
	return nil
}
