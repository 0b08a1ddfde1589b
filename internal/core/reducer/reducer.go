// Package reducer builds the configuration state from the records of the configuration log.
// The state is a pure function of the records applied so far, so that all processes at one offset hold the same state.
package reducer

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/shardedmap"
)

// MaxAuditEntries is the number of latest records whose audit entries and change ids are kept. A repeated append of an
// older record is no longer recognised by its id, but conflicts because its base revision is out of date.
const MaxAuditEntries = 10_000

// Verdict is the outcome of applying a record.
type Verdict string

// Verdicts on a record.
const (
	Accepted  Verdict = "accepted"
	Conflict  Verdict = "conflict"
	Repeated  Verdict = "repeated"
	Malformed Verdict = "malformed"
	Refused   Verdict = "refused"
)

// AuditEntry is the audit entry of one record: who changed what, when, and with which outcome.
type AuditEntry struct {
	Offset   ident.Offset     `json:"offset"`
	ID       ident.ChangeID   `json:"id,omitempty"`
	Object   ident.ObjectPath `json:"object,omitempty"`
	Author   ident.Author     `json:"author,omitempty"`
	Time     time.Time        `json:"time"`
	Verdict  Verdict          `json:"verdict"`
	Revision ident.Revision   `json:"revision,omitempty"`
	Reason   string           `json:"reason,omitempty"`
	// ConflictAuthor is the author of the object's current revision if the record conflicts with it.
	ConflictAuthor ident.Author `json:"other,omitempty"`
	// Faults lists the rules that a refused record breaks.
	Faults []catalog.Fault `json:"faults,omitempty"`
	// Before and After are the object's states before and after an accepted record. Before is absent for a new object.
	Before *ObjectState `json:"before,omitempty"`
	After  *ObjectState `json:"after,omitempty"`
}

// ObjectState is the state of one object: its revision and the record that set it. A deleted object keeps its revision.
type ObjectState struct {
	Revision ident.Revision `json:"revision"`
	Record   catalog.Record `json:"record"`
}

// Reducer holds the configuration state after the first records of the log. The state is kept in persistent maps, so
// that Clone is cheap. Several goroutines may read a Reducer concurrently as long as none applies records to it.
type Reducer struct {
	offset            ident.Offset
	digest            ident.Digest
	objects           shardedmap.Map[ident.ObjectPath, *ObjectState]
	effective         shardedmap.Map[ident.ObjectPath, *catalog.EffectiveDeployment]
	previousSets      shardedmap.Map[ident.ObjectPath, ident.WeightSet]
	organisationByKey shardedmap.Map[ident.Digest, ident.Organisation]
	offsetByChange    shardedmap.Map[ident.ChangeID, ident.Offset]
	// history holds the latest audit entries, at most MaxAuditEntries, without gaps; the last one is for offset-1.
	history []AuditEntry
	// index lists the deployments of each template. It is nil in a clone until the first record is applied.
	index *deploymentIndex
}

// New returns a Reducer for an empty log.
func New() *Reducer {
	return &Reducer{index: newDeploymentIndex()}
}

// Clone returns an independent copy. Its cost does not depend on the size of the state.
func (r *Reducer) Clone() *Reducer {
	clone := *r
	clone.history = slices.Clip(r.history)
	clone.index = nil
	return &clone
}

// Offset returns the number of records applied.
func (r *Reducer) Offset() ident.Offset {
	return r.offset
}

// Digest returns the running digest of the applied records, their verdicts and the reasons of the verdicts. Processes
// compare it to detect diverging states. The texts of faults and reasons must therefore be the same in all of them.
func (r *Reducer) Digest() ident.Digest {
	return r.digest
}

// Apply applies the next record of the log and returns its audit entry.
func (r *Reducer) Apply(data []byte) AuditEntry {
	if r.index == nil {
		r.index = r.buildIndex()
	}
	audit := r.evaluate(data)
	audit.Offset = r.offset
	r.offset++
	verdict := fmt.Sprintf("%s %s %d %s\n", r.digest, audit.Verdict, audit.Revision, audit.Reason)
	r.digest = manifest.DigestOf(append([]byte(verdict), data...))
	r.recordAudit(audit)
	return audit
}

// recordAudit appends an audit entry and removes the oldest one, with its change id, beyond MaxAuditEntries.
func (r *Reducer) recordAudit(a AuditEntry) {
	if a.ID != "" && a.Verdict != Repeated && a.Verdict != Malformed {
		r.offsetByChange = r.offsetByChange.Set(a.ID, a.Offset)
	}
	r.history = append(r.history, a)
	if len(r.history) <= MaxAuditEntries {
		return
	}
	oldest := r.history[0]
	if offset, ok := r.offsetByChange.Get(oldest.ID); ok && offset == oldest.Offset {
		r.offsetByChange = r.offsetByChange.Delete(oldest.ID)
	}
	r.history = r.history[1:]
}

// evaluate decodes a record, checks it, and commits it if it is accepted.
func (r *Reducer) evaluate(data []byte) AuditEntry {
	rec, err := catalog.Decode(data)
	if err != nil {
		return AuditEntry{Verdict: Malformed, Reason: err.Error()}
	}
	a := AuditEntry{ID: rec.ID, Object: rec.Object, Author: rec.Author, Time: rec.Time}
	if _, ok := r.offsetByChange.Get(rec.ID); ok {
		a.Verdict = Repeated
		return a
	}
	current, exists := r.Object(rec.Object)
	if current.Revision != rec.Base {
		a.Verdict = Conflict
		a.Revision = current.Revision
		a.ConflictAuthor = current.Record.Author
		a.Reason = fmt.Sprintf("revision is %d, by %s", current.Revision, current.Record.Author)
		return a
	}
	if faults := r.Check(rec); len(faults) > 0 {
		a.Verdict = Refused
		a.Faults = faults
		a.Reason = (&catalog.ValidationError{Faults: faults}).Error()
		return a
	}
	next := &ObjectState{Revision: current.Revision + 1, Record: rec}
	r.commit(next)
	a.Verdict = Accepted
	a.Revision = next.Revision
	a.After = next
	if exists {
		a.Before = &current
	}
	return a
}

// commit stores an object's next state and updates what depends on it.
func (r *Reducer) commit(next *ObjectState) {
	rec := next.Record
	old, _ := r.Object(rec.Object)
	r.objects = r.objects.Set(rec.Object, next)
	kind, names := catalog.SplitPath(rec.Object)
	switch kind {
	case "organisation":
		r.updateKey(ident.Organisation(names[0]), old.Record.Organisation, rec.Organisation)
	case "deployment":
		r.index.update(rec.Object, old.Record.Deployment, rec.Deployment)
		r.refreshEffective([]ident.ObjectPath{rec.Object})
	case "template":
		r.refreshEffective(r.index.deployments(ident.Template(names[0])))
	}
}

func (r *Reducer) updateKey(org ident.Organisation, old, next *catalog.Organisation) {
	if old != nil {
		r.organisationByKey = r.organisationByKey.Delete(old.Key)
	}
	if next != nil {
		r.organisationByKey = r.organisationByKey.Set(next.Key, org)
	}
}
