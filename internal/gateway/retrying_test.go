package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// A caller with an unusually long deadline makes the first attempts of the others look like retries only for a while.
func TestCallerWithLongDeadlineIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := &Gateway{}
		earlier := func(remaining time.Duration) time.Duration {
			req := &request{route: &fleetconfig.Route{Name: "r"}}
			req.Remaining = remaining
			return g.earlierTime(req)
		}
		is.Equal(earlier(6*time.Second), time.Duration(0))
		is.Equal(earlier(4*time.Second), 2*time.Second) // a retry
		is.Equal(earlier(time.Minute), time.Duration(0))
		is.Equal(earlier(6*time.Second), 54*time.Second)
		for range 23 {
			time.Sleep(time.Second)
			earlier(6 * time.Second)
		}
		is.Equal(earlier(6*time.Second), time.Duration(0))
		is.Equal(earlier(4*time.Second), 2*time.Second)
		time.Sleep(time.Minute)
		is.Equal(earlier(4*time.Second), time.Duration(0))
	})
}
