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
	// healTime bounds the time until all hosts are ready once the faults have stopped.
	healTime = 10 * time.Minute
)

// TestStateBurst runs the cores of several hosts with faults drawn at random, against an oracle that knows the bytes.
func TestStateBurst(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		m := newMachine(rt)
		for i := range rapid.IntRange(1, 12).Draw(rt, "steps") {
			m.step(i)
			m.world.run(time.Duration(rapid.IntRange(1, 15).Draw(rt, "seconds"))*time.Second, never)
			m.check()
		}
		m.heal()
		m.check()
	})
}

func never() bool { return false }

type machine struct {
	rt    *rapid.T
	world *world
	set   int
	last  fetchplanner.Goal
	goals map[ident.Digest]fetchplanner.Goal
	cut   ident.Zone
}

func newMachine(rt *rapid.T) *machine {
	var places []place
	regions := rapid.IntRange(1, 3).Draw(rt, "regions")
	for i := range rapid.IntRange(1, 3).Draw(rt, "zones") {
		places = append(places, place{ident.Zone(fmt.Sprintf("z%d", i)), ident.Region(fmt.Sprintf("r%d", i%regions))})
	}
	s := shape{
		hosts: rapid.IntRange(2, 9).Draw(rt, "hosts"), places: places,
		store: 4 * stateChunkBytes, host: 2 * stateChunkBytes, region: stateChunkBytes,
	}
	fetchGoal := rapid.SampledFrom([]catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime}).Draw(rt, "bias")
	m := &machine{rt: rt, goals: make(map[ident.Digest]fetchplanner.Goal)}
	m.world = newWorld(s, fetchGoal, rapid.Uint64().Draw(rt, "seed"))
	m.world.limit = stateChunks * stateChunkBytes * 5 / 4
	m.world.other = []byte("content of another artifact")
	m.world.partial = time.Duration(rapid.IntRange(0, 4).Draw(rt, "partial")) * time.Second
	m.world.stale = rapid.Bool().Draw(rt, "stale")
	for _, h := range m.world.hosts {
		h.boot()
	}
	m.world.isCut = func(a, b place) bool { return a.zone != b.zone && (a.zone == m.cut || b.zone == m.cut) }
	m.publish()
	return m
}

func (m *machine) publish() {
	m.set++
	g := m.world.artifact(fmt.Sprint(m.set), stateChunks, stateChunkBytes, nil)
	if m.set > 1 {
		g = m.world.artifact(fmt.Sprint(m.set), stateChunks, stateChunkBytes, &m.last.Artifact)
	}
	m.last = g
	m.goals[g.Digest] = g
	m.world.publish(m.set, g)
}

func (m *machine) host() *host {
	return rapid.SampledFrom(m.world.hosts).Draw(m.rt, "host")
}

// step brings about one fault, or ends one.
func (m *machine) step(i int) {
	w := m.world
	switch rapid.SampledFrom([]string{"kill", "restart", "freeze", "thaw", "cut", "join", "corrupt", "faulty", "lose", "store", "publish"}).Draw(m.rt, fmt.Sprint("fault", i)) {
	case "kill":
		if h := m.host(); !h.dead {
			h.kill()
		}
	case "restart":
		m.restart(m.host())
	case "freeze":
		m.host().frozen = true
	case "thaw":
		m.host().frozen = false
	case "cut":
		m.cut = rapid.SampledFrom(w.places).Draw(m.rt, "zone").zone
	case "join":
		m.cut = ""
	case "corrupt":
		w.corrupt = rapid.Float64Range(0, 0.5).Draw(m.rt, "share")
	case "faulty":
		m.host().isFaulty = true
	case "lose":
		w.lost = rapid.Float64Range(0, 0.8).Draw(m.rt, "share")
	case "store":
		w.down = !w.down
	case "publish":
		m.publish()
	}
}

func (m *machine) restart(h *host) {
	h.boot()
	h.want(m.set, []fetchplanner.Goal{m.last})
}

// check holds what the hosts hold against the true bytes.
func (m *machine) check() {
	for _, h := range m.world.hosts {
		if size := h.cache.Size(); size > m.world.limit {
			m.rt.Fatalf("%s holds %d bytes, limit %d", h.Host, size, m.world.limit)
		}
		for _, g := range h.goal {
			m.checkGoal(h, g)
		}
	}
}

func (m *machine) checkGoal(h *host, g fetchplanner.Goal) {
	if _, ok := m.goals[g.Digest]; !ok {
		m.rt.Fatalf("%s works on manifest %.12s, which was never published", h.Host, g.Digest)
	}
	for i, c := range g.Artifact.Chunks {
		data, ok := h.cache.Chunk(c.Digest)
		if ok && !bytes.Equal(data, m.world.content[c.Digest]) {
			m.rt.Fatalf("%s holds wrong bytes for chunk %d", h.Host, i)
		}
		if !ok && h.isReady() {
			m.rt.Fatalf("%s reports the set complete without chunk %d", h.Host, i)
		}
	}
}

// heal ends all faults; then every host that is up must become ready.
func (m *machine) heal() {
	w := m.world
	w.down, w.corrupt, w.lost, m.cut = false, 0, 0, ""
	for _, h := range w.hosts {
		h.frozen, h.isFaulty = false, false
		if h.goal == nil && !h.dead {
			m.restart(h)
		}
	}
	if !w.run(healTime, func() bool { return w.isAllReady(m.set) }) {
		for _, h := range w.hosts {
			m.rt.Logf("%s dead %v set %d left %d", h.Host, h.dead, h.set, h.planner.Remaining())
		}
		m.rt.Fatalf("not all hosts are ready %s after the faults stopped", healTime)
	}
}
