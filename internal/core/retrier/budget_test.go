package retrier_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/retrier"
)

func TestRetryOfInterruptedWorkNeedsNoBudget(t *testing.T) {
	for reason, want := range map[outcome.Reason]bool{outcome.ConnectionLost: false, outcome.Truncated: true, outcome.BackendCrashed: true} {
		t.Run(string(reason), func(t *testing.T) {
			r := retrier.Retrier{MaxAttempts: 2, MaxRefusals: 2, Repeatable: true, SpendBudget: func() bool { return false }}
			is.New(t).Equal(r.ShouldRetry(&outcome.Error{Kind: outcome.Unknown, Reason: reason}, time.Now()), want)
			is.New(t).Equal(r.ShouldRetry(&outcome.Error{Kind: outcome.Unknown, Reason: reason}, time.Now()), false)
		})
	}
}

func TestUnknownOutcomeIsNeverReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	r := retrier.Retrier{MaxAttempts: 3, MaxRefusals: 3, Repeatable: true}
	is.True(r.ShouldRetry(&outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}, time.Now()))
	is.True(r.ShouldRetry(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused}, time.Now()))
	is.Equal(r.FinalError(nil).Kind, outcome.Unknown)
}
