package fleettracker_test

import (
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// Guards against an endpoint that left and is used again because the restored store is read a second time (review/5).
func TestDepartureOutlivesSnapshotsOfRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, b := fleetconfig.Endpoint{ID: "a", StartTime: 1}, fleetconfig.Endpoint{ID: "b", StartTime: 1}
		tracker := &fleettracker.Tracker{}
		tracker.Replace([]fleetconfig.Endpoint{a, b})
		tracker.Remove("a")
		tracker.RecordRestore()
		for range 4 { // the log is compacted each second
			tracker.Replace([]fleetconfig.Endpoint{a, b})
			is.Equal(endpointCount(tracker), 1)
			time.Sleep(time.Second)
		}
		restarted := &fleettracker.Tracker{}
		restarted.AddDepartures(tracker.Departures())
		for range 2 {
			restarted.Replace([]fleetconfig.Endpoint{a, b})
			is.Equal(endpointCount(restarted), 1)
		}
		tracker.Replace([]fleetconfig.Endpoint{b})    // the entry has expired
		tracker.Replace([]fleetconfig.Endpoint{a, b}) // and is written again
		is.Equal(endpointCount(tracker), 2)
		restarted.Replace([]fleetconfig.Endpoint{{ID: "a", StartTime: 2}, b})
		is.Equal(endpointCount(restarted), 2) // another incarnation at the address
	})
}

// drilledStore is a store that is restored from older copies, and what the tracker that reads it must know.
type drilledStore struct {
	listed, copied map[string]int64
	// leftAt holds the incarnations that left, and expiresAt when the entries expire that only a copy has.
	leftAt    map[fleetconfig.Incarnation]time.Time
	expiresAt map[fleetconfig.Incarnation]time.Time
	born      int64
}

func (s *drilledStore) endpoints() (out []fleetconfig.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		out = append(out, fleetconfig.Endpoint{ID: id, StartTime: s.listed[id]})
	}
	return out
}

// Guards against departed incarnations that drills, compactions, restarts and reused addresses bring back in any order, and
// against endpoints in use that are forgotten.
func TestStateDeparturesOutliveDrills(t *testing.T) {
	const drainTime, expiryTime = 2 * time.Second, 3600 * time.Millisecond
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		s := &drilledStore{
			listed: make(map[string]int64), copied: make(map[string]int64),
			leftAt: make(map[fleetconfig.Incarnation]time.Time), expiresAt: make(map[fleetconfig.Incarnation]time.Time),
		}
		tracker := &fleettracker.Tracker{}
		tracker.Replace(nil)
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
			key := fleetconfig.Incarnation{ID: id, StartTime: s.listed[id]}
			_, hasLeft := s.leftAt[key]
			switch rapid.SampledFrom([]string{"join", "leave", "copy", "drill", "compact", "restart", "wait", "wait"}).Draw(rt, "action") {
			case "join":
				if key.StartTime != 0 && !hasLeft {
					continue
				}
				s.born++
				s.listed[id] = s.born
				tracker.Put(fleetconfig.Endpoint{ID: id, StartTime: s.born})
			case "leave":
				if key.StartTime != 0 && !hasLeft {
					s.leftAt[key] = time.Now()
					delete(s.listed, id)
					tracker.Remove(id)
				}
			case "copy":
				s.copied = maps.Clone(s.listed)
			case "drill":
				before := s.listed
				s.listed = maps.Clone(s.copied)
				tracker.RecordRestore()
				tracker.Replace(s.endpoints())
				for id, born := range s.listed {
					k := fleetconfig.Incarnation{ID: id, StartTime: born}
					if _, ok := s.leftAt[k]; ok {
						s.expiresAt[k] = time.Now().Add(expiryTime)
					}
				}
				for id, born := range before { // endpoints that serve write their entries again
					k := fleetconfig.Incarnation{ID: id, StartTime: born}
					if _, ok := s.leftAt[k]; !ok && s.listed[id] != born {
						s.listed[id] = born
						tracker.Put(fleetconfig.Endpoint{ID: id, StartTime: born})
					}
				}
			case "compact":
				tracker.Replace(s.endpoints())
			case "restart":
				time.Sleep(drainTime + time.Millisecond) // its peers know of all departures
				tracker.Endpoints()
				departures := tracker.Departures()
				tracker = &fleettracker.Tracker{}
				tracker.AddDepartures(departures)
				tracker.Replace(s.endpoints())
			case "wait":
				time.Sleep(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "milliseconds")) * time.Millisecond)
			}
			for k, at := range s.expiresAt {
				if time.Now().Before(at) {
					continue
				}
				delete(s.expiresAt, k)
				if s.listed[k.ID] == k.StartTime {
					delete(s.listed, k.ID)
					tracker.Remove(k.ID)
				}
			}
			used := make(map[fleetconfig.Incarnation]bool)
			for _, e := range tracker.Endpoints() {
				used[e.Incarnation()] = true
				if at, ok := s.leftAt[e.Incarnation()]; ok && time.Since(at) > drainTime {
					rt.Fatalf("%s of %d is used %s after it left", e.ID, e.StartTime, time.Since(at))
				}
			}
			for id, born := range s.listed {
				k := fleetconfig.Incarnation{ID: id, StartTime: born}
				if _, ok := s.leftAt[k]; !ok && !used[k] {
					rt.Fatalf("%s of %d is not used", id, born)
				}
			}
		}
	})
}
