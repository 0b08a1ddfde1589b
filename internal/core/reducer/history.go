package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Filter selects audit entries. Zero fields select everything.
type Filter struct {
	// Prefix is the start of the object's path.
	Prefix string
	// Organisation selects the organisation itself and its deployments.
	Organisation ident.Organisation
	Author       ident.Author
	Verdict      Verdict
	// Since and Until bound the record's own time; Until is exclusive.
	Since, Until time.Time
	// From is the lowest offset.
	From ident.Offset
	// Limit keeps only the latest entries; zero keeps all.
	Limit int
}

// HorizonError reports an offset outside of what the audit trail covers.
type HorizonError struct {
	Offset, First, Last ident.Offset
}

// Error names the offsets that can be asked for.
func (e *HorizonError) Error() string {
	return fmt.Sprintf("state at offset %d is not known; ask for an offset from %d to %d", e.Offset, e.First, e.Last)
}

// History returns the audit trail within the horizon, oldest first.
func (r *Reducer) History() []Audit {
	return slices.Clone(r.history)
}

// Select returns the audit entries that match a filter, oldest first.
func (r *Reducer) Select(f Filter) []Audit {
	out := []Audit{}
	for _, a := range slices.Backward(r.history) {
		if f.Limit > 0 && len(out) == f.Limit {
			break
		}
		if f.match(a) {
			out = append(out, a)
		}
	}
	slices.Reverse(out)
	return out
}

func (f Filter) match(a Audit) bool {
	switch {
	case !strings.HasPrefix(string(a.Object), f.Prefix):
	case f.Organisation != "" && !belongs(a.Object, f.Organisation):
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

func belongs(o ident.Object, org ident.Organisation) bool {
	return o == ident.OrganisationObject(org) || strings.HasPrefix(string(o), "deployment/"+string(org)+"/")
}

// At returns the objects as they were after the first offset records. Deleted objects are included.
func (r *Reducer) At(offset ident.Offset) (map[ident.Object]Entry, error) {
	if offset < r.horizon() || offset > r.offset {
		return nil, &HorizonError{Offset: offset, First: r.horizon(), Last: r.offset}
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

// Undo returns the record that reverses an accepted change, without id and author. Its base is the object's current
// revision, so that it is refused if the object changes meanwhile. Later changes of the same object are lost with it;
// the caller compares Base with the change's revision to tell.
func (r *Reducer) Undo(id ident.Change) (catalog.Record, error) {
	a, ok := r.Find(id)
	if !ok {
		return catalog.Record{}, &catalog.Error{Reason: fmt.Sprintf("change %s is not in the audit trail", id)}
	}
	if a.Verdict != Accepted {
		return catalog.Record{}, &catalog.Error{Reason: fmt.Sprintf("change %s was not accepted: %s", id, a.Verdict)}
	}
	cur, _ := r.Object(a.Object)
	rec := catalog.Record{Object: a.Object, Base: cur.Revision, Delete: true}
	if a.Before != nil && !a.Before.Record.Delete {
		old := a.Before.Record
		rec.Delete, rec.Template, rec.Deployment, rec.Organisation = false, old.Template, old.Deployment, old.Organisation
	}
	return rec, nil
}

// Preview is what a record would do if it were the next in the log.
type Preview struct {
	Audit Audit `json:"audit"`
	// Moves lists the deployments whose parameters or weights change, in the order of their paths.
	Moves []Move `json:"moves"`
}

// Move is the change of one deployment. Before or After is absent if the deployment is created or deleted.
type Move struct {
	Object ident.Object       `json:"object"`
	Before *catalog.Effective `json:"before,omitempty"`
	After  *catalog.Effective `json:"after,omitempty"`
}

// Preview returns what a record would do, without a change to the state.
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
	for _, o := range r.touched(rec) {
		before, _ := r.effective.Get(o)
		after, _ := next.effective.Get(o)
		if before != after {
			out.Moves = append(out.Moves, Move{Object: o, Before: before, After: after})
		}
	}
	return out, nil
}

func (r *Reducer) touched(rec catalog.Record) []ident.Object {
	kind, names := catalog.Split(rec.Object)
	switch kind {
	case "deployment":
		return []ident.Object{rec.Object}
	case "template":
		return r.Users(ident.Template(names[0]))
	}
	return nil
}
