package evacuationtracker_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/evacuationtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// The store returns from an older copy in which the evacuation is missing. The operator writes the record again later.
func TestEvacuationOutlivesRestoreOfTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var tracker evacuationtracker.Tracker
		tracker.Replace([]ident.Zone{"a"})
		tracker.RecordRestore()
		tracker.Replace(nil)
		time.Sleep(9 * time.Second)
		is.True(tracker.IsEvacuated("a"))
		tracker.Begin("a")
		time.Sleep(time.Minute)
		is.True(tracker.IsEvacuated("a"))
		tracker.RecordRestore()
		tracker.Replace(nil)
		time.Sleep(11 * time.Second)
		is.True(!tracker.IsEvacuated("a")) // the operator has not written it again
	})
}

// A host starts while the store is a restored, older copy. The hosts of its zone know the evacuation.
func TestEvacuationKnownToOtherHostsOutlivesFirstSnapshot(t *testing.T) {
	is := is.New(t)
	var tracker evacuationtracker.Tracker
	tracker.AddNewest([]ident.Zone{"a"})
	tracker.Replace([]ident.Zone{"b"})
	is.Equal(tracker.Zones(), []ident.Zone{"a", "b"})
	tracker.End("a")
	is.Equal(tracker.Zones(), []ident.Zone{"b"})
	tracker.Replace(nil) // of the same epoch: the record has been deleted
	is.Equal(tracker.Zones(), []ident.Zone{})
}

// The records of evacuations are set and deleted amid snapshots, outages and restores. A zone that the operator evacuates
// must never be used, except in the time that its record needs to be read; one that is not must be used again.
func TestStateEvacuations(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		const keptWithoutRecord = 10 * time.Second
		var tracker evacuationtracker.Tracker
		wanted := make(map[ident.Zone]bool) // what the operator wants, as far as the tracker could have read it
		copied := make(map[ident.Zone]bool) // an older copy of the store
		lostAt := make(map[ident.Zone]time.Time)
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			z := rapid.SampledFrom([]ident.Zone{"a", "b", "c"}).Draw(rt, "zone")
			switch rapid.SampledFrom([]string{"begin", "end", "snapshot", "copy", "restore", "wait"}).Draw(rt, "action") {
			case "begin":
				wanted[z] = true
				delete(lostAt, z)
				tracker.Begin(z)
			case "end":
				delete(wanted, z)
				delete(lostAt, z)
				tracker.End(z)
			case "snapshot":
				tracker.Replace(slices.Collect(maps.Keys(wanted)))
			case "copy":
				copied = maps.Clone(wanted)
			case "restore":
				for lost := range wanted {
					if !copied[lost] {
						lostAt[lost] = time.Now()
					}
				}
				wanted = maps.Clone(copied)
				tracker.RecordRestore()
				tracker.Replace(slices.Collect(maps.Keys(wanted)))
				for z := range wanted {
					delete(lostAt, z)
				}
			case "wait":
				time.Sleep(time.Duration(rapid.IntRange(1, 12000).Draw(rt, "milliseconds")) * time.Millisecond)
			}
			for _, z := range []ident.Zone{"a", "b", "c"} {
				at, isLost := lostAt[z]
				want := wanted[z] || isLost && time.Since(at) < keptWithoutRecord
				if got := tracker.IsEvacuated(z); got != want {
					rt.Fatalf("zone %s: evacuated %v, want %v", z, got, want)
				}
			}
		}
	})
}
