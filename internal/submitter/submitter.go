// Package submitter publishes or previews one change for a command and prints the outcome.
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

const maxAttempts = 3

// Submitter publishes changes. Set its fields before use.
type Submitter struct {
	// Change publishes a change. It is safe to call again with the same ID.
	Change func(ctx context.Context, rec catalog.Record) (reducer.AuditEntry, error)
	// RequestPreview returns the effects of a change without publishing it.
	RequestPreview func(ctx context.Context, rec catalog.Record) (reducer.Preview, error)
	// Print writes the output of the command.
	Print func(v any, header []string, rows [][]string) error
}

// VerdictError is returned for a change that was not accepted.
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

// New returns a Submitter that uses the factory's entry host.
func New(f *factory.Factory) *Submitter {
	c := f.Client()
	return &Submitter{Change: c.PublishChange, RequestPreview: c.Preview, Print: f.Print}
}

// Submit publishes the record and prints its verdict. A record without an ID gets a new one. While the outcome is
// unknown, Submit retries with the same ID, so that the change is applied at most once.
func (s *Submitter) Submit(ctx context.Context, rec catalog.Record) error {
	if rec.ID == "" {
		rec.ID = ident.ChangeID(uuid.NewString())
	}
	audit, err := s.changeWithRetry(ctx, rec)
	if err != nil {
		return fmt.Errorf("change %s of %s: %w", rec.ID, rec.Object, err)
	}
	if audit.Verdict != reducer.Accepted {
		return &VerdictError{Object: rec.Object, Audit: audit}
	}
	row := []string{string(rec.Object), string(audit.Verdict), strconv.FormatInt(int64(audit.Revision), 10), string(rec.ID)}
	return s.Print(audit, []string{"OBJECT", "VERDICT", "REVISION", "CHANGE"}, [][]string{row})
}

func (s *Submitter) changeWithRetry(ctx context.Context, rec catalog.Record) (audit reducer.AuditEntry, err error) {
	for range maxAttempts {
		audit, err = s.Change(ctx, rec)
		var adminErr *adminapi.ResponseError
		if err == nil || (errors.As(err, &adminErr) && adminErr.Code != "unknown") || ctx.Err() != nil {
			return audit, err
		}
	}
	return audit, err
}

// Preview prints the deployments that the change would affect, without publishing it.
func (s *Submitter) Preview(ctx context.Context, rec catalog.Record) error {
	rec.ID = ident.ChangeID(uuid.NewString())
	preview, err := s.RequestPreview(ctx, rec)
	if err != nil {
		return fmt.Errorf("preview of %s: %w", rec.Object, err)
	}
	if preview.Audit.Verdict != reducer.Accepted {
		return &VerdictError{Object: rec.Object, Audit: preview.Audit}
	}
	var rows [][]string
	for _, change := range preview.DeploymentChanges {
		rows = append(rows, []string{strings.TrimPrefix(string(change.Object), "deployment/"), formatEffective(change.Before), formatEffective(change.After)})
	}
	return s.Print(preview, []string{"DEPLOYMENT", "BEFORE", "AFTER"}, rows)
}

func formatEffective(d *catalog.EffectiveDeployment) string {
	if d == nil {
		return "-"
	}
	return fmt.Sprintf("%s, %d replicas, priority %d", factory.FormatRefs(d.Spec.Refs()), d.Spec.Replicas, d.Spec.Priority)
}
