package reducer

import (
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Find returns the audit entry of a change, if it is still in the audit trail.
func (r *Reducer) Find(id ident.Change) (Audit, bool) {
	offset, ok := r.offsetByChange.Get(id)
	if !ok {
		return Audit{}, false
	}
	return r.history[offset-r.oldestOffset()], true
}

// oldestOffset returns the offset of the oldest audit entry.
func (r *Reducer) oldestOffset() ident.Offset {
	return r.offset - ident.Offset(len(r.history))
}

// Object returns the state of an object, which may be deleted.
func (r *Reducer) Object(o ident.Object) (Entry, bool) {
	e, ok := r.objects.Get(o)
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Objects returns the sorted paths of the objects that start with prefix and are not deleted.
func (r *Reducer) Objects(prefix string) []ident.Object {
	var out []ident.Object
	for o, e := range r.objects.All() {
		if !e.Record.Delete && strings.HasPrefix(string(o), prefix) {
			out = append(out, o)
		}
	}
	slices.Sort(out)
	return out
}

// Deployments returns all deployments with their templates applied, ordered by path.
func (r *Reducer) Deployments() []catalog.Effective {
	paths := make([]ident.Object, 0, r.effective.Len())
	for o := range r.effective.All() {
		paths = append(paths, o)
	}
	slices.Sort(paths)
	out := make([]catalog.Effective, len(paths))
	for i, o := range paths {
		e, _ := r.effective.Get(o)
		out[i] = *e
	}
	return out
}

// Deployment returns one deployment with its template applied.
func (r *Reducer) Deployment(org ident.Organisation, name ident.Deployment) (catalog.Effective, bool) {
	e, ok := r.effective.Get(ident.DeploymentObject(org, name))
	if !ok {
		return catalog.Effective{}, false
	}
	return *e, true
}

// Organisation returns the organisation whose key has the given digest.
func (r *Reducer) Organisation(key ident.Digest) (ident.Organisation, bool) {
	return r.organisationByKey.Get(key)
}
