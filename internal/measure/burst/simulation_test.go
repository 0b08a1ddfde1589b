// Package burst simulates a burst, in which many hosts fetch a new weight set from each other and from the store at the
// same time. It measures the duration and the traffic in virtual time.
package burst

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/uploadlimiter"
)

const (
	hostLatency         = time.Millisecond
	tickInterval        = 250 * time.Millisecond
	sameZoneBatchDelay  = time.Second
	otherZoneBatchDelay = 200 * time.Millisecond
	heartbeatInterval   = 2 * time.Second
	// maxFullContentBytes is the largest size of a chunk whose content has the size that the manifest states. Larger
	// chunks have only a few bytes of content.
	maxFullContentBytes = 1 << 10
	publishSkew         = 500 * time.Millisecond
	listUpdateDelay     = 2 * time.Second
	crashDetectionTime  = 3 * time.Second
)

// location is an availability zone and its region.
type location struct {
	zone   ident.Zone
	region ident.Region
}

// topology describes the hosts and links of a run. The store is in the first location. Rates are in bytes per second; a
// regionRate of zero means that the links between regions have no limit.
type topology struct {
	hosts      int
	locations  []location
	storeRate  float64
	hostRate   float64
	regionRate float64
}

// simulation simulates a store, hosts and links with a rate limit. The hosts use the real fetch planner, chunk cache
// and upload limiter.
type simulation struct {
	eventQueue
	topology
	fetchGoal catalog.FetchGoal
	selection fetchplanner.SelectionPolicy
	rng       *rand.Rand
	// corruptShare is the share of chunks that arrive with wrong content.
	corruptShare float64
	// countsControlBytes makes the simulation count controlBytes.
	countsControlBytes bool

	chunkContent map[ident.Digest][]byte
	hosts        []*host
	hostsByName  map[ident.Host]*host
	store        *link
	storeDown    bool
	regionLinks  map[[2]ident.Region]*link
	// isCut reports whether the network between two locations is interrupted.
	isCut func(a, b location) bool
	// storeBytes counts the bytes read from the store, by chunk.
	storeBytes map[ident.Digest]ident.Bytes
	// otherContent replaces a chunk's content in one of the kinds of corruption.
	otherContent []byte
	// keepsCrashedInList makes crashed hosts stay in the list of hosts until the end.
	keepsCrashedInList bool
	// lostShare is the share of deltas that are lost.
	lostShare float64
	// maxHostBytes is the limit of a host's chunk cache.
	maxHostBytes  ident.Bytes
	controlBytes  int
	busyResponses int
	deltasSent    int
	// partialListTime is the time from the start of the simulation during which hosts know only some of the other hosts.
	partialListTime time.Duration
	startTime       time.Time
	firstReader     *host
	// onStoreRead is called before a host starts to read a chunk from the store.
	onStoreRead func(h *host)
	readyTimes  []time.Duration
}

// host is a simulated host. A frozen host does no periodic work and exchanges neither messages nor chunks, but keeps
// its state. A stalled host responds to queries, but transfers from and to it make no progress. A faulty host sends
// only corrupt chunks.
type host struct {
	fetchplanner.Peer
	sim         *simulation
	location    location
	planner     *fetchplanner.Planner
	cache       *chunkcache.Cache
	limiter     *uploadlimiter.Limiter
	up, down    *link
	crashed     bool
	crashedAt   time.Time
	frozen      bool
	isStalled   bool
	isFaulty    bool
	incarnation int64
	goals       []fetchplanner.Goal
	// set is the number of the weight set of the goals.
	set int
	// queriesInFlight holds the ID of the query in flight to each peer; zero if there is none.
	queriesInFlight map[ident.Host]int
	lastQueryID     int
	pendingQueries  []pendingQuery
	transfers       map[int64]*transfer
	ticks           int
}

func newSimulation(topo topology, fetchGoal catalog.FetchGoal, seed uint64) *simulation {
	sim := &simulation{
		topology: topo, fetchGoal: fetchGoal, rng: rand.New(rand.NewPCG(seed, 1)), chunkContent: make(map[ident.Digest][]byte),
		hostsByName: make(map[ident.Host]*host), regionLinks: make(map[[2]ident.Region]*link),
		storeBytes: make(map[ident.Digest]ident.Bytes), isCut: func(location, location) bool { return false }, onStoreRead: func(*host) {},
		startTime: time.Now(),
	}
	sim.store = &link{queue: &sim.eventQueue, rate: topo.storeRate}
	for i := range topo.hosts {
		sim.addHost(i)
	}
	return sim
}

func (sim *simulation) addHost(i int) *host {
	loc := sim.locations[i%len(sim.locations)]
	name := ident.Host(fmt.Sprintf("host-%04d", i))
	h := &host{
		Peer: fetchplanner.Peer{Host: name, Zone: loc.zone, Region: loc.region}, sim: sim, location: loc,
		up: &link{queue: &sim.eventQueue, rate: sim.hostRate}, down: &link{queue: &sim.eventQueue, rate: sim.hostRate},
	}
	h.reset()
	sim.hosts = append(sim.hosts, h)
	sim.hostsByName[name] = h
	return h
}

// reset starts a new incarnation of the host, without the state of the previous one.
func (h *host) reset() {
	h.incarnation++
	for _, t := range h.transfers {
		t.stopped = true
	}
	h.cache = &chunkcache.Cache{Epoch: h.incarnation << 32, Limit: h.sim.maxHostBytes}
	h.limiter = &uploadlimiter.Limiter{}
	h.planner = &fetchplanner.Planner{Self: h.Peer, HomeRegion: h.sim.locations[0].region, ExternalSources: 1, FetchGoal: h.sim.fetchGoal, Selection: h.sim.selection}
	h.queriesInFlight = make(map[ident.Host]int)
	h.transfers = make(map[int64]*transfer)
	h.pendingQueries, h.goals, h.set = nil, nil, 0
	h.crashed, h.frozen, h.isFaulty = false, false, false
}

// newGoal returns a goal with a new artifact of chunks of the given size. If shared is not nil, every other chunk is
// one of shared. If the size is above maxFullContentBytes, the content that the caches verify is only a few bytes.
func (sim *simulation) newGoal(version string, chunks int, size ident.Bytes, shared *manifest.Artifact) fetchplanner.Goal {
	a := manifest.Artifact{Name: "m", Version: version, Size: size * ident.Bytes(chunks)}
	for i := range chunks {
		data := fmt.Appendf(nil, "%s/%d", version, i)
		if size <= maxFullContentBytes {
			data = append(data, make([]byte, int(size)-len(data))...)
		}
		c := manifest.Chunk{Digest: manifest.DigestOf(data), Size: size}
		if shared != nil && i%2 == 0 {
			c = shared.Chunks[i]
		} else {
			sim.chunkContent[c.Digest] = data
		}
		a.Chunks = append(a.Chunks, c)
	}
	data, _ := a.Encode()
	return fetchplanner.Goal{Digest: manifest.DigestOf(data), Artifact: a}
}

// publish sets the goals of all hosts, each after a random delay of up to publishSkew.
func (sim *simulation) publish(set int, goals ...fetchplanner.Goal) {
	for _, h := range sim.hosts {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(publishSkew))), func() { h.setGoals(set, goals) })
	}
}

// areAllReady reports whether every host that is not crashed, frozen or stalled holds the weight set.
func (sim *simulation) areAllReady(set int) bool {
	for _, h := range sim.hosts {
		if !h.crashed && !h.frozen && !h.isStalled && (h.set != set || !h.isReady()) {
			return false
		}
	}
	return true
}

// isReady reports whether the host holds all chunks of its goals.
func (h *host) isReady() bool {
	return h.goals != nil && h.planner.Remaining() == 0
}

// canReach reports whether messages and chunks can pass between two hosts.
func (sim *simulation) canReach(a, b *host) bool {
	return !a.crashed && !b.crashed && !a.frozen && !b.frozen && !sim.isCut(a.location, b.location)
}
