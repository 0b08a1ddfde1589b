package rollout

import (
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/measure"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// TestMeasureOrdersWave measures the duration of a version change and the lowest number of serving replicas during it,
// with a floor of three quarters of the replicas. It runs without faults, with an entry host that knows the replicas as
// of two seconds ago, and with a twentieth of the hosts crashing.
func TestMeasureOrdersWave(t *testing.T) {
	for _, n := range []int{16, 200} {
		for _, fault := range []string{"plain", "lag", "kill"} {
			t.Run(fmt.Sprintf("%d/%s", n, fault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureRollout(t, n, fault) })
			})
		}
	}
}

func measureRollout(t *testing.T, n int, fault string) {
	floor := n * 3 / 4
	f := newFleet(n, floor)
	if fault == "lag" {
		f.viewLag = 2 * time.Second
	}
	maxCrashes := 0
	if fault == "kill" {
		maxCrashes = max(1, n/20)
	}
	rng := newRand(1)
	f.changeVersion()
	duration, ok := f.runRollout(time.Hour, func() {
		if f.crashes < maxCrashes && rng.IntN(8) == 0 {
			f.crash(f.replicas[rng.IntN(n)])
		}
	})
	if !ok {
		t.Fatal("the rollout did not end within an hour")
	}
	name := fmt.Sprintf("burst.wave.%d.%s", n, fault)
	measure.Report(t, measure.Figure{
		Name: name + ".least", Value: float64(f.lowestServing), Unit: "replicas",
		BoundKind: measure.AtLeast, Bound: float64(floor - f.crashes),
	})
	measure.Report(t, measure.Figure{Name: name + ".time", Value: duration.Seconds() / loadTime.Seconds(), Unit: "loads"})
}

// TestMeasureOrdersTallyCost measures how long an entry host takes to count the replicas for one report.
func TestMeasureOrdersTallyCost(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench measures wall time")
		return
	}
	for _, n := range []int{200, 1200, 2400} {
		var open []rolloutlimiter.Replica
		for i := range n {
			open = append(open, rolloutlimiter.Replica{Host: ident.Host(fmt.Sprintf("host-%d", i)), ServedSet: oldSet, AssignedSet: newSet})
		}
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				rolloutlimiter.CountReplicas("host-0", 1, open)
			}
		})
		measure.Report(t, measure.Figure{Name: fmt.Sprintf("burst.wave.%d.tally", n), Value: float64(result.NsPerOp()), Unit: "ns a report"})
	}
}

// TestMeasureOrdersWaveBytes measures how many bytes the replica counts add to the response to a report.
func TestMeasureOrdersWaveBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(200, 150)
		f.changeVersion()
		for range 4 {
			f.step()
		}
		counts := rolloutlimiter.CountReplicas("host-0", 1, f.view(time.Now()))
		// Replace the sets' names by identifiers of realistic length.
		for i := range counts {
			counts[i].Set = manifest.WeightSetOf(ident.Digest(counts[i].Set))
		}
		withoutCounts, err := json.Marshal(messages.ReportAck{Offset: 1e6})
		is.NoErr(err)
		withCounts, err := json.Marshal(messages.ReportAck{Offset: 1e6, RolloutCounts: counts})
		is.NoErr(err)
		measure.Report(t, measure.Figure{Name: "burst.wave.200.bytes", Value: float64(len(withCounts) - len(withoutCounts)), Unit: "B an answer"})
	})
}

// TestStateWave runs a rollout with random crashes, pauses, load times and fetch times, and with a random delay until
// the entry host knows the replicas' states. It checks that the number of serving replicas never falls below the floor
// minus the number of hosts that crashed or were paused, and that the rollout ends.
func TestStateWave(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(rt, "hosts")
		floor := rapid.IntRange(0, n-1).Draw(rt, "floor")
		f := newFleet(n, floor)
		f.viewLag = time.Duration(rapid.IntRange(0, 8).Draw(rt, "lag")) * reportInterval
		loads := rapid.SliceOfN(rapid.IntRange(1, 80), n, n).Draw(rt, "loads")
		f.nextLoadTime = func() time.Duration {
			steps := loads[0]
			loads = append(loads[1:], steps)
			return time.Duration(steps) * reportInterval
		}
		f.changeVersion()
		for _, r := range f.replicas {
			r.fetchedAt = time.Now().Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "fetch")) * reportInterval)
		}
		paused := make(map[*replica]bool)
		rt.Repeat(map[string]func(*rapid.T){
			"kill": func(rt *rapid.T) {
				if f.crashes < n-1 {
					f.crash(f.replicas[rapid.IntRange(0, n-1).Draw(rt, "host")])
				}
			},
			"freeze": func(rt *rapid.T) {
				r := f.replicas[rapid.IntRange(0, n-1).Draw(rt, "host")]
				r.pausedUntil = time.Now().Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "pause")) * reportInterval)
				paused[r] = true
			},
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "steps") {
					f.step()
				}
			},
			"": func(rt *rapid.T) {
				if f.lowestServing < floor-f.crashes-len(paused) {
					rt.Fatalf("%d replicas served, the floor is %d, %d crashed, %d were paused", f.lowestServing, floor, f.crashes, len(paused))
				}
			},
		})
		if _, ok := f.runRollout(time.Hour, func() {}); !ok {
			rt.Fatalf("the rollout did not end within an hour")
		}
		if f.lowestServing < floor-f.crashes-len(paused) {
			rt.Fatalf("%d replicas served, the floor is %d, %d crashed, %d were paused", f.lowestServing, floor, f.crashes, len(paused))
		}
	})
}
