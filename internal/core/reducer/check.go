package reducer

import (
	"fmt"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const namedUsers = 5

// Check returns all rules that a record breaks, by itself and against the state. It does not look at id and base.
func (r *Reducer) Check(rec catalog.Record) []catalog.Fault {
	if faults := rec.Check(); len(faults) > 0 {
		return append(faults, r.checkBody(rec)...)
	}
	faults := r.checkBody(rec)
	if rec.Delete {
		faults = append(faults, r.checkDelete(rec)...)
	}
	return faults
}

func (r *Reducer) checkBody(rec catalog.Record) []catalog.Fault {
	var faults []catalog.Fault
	kind, names := catalog.Split(rec.Object)
	if kind == "deployment" && rec.Deployment != nil && len(names) == 2 {
		faults = append(faults, r.checkDeployment(ident.Organisation(names[0]), *rec.Deployment)...)
	}
	if kind == "organisation" && rec.Organisation != nil && len(names) == 1 {
		other, ok := r.keys.Get(rec.Organisation.Key)
		if ok && other != ident.Organisation(names[0]) {
			faults = append(faults, catalog.Fault{Field: "organisation.key", Text: fmt.Sprintf("organisation %q has the same key", other)})
		}
	}
	if kind == "template" && rec.Template != nil && len(names) == 1 {
		faults = append(faults, r.checkUses(ident.Template(names[0]), *rec.Template)...)
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
	return append(faults, d.CheckOver(*t.Record.Template)...)
}

// checkUses returns the faults that a template's next state would cause in its deployments.
func (r *Reducer) checkUses(name ident.Template, t catalog.Template) []catalog.Fault {
	var faults []catalog.Fault
	for _, o := range r.Users(name) {
		e, _ := r.Object(o)
		for _, f := range e.Record.Deployment.CheckOver(t) {
			faults = append(faults, catalog.Fault{Field: string(o) + " " + f.Field, Text: f.Text})
		}
		if len(faults) > catalog.MaxFaults {
			break
		}
	}
	return faults
}

func (r *Reducer) checkDelete(rec catalog.Record) []catalog.Fault {
	cur, ok := r.Object(rec.Object)
	if !ok || cur.Record.Delete {
		return []catalog.Fault{{Field: "object", Text: "does not exist"}}
	}
	kind, names := catalog.Split(rec.Object)
	var users []ident.Object
	switch kind {
	case "template":
		users = r.Users(ident.Template(names[0]))
	case "organisation":
		users = r.Objects("deployment/" + names[0] + "/")
	}
	if len(users) == 0 {
		return nil
	}
	return []catalog.Fault{{
		Field: "object",
		Text:  fmt.Sprintf("is in use by %d deployments, such as %v", len(users), users[:min(len(users), namedUsers)]),
	}}
}

// Users returns the deployments of a template in the order of their paths.
func (r *Reducer) Users(t ident.Template) []ident.Object {
	var out []ident.Object
	if r.uses != nil {
		out = r.uses.of(t)
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
