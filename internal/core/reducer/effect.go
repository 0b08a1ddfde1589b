package reducer

import (
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// usage is the index from templates and organisations to their deployments.
type usage struct {
	templates     map[ident.Template]map[ident.Object]bool
	organisations map[ident.Organisation]int
}

func newUsage() *usage {
	return &usage{
		templates:     make(map[ident.Template]map[ident.Object]bool),
		organisations: make(map[ident.Organisation]int),
	}
}

func (r *Reducer) countUses() *usage {
	u := newUsage()
	for o, e := range r.objects.All() {
		u.move(o, nil, e.Record.Deployment)
	}
	return u
}

// move updates the index for a change of one deployment.
func (u *usage) move(o ident.Object, old, next *catalog.Deployment) {
	if old == nil && next == nil {
		return
	}
	org := owner(o)
	if old != nil {
		delete(u.templates[old.Template], o)
		u.organisations[org]--
	}
	if next == nil {
		return
	}
	if u.templates[next.Template] == nil {
		u.templates[next.Template] = make(map[ident.Object]bool)
	}
	u.templates[next.Template][o] = true
	u.organisations[org]++
}

// of returns a template's deployments in no defined order.
func (u *usage) of(t ident.Template) []ident.Object {
	out := make([]ident.Object, 0, len(u.templates[t]))
	for o := range u.templates[t] {
		out = append(out, o)
	}
	return out
}

// refresh computes the effective state of the given deployments again.
func (r *Reducer) refresh(deployments []ident.Object) {
	effects := make(map[ident.Object]*catalog.Effective, len(deployments))
	sets := make(map[ident.Object]ident.WeightSet)
	for _, o := range deployments {
		e, ok := r.compute(o)
		if !ok {
			r.effective = r.effective.Delete(o)
			continue
		}
		old, had := r.effective.Get(o)
		if had && old.Set != "" && old.Set != e.Set {
			sets[o] = old.Set
			e.Previous = old.Set
		}
		effects[o] = &e
	}
	r.previous = r.previous.SetAll(sets)
	r.effective = r.effective.SetAll(effects)
}

func (r *Reducer) compute(o ident.Object) (catalog.Effective, bool) {
	e, ok := r.Object(o)
	if !ok || e.Record.Deployment == nil {
		return catalog.Effective{}, false
	}
	d := e.Record.Deployment
	t, ok := r.Object(ident.TemplateObject(d.Template))
	if !ok || t.Record.Template == nil {
		return catalog.Effective{}, false
	}
	_, names := catalog.Split(o)
	spec := d.Apply(*t.Record.Template)
	previous, _ := r.previous.Get(o)
	return catalog.Effective{
		Organisation: ident.Organisation(names[0]),
		Name:         ident.Deployment(names[1]),
		Template:     d.Template,
		Spec:         spec,
		Set:          spec.Set(),
		Previous:     previous,
	}, true
}

func owner(o ident.Object) ident.Organisation {
	_, names := catalog.Split(o)
	return ident.Organisation(names[0])
}
