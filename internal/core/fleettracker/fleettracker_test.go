package fleettracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
)

const bound = 8 * time.Second

func ids(s *fleettracker.Tracker) int { return len(s.Endpoints()) }

func TestEntriesThatLapsedInAnOutageHaveTwoSecondsToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fleettracker.Tracker{}
		s.Reset([]directory.Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c", Leaving: true}, {ID: "d"}})
		s.Heard(true)
		s.Drop("d") // the store is up: it left
		is.Equal(ids(s), 3)
		time.Sleep(5 * time.Second)
		s.Heard(false)
		s.Heard(true) // the first answer after the outage
		for _, id := range []string{"a", "b", "c"} {
			s.Drop(id)
		}
		is.Equal(ids(s), 2) // one that was leaving is gone
		time.Sleep(time.Second)
		s.Heard(true)
		s.Put(directory.Endpoint{ID: "a"})
		time.Sleep(1100 * time.Millisecond)
		s.Heard(true)
		is.Equal(ids(s), 1) // the one that wrote its entry again
		is.Equal(s.Endpoints()[0].ID, "a")
		s.Drop("a")
		is.Equal(ids(s), 0)
	})
}

// Calls far apart are no outage.
func TestQuietStoreIsNotAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fleettracker.Tracker{}
		s.Reset([]directory.Endpoint{{ID: "a"}})
		s.Heard(true)
		time.Sleep(time.Minute)
		s.Heard(true)
		s.Drop("a")
		is.Equal(ids(s), 0)
	})
}

func TestImageAfterAnOutageKeepsLapsedEntriesForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fleettracker.Tracker{}
		is.True(!s.Known())
		s.Reset([]directory.Endpoint{{ID: "a"}, {ID: "b"}})
		is.True(s.Known())
		s.Heard(true)
		time.Sleep(3 * time.Second)
		s.Heard(false)
		s.Heard(true)
		s.Reset([]directory.Endpoint{{ID: "a"}})
		is.Equal(ids(s), 2)
		time.Sleep(2100 * time.Millisecond)
		is.Equal(ids(s), 1)
	})
}

func TestRequestsStopOnOlderReleasesBeforeTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fleettracker.Tracker{ReleaseBound: bound}
		is.Equal(s.Oldest("m"), directory.Release(1))
		is.True(s.SetRelease("m", 2, false))
		is.True(!s.SetRelease("m", 2, false))
		time.Sleep(4 * time.Second)
		is.True(s.SetRelease("m", 3, false))
		is.True(!s.SetRelease("m", 2, false))
		is.Equal(s.Newest("m"), directory.Release(3))
		is.Equal(s.Oldest("m"), directory.Release(1))
		is.Equal(time.Since(s.Named("m", 1)), 4*time.Second)
		is.Equal(time.Since(s.Named("m", 2)), time.Duration(0))
		is.True(s.Named("m", 3).IsZero())
		// What waits on release 1 is taken back before the bound of release 2, and after new requests stop to begin on it.
		is.Equal(time.Until(s.Cutoff("m", 1)), bound-4*time.Second-300*time.Millisecond)
		is.Equal(time.Until(s.Cutoff("m", 2)), bound-300*time.Millisecond)
		is.True(s.Cutoff("m", 3).IsZero())
		time.Sleep(bound - 4*time.Second - time.Millisecond)
		is.Equal(s.Oldest("m"), directory.Release(2)) // each release has a bound of its own
		time.Sleep(4 * time.Second)
		is.Equal(s.Oldest("m"), directory.Release(3))
	})
}

// A host that starts does not know when the release was named, so it may not take the whole bound.
func TestReleaseReadAtTheStartIsInForceSooner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &fleettracker.Tracker{ReleaseBound: bound}
		s.SetRelease("m", 2, true)
		is.Equal(s.Oldest("m"), directory.Release(1))
		time.Sleep(2500 * time.Millisecond)
		is.Equal(s.Oldest("m"), directory.Release(2))
	})
}
