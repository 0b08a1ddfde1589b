package burst

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	stateChunks     = 24
	stateChunkBytes = 64
	// recoveryTimeout bounds the time until all hosts are ready after the faults have ended.
	recoveryTimeout = 10 * time.Minute
)

// TestStateBurst runs several hosts with random faults. It checks that they hold only published content, and that they
// become ready after the faults have ended.
func TestStateBurst(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m := newStateTest(rt)
		for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			m.step(i)
			m.sim.run(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds"))*time.Second, neverDone)
			m.check()
		}
		m.endFaults()
		m.check()
	})
}

func neverDone() bool { return false }

type stateTest struct {
	rt        *rapid.T
	sim       *simulation
	set       int
	lastGoal  fetchplanner.Goal
	published map[ident.Digest]fetchplanner.Goal
	cutZone   ident.Zone
}

func newStateTest(rt *rapid.T) *stateTest {
	var locations []location
	regions := rapid.IntRange(1, 3).Draw(rt, "regions")
	for i := range rapid.IntRange(1, 3).Draw(rt, "zones") {
		locations = append(locations, location{ident.Zone(fmt.Sprintf("z%d", i)), ident.Region(fmt.Sprintf("r%d", i%regions))})
	}
	topo := topology{
		hosts: rapid.IntRange(2, 9).Draw(rt, "hosts"), locations: locations,
		storeRate: 4 * stateChunkBytes, hostRate: 2 * stateChunkBytes, regionRate: stateChunkBytes,
	}
	fetchGoal := rapid.SampledFrom([]catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime}).Draw(rt, "bias")
	m := &stateTest{rt: rt, published: make(map[ident.Digest]fetchplanner.Goal)}
	m.sim = newSimulation(topo, fetchGoal, rapid.Uint64().Draw(rt, "seed"))
	m.sim.maxHostBytes = stateChunks * stateChunkBytes * 5 / 4
	m.sim.otherContent = []byte("content of another artifact")
	m.sim.partialListTime = time.Duration(rapid.IntRange(0, 4).Draw(rt, "partial")) * time.Second
	m.sim.keepsCrashedInList = rapid.Bool().Draw(rt, "stale")
	for _, h := range m.sim.hosts {
		h.reset()
	}
	m.sim.isCut = func(a, b location) bool { return a.zone != b.zone && (a.zone == m.cutZone || b.zone == m.cutZone) }
	m.publish()
	return m
}

// publish publishes a new weight set that shares every other chunk with the previous one.
func (m *stateTest) publish() {
	m.set++
	g := m.sim.newGoal(fmt.Sprint(m.set), stateChunks, stateChunkBytes, nil)
	if m.set > 1 {
		g = m.sim.newGoal(fmt.Sprint(m.set), stateChunks, stateChunkBytes, &m.lastGoal.Artifact)
	}
	m.lastGoal = g
	m.published[g.Digest] = g
	m.sim.publish(m.set, g)
}

func (m *stateTest) drawHost() *host {
	return rapid.SampledFrom(m.sim.hosts).Draw(m.rt, "host")
}

// step starts or ends a random fault, or publishes a new weight set.
func (m *stateTest) step(i int) {
	sim := m.sim
	switch rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "cut", "join", "corrupt", "faulty", "lose", "store", "publish"}).Draw(m.rt, fmt.Sprint("fault", i)) {
	case "kill":
		if h := m.drawHost(); !h.crashed {
			h.crash()
		}
	case "restart":
		m.restart(m.drawHost())
	case "freeze":
		m.drawHost().frozen = true
	case "thaw":
		m.drawHost().frozen = false
	case "cut":
		m.cutZone = rapid.SampledFrom(sim.locations).Draw(m.rt, "zone").zone
	case "join":
		m.cutZone = ""
	case "corrupt":
		sim.corruptShare = rapid.Float64Range(0, 0.5).Draw(m.rt, "share")
	case "faulty":
		m.drawHost().isFaulty = true
	case "lose":
		sim.lostShare = rapid.Float64Range(0, 0.8).Draw(m.rt, "share")
	case "store":
		sim.storeDown = !sim.storeDown
	case "publish":
		m.publish()
	}
}

// restart restarts the host with the weight set that was published last.
func (m *stateTest) restart(h *host) {
	h.reset()
	h.setGoals(m.set, []fetchplanner.Goal{m.lastGoal})
}

// check checks that each host's goals were published, that its chunks have the published content and do not exceed the
// cache limit, and that no chunk is missing if the host is ready.
func (m *stateTest) check() {
	for _, h := range m.sim.hosts {
		if size := h.cache.Size(); size > m.sim.maxHostBytes {
			m.rt.Fatalf("%s holds %d bytes, limit %d", h.Host, size, m.sim.maxHostBytes)
		}
		for _, g := range h.goals {
			m.checkGoal(h, g)
		}
	}
}

func (m *stateTest) checkGoal(h *host, g fetchplanner.Goal) {
	if _, ok := m.published[g.Digest]; !ok {
		m.rt.Fatalf("%s has a goal with manifest %.12s, which was never published", h.Host, g.Digest)
	}
	for i, c := range g.Artifact.Chunks {
		data, ok := h.cache.Chunk(c.Digest)
		if ok && !bytes.Equal(data, m.sim.chunkContent[c.Digest]) {
			m.rt.Fatalf("%s holds wrong bytes for chunk %d", h.Host, i)
		}
		if !ok && h.isReady() {
			m.rt.Fatalf("%s reports the set complete without chunk %d", h.Host, i)
		}
	}
}

// endFaults ends all faults and checks that every host that has not crashed becomes ready.
func (m *stateTest) endFaults() {
	sim := m.sim
	sim.storeDown, sim.corruptShare, sim.lostShare, m.cutZone = false, 0, 0, ""
	for _, h := range sim.hosts {
		h.frozen, h.isFaulty = false, false
		if h.goals == nil && !h.crashed {
			m.restart(h)
		}
	}
	if !sim.run(recoveryTimeout, func() bool { return sim.areAllReady(m.set) }) {
		for _, h := range sim.hosts {
			m.rt.Logf("%s: crashed %v, set %d, %d chunks left", h.Host, h.crashed, h.set, h.planner.Remaining())
		}
		m.rt.Fatalf("not all hosts are ready %s after the faults ended", recoveryTimeout)
	}
}
