package breaker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/breaker"
)

func TestPauseDoublesWithEachFailureUpToTheMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var b breaker.Breaker
		is.True(b.Allows(9))
		for _, pause := range []time.Duration{250, 500, 1000, 2000, 4000, 8000, 15000, 15000} {
			b.RecordFailure()
			b.RecordFailure() // a failure during the pause does not extend it
			time.Sleep(pause*time.Millisecond - 1)
			is.True(!b.Allows(0))
			time.Sleep(1)
			is.True(b.Allows(0))
			is.True(!b.Allows(1)) // one request at a time until one succeeds
		}
		b.RecordSuccess()
		is.True(b.Allows(9))
	})
}
