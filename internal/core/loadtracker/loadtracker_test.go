package loadtracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
)

func TestReports(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &loadtracker.Tracker{}
		load := func(n int) assigner.Load { return assigner.Load{Requests: n, PendingPromptTokens: 100 * n} }
		tracker.Record("a", load(1), 1, 1)
		tracker.Record("b", load(2), 1, 5)
		is.Equal(tracker.Others("a"), load(2))
		is.Equal(tracker.Others("c"), load(3))
		tracker.Record("b", load(9), 1, 4) // overtaken by a later report
		is.Equal(tracker.Others("a"), load(2))
		tracker.Record("b", load(4), 2, 1) // the host has started again
		is.Equal(tracker.Others("a"), load(4))
		time.Sleep(loadtracker.TTL - time.Millisecond)
		tracker.Record("a", load(1), 1, 2)
		is.Equal(tracker.Others("c"), load(5))
		time.Sleep(2 * time.Millisecond)
		is.Equal(tracker.Others("c"), load(1)) // a host that has ended stops counting
	})
}
