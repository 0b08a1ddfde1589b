// Package reducer folds the configuration log into the state that every process holds.
// The state is a pure function of the log's prefix.
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

// Horizon is the number of the latest records whose audit entries and change ids are kept. An append that is
// repeated later than this is refused by its base instead of its id.
const Horizon = 10_000

// Verdict tells what became of a record.
type Verdict string

// Verdicts of a fold.
const (
	Accepted  Verdict = "accepted"
	Conflict  Verdict = "conflict"
	Repeated  Verdict = "repeated"
	Malformed Verdict = "malformed"
	Refused   Verdict = "refused"
)

// Audit is the trail of one record: who changed what, and what became of it.
type Audit struct {
	Offset   ident.Offset   `json:"offset"`
	ID       ident.Change   `json:"id,omitempty"`
	Object   ident.Object   `json:"object,omitempty"`
	Author   ident.Author   `json:"author,omitempty"`
	Time     time.Time      `json:"time"`
	Verdict  Verdict        `json:"verdict"`
	Revision ident.Revision `json:"revision,omitempty"`
	Reason   string         `json:"reason,omitempty"`
	// Other is the author of the revision that a conflicting record met.
	Other ident.Author `json:"other,omitempty"`
	// Faults are the rules that a refused record breaks.
	Faults []catalog.Fault `json:"faults,omitempty"`
	// Before and After are the object's states around an accepted record. Before is absent for a new object.
	Before *Entry `json:"before,omitempty"`
	After  *Entry `json:"after,omitempty"`
}

// Entry is the current state of one object. A deleted object keeps its revision.
type Entry struct {
	Revision ident.Revision `json:"revision"`
	Record   catalog.Record `json:"record"`
}

// Reducer holds the state after a prefix of the log. Its state is persistent: Clone is cheap, and a clone that no one
// applies records to may be read by many goroutines at once.
type Reducer struct {
	offset    ident.Offset
	digest    ident.Digest
	objects   shardedmap.Map[ident.Object, *Entry]
	effective shardedmap.Map[ident.Object, *catalog.Effective]
	previous  shardedmap.Map[ident.Object, ident.WeightSet]
	keys      shardedmap.Map[ident.Digest, ident.Organisation]
	seen      shardedmap.Map[ident.Change, ident.Offset]
	// history holds the latest Horizon audit entries without gaps; the last is of offset-1.
	history []Audit
	// uses lists the deployments of each template. A clone builds it at its first record.
	uses *usage
}

// New returns the state of an empty log.
func New() *Reducer {
	return &Reducer{uses: newUsage()}
}

// Clone returns an independent copy. Its cost does not depend on the size of the state.
func (r *Reducer) Clone() *Reducer {
	out := *r
	out.history = slices.Clip(r.history)
	out.uses = nil
	return &out
}

// Offset returns the number of records folded.
func (r *Reducer) Offset() ident.Offset {
	return r.offset
}

// Digest returns the running digest of the records folded and their verdicts.
func (r *Reducer) Digest() ident.Digest {
	return r.digest
}

// Apply folds the next record.
func (r *Reducer) Apply(data []byte) Audit {
	if r.uses == nil {
		r.uses = r.countUses()
	}
	a := r.judge(data)
	a.Offset = r.offset
	r.offset++
	verdict := fmt.Sprintf("%s %s %d %s\n", r.digest, a.Verdict, a.Revision, a.Reason)
	r.digest = manifest.Sum(append([]byte(verdict), data...))
	r.remember(a)
	return a
}

func (r *Reducer) remember(a Audit) {
	if a.ID != "" && a.Verdict != Repeated && a.Verdict != Malformed {
		r.seen = r.seen.Set(a.ID, a.Offset)
	}
	r.history = append(r.history, a)
	if len(r.history) <= Horizon {
		return
	}
	old := r.history[0]
	if at, ok := r.seen.Get(old.ID); ok && at == old.Offset {
		r.seen = r.seen.Delete(old.ID)
	}
	r.history = r.history[1:]
}

func (r *Reducer) judge(data []byte) Audit {
	rec, err := catalog.Decode(data)
	if err != nil {
		return Audit{Verdict: Malformed, Reason: err.Error()}
	}
	a := Audit{ID: rec.ID, Object: rec.Object, Author: rec.Author, Time: rec.Time}
	if _, ok := r.seen.Get(rec.ID); ok {
		a.Verdict = Repeated
		return a
	}
	cur, exists := r.Object(rec.Object)
	if cur.Revision != rec.Base {
		a.Verdict = Conflict
		a.Revision = cur.Revision
		a.Other = cur.Record.Author
		a.Reason = fmt.Sprintf("revision is %d, by %s", cur.Revision, cur.Record.Author)
		return a
	}
	if faults := r.Check(rec); len(faults) > 0 {
		a.Verdict = Refused
		a.Faults = faults
		a.Reason = (&catalog.FaultsError{Faults: faults}).Error()
		return a
	}
	next := &Entry{Revision: cur.Revision + 1, Record: rec}
	r.commit(next)
	a.Verdict = Accepted
	a.Revision = next.Revision
	a.After = next
	if exists {
		a.Before = &cur
	}
	return a
}

// commit puts an object's next state into force.
func (r *Reducer) commit(next *Entry) {
	rec := next.Record
	old, _ := r.Object(rec.Object)
	r.objects = r.objects.Set(rec.Object, next)
	kind, names := catalog.Split(rec.Object)
	switch kind {
	case "organisation":
		r.commitKey(ident.Organisation(names[0]), old.Record.Organisation, rec.Organisation)
	case "deployment":
		r.uses.move(rec.Object, old.Record.Deployment, rec.Deployment)
		r.refresh([]ident.Object{rec.Object})
	case "template":
		r.refresh(r.uses.of(ident.Template(names[0])))
	}
}

func (r *Reducer) commitKey(org ident.Organisation, old, next *catalog.Organisation) {
	if old != nil {
		r.keys = r.keys.Delete(old.Key)
	}
	if next != nil {
		r.keys = r.keys.Set(next.Key, org)
	}
}
