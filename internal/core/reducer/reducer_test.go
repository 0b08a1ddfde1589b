package reducer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func apply(t *testing.T, r *Reducer, rec catalog.Record) AuditEntry {
	t.Helper()
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return r.Apply(data)
}

func organisation(name string) catalog.Record {
	return catalog.Record{
		ID: ident.ChangeID("org-" + name), Object: ident.OrganisationObject(ident.Organisation(name)), Author: "ana",
		Organisation: &catalog.Organisation{Key: ident.Digest("key-" + name), Weight: 1},
	}
}

func template(id ident.ChangeID, base ident.Revision, version string) catalog.Record {
	return catalog.Record{
		ID: id, Object: "template/chat", Base: base, Author: "bob",
		Template: &catalog.Template{
			Kind: catalog.KindEngine, Pool: "lm", Replicas: 4, MinServing: 2, Overridable: []string{"replicas"},
			Model: &catalog.ArtifactRef{Name: "m", Version: version, Digest: ident.Digest("d" + version)},
		},
	}
}

func deployment(id ident.ChangeID, org string, replicas *int) catalog.Record {
	return catalog.Record{
		ID: id, Object: ident.DeploymentObject(ident.Organisation(org), "chat"), Author: "ana",
		Deployment: &catalog.Deployment{Template: "chat", Replicas: replicas},
	}
}

func newPopulated(t *testing.T) *Reducer {
	t.Helper()
	r := New()
	for _, rec := range []catalog.Record{organisation("acme"), template("t1", 0, "1"), deployment("d1", "acme", nil)} {
		if a := apply(t, r, rec); a.Verdict != Accepted {
			t.Fatalf("%s: %s: %s", rec.ID, a.Verdict, a.Reason)
		}
	}
	return r
}

func TestConflictReportsRevisionAndAuthor(t *testing.T) {
	is := is.New(t)
	r := newPopulated(t)
	audit := apply(t, r, template("t2", 0, "2"))
	is.Equal(audit.Verdict, Conflict)
	is.Equal(audit.Revision, ident.Revision(1))
	is.Equal(audit.ConflictAuthor, ident.Author("bob"))
	is.Equal(apply(t, r, template("t1", 0, "1")).Verdict, Repeated)
	found, ok := r.FindChange("t2")
	is.True(ok)
	is.Equal(found.Verdict, Conflict)
}

func TestTemplateChangeAppliesToItsDeployments(t *testing.T) {
	is := is.New(t)
	r := newPopulated(t)
	old, _ := r.Deployment("acme", "chat")
	preview, err := r.Preview(template("t2", 1, "2"))
	is.NoErr(err)
	is.Equal(preview.Audit.Verdict, Accepted)
	is.Equal(len(preview.DeploymentChanges), 1)
	is.Equal(preview.DeploymentChanges[0].Before.WeightSet, old.WeightSet)
	current, _ := r.Deployment("acme", "chat")
	is.Equal(current.WeightSet, old.WeightSet) // a preview does not change the state

	apply(t, r, template("t2", 1, "2"))
	current, _ = r.Deployment("acme", "chat")
	is.Equal(current.WeightSet, preview.DeploymentChanges[0].After.WeightSet)
	is.Equal(current.PreviousWeightSet, old.WeightSet)
}

func TestStateChecks(t *testing.T) {
	r := newPopulated(t)
	one := 1
	key := organisation("other")
	key.Organisation.Key = "key-acme"
	priority := deployment("p", "acme", nil)
	priority.Base, priority.Deployment.Priority = 1, &one
	service := template("s", 1, "1")
	service.Template.Overridable = nil
	service.Template.MinServing = 3
	for name, rec := range map[string]catalog.Record{
		"key of another organisation":       key,
		"override that is not open":         priority,
		"replicas below floor":              {ID: "f", Object: "deployment/acme/chat", Base: 1, Deployment: &catalog.Deployment{Template: "chat", Replicas: &one}},
		"unknown template":                  {ID: "n", Object: "deployment/acme/x", Deployment: &catalog.Deployment{Template: "none"}},
		"unknown organisation":              deployment("o", "nobody", nil),
		"deletion of template in use":       {ID: "u", Object: "template/chat", Base: 1, Delete: true},
		"deletion of organisation in use":   {ID: "v", Object: "organisation/acme", Base: 1, Delete: true},
		"deletion of non-existent template": {ID: "w", Object: "template/none", Delete: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := apply(t, r.Clone(), rec)
			is.Equal(a.Verdict, Refused)
			is.True(len(a.Faults) > 0)
		})
	}
}

func TestHistoryAndUndo(t *testing.T) {
	is := is.New(t)
	r := newPopulated(t)
	apply(t, r, template("t2", 1, "2"))
	apply(t, r, catalog.Record{ID: "x", Object: "deployment/acme/chat", Base: 1, Delete: true, Author: "eve"})
	is.Equal(len(r.SelectAudit(AuditFilter{Organisation: "acme"})), 3)
	is.Equal(len(r.SelectAudit(AuditFilter{Author: "bob", Limit: 1})), 1)
	is.Equal(r.SelectAudit(AuditFilter{Author: "bob", Limit: 1})[0].ID, ident.ChangeID("t2"))

	objects, err := r.ObjectsAt(3)
	is.NoErr(err)
	is.Equal(objects["template/chat"].Record.ID, ident.ChangeID("t1"))
	is.Equal(objects["deployment/acme/chat"].Revision, ident.Revision(1))
	objects, err = r.ObjectsAt(0)
	is.NoErr(err)
	is.Equal(len(objects), 0)
	_, err = r.ObjectsAt(99)
	is.True(err != nil)

	undo, err := r.UndoRecord("x")
	is.NoErr(err)
	undo.ID = "undo-x"
	is.Equal(apply(t, r, undo).Verdict, Accepted)
	_, ok := r.Deployment("acme", "chat")
	is.True(ok)
	e, _ := r.Object("deployment/acme/chat")
	is.Equal(e.Revision, ident.Revision(3)) // a deleted object keeps its revision, which the undo increments
}

func TestAuditTrailIsBounded(t *testing.T) {
	is := is.New(t)
	r := New()
	for i := range MaxAuditEntries + 10 {
		rec := organisation("acme")
		rec.ID, rec.Base = ident.ChangeID(fmt.Sprint(i)), ident.Revision(i)
		apply(t, r, rec)
	}
	is.Equal(len(r.History()), MaxAuditEntries)
	is.Equal(r.offsetByChange.Len(), MaxAuditEntries)
	_, ok := r.FindChange("9")
	is.True(!ok)
	rec := organisation("acme")
	rec.ID = "9"
	rec.Base = 9
	is.Equal(apply(t, r, rec).Verdict, Conflict) // an append repeated after its id was removed conflicts by its base
}

func TestCloneIsIndependent(t *testing.T) {
	is := is.New(t)
	r := newPopulated(t)
	clone := r.Clone()
	apply(t, r, template("t2", 1, "2"))
	is.Equal(apply(t, clone, template("t3", 1, "3")).Verdict, Accepted)
	_, ok := r.FindChange("t3")
	is.True(!ok)
	_, ok = clone.FindChange("t2")
	is.True(!ok)
	is.Equal(len(r.History()), len(clone.History()))
	is.True(r.Digest() != clone.Digest())
}
