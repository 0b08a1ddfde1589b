package submitter

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/adminapi"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

func discard(any, []string, [][]string) error { return nil }

func TestUnknownOutcomeIsAskedAgainWithTheSameID(t *testing.T) {
	is := is.New(t)
	var ids []ident.ChangeID
	s := &Submitter{Print: discard, Change: func(_ context.Context, rec catalog.Record) (reducer.AuditEntry, error) {
		ids = append(ids, rec.ID)
		if len(ids) == 1 {
			return reducer.AuditEntry{}, &adminapi.ResponseError{Code: "unknown"}
		}
		return reducer.AuditEntry{Verdict: reducer.Accepted}, nil
	}}
	is.NoErr(s.Submit(t.Context(), catalog.Record{Object: "template/a"}))
	is.Equal(len(ids), 2)
	is.Equal(ids[0], ids[1])
}

func TestConflictNamesTheOther(t *testing.T) {
	is := is.New(t)
	s := &Submitter{Print: discard, Change: func(context.Context, catalog.Record) (reducer.AuditEntry, error) {
		return reducer.AuditEntry{Verdict: reducer.Conflict, Reason: "revision is 2, by ana"}, nil
	}}
	err := s.Submit(t.Context(), catalog.Record{Object: "template/a"})
	var v *VerdictError
	is.True(errors.As(err, &v))
	is.Equal(err.Error(), "change of template/a: conflict: revision is 2, by ana; read the object again, then repeat the change")
}

func TestRefusalIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	calls := 0
	s := &Submitter{Print: discard, Change: func(context.Context, catalog.Record) (reducer.AuditEntry, error) {
		calls++
		return reducer.AuditEntry{}, &adminapi.ResponseError{Code: "refused", Text: "no"}
	}}
	is.True(s.Submit(t.Context(), catalog.Record{Object: "template/a"}) != nil)
	is.Equal(calls, 1)
}
