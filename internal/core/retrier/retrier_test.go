package retrier

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

func refusal(r outcome.Reason) error {
	return &outcome.Error{Kind: outcome.NotRun, Reason: r}
}

func TestRefusalForOutdatedInformationUsesNoBudget(t *testing.T) {
	is := is.New(t)
	r := &Retrier{MaxAttempts: 1, MaxRefusals: 1, SpendBudget: func() bool { return false }}
	for range maxOutdatedRefusals {
		is.True(r.ShouldRetry(refusal(outcome.OtherWeightSet), time.Now()))
	}
	is.True(!r.ShouldRetry(refusal(outcome.OtherWeightSet), time.Now())) // the number of such refusals is bounded
}

func TestRetryAfterRefusalNeedsBudget(t *testing.T) {
	is := is.New(t)
	r := &Retrier{MaxAttempts: 3, MaxRefusals: 3, SpendBudget: func() bool { return false }}
	is.True(!r.ShouldRetry(refusal(outcome.Overload), time.Now()))
}

// A request that must not be repeated ends with the first attempt that may have run it, whatever remains of its
// attempts, budget and time.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ConnectionLost, outcome.Stalled, outcome.Truncated, outcome.BackendCrashed, outcome.TooLate} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			unknown := &outcome.Error{Kind: outcome.Unknown, Reason: reason}
			r := &Retrier{MaxAttempts: 5, MaxRefusals: 5, SpendBudget: func() bool { return true }}
			is.True(r.ShouldRetry(refusal(outcome.Overload), time.Now()))
			is.True(!r.ShouldRetry(unknown, time.Now()))
			is.True(r.MayHaveRun())
			is.Equal(r.FinalError(nil), unknown) // never reported as not run
			repeatable := &Retrier{MaxAttempts: 5, MaxRefusals: 5, Repeatable: true}
			is.True(repeatable.ShouldRetry(unknown, time.Now()))
		})
	}
}
