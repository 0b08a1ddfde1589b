package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/retrier"
)

func TestRetryOfInterruptedWorkNeedsNoBudget(t *testing.T) {
	for reason, want := range map[outcome.Reason]bool{outcome.Lost: false, outcome.Cut: true, outcome.EngineDied: true} {
		t.Run(string(reason), func(t *testing.T) {
			r := retrier.Retrier{Attempts: 2, Refusals: 2, Repeatable: true, Budget: func() bool { return false }}
			is.New(t).Equal(r.Again(&outcome.Error{Kind: outcome.Unknown, Reason: reason}, time.Now()), want)
			is.New(t).Equal(r.Again(&outcome.Error{Kind: outcome.Unknown, Reason: reason}, time.Now()), false)
		})
	}
}

func TestUnknownOutcomeIsNeverReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := retrier.Retrier{Attempts: 3, Refusals: 3, Repeatable: true}
	is.True(r.Again(&outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost}, time.Now()))
	is.True(r.Again(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused}, time.Now()))
	is.Equal(r.Final(nil).Kind, outcome.Unknown)
}
