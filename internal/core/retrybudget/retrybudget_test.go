package retrybudget_test

import (
	"testing"

	"github.com/matryer/is"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// TestStateBudget checks that retries never exceed a tenth of the live requests plus the initial tokens.
func TestStateBudget(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		var b retrybudget.Budget
		live, retries := 0, 0
		for range 500 {
			if rapid.Bool().Draw(rt, "live") {
				b.AddRequest()
				live++
			} else if b.SpendRetry() {
				retries++
			}
			if 10*(retries-retrybudget.InitialTokens) > live {
				rt.Fatalf("%d retries of %d live requests", retries, live)
			}
		}
	})
}

// The hosts of a fleet share one burst, whatever their number, so a host's share shrinks when hosts are added.
func TestSetBurstLimitsTheTokensInTheBucket(t *testing.T) {
	is := is.New(t)
	b := &retrybudget.Budget{TokensPerRequest: 1, Burst: 28}
	for range 100 {
		b.AddRequest()
	}
	b.SetBurst(6)
	retries := 0
	for b.SpendRetry() {
		retries++
	}
	is.Equal(retries, 6)
}
