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

func TestOutdatedViewCostsNoBudget(t *testing.T) {
	is := is.New(t)
	r := &Retrier{Attempts: 1, Refusals: 1, Budget: func() bool { return false }}
	for range maxMoves {
		is.True(r.Again(refusal(outcome.Moved), time.Now()))
	}
	is.True(!r.Again(refusal(outcome.Moved), time.Now())) // the corrections are bounded
}

func TestRefusalsTakeFromTheBudget(t *testing.T) {
	is := is.New(t)
	r := &Retrier{Attempts: 3, Refusals: 3, Budget: func() bool { return false }}
	is.True(!r.Again(refusal(outcome.Overload), time.Now()))
}
