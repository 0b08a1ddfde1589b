package burst

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// maxRelayFetches is the number of chunks that a host fetches concurrently in a baseline.
const maxRelayFetches = 3

// relayBaseline is a baseline without a planner: each host fetches the chunks in order from a fixed parent. parent
// returns the index of a host's parent; a negative number means the store.
type relayBaseline struct {
	sim        *simulation
	parent     func(i int) int
	received   [][]bool
	nextChunk  []int
	inFlight   []int
	chunksLeft int
	seconds    float64
}

// fetchNext starts as many fetches of a host as the limit allows and the parent has chunks for.
func (r *relayBaseline) fetchNext(i int) {
	parent := r.parent(i)
	for r.inFlight[i] < maxRelayFetches && r.nextChunk[i] < chunkCount && (parent < 0 || r.received[parent][r.nextChunk[i]]) {
		r.send(parent, i, r.nextChunk[i])
		r.nextChunk[i]++
		r.inFlight[i]++
	}
}

// send sends a chunk from the parent to host i. When it has arrived, the host and the hosts that fetch from it continue
// with their next chunks.
func (r *relayBaseline) send(parent, i, chunk int) {
	to := r.sim.hosts[i]
	from, region := r.sim.store, r.sim.locations[0].region
	if parent >= 0 {
		from, region = r.sim.hosts[parent].up, r.sim.hosts[parent].Region
	}
	path := []*link{from}
	if l := r.sim.regionLink(region, to.Region); l != nil {
		path = append(path, l)
	}
	t := &transfer{
		path: append(path, to.down), size: chunkBytes, isOpen: func() bool { return true }, progress: func(ident.Bytes) {},
	}
	t.finish = func() {
		r.received[i][chunk] = true
		r.chunksLeft--
		r.inFlight[i]--
		r.fetchNext(i)
		for child := range r.sim.hosts {
			if r.parent(child) == i {
				r.fetchNext(child)
			}
		}
	}
	t.start()
}

func runRelayBaseline(t *testing.T, topo topology, parent func(i int) int) result {
	t.Helper()
	var out result
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(topo, "", seed)
		r := &relayBaseline{sim: sim, parent: parent, nextChunk: make([]int, topo.hosts), inFlight: make([]int, topo.hosts), chunksLeft: topo.hosts * chunkCount}
		for range topo.hosts {
			r.received = append(r.received, make([]bool, chunkCount))
		}
		for i := range topo.hosts {
			r.fetchNext(i)
		}
		out.done = sim.run(1000*burstWindow, func() bool { return r.chunksLeft == 0 })
		out.seconds = time.Since(sim.startTime).Seconds()
		out.storeCopies = float64(sim.store.bytes) / setBytes
	})
	return out
}

// TestMeasureBurstBaselines measures the time and the copies read from the store for the rejected designs: all hosts
// read from the store, or the hosts relay the chunks along a chain or down a binary tree.
func TestMeasureBurstBaselines(t *testing.T) {
	baselines := map[string]func(i int) int{
		"store": func(int) int { return -1 },
		"chain": func(i int) int { return i - 1 },
		"tree":  func(i int) int { return (i+1)/2 - 1 },
	}
	topologies := []measuredTopology{{"agency", agencyTopology(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"schools", schoolsTopology(), 0}, measuredTopology{"flat-50", singleRegionTopology(50), 0}, measuredTopology{"flat-200", singleRegionTopology(200), 0})
	}
	for _, measured := range topologies {
		for baseline, parent := range baselines {
			name := fmt.Sprintf("burst.%s.baseline.%s", measured.name, baseline)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := runRelayBaseline(t, measured.topology, parent)
				measure.Report(t, measure.Figure{Name: name + ".ratio", Value: r.seconds / measured.topology.minSeconds(), Unit: "x"})
				measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies"})
			})
		}
	}
}
