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
	r := &Retrier{Attempts: 1, Refusals: 1, Budget: func() bool { return false }}
	for range maxOutdatedRefusals {
		is.True(r.Again(refusal(outcome.Moved), time.Now()))
	}
	is.True(!r.Again(refusal(outcome.Moved), time.Now())) // the number of such refusals is bounded
}

func TestRetryAfterRefusalNeedsBudget(t *testing.T) {
	is := is.New(t)
	r := &Retrier{Attempts: 3, Refusals: 3, Budget: func() bool { return false }}
	is.True(!r.Again(refusal(outcome.Overload), time.Now()))
}

// A request that must not be repeated ends with the first attempt that may have run it, whatever remains of its
// attempts, budget and time.
func TestRequestThatMayHaveRunIsNotRepeated(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.Lost, outcome.Stalled, outcome.Cut, outcome.EngineDied, outcome.Late} {
		t.Run(string(reason), func(t *testing.T) {
			is := is.New(t)
			unknown := &outcome.Error{Kind: outcome.Unknown, Reason: reason}
			r := &Retrier{Attempts: 5, Refusals: 5, Budget: func() bool { return true }}
			is.True(r.Again(refusal(outcome.Overload), time.Now()))
			is.True(!r.Again(unknown, time.Now()))
			is.True(r.MayHaveRun())
			is.Equal(r.Final(nil), unknown) // never reported as not run
			repeatable := &Retrier{Attempts: 5, Refusals: 5, Repeatable: true}
			is.True(repeatable.Again(unknown, time.Now()))
		})
	}
}
