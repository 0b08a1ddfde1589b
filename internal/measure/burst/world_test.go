package burst

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/holder"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/planner"
	"github.com/nutmegdock/nutmegdock/internal/core/uploader"
	"github.com/nutmegdock/nutmegdock/internal/messages"
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
	bias    catalog.Bias
	choice  planner.Choice
	rng     *rand.Rand
	corrupt float64
	counted bool

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
	planner.Peer
	w        *world
	place    place
	planner  *planner.Planner
	holder   *holder.Holder
	uploader *uploader.Uploader
	up, down *link
	dead     bool
	died     time.Time
	frozen   bool
	isFaulty bool
	birth    int64
	goal     []planner.Goal
	set      int
	cursors  map[ident.Host]holder.Cursor
	asked    map[ident.Host]int
	question int
	waiters  []waiter
	running  map[int64]*transfer
	beats    int
}

type waiter struct {
	from  *host
	id    int
	birth int64
	since holder.Cursor
	after time.Time
	until time.Time
}

func newWorld(s shape, bias catalog.Bias, seed uint64) *world {
	w := &world{
		shape: s, bias: bias, rng: rand.New(rand.NewPCG(seed, 1)), content: make(map[ident.Digest][]byte),
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
		Peer: planner.Peer{Host: name, Zone: at.zone, Region: at.region}, w: w, place: at,
		up: &link{queue: &w.queue, rate: w.host}, down: &link{queue: &w.queue, rate: w.host},
	}
	h.boot()
	w.hosts = append(w.hosts, h)
	w.byName[name] = h
	return h
}

// boot gives the host an empty memory, as after a restart.
func (h *host) boot() {
	h.birth++
	for _, t := range h.running {
		t.stopped = true
	}
	h.holder = &holder.Holder{Epoch: h.birth << 32, Limit: h.w.limit}
	h.uploader = &uploader.Uploader{}
	h.planner = &planner.Planner{Self: h.Peer, Home: h.w.places[0].region, Outside: 1, Bias: h.w.bias, Choice: h.w.choice}
	h.cursors = make(map[ident.Host]holder.Cursor)
	h.asked = make(map[ident.Host]int)
	h.running = make(map[int64]*transfer)
	h.waiters, h.goal, h.set = nil, nil, 0
	h.dead, h.frozen, h.isFaulty = false, false, false
}

// artifact makes a manifest of chunks of the nominal size. The content that the cores verify is a few bytes.
func (w *world) artifact(version string, chunks int, size ident.Bytes, shared *manifest.Artifact) planner.Goal {
	a := manifest.Artifact{Name: "m", Version: version, Size: size * ident.Bytes(chunks)}
	for i := range chunks {
		data := fmt.Appendf(nil, "%s/%d", version, i)
		if size <= maxRealBytes {
			data = append(data, make([]byte, int(size)-len(data))...)
		}
		c := manifest.Chunk{Digest: manifest.Sum(data), Size: size}
		if shared != nil && i%2 == 0 {
			c = shared.Chunks[i]
		} else {
			w.content[c.Digest] = data
		}
		a.Chunks = append(a.Chunks, c)
	}
	data, _ := a.Encode()
	return planner.Goal{Digest: manifest.Sum(data), Artifact: a}
}

// publish gives all hosts the goal, each a little later than the one before.
func (w *world) publish(set int, goals ...planner.Goal) {
	for _, h := range w.hosts {
		w.after(time.Duration(w.rng.Int64N(int64(skew))), func() { h.want(set, goals) })
	}
}

func (h *host) want(set int, goals []planner.Goal) {
	if h.dead || h.set > set {
		return
	}
	isFirst := h.goal == nil
	h.goal, h.set = goals, set
	for _, t := range h.running {
		t.stopped = true
	}
	h.running = make(map[int64]*transfer)
	var digests []ident.Digest
	for _, g := range goals {
		h.holder.PutArtifact(g.Digest, g.Artifact)
		digests = append(digests, g.Digest)
	}
	if err := h.holder.Want(digests); err != nil {
		panic(err)
	}
	h.planner.SetPeers(h.list())
	h.planner.SetGoal(goals, func(d ident.Digest) bool {
		_, ok := h.holder.Chunk(d)
		return ok
	})
	h.cursors = make(map[ident.Host]holder.Cursor)
	if isFirst {
		h.beat(h.birth)
	}
}

func (h *host) beat(birth int64) {
	if h.dead || h.birth != birth {
		return
	}
	if !h.frozen {
		if h.beats++; h.beats%4 == 0 {
			h.planner.SetPeers(h.list())
		}
		h.flush()
		h.decide()
	}
	h.w.after(tick, func() { h.beat(birth) })
}

// isAllReady tells whether every host that is up and not frozen holds the set.
func (w *world) isAllReady(set int) bool {
	for _, h := range w.hosts {
		if !h.dead && !h.frozen && (h.set != set || !h.isReady()) {
			return false
		}
	}
	return true
}

// list is the lagging list of hosts. While the list is partial, a host sees itself and about half of the others.
func (h *host) list() []planner.Peer {
	var out []planner.Peer
	for i, q := range h.w.hosts {
		if q.dead && time.Since(q.died) > expiry+listLag {
			continue
		}
		if h != q && time.Since(h.w.began) < h.w.partial && (i+int(h.Host[len(h.Host)-1]))%2 == 0 {
			continue
		}
		out = append(out, q.Peer)
	}
	return out
}

func (h *host) isReady() bool {
	return h.goal != nil && h.planner.Left() == 0
}

// decide carries out what the planner orders.
func (h *host) decide() {
	if h.dead || h.frozen || h.goal == nil {
		return
	}
	for _, name := range h.planner.Watch() {
		h.ask(h.w.byName[name])
	}
	start, stop := h.planner.Next()
	for _, id := range stop {
		if t := h.running[id]; t != nil {
			t.stopped = true
			delete(h.running, id)
		}
	}
	for _, f := range start {
		h.fetch(f)
	}
}

func (w *world) canReach(a, b *host) bool {
	return !a.dead && !b.dead && !a.frozen && !b.frozen && !w.isCut(a.place, b.place)
}

// ask follows another host's holdings, one question at a time.
func (h *host) ask(n *host) {
	if h.asked[n.Host] != 0 {
		return
	}
	h.question++
	id := h.question
	h.asked[n.Host] = id
	since, birth := h.cursors[n.Host], h.birth
	h.w.after(3*heartbeat/2, func() { h.giveUp(n, id) })
	h.w.after(latency, func() {
		if !h.w.canReach(h, n) {
			return
		}
		if n.goal == nil {
			n.answer(waiter{from: h, id: id, birth: birth, since: since}, holder.Delta{}, nil)
			return
		}
		n.planner.Meet(h.Peer)
		if h.w.counted {
			h.w.countBytes(messages.HaveQuery{Epoch: since.Epoch, Count: since.Count, Host: h.Host})
		}
		wait := batch
		if h.Zone != n.Zone {
			wait = quick
		}
		now := time.Now()
		n.waiters = append(n.waiters, waiter{from: h, id: id, birth: birth, since: since, after: now.Add(wait), until: now.Add(heartbeat)})
	})
}

// giveUp makes room for the next question, if this one has had no answer.
func (h *host) giveUp(n *host, id int) {
	if h.asked[n.Host] == id {
		h.asked[n.Host] = 0
	}
}

// countBytes adds a message with its JSON-RPC envelope, at both ends.
func (w *world) countBytes(v any) {
	const envelope = 60
	data, _ := json.Marshal(v)
	w.control += 2 * (len(data) + envelope)
}

// flush answers those who wait, if there is news for them or they have waited for a heartbeat.
func (n *host) flush() {
	if n.dead || n.frozen || n.goal == nil {
		return
	}
	var rest []waiter
	now := time.Now()
	for _, v := range n.waiters {
		if now.Before(v.after) {
			rest = append(rest, v)
			continue
		}
		artifacts := v.from.planner.Artifacts()
		d := n.holder.Delta(artifacts, v.since)
		if d.IsEmpty() && now.Before(v.until) {
			rest = append(rest, v)
			continue
		}
		n.answer(v, d, n.planner.Ages(artifacts))
	}
	n.waiters = rest
}

func (n *host) answer(v waiter, d holder.Delta, ages []int) {
	h, w := v.from, n.w
	if w.counted {
		w.countBytes(messages.HaveAnswer{Epoch: d.Next.Epoch, Count: d.Next.Count, Full: d.Full, Added: d.Added, Ages: ages})
	}
	goal := h.set
	w.answers++
	w.after(latency, func() {
		if h.birth != v.birth || !w.canReach(h, n) || w.rng.Float64() < w.lost {
			return
		}
		if h.asked[n.Host] != v.id {
			return
		}
		h.asked[n.Host] = 0
		if h.set != goal {
			return
		}
		if d.Next.Epoch != 0 {
			h.cursors[n.Host] = d.Next
		}
		h.planner.Heard(n.Host, d.Full, d.Added, ages)
		h.decide()
	})
}

func (h *host) fetch(f planner.Fetch) {
	if f.Source.Host == "" {
		h.fetchOutside(f)
		return
	}
	n, birth := h.w.byName[f.Source.Host], h.birth
	h.w.after(latency, func() {
		if !h.w.canReach(h, n) || h.birth != birth {
			return
		}
		if _, ok := n.holder.Chunk(f.Chunk.Digest); !ok {
			h.finish(f, birth, planner.Failed)
			return
		}
		release, err := n.uploader.Start(h.Zone == n.Zone)
		if err != nil {
			h.w.busy++
			h.w.after(latency, func() { h.finish(f, birth, planner.Busy) })
			return
		}
		h.transfer(f, n, release)
	})
}

func (h *host) transfer(f planner.Fetch, n *host, release func()) {
	birth, from := h.birth, n.birth
	path := []*link{n.up}
	if l := h.w.between(n.Region, h.Region); l != nil {
		path = append(path, l)
	}
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen:   func() bool { return h.w.canReach(h, n) && h.birth == birth && n.birth == from },
		progress: func(done ident.Bytes) { h.planner.Progress(f.ID, done) },
	}
	t.finish = func() { h.receive(f, birth) }
	h.running[f.ID] = t
	h.w.release(t, n, release)
	t.start()
}

// release gives the upload slot back once the transfer has ended, or has stalled for long.
func (w *world) release(t *transfer, n *host, release func()) {
	done := -1
	var check func()
	check = func() {
		if t.stopped || t.done == pieces || t.done == done {
			release()
			return
		}
		if time.Since(n.w.began)%time.Second < tick {
			done = t.done
		}
		w.after(tick, check)
	}
	finish := t.finish
	t.finish = func() {
		release()
		finish()
	}
	w.after(4*tick, check)
}

func (w *world) between(a, b ident.Region) *link {
	if w.region == 0 || a == b {
		return nil
	}
	key := [2]ident.Region{a, b}
	if w.regions[key] == nil {
		w.regions[key] = &link{queue: &w.queue, rate: w.region}
	}
	return w.regions[key]
}

func (h *host) fetchOutside(f planner.Fetch) {
	w, birth := h.w, h.birth
	if w.first == nil {
		w.first = h
	}
	w.onRead(h)
	home := w.places[0]
	path := []*link{w.store}
	if l := w.between(home.region, h.Region); l != nil {
		path = append(path, l)
	}
	sent := ident.Bytes(0)
	t := &transfer{
		path: append(path, h.down), size: f.Chunk.Size,
		isOpen: func() bool {
			return !h.dead && !h.frozen && h.birth == birth && !w.down && !w.isCut(home, h.place)
		},
		progress: func(done ident.Bytes) {
			w.outside[f.Chunk.Digest] += done - sent
			sent = done
			h.planner.Progress(f.ID, done)
		},
	}
	t.finish = func() {
		w.outside[f.Chunk.Digest] += f.Chunk.Size - sent
		h.receive(f, birth)
	}
	h.running[f.ID] = t
	t.start()
}

func (h *host) receive(f planner.Fetch, birth int64) {
	data := h.w.content[f.Chunk.Digest]
	from := h.w.byName[f.Source.Host]
	if h.w.rng.Float64() < h.w.corrupt || (from != nil && from.isFaulty) {
		data = h.w.spoil(data)
	}
	err := h.holder.PutChunk(f.Chunk.Digest, data)
	var bad *holder.CorruptError
	switch {
	case err == nil:
		h.finish(f, birth, planner.Stored)
	case errors.As(err, &bad):
		h.finish(f, birth, planner.Corrupt)
	default:
		h.finish(f, birth, planner.Failed)
	}
}

// spoil returns content with a wrong byte, cut short, or of another chunk.
func (w *world) spoil(data []byte) []byte {
	switch w.rng.IntN(3) {
	case 0:
		return append(slices.Clone(data), 'x')
	case 1:
		return data[:len(data)-1]
	}
	return w.other
}

func (h *host) finish(f planner.Fetch, birth int64, o planner.Outcome) {
	if h.birth != birth {
		return
	}
	delete(h.running, f.ID)
	wasReady := h.isReady()
	h.planner.Finish(f.ID, o)
	if !wasReady && h.isReady() {
		h.w.ready = append(h.w.ready, time.Since(h.w.began))
	}
	h.decide()
}
