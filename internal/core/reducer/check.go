package reducer

import (
	"fmt"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// maxListedUsers is the number of deployments that the fault for deleting an object in use names.
const maxListedUsers = 5

// Check returns the faults of a record, both on its own and against the current state. It does not compare its id and
// base with the state.
func (r *Reducer) Check(rec catalog.Record) []catalog.Fault {
	if faults := rec.Check(); len(faults) > 0 {
		return append(faults, r.checkAgainstState(rec)...)
	}
	faults := r.checkAgainstState(rec)
	if rec.Delete {
		faults = append(faults, r.checkDelete(rec)...)
	}
	return faults
}

// checkAgainstState returns the faults of a record's body, if it has one, against the objects that it refers to.
func (r *Reducer) checkAgainstState(rec catalog.Record) []catalog.Fault {
	var faults []catalog.Fault
	kind, names := catalog.SplitPath(rec.Object)
	if kind == "deployment" && rec.Deployment != nil && len(names) == 2 {
		faults = append(faults, r.checkDeployment(ident.Organisation(names[0]), *rec.Deployment)...)
	}
	if kind == "organisation" && rec.Organisation != nil && len(names) == 1 {
		other, ok := r.organisationByKey.Get(rec.Organisation.Key)
		if ok && other != ident.Organisation(names[0]) {
			faults = append(faults, catalog.Fault{Field: "organisation.key", Text: fmt.Sprintf("organisation %q has the same key", other)})
		}
	}
	if kind == "template" && rec.Template != nil && len(names) == 1 {
		faults = append(faults, r.checkDependents(ident.Template(names[0]), *rec.Template)...)
	}
	return faults
}

func (r *Reducer) checkDeployment(org ident.Organisation, d catalog.Deployment) []catalog.Fault {
	var faults []catalog.Fault
	if o, ok := r.Object(ident.OrganisationObject(org)); !ok || o.Record.Delete {
		faults = append(faults, catalog.Fault{Field: "object", Text: fmt.Sprintf("organisation %q does not exist", org)})
	}
	t, ok := r.Object(ident.TemplateObject(d.Template))
	if !ok || t.Record.Template == nil {
		return append(faults, catalog.Fault{Field: "deployment.template", Text: fmt.Sprintf("template %q does not exist", d.Template)})
	}
	return append(faults, d.CheckOverrides(*t.Record.Template)...)
}

// checkDependents returns the faults that a template's next state would cause in its deployments.
func (r *Reducer) checkDependents(name ident.Template, t catalog.Template) []catalog.Fault {
	var faults []catalog.Fault
	for _, o := range r.DeploymentsUsing(name) {
		e, _ := r.Object(o)
		for _, f := range e.Record.Deployment.CheckOverrides(t) {
			faults = append(faults, catalog.Fault{Field: string(o) + " " + f.Field, Text: f.Text})
		}
		if len(faults) > catalog.MaxFaults {
			break
		}
	}
	return faults
}

// checkDelete returns the faults of deleting an object that does not exist or is in use.
func (r *Reducer) checkDelete(rec catalog.Record) []catalog.Fault {
	current, ok := r.Object(rec.Object)
	if !ok || current.Record.Delete {
		return []catalog.Fault{{Field: "object", Text: "does not exist"}}
	}
	kind, names := catalog.SplitPath(rec.Object)
	var users []ident.ObjectPath
	switch kind {
	case "template":
		users = r.DeploymentsUsing(ident.Template(names[0]))
	case "organisation":
		users = r.Objects("deployment/" + names[0] + "/")
	}
	if len(users) == 0 {
		return nil
	}
	return []catalog.Fault{{
		Field: "object",
		Text:  fmt.Sprintf("is in use by %d deployments, such as %v", len(users), users[:min(len(users), maxListedUsers)]),
	}}
}

// DeploymentsUsing returns the sorted paths of a template's deployments.
func (r *Reducer) DeploymentsUsing(t ident.Template) []ident.ObjectPath {
	var out []ident.ObjectPath
	if r.index != nil {
		out = r.index.deployments(t)
	} else {
		for o, e := range r.effective.All() {
			if e.Template == t {
				out = append(out, o)
			}
		}
	}
	slices.Sort(out)
	return out
}
