package orders

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

// TestMeasureOrdersWave measures the least ready replicas and the time of a version change, with a floor of three
// quarters, undisturbed, with a view two seconds old, and with a twentieth of the hosts killed.
func TestMeasureOrdersWave(t *testing.T) {
	for _, n := range []int{16, 200} {
		for _, fault := range []string{"plain", "lag", "kill"} {
			t.Run(fmt.Sprintf("%d/%s", n, fault), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { measureWave(t, n, fault) })
			})
		}
	}
}

func measureWave(t *testing.T, n int, fault string) {
	minServing := n * 3 / 4
	f := newFleet(n, minServing)
	if fault == "lag" {
		f.lag = 2 * time.Second
	}
	kills := 0
	if fault == "kill" {
		kills = max(1, n/20)
	}
	rng := seeded(1)
	f.change()
	took, ok := f.wave(time.Hour, func() {
		if f.dead < kills && rng.IntN(8) == 0 {
			f.kill(f.replicas[rng.IntN(n)])
		}
	})
	if !ok {
		t.Fatal("the wave did not end")
	}
	name := fmt.Sprintf("burst.wave.%d.%s", n, fault)
	measure.Report(t, measure.Figure{
		Name: name + ".least", Value: float64(f.least), Unit: "replicas",
		Limit: measure.AtLeast, Bound: float64(minServing - f.dead),
	})
	measure.Report(t, measure.Figure{Name: name + ".time", Value: took.Seconds() / loadTime.Seconds(), Unit: "loads"})
}

// TestMeasureOrdersTallyCost measures the time that an entry host takes to count the replicas for one report.
func TestMeasureOrdersTallyCost(t *testing.T) {
	if !measure.Wanted() {
		t.Log("wall time is read by script/bench only")
		return
	}
	for _, n := range []int{200, 1200, 2400} {
		var open []rolloutlimiter.Replica
		for i := range n {
			open = append(open, rolloutlimiter.Replica{Host: ident.Host(fmt.Sprintf("host-%d", i)), ServedSet: oldSet, AssignedSet: newSet})
		}
		r := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				rolloutlimiter.CountReplicas("host-0", 1, open)
			}
		})
		measure.Report(t, measure.Figure{Name: fmt.Sprintf("burst.wave.%d.tally", n), Value: float64(r.NsPerOp()), Unit: "ns a report"})
	}
}

// TestMeasureOrdersWaveBytes measures what an answer to a report carries while a wave runs.
func TestMeasureOrdersWaveBytes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(200, 150)
		f.change()
		for range 4 {
			f.step()
		}
		counts := rolloutlimiter.CountReplicas("host-0", 1, f.view(time.Now()))
		for i := range counts {
			counts[i].Set = manifest.WeightSetOf(ident.Digest(counts[i].Set))
		}
		plain, err := json.Marshal(messages.ReportAck{Offset: 1e6})
		is.NoErr(err)
		full, err := json.Marshal(messages.ReportAck{Offset: 1e6, RolloutCounts: counts})
		is.NoErr(err)
		measure.Report(t, measure.Figure{Name: "burst.wave.200.bytes", Value: float64(len(full) - len(plain)), Unit: "B an answer"})
	})
}

// TestStateWave draws kills, pauses, lags of the view, slow loads and slow fetches, and checks that the floor is kept
// but for hosts that died or were paused, and that the wave ends.
func TestStateWave(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(rt, "hosts")
		minServing := rapid.IntRange(0, n-1).Draw(rt, "floor")
		f := newFleet(n, minServing)
		f.lag = time.Duration(rapid.IntRange(0, 8).Draw(rt, "lag")) * reportTime
		loads := rapid.SliceOfN(rapid.IntRange(1, 80), n, n).Draw(rt, "loads")
		f.load = func() time.Duration {
			d := loads[0]
			loads = append(loads[1:], d)
			return time.Duration(d) * reportTime
		}
		f.change()
		for _, r := range f.replicas {
			r.fetched = time.Now().Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "fetch")) * reportTime)
		}
		paused := make(map[*replica]bool)
		rt.Repeat(map[string]func(*rapid.T){
			"kill": func(rt *rapid.T) {
				if f.dead < n-1 {
					f.kill(f.replicas[rapid.IntRange(0, n-1).Draw(rt, "host")])
				}
			},
			"freeze": func(rt *rapid.T) {
				r := f.replicas[rapid.IntRange(0, n-1).Draw(rt, "host")]
				r.frozen = time.Now().Add(time.Duration(rapid.IntRange(1, 40).Draw(rt, "pause")) * reportTime)
				paused[r] = true
			},
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 20).Draw(rt, "steps") {
					f.step()
				}
			},
			"": func(rt *rapid.T) {
				if f.least < minServing-f.dead-len(paused) {
					rt.Fatalf("%d replicas served, the floor is %d, %d died, %d were paused", f.least, minServing, f.dead, len(paused))
				}
			},
		})
		if _, ok := f.wave(time.Hour, func() {}); !ok {
			rt.Fatalf("the wave did not end within an hour")
		}
		if f.least < minServing-f.dead-len(paused) {
			rt.Fatalf("%d replicas served, the floor is %d, %d died, %d were paused", f.least, minServing, f.dead, len(paused))
		}
	})
}
