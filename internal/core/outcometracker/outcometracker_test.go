package outcometracker_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
)

func near(a float32, b float64) bool {
	return math.Abs(float64(a)-b) < 0.01
}

// Guards against counting a report twice, an overtaken one, and requests from before the responder's start.
func TestOnlyNewRequestsOfAHostAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &outcometracker.Tracker{}
		_, ok := tracker.Sums("z")
		is.True(!ok)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 1000, Failed: 50}, 1, 1) // from before the responder's start
		_, ok = tracker.Sums("z")
		is.True(!ok)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 1003, Failed: 50}, 1, 4)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 1003, Failed: 50}, 1, 4)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 1001, Failed: 50}, 1, 2) // overtaken
		s, ok := tracker.Sums("z")
		is.True(ok)
		is.True(near(s.All.Served, 3) && near(s.Zone.Served, 3) && s.All.Failed == 0)
		tracker.Record("a", outcometracker.Totals{Zone: "z"}, 2, 1) // the host has started again
		tracker.Record("a", outcometracker.Totals{Zone: "z", Failed: 2}, 2, 2)
		s, _ = tracker.Sums("z")
		is.True(near(s.All.Served, 3) && near(s.All.Failed, 2))
		is.Equal(s.All.FailedRun, 2)
		time.Sleep(time.Minute)
		s, _ = tracker.Sums("z")
		is.True(s.All.Requests() < 1e-6)
	})
}

// Some endpoints fail only for callers of one zone: their failures must not be mixed with the successes of the others.
func TestZonesAreSummedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &outcometracker.Tracker{}
		tracker.Record("a", outcometracker.Totals{Zone: "z1"}, 1, 1)
		tracker.Record("b", outcometracker.Totals{Zone: "z2"}, 1, 1)
		tracker.Record("a", outcometracker.Totals{Zone: "z1", Failed: 4}, 1, 2)
		tracker.Record("b", outcometracker.Totals{Zone: "z2", Served: 6}, 1, 2)
		s, _ := tracker.Sums("z1")
		is.True(near(s.Zone.Failed, 4) && s.Zone.Served == 0 && near(s.All.Served, 6) && near(s.All.Failed, 4))
		is.Equal(s.Zone.FailedRun, 4)
		is.Equal(s.All.ServedRun, 6)
		s, _ = tracker.Sums("z2")
		is.Equal(s.Zone.FailedRun, 0)
		s, _ = tracker.Sums("z3")
		is.True(s.Zone.Requests() == 0)
	})
}

// Requests that were sent before an endpoint began to fail are still served: they must not end a run of failures.
func TestEarlierRequestsDoNotEndARun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &outcometracker.Tracker{}
		tracker.Record("a", outcometracker.Totals{Zone: "z"}, 1, 1)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Failed: 3}, 1, 2)
		time.Sleep(100 * time.Millisecond)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 1, Failed: 3, ServedAge: 150}, 1, 3)
		s, _ := tracker.Sums("z")
		is.Equal(s.All.FailedRun, 3)
		tracker.Record("a", outcometracker.Totals{Zone: "z", Served: 2, Failed: 3, ServedAge: 50}, 1, 4)
		s, _ = tracker.Sums("z")
		is.Equal(s.All.FailedRun, 0)
		is.Equal(s.All.ServedRun, 1)
	})
}
