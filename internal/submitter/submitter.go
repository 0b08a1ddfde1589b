// Package submitter publishes one change for a command and prints what became of it.
package submitter

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/factory"
)

const attempts = 3

// Submitter publishes changes. Set its fields before use.
type Submitter struct {
	// Change publishes a change; it is safe to call again with the same id.
	Change func(ctx context.Context, rec catalog.Record) (reducer.AuditEntry, error)
	// Ask tells what a change would do, without publishing it.
	Ask func(ctx context.Context, rec catalog.Record) (reducer.Preview, error)
	// Print writes the verdict.
	Print func(v any, header []string, rows [][]string) error
}

// VerdictError reports a change that was not accepted.
type VerdictError struct {
	Object ident.ObjectPath
	Audit  reducer.AuditEntry
}

// Error names the object, the verdict and its reason.
func (e *VerdictError) Error() string {
	text := fmt.Sprintf("change of %s: %s: %s", e.Object, e.Audit.Verdict, e.Audit.Reason)
	if e.Audit.Verdict == reducer.Conflict {
		text += "; read the object again, then repeat the change"
	}
	return text
}

// New returns a submitter for the factory's entry host.
func New(f *factory.Factory) *Submitter {
	c := f.Client()
	return &Submitter{Change: c.PublishChange, Ask: c.Preview, Print: f.Print}
}

// Submit publishes the record, under a new id if it has none, and asks again with the same id while the outcome is
// unknown.
func (s *Submitter) Submit(ctx context.Context, rec catalog.Record) error {
	if rec.ID == "" {
		rec.ID = ident.ChangeID(uuid.NewString())
	}
	audit, err := s.change(ctx, rec)
	if err != nil {
		return fmt.Errorf("change %s of %s: %w", rec.ID, rec.Object, err)
	}
	if audit.Verdict != reducer.Accepted {
		return &VerdictError{Object: rec.Object, Audit: audit}
	}
	row := []string{string(rec.Object), string(audit.Verdict), strconv.FormatInt(int64(audit.Revision), 10), string(rec.ID)}
	return s.Print(audit, []string{"OBJECT", "VERDICT", "REVISION", "CHANGE"}, [][]string{row})
}

func (s *Submitter) change(ctx context.Context, rec catalog.Record) (audit reducer.AuditEntry, err error) {
	for range attempts {
		audit, err = s.Change(ctx, rec)
		var answer *adminapi.ResponseError
		if err == nil || (errors.As(err, &answer) && answer.Code != "unknown") || ctx.Err() != nil {
			return audit, err
		}
	}
	return audit, err
}

// Preview prints which deployments the change would move, without publishing it.
func (s *Submitter) Preview(ctx context.Context, rec catalog.Record) error {
	rec.ID = ident.ChangeID(uuid.NewString())
	p, err := s.Ask(ctx, rec)
	if err != nil {
		return fmt.Errorf("preview of %s: %w", rec.Object, err)
	}
	if p.Audit.Verdict != reducer.Accepted {
		return &VerdictError{Object: rec.Object, Audit: p.Audit}
	}
	var rows [][]string
	for _, m := range p.DeploymentChanges {
		rows = append(rows, []string{strings.TrimPrefix(string(m.Object), "deployment/"), describe(m.Before), describe(m.After)})
	}
	return s.Print(p, []string{"DEPLOYMENT", "BEFORE", "AFTER"}, rows)
}

func describe(d *catalog.EffectiveDeployment) string {
	if d == nil {
		return "-"
	}
	return fmt.Sprintf("%s, %d replicas, priority %d", factory.FormatRefs(d.Spec.Refs()), d.Spec.Replicas, d.Spec.Priority)
}
