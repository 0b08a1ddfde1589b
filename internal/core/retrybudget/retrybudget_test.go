package retrybudget_test

import (
	"testing"

	"github.com/matryer/is"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// TestStateBudget never lets retries exceed a tenth of the live requests and what the bucket starts with.
func TestStateBudget(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		var b retrybudget.Budget
		live, retries := 0, 0
		for range 500 {
			if rapid.Bool().Draw(rt, "live") {
				b.Earn()
				live++
			} else if b.Spend() {
				retries++
			}
			if 10*(retries-retrybudget.Start) > live {
				rt.Fatalf("%d retries of %d live requests", retries, live)
			}
		}
	})
}

// The hosts of a fleet share one slack, however many they become.
func TestShareOfAGrowingFleet(t *testing.T) {
	is := is.New(t)
	b := &retrybudget.Budget{Ratio: 1, Burst: 28}
	for range 100 {
		b.Earn()
	}
	b.SetBurst(6)
	n := 0
	for b.Spend() {
		n++
	}
	is.Equal(n, 6)
}
