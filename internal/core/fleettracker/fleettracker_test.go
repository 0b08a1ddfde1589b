package fleettracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
)

const rolloutTimeout = 8 * time.Second

func endpointCount(tracker *fleettracker.Tracker) int { return len(tracker.Endpoints()) }

func TestEntriesExpiredInAnOutageAreKeptForTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{}
		tracker.Replace([]fleetconfig.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c", Draining: true}, {ID: "d"}})
		tracker.RecordRead(true)
		tracker.Remove("d") // no outage: the endpoint left
		is.Equal(endpointCount(tracker), 3)
		time.Sleep(5 * time.Second)
		tracker.RecordRead(false)
		tracker.RecordRead(true) // the first successful read after the outage
		for _, id := range []string{"a", "b", "c"} {
			tracker.Remove(id)
		}
		is.Equal(endpointCount(tracker), 2) // the endpoint that was leaving is gone
		time.Sleep(time.Second)
		tracker.RecordRead(true)
		tracker.Put(fleetconfig.Endpoint{ID: "a"})
		time.Sleep(1100 * time.Millisecond)
		tracker.RecordRead(true)
		is.Equal(endpointCount(tracker), 1) // the endpoint that wrote its entry again
		is.Equal(tracker.Endpoints()[0].ID, "a")
		tracker.Remove("a")
		is.Equal(endpointCount(tracker), 0)
	})
}

// A long time between two successful reads is not an outage.
func TestRareReadsAreNotAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{}
		tracker.Replace([]fleetconfig.Endpoint{{ID: "a"}})
		tracker.RecordRead(true)
		time.Sleep(time.Minute)
		tracker.RecordRead(true)
		tracker.Remove("a")
		is.Equal(endpointCount(tracker), 0)
	})
}

func TestSnapshotAfterAnOutageKeepsExpiredEntriesForTwoSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{}
		is.True(!tracker.Loaded())
		tracker.Replace([]fleetconfig.Endpoint{{ID: "a"}, {ID: "b"}})
		is.True(tracker.Loaded())
		tracker.RecordRead(true)
		time.Sleep(3 * time.Second)
		tracker.RecordRead(false)
		tracker.RecordRead(true)
		tracker.Replace([]fleetconfig.Endpoint{{ID: "a"}})
		is.Equal(endpointCount(tracker), 2)
		time.Sleep(2100 * time.Millisecond)
		is.Equal(endpointCount(tracker), 1)
	})
}

func TestNewRequestsStopUsingOlderReleasesBeforeTheRolloutTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{RolloutTimeout: rolloutTimeout}
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(1))
		is.True(tracker.AddRelease("m", 2, false, 0))
		is.True(!tracker.AddRelease("m", 2, false, 0))
		time.Sleep(4 * time.Second)
		is.True(tracker.AddRelease("m", 3, false, 0))
		is.True(!tracker.AddRelease("m", 2, false, 0))
		is.Equal(tracker.Newest("m"), fleetconfig.Release(3))
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(1))
		is.Equal(time.Since(tracker.PublishedAt("m", 1)), 4*time.Second)
		is.Equal(time.Since(tracker.PublishedAt("m", 2)), time.Duration(0))
		is.True(tracker.PublishedAt("m", 3).IsZero())
		// Requests that wait on release 1 are withdrawn before the rollout timeout of release 2, but only after new
		// requests are no longer sent to release 1.
		is.Equal(time.Until(tracker.WithdrawDeadline("m", 1)), rolloutTimeout-4*time.Second-1700*time.Millisecond)
		is.Equal(time.Until(tracker.WithdrawDeadline("m", 2)), rolloutTimeout-1700*time.Millisecond)
		is.True(tracker.WithdrawDeadline("m", 3).IsZero())
		is.Equal(time.Until(tracker.BeginDeadline("m", 2)), rolloutTimeout-1900*time.Millisecond)
		time.Sleep(rolloutTimeout - 4*time.Second - time.Millisecond)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(2)) // each release has its own rollout timeout
		time.Sleep(4 * time.Second)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(3))
	})
}

func TestReleaseFoundLateIsEnforcedFromItsPublication(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{RolloutTimeout: rolloutTimeout}
		tracker.AddRelease("m", 2, false, 1200*time.Millisecond)
		is.Equal(time.Since(tracker.PublishedAt("m", 1)), 1200*time.Millisecond)
		is.Equal(time.Until(tracker.WithdrawDeadline("m", 1)), rolloutTimeout-2900*time.Millisecond)
		time.Sleep(tracker.AssignTime() - 1200*time.Millisecond)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(2))
	})
}

// The clock of the runtime stood still while the host was suspended, and the older release was used for that much longer.
func TestReleaseIsEnforcedLateAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{RolloutTimeout: rolloutTimeout}
		tracker.AddRelease("m", 2, false, 0)
		time.Sleep(time.Second)
		tracker.RecordSuspension(2 * time.Second)
		is.Equal(time.Since(tracker.PublishedAt("m", 1)), 3*time.Second)
		time.Sleep(tracker.AssignTime() - 3*time.Second - time.Millisecond)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(1))
		time.Sleep(time.Millisecond)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(2))
	})
}

// A host that starts does not know when a release was published, so it must not wait for the full rollout timeout.
func TestReleaseReadAtStartIsEnforcedAfterTheStartupGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{RolloutTimeout: rolloutTimeout}
		tracker.AddRelease("m", 2, true, 0)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(1))
		is.True(!tracker.WithdrawDeadline("m", 1).IsZero())
		time.Sleep(2500*time.Millisecond - 2*time.Second)
		is.Equal(tracker.OldestAllowed("m"), fleetconfig.Release(2))
	})
}
