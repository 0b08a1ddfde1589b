package reducer

import (
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// FindChange returns the audit entry of a change, if it is still in the audit trail.
func (r *Reducer) FindChange(id ident.ChangeID) (AuditEntry, bool) {
	offset, ok := r.offsetByChange.Get(id)
	if !ok {
		return AuditEntry{}, false
	}
	return r.history[offset-r.oldestOffset()], true
}

// oldestOffset returns the offset of the oldest audit entry.
func (r *Reducer) oldestOffset() ident.Offset {
	return r.offset - ident.Offset(len(r.history))
}

// Object returns the state of an object, which may be deleted.
func (r *Reducer) Object(o ident.ObjectPath) (ObjectState, bool) {
	e, ok := r.objects.Get(o)
	if !ok {
		return ObjectState{}, false
	}
	return *e, true
}

// Objects returns the sorted paths of the objects that start with prefix and are not deleted.
func (r *Reducer) Objects(prefix string) []ident.ObjectPath {
	var out []ident.ObjectPath
	for o, e := range r.objects.All() {
		if !e.Record.Delete && strings.HasPrefix(string(o), prefix) {
			out = append(out, o)
		}
	}
	slices.Sort(out)
	return out
}

// Deployments returns all deployments with their templates applied, ordered by path.
func (r *Reducer) Deployments() []catalog.EffectiveDeployment {
	paths := make([]ident.ObjectPath, 0, r.effective.Len())
	for o := range r.effective.All() {
		paths = append(paths, o)
	}
	slices.Sort(paths)
	out := make([]catalog.EffectiveDeployment, len(paths))
	for i, o := range paths {
		e, _ := r.effective.Get(o)
		out[i] = *e
	}
	return out
}

// Deployment returns one deployment with its template applied.
func (r *Reducer) Deployment(org ident.Organisation, name ident.Deployment) (catalog.EffectiveDeployment, bool) {
	e, ok := r.effective.Get(ident.DeploymentObject(org, name))
	if !ok {
		return catalog.EffectiveDeployment{}, false
	}
	return *e, true
}

// OrganisationByKey returns the organisation whose key has the given digest.
func (r *Reducer) OrganisationByKey(key ident.Digest) (ident.Organisation, bool) {
	return r.organisationByKey.Get(key)
}
