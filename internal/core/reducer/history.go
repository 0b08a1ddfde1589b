package reducer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// AuditFilter selects audit entries. A zero field selects all of them.
type AuditFilter struct {
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

// OffsetRangeError reports an offset that the audit trail does not cover.
type OffsetRangeError struct {
	Offset, First, Last ident.Offset
}

// Error states the offset and the range of available offsets.
func (e *OffsetRangeError) Error() string {
	return fmt.Sprintf("state at offset %d is not known; ask for an offset from %d to %d", e.Offset, e.First, e.Last)
}

// History returns the latest audit entries, at most MaxAuditEntries, oldest entry first.
func (r *Reducer) History() []AuditEntry {
	return slices.Clone(r.history)
}

// SelectAudit returns the audit entries that match a filter, oldest entry first.
func (r *Reducer) SelectAudit(f AuditFilter) []AuditEntry {
	out := []AuditEntry{}
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

func (f AuditFilter) matches(a AuditEntry) bool {
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
func belongsTo(o ident.ObjectPath, org ident.Organisation) bool {
	return o == ident.OrganisationObject(org) || strings.HasPrefix(string(o), "deployment/"+string(org)+"/")
}

// ObjectsAt returns the objects as they were at an offset, deleted ones included. It reverts the later audit entries.
func (r *Reducer) ObjectsAt(offset ident.Offset) (map[ident.ObjectPath]ObjectState, error) {
	if offset < r.oldestOffset() || offset > r.offset {
		return nil, &OffsetRangeError{Offset: offset, First: r.oldestOffset(), Last: r.offset}
	}
	out := make(map[ident.ObjectPath]ObjectState, r.objects.Len())
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

// UndoRecord returns a record without id and author that restores the object's state before an accepted change. Its
// base is the object's current revision, so that it conflicts if the object changes in the meantime. If Base
// differs from the revision of the change, the object has changed since, and the record reverts those changes too.
func (r *Reducer) UndoRecord(id ident.ChangeID) (catalog.Record, error) {
	a, ok := r.FindChange(id)
	if !ok {
		return catalog.Record{}, &catalog.RecordError{Reason: fmt.Sprintf("change %s is not in the audit trail", id)}
	}
	if a.Verdict != Accepted {
		return catalog.Record{}, &catalog.RecordError{Reason: fmt.Sprintf("change %s was not accepted: %s", id, a.Verdict)}
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
	Audit AuditEntry `json:"audit"`
	// DeploymentChanges lists the deployments whose parameters or weights would change, ordered by path.
	DeploymentChanges []DeploymentChange `json:"moves"`
}

// DeploymentChange is the change of one deployment. Before is absent if it is created, After if it is deleted.
type DeploymentChange struct {
	Object ident.ObjectPath             `json:"object"`
	Before *catalog.EffectiveDeployment `json:"before,omitempty"`
	After  *catalog.EffectiveDeployment `json:"after,omitempty"`
}

// Preview returns the effect that a record would have. It does not change the state.
func (r *Reducer) Preview(rec catalog.Record) (Preview, error) {
	data, err := rec.Encode()
	if err != nil {
		return Preview{}, fmt.Errorf("preview: %w", err)
	}
	next := r.Clone()
	out := Preview{Audit: next.Apply(data), DeploymentChanges: []DeploymentChange{}}
	if out.Audit.Verdict != Accepted {
		return out, nil
	}
	for _, o := range r.affectedDeployments(rec) {
		before, _ := r.effective.Get(o)
		after, _ := next.effective.Get(o)
		if before != after {
			out.DeploymentChanges = append(out.DeploymentChanges, DeploymentChange{Object: o, Before: before, After: after})
		}
	}
	return out, nil
}

// affectedDeployments returns the deployments that a record can change.
func (r *Reducer) affectedDeployments(rec catalog.Record) []ident.ObjectPath {
	kind, names := catalog.SplitPath(rec.Object)
	switch kind {
	case "deployment":
		return []ident.ObjectPath{rec.Object}
	case "template":
		return r.DeploymentsUsing(ident.Template(names[0]))
	}
	return nil
}
