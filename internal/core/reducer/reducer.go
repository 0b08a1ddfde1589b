// Package reducer folds the configuration log into the state that every process holds.
// The state is a pure function of the log's prefix.
package reducer

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

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
}

// Entry is the current state of one object. A deleted object keeps its revision.
type Entry struct {
	Revision ident.Revision `json:"revision"`
	Record   catalog.Record `json:"record"`
}

// Reducer holds the state after a prefix of the log. It is not safe for concurrent use.
type Reducer struct {
	offset   ident.Offset
	digest   ident.Digest
	objects  map[ident.Object]Entry
	seen     map[ident.Change]Audit
	previous map[ident.Object]ident.WeightSet
	history  []Audit
}

// New returns the state of an empty log.
func New() *Reducer {
	return &Reducer{
		objects:  make(map[ident.Object]Entry),
		seen:     make(map[ident.Change]Audit),
		previous: make(map[ident.Object]ident.WeightSet),
	}
}

// Offset returns the number of records folded.
func (r *Reducer) Offset() ident.Offset {
	return r.offset
}

// Digest returns the running digest of the records folded.
func (r *Reducer) Digest() ident.Digest {
	return r.digest
}

// History returns the audit trail, oldest first.
func (r *Reducer) History() []Audit {
	return append([]Audit(nil), r.history...)
}

// Find returns the audit entry of a change that was folded.
func (r *Reducer) Find(id ident.Change) (Audit, bool) {
	a, ok := r.seen[id]
	return a, ok
}

// Object returns the state of one object.
func (r *Reducer) Object(o ident.Object) (Entry, bool) {
	e, ok := r.objects[o]
	return e, ok
}

// Objects returns the paths that start with prefix and are not deleted, in order.
func (r *Reducer) Objects(prefix string) []ident.Object {
	var out []ident.Object
	for o, e := range r.objects {
		if !e.Record.Delete && strings.HasPrefix(string(o), prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Apply folds the next record.
func (r *Reducer) Apply(data []byte) Audit {
	a := r.judge(data)
	a.Offset = r.offset
	r.offset++
	r.digest = manifest.Sum(append([]byte(r.digest), data...))
	r.history = append(r.history, a)
	if a.ID != "" && a.Verdict != Repeated {
		r.seen[a.ID] = a
	}
	return a
}

func (r *Reducer) judge(data []byte) Audit {
	rec, err := catalog.Decode(data)
	if err != nil {
		return Audit{Verdict: Malformed, Reason: err.Error()}
	}
	a := Audit{ID: rec.ID, Object: rec.Object, Author: rec.Author, Time: rec.Time}
	if _, ok := r.seen[rec.ID]; ok {
		a.Verdict = Repeated
		return a
	}
	cur := r.objects[rec.Object]
	if cur.Revision != rec.Base {
		a.Verdict = Conflict
		a.Revision = cur.Revision
		a.Reason = fmt.Sprintf("revision is %d, by %s", cur.Revision, cur.Record.Author)
		return a
	}
	if err := r.check(rec); err != nil {
		a.Verdict = Refused
		a.Reason = err.Error()
		return a
	}
	r.commit(rec, cur.Revision+1)
	a.Verdict = Accepted
	a.Revision = cur.Revision + 1
	return a
}

func (r *Reducer) check(rec catalog.Record) error {
	if rec.Delete || rec.Deployment == nil {
		return nil
	}
	t, ok := r.objects[ident.TemplateObject(rec.Deployment.Template)]
	if !ok || t.Record.Delete {
		return &catalog.Error{Reason: fmt.Sprintf("template %q does not exist", rec.Deployment.Template)}
	}
	return nil
}

func (r *Reducer) commit(rec catalog.Record, rev ident.Revision) {
	before := r.sets()
	r.objects[rec.Object] = Entry{Revision: rev, Record: rec}
	for o, set := range r.sets() {
		if old := before[o]; old != "" && old != set {
			r.previous[o] = old
		}
	}
}

func (r *Reducer) sets() map[ident.Object]ident.WeightSet {
	out := make(map[ident.Object]ident.WeightSet)
	for _, e := range r.Deployments() {
		out[ident.DeploymentObject(e.Organisation, e.Name)] = e.Set
	}
	return out
}

// Deployments returns all deployments with their templates applied, in the order of their paths.
func (r *Reducer) Deployments() []catalog.Effective {
	var out []catalog.Effective
	for _, o := range r.Objects("deployment/") {
		if e, ok := r.effective(o); ok {
			out = append(out, e)
		}
	}
	return out
}

// Deployment returns one deployment with its template applied.
func (r *Reducer) Deployment(org ident.Organisation, name ident.Deployment) (catalog.Effective, bool) {
	return r.effective(ident.DeploymentObject(org, name))
}

func (r *Reducer) effective(o ident.Object) (catalog.Effective, bool) {
	e, ok := r.objects[o]
	if !ok || e.Record.Delete || e.Record.Deployment == nil {
		return catalog.Effective{}, false
	}
	d := e.Record.Deployment
	t, ok := r.objects[ident.TemplateObject(d.Template)]
	if !ok || t.Record.Template == nil {
		return catalog.Effective{}, false
	}
	parts := strings.SplitN(string(o), "/", 3)
	spec := d.Apply(*t.Record.Template)
	return catalog.Effective{
		Organisation: ident.Organisation(parts[1]),
		Name:         ident.Deployment(parts[2]),
		Template:     d.Template,
		Spec:         spec,
		Set:          spec.Set(),
		Previous:     r.previous[o],
	}, true
}

// Organisation returns the organisation whose key has the given digest.
func (r *Reducer) Organisation(key ident.Digest) (ident.Organisation, bool) {
	for _, o := range r.Objects("organisation/") {
		org := r.objects[o].Record.Organisation
		if org != nil && org.Key == key {
			return ident.Organisation(strings.TrimPrefix(string(o), "organisation/")), true
		}
	}
	return "", false
}
