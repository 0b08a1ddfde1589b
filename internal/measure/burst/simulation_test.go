// Package burst measures, in virtual time, how many hosts fetch a new weight set from each other and from the store.
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
	// maxRealBytes is the largest chunk whose content has the size that the manifest states.
	maxRealBytes       = 1 << 10
	publishSkew        = 500 * time.Millisecond
	listLag            = 2 * time.Second
	crashDetectionTime = 3 * time.Second
)

// location is an availability zone with its region.
type location struct {
	zone   ident.Zone
	region ident.Region
}

// topology describes the hosts and links of a run. Rates are in bytes per second.
type topology struct {
	hosts      int
	locations  []location
	storeRate  float64
	hostRate   float64
	regionRate float64
}

// simulation runs hosts with the real fetch planner, links with a rate limit, and one store.
type simulation struct {
	eventQueue
	topology
	fetchGoal    catalog.FetchGoal
	selection    fetchplanner.SelectionPolicy
	rng          *rand.Rand
	corruptShare float64
	countsBytes  bool

	chunkContent map[ident.Digest][]byte
	hosts        []*host
	hostsByName  map[ident.Host]*host
	store        *link
	storeDown    bool
	regionLinks  map[[2]ident.Region]*link
	isCut        func(a, b location) bool
	// storeBytes counts the bytes read from the store, by chunk.
	storeBytes map[ident.Digest]ident.Bytes
	// otherContent is sent in place of a chunk's content by one kind of corruption.
	otherContent []byte
	// keepsCrashedInList makes crashed hosts stay in the list of hosts.
	keepsCrashedInList bool
	// lostShare is the share of deltas that are lost.
	lostShare float64
	// maxHostBytes bounds the bytes of chunks that a host holds.
	maxHostBytes  ident.Bytes
	controlBytes  int
	busyResponses int
	deltasSent    int
	// partialListTime is how long after the start of the simulation hosts know only a part of the other hosts.
	partialListTime time.Duration
	startTime       time.Time
	firstReader     *host
	onStoreRead     func(h *host)
	readyTimes      []time.Duration
}

type host struct {
	fetchplanner.Peer
	sim            *simulation
	location       location
	planner        *fetchplanner.Planner
	cache          *chunkcache.Cache
	limiter        *uploadlimiter.Limiter
	up, down       *link
	crashed        bool
	crashedAt      time.Time
	frozen         bool
	isStalled      bool
	isFaulty       bool
	incarnation    int64
	goals          []fetchplanner.Goal
	set            int
	openQueries    map[ident.Host]int
	lastQuery      int
	pendingQueries []pendingQuery
	transfers      map[int64]*transfer
	ticks          int
}

func newSimulation(s topology, fetchGoal catalog.FetchGoal, seed uint64) *simulation {
	sim := &simulation{
		topology: s, fetchGoal: fetchGoal, rng: rand.New(rand.NewPCG(seed, 1)), chunkContent: make(map[ident.Digest][]byte),
		hostsByName: make(map[ident.Host]*host), regionLinks: make(map[[2]ident.Region]*link),
		storeBytes: make(map[ident.Digest]ident.Bytes), isCut: func(location, location) bool { return false }, onStoreRead: func(*host) {},
		startTime: time.Now(),
	}
	sim.store = &link{queue: &sim.eventQueue, rate: s.storeRate}
	for i := range s.hosts {
		sim.addHost(i)
	}
	return sim
}

func (sim *simulation) addHost(i int) *host {
	place := sim.locations[i%len(sim.locations)]
	name := ident.Host(fmt.Sprintf("host-%04d", i))
	h := &host{
		Peer: fetchplanner.Peer{Host: name, Zone: place.zone, Region: place.region}, sim: sim, location: place,
		up: &link{queue: &sim.eventQueue, rate: sim.hostRate}, down: &link{queue: &sim.eventQueue, rate: sim.hostRate},
	}
	h.boot()
	sim.hosts = append(sim.hosts, h)
	sim.hostsByName[name] = h
	return h
}

// boot discards the host's state, as a restart does.
func (h *host) boot() {
	h.incarnation++
	for _, t := range h.transfers {
		t.stopped = true
	}
	h.cache = &chunkcache.Cache{Epoch: h.incarnation << 32, Limit: h.sim.maxHostBytes}
	h.limiter = &uploadlimiter.Limiter{}
	h.planner = &fetchplanner.Planner{Self: h.Peer, HomeRegion: h.sim.locations[0].region, ExternalSources: 1, FetchGoal: h.sim.fetchGoal, Selection: h.sim.selection}
	h.openQueries = make(map[ident.Host]int)
	h.transfers = make(map[int64]*transfer)
	h.pendingQueries, h.goals, h.set = nil, nil, 0
	h.crashed, h.frozen, h.isFaulty = false, false, false
}

// artifact creates a manifest of chunks of the given size. If the size is above maxRealBytes, the content that
// the caches verify is only a few bytes.
func (sim *simulation) artifact(version string, chunks int, size ident.Bytes, shared *manifest.Artifact) fetchplanner.Goal {
	a := manifest.Artifact{Name: "m", Version: version, Size: size * ident.Bytes(chunks)}
	for i := range chunks {
		data := fmt.Appendf(nil, "%s/%d", version, i)
		if size <= maxRealBytes {
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

// isAllReady reports whether every host that is not crashed, frozen or stalled holds the set.
func (sim *simulation) isAllReady(set int) bool {
	for _, h := range sim.hosts {
		if !h.crashed && !h.frozen && !h.isStalled && (h.set != set || !h.isReady()) {
			return false
		}
	}
	return true
}

func (h *host) isReady() bool {
	return h.goals != nil && h.planner.Remaining() == 0
}

func (sim *simulation) canReach(a, b *host) bool {
	return !a.crashed && !b.crashed && !a.frozen && !b.frozen && !sim.isCut(a.location, b.location)
}
