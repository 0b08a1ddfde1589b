package reducer

import (
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// deploymentIndex holds the deployments of each template and their number for each organisation.
type deploymentIndex struct {
	byTemplate          map[ident.Template]map[ident.ObjectPath]bool
	countByOrganisation map[ident.Organisation]int
}

func newDeploymentIndex() *deploymentIndex {
	return &deploymentIndex{
		byTemplate:          make(map[ident.Template]map[ident.ObjectPath]bool),
		countByOrganisation: make(map[ident.Organisation]int),
	}
}

func (r *Reducer) buildIndex() *deploymentIndex {
	index := newDeploymentIndex()
	for o, e := range r.objects.All() {
		index.update(o, nil, e.Record.Deployment)
	}
	return index
}

// update replaces one deployment in the index. A nil old or next means that it did not or does not exist.
func (i *deploymentIndex) update(o ident.ObjectPath, old, next *catalog.Deployment) {
	if old == nil && next == nil {
		return
	}
	org := organisationOf(o)
	if old != nil {
		delete(i.byTemplate[old.Template], o)
		i.countByOrganisation[org]--
	}
	if next == nil {
		return
	}
	if i.byTemplate[next.Template] == nil {
		i.byTemplate[next.Template] = make(map[ident.ObjectPath]bool)
	}
	i.byTemplate[next.Template][o] = true
	i.countByOrganisation[org]++
}

// deployments returns a template's deployments in no particular order.
func (i *deploymentIndex) deployments(t ident.Template) []ident.ObjectPath {
	out := make([]ident.ObjectPath, 0, len(i.byTemplate[t]))
	for o := range i.byTemplate[t] {
		out = append(out, o)
	}
	return out
}

// refreshEffective recomputes the effective state of the given deployments. Where the weight set changes, the old one
// becomes the previous set.
func (r *Reducer) refreshEffective(deployments []ident.ObjectPath) {
	recomputed := make(map[ident.ObjectPath]*catalog.EffectiveDeployment, len(deployments))
	replacedSets := make(map[ident.ObjectPath]ident.WeightSet)
	for _, o := range deployments {
		e, ok := r.computeEffective(o)
		if !ok {
			r.effective = r.effective.Delete(o)
			continue
		}
		old, existed := r.effective.Get(o)
		if existed && old.WeightSet != "" && old.WeightSet != e.WeightSet {
			replacedSets[o] = old.WeightSet
			e.PreviousWeightSet = old.WeightSet
		}
		recomputed[o] = &e
	}
	r.previousSets = r.previousSets.SetAll(replacedSets)
	r.effective = r.effective.SetAll(recomputed)
}

// computeEffective applies a deployment to its template. It returns false if either does not exist.
func (r *Reducer) computeEffective(o ident.ObjectPath) (catalog.EffectiveDeployment, bool) {
	e, ok := r.Object(o)
	if !ok || e.Record.Deployment == nil {
		return catalog.EffectiveDeployment{}, false
	}
	d := e.Record.Deployment
	t, ok := r.Object(ident.TemplateObject(d.Template))
	if !ok || t.Record.Template == nil {
		return catalog.EffectiveDeployment{}, false
	}
	_, names := catalog.SplitPath(o)
	spec := d.Apply(*t.Record.Template)
	previous, _ := r.previousSets.Get(o)
	return catalog.EffectiveDeployment{
		Organisation:      ident.Organisation(names[0]),
		Name:              ident.Deployment(names[1]),
		Template:          d.Template,
		Spec:              spec,
		WeightSet:         spec.WeightSet(),
		PreviousWeightSet: previous,
	}, true
}

// organisationOf returns the organisation in the path of an organisation or deployment.
func organisationOf(o ident.ObjectPath) ident.Organisation {
	_, names := catalog.SplitPath(o)
	return ident.Organisation(names[0])
}
