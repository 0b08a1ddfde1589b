package releasescheduler_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/releasescheduler"
)

// A release that is given up when it is nearly whole is missing if the origin fails before the newer one has arrived.
func TestNearlyWholeReleaseIsFinished(t *testing.T) {
	is := is.New(t)
	is.True(!releasescheduler.Abandons(releasescheduler.Progress{HeldShare: 0.9, Idle: 100 * time.Millisecond}, false))
	is.True(releasescheduler.Abandons(releasescheduler.Progress{HeldShare: 0.3, Idle: 100 * time.Millisecond}, false))
	is.True(releasescheduler.Abandons(releasescheduler.Progress{HeldShare: 0.9, Idle: time.Second}, false))
	is.True(!releasescheduler.Abandons(releasescheduler.Progress{HeldShare: 0.1}, true)) // the newer one does not arrive
	is.True(releasescheduler.Abandons(releasescheduler.Progress{HeldShare: 0.1, Idle: time.Second}, true))
}

func TestEngineWaitsForNewerReleaseOnlyWhileItArrivesInTime(t *testing.T) {
	for name, c := range map[string]struct {
		newer    releasescheduler.Progress
		timeLeft time.Duration
		want     bool
	}{
		"arrives in time":        {releasescheduler.Progress{HeldShare: 0.5, Elapsed: time.Second}, 3 * time.Second, true},
		"has just begun":         {releasescheduler.Progress{HeldShare: 0.2, StartShare: 0.2, Elapsed: 100 * time.Millisecond, Idle: 100 * time.Millisecond}, 3 * time.Second, true},
		"arrives too late":       {releasescheduler.Progress{HeldShare: 0.2, Elapsed: time.Second}, 3 * time.Second, false},
		"stalled":                {releasescheduler.Progress{HeldShare: 0.9, Elapsed: 2 * time.Second, Idle: time.Second}, 3 * time.Second, false},
		"nearly complete":        {releasescheduler.Progress{HeldShare: 0.9, Elapsed: time.Second}, time.Second, true},
		"a little too late":      {releasescheduler.Progress{HeldShare: 0.5, Elapsed: 1500 * time.Millisecond}, time.Second, true},
		"costs more than a load": {releasescheduler.Progress{HeldShare: 0.5, Elapsed: 2 * time.Second}, time.Second, false},
		"rate is not known":      {releasescheduler.Progress{Elapsed: 100 * time.Millisecond, Idle: 100 * time.Millisecond}, time.Second, false},
		"complete":               {releasescheduler.Progress{HeldShare: 1, Idle: time.Minute}, 3 * time.Second, true},
		"resumed after a break":  {releasescheduler.Progress{HeldShare: 0.6, StartShare: 0.5, Elapsed: time.Second}, 3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(releasescheduler.AwaitsNewer(c.newer, c.timeLeft), c.want)
		})
	}
}
