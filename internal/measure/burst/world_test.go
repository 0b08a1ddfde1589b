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
	latency   = time.Millisecond
	tick      = 250 * time.Millisecond
	batch     = time.Second
	quick     = 200 * time.Millisecond
	heartbeat = 2 * time.Second
	// maxRealBytes is the largest chunk whose content has the size that the manifest states.
	maxRealBytes = 1 << 10
	skew         = 500 * time.Millisecond
	listLag      = 2 * time.Second
	expiry       = 3 * time.Second
)

// place is a zone with its region.
type place struct {
	zone   ident.Zone
	region ident.Region
}

// shape describes the hosts and links of a run. Rates are in bytes a second.
type shape struct {
	hosts  int
	places []place
	store  float64
	host   float64
	region float64
}

// world is a set of hosts with the real decision core, rated links and one store.
type world struct {
	queue
	shape
	fetchGoal catalog.FetchGoal
	choice    fetchplanner.SelectionPolicy
	rng       *rand.Rand
	corrupt   float64
	counted   bool

	content map[ident.Digest][]byte
	hosts   []*host
	byName  map[ident.Host]*host
	store   *link
	down    bool
	regions map[[2]ident.Region]*link
	isCut   func(a, b place) bool
	// outside counts the bytes that the store gave, by chunk.
	outside map[ident.Digest]ident.Bytes
	// other is the content of a chunk of another artifact.
	other []byte
	// stale tells that the list of hosts goes on to name the dead ones.
	stale bool
	// lost is the share of deltas that do not arrive.
	lost float64
	// limit bounds the bytes that a host holds.
	limit   ident.Bytes
	control int
	busy    int
	answers int
	// partial is how long after its start a host sees but a part of the list of hosts.
	partial time.Duration
	began   time.Time
	first   *host
	onRead  func(h *host)
	ready   []time.Duration
}

type host struct {
	fetchplanner.Peer
	w           *world
	place       place
	planner     *fetchplanner.Planner
	cache       *chunkcache.Cache
	limiter     *uploadlimiter.Limiter
	up, down    *link
	dead        bool
	died        time.Time
	frozen      bool
	isStalled   bool
	isFaulty    bool
	incarnation int64
	goal        []fetchplanner.Goal
	set         int
	asked       map[ident.Host]int
	question    int
	waiters     []waiter
	running     map[int64]*transfer
	beats       int
}

func newWorld(s shape, fetchGoal catalog.FetchGoal, seed uint64) *world {
	w := &world{
		shape: s, fetchGoal: fetchGoal, rng: rand.New(rand.NewPCG(seed, 1)), content: make(map[ident.Digest][]byte),
		byName: make(map[ident.Host]*host), regions: make(map[[2]ident.Region]*link),
		outside: make(map[ident.Digest]ident.Bytes), isCut: func(place, place) bool { return false }, onRead: func(*host) {},
		began: time.Now(),
	}
	w.store = &link{queue: &w.queue, rate: s.store}
	for i := range s.hosts {
		w.add(i)
	}
	return w
}

func (w *world) add(i int) *host {
	at := w.places[i%len(w.places)]
	name := ident.Host(fmt.Sprintf("host-%04d", i))
	h := &host{
		Peer: fetchplanner.Peer{Host: name, Zone: at.zone, Region: at.region}, w: w, place: at,
		up: &link{queue: &w.queue, rate: w.host}, down: &link{queue: &w.queue, rate: w.host},
	}
	h.boot()
	w.hosts = append(w.hosts, h)
	w.byName[name] = h
	return h
}

// boot gives the host an empty memory, as after a restart.
func (h *host) boot() {
	h.incarnation++
	for _, t := range h.running {
		t.stopped = true
	}
	h.cache = &chunkcache.Cache{Epoch: h.incarnation << 32, Limit: h.w.limit}
	h.limiter = &uploadlimiter.Limiter{}
	h.planner = &fetchplanner.Planner{Self: h.Peer, HomeRegion: h.w.places[0].region, ExternalSources: 1, Bias: h.w.fetchGoal, Selection: h.w.choice}
	h.asked = make(map[ident.Host]int)
	h.running = make(map[int64]*transfer)
	h.waiters, h.goal, h.set = nil, nil, 0
	h.dead, h.frozen, h.isFaulty = false, false, false
}

// artifact makes a manifest of chunks of the nominal size. The content that the cores verify is a few bytes.
func (w *world) artifact(version string, chunks int, size ident.Bytes, shared *manifest.Artifact) fetchplanner.Goal {
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
			w.content[c.Digest] = data
		}
		a.Chunks = append(a.Chunks, c)
	}
	data, _ := a.Encode()
	return fetchplanner.Goal{Digest: manifest.DigestOf(data), Artifact: a}
}

// publish gives all hosts the goal, each a little later than the one before.
func (w *world) publish(set int, goals ...fetchplanner.Goal) {
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(skew))), func() { h.want(set, goals) })
	}
}

// isAllReady tells whether every host that is up and not frozen holds the set.
func (w *world) isAllReady(set int) bool {
	for _, h := range w.hosts {
		if !h.dead && !h.frozen && !h.isStalled && (h.set != set || !h.isReady()) {
			return false
		}
	}
	return true
}

func (h *host) isReady() bool {
	return h.goal != nil && h.planner.Remaining() == 0
}

func (w *world) canReach(a, b *host) bool {
	return !a.dead && !b.dead && !a.frozen && !b.frozen && !w.isCut(a.place, b.place)
}
