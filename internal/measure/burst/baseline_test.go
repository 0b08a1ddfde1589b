package burst

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// maxRelayFetches is the number of chunks that a host of a baseline fetches concurrently.
const maxRelayFetches = 3

// relayBaseline is a baseline without a planner: each host fetches the chunks in order from a fixed parent, or from the
// store if parent returns a negative number.
type relayBaseline struct {
	sim        *simulation
	parent     func(i int) int
	received   [][]bool
	nextChunk  []int
	inFlight   []int
	chunksLeft int
	seconds    float64
}

func (r *relayBaseline) fetchNext(i int) {
	parent := r.parent(i)
	for r.inFlight[i] < maxRelayFetches && r.nextChunk[i] < chunkCount && (parent < 0 || r.received[parent][r.nextChunk[i]]) {
		r.send(parent, i, r.nextChunk[i])
		r.nextChunk[i]++
		r.inFlight[i]++
	}
}

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
		for k := range r.sim.hosts {
			if r.parent(k) == i {
				r.fetchNext(k)
			}
		}
	}
	t.start()
}

func runRelay(t *testing.T, s topology, parent func(i int) int) result {
	t.Helper()
	var out result
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s, "", seed)
		r := &relayBaseline{sim: sim, parent: parent, nextChunk: make([]int, s.hosts), inFlight: make([]int, s.hosts), chunksLeft: s.hosts * chunkCount}
		for range s.hosts {
			r.received = append(r.received, make([]bool, chunkCount))
		}
		for i := range s.hosts {
			r.fetchNext(i)
		}
		out.done = sim.run(1000*burstWindow, func() bool { return r.chunksLeft == 0 })
		out.seconds = time.Since(sim.startTime).Seconds()
		out.storeCopies = float64(sim.store.bytes) / setBytes
	})
	return out
}

// TestMeasureBurstBaselines measures the time and the copies read from the store for the designs that were ruled out.
func TestMeasureBurstBaselines(t *testing.T) {
	baselines := map[string]func(i int) int{
		"store": func(int) int { return -1 },
		"chain": func(i int) int { return i - 1 },
		"tree":  func(i int) int { return (i+1)/2 - 1 },
	}
	topologies := []measuredTopology{{"agency", agency(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"schools", schools(), 0}, measuredTopology{"flat-50", singleRegion(50), 0}, measuredTopology{"flat-200", singleRegion(200), 0})
	}
	for _, s := range topologies {
		for baseline, parent := range baselines {
			name := fmt.Sprintf("burst.%s.baseline.%s", s.name, baseline)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := runRelay(t, s.topology, parent)
				measure.Report(t, measure.Figure{Name: name + ".ratio", Value: r.seconds / s.topology.minSeconds(), Unit: "x"})
				measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies"})
			})
		}
	}
}
