package burst

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// targetZones is the number of availability zones at the target size.
const targetZones = 13

func newPeers(n int) []fetchplanner.Peer {
	out := make([]fetchplanner.Peer, n)
	for i := range out {
		z := i % targetZones
		out[i] = fetchplanner.Peer{
			Host: ident.Host(fmt.Sprintf("host-%04d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", z)), Region: ident.Region(fmt.Sprintf("r%d", z%4)),
		}
	}
	return out
}

func newPlanner(peers []fetchplanner.Peer, g fetchplanner.Goal) *fetchplanner.Planner {
	p := &fetchplanner.Planner{Self: peers[0], HomeRegion: "r0", ExternalSources: 2}
	p.SetPeers(peers)
	p.SetGoal([]fetchplanner.Goal{g}, func(ident.Digest) bool { return false })
	return p
}

// TestMeasureBurstCost measures, for increasing numbers of hosts, the time and allocations of a planner's decision, the
// time to replace its list of hosts, and its memory.
func TestMeasureBurstCost(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench measures wall time")
		return
	}
	sim := newSimulation(singleRegionTopology(1), "", seed)
	g := sim.newGoal("1", chunkCount, chunkBytes, nil)
	for _, n := range []int{50, 200, 1000, 2400} {
		peers := newPeers(n)
		name := fmt.Sprintf("burst.cost.%d.", n)
		b := testing.Benchmark(func(b *testing.B) { benchmarkDecisions(b, newPlanner(peers, g)) })
		measure.Report(t, measure.Figure{Name: name + "decision", Value: float64(b.NsPerOp()), Unit: "ns"})
		measure.Report(t, measure.Figure{Name: name + "allocations", Value: float64(b.AllocsPerOp()), Unit: "allocs"})
		b = testing.Benchmark(func(b *testing.B) {
			p := newPlanner(peers, g)
			for i := range b.N {
				p.SetPeers(peers[:n-1-i%2])
			}
		})
		measure.Report(t, measure.Figure{Name: name + "list", Value: float64(b.NsPerOp()), Unit: "ns"})
		measure.Report(t, measure.Figure{Name: name + "memory", Value: measureMemory(func() any { return newPlanner(peers, g) }) / 1000, Unit: "kB"})
	}
}

// benchmarkDecisions measures one iteration of a planner: it applies a delta, decides, and finishes the fetches that
// the decision starts.
func benchmarkDecisions(b *testing.B, p *fetchplanner.Planner) {
	b.Helper()
	b.ReportAllocs()
	watched := p.WatchedHosts()
	ages := make([]int, fetchplanner.Stripes)
	for i := range b.N {
		h := watched[i%len(watched)]
		p.ApplyResponse(h, p.Cursor(h), chunkcache.Delta{Added: [][]int{{i % chunkCount}}}, ages)
		start, _ := p.Next()
		for _, f := range start {
			p.Finish(f.ID, fetchplanner.Busy)
		}
	}
}

// measureMemory returns the mean heap size, in bytes, of the values that build returns.
func measureMemory(build func() any) float64 {
	const count = 8
	var before, after runtime.MemStats
	kept := make([]any, 0, count)
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range count {
		kept = append(kept, build())
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / count
}
