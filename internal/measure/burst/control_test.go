package burst

import (
	"encoding/json"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

type waiter struct {
	from        *host
	id          int
	incarnation int64
	set         int
	artifacts   []ident.Digest
	since       chunkcache.Cursor
	after       time.Time
	until       time.Time
}

func (h *host) want(set int, goals []fetchplanner.Goal) {
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
		h.cache.PutArtifact(g.Digest, g.Artifact)
		digests = append(digests, g.Digest)
	}
	if err := h.cache.Pin(digests); err != nil {
		panic(err)
	}
	h.planner.SetPeers(h.list())
	h.planner.SetGoal(goals, func(d ident.Digest) bool {
		_, ok := h.cache.Chunk(d)
		return ok
	})
	if isFirst {
		h.beat(h.incarnation)
	}
}

func (h *host) beat(incarnation int64) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	if !h.frozen {
		if h.beats++; h.beats%4 == 0 {
			h.planner.SetPeers(h.list())
		}
		h.flush()
		h.decide()
	}
	h.w.after(tick, func() { h.beat(incarnation) })
}

// list is the lagging list of hosts. While the list is partial, a host sees itself and about half of the others.
func (h *host) list() []fetchplanner.Peer {
	var out []fetchplanner.Peer
	for i, q := range h.w.hosts {
		if q.dead && !h.w.stale && time.Since(q.died) > expiry+listLag {
			continue
		}
		if h != q && time.Since(h.w.began) < h.w.partial && (i+int(h.Host[len(h.Host)-1]))%2 == 0 {
			continue
		}
		out = append(out, q.Peer)
	}
	return out
}

// decide carries out what the planner orders.
func (h *host) decide() {
	if h.dead || h.frozen || h.goal == nil {
		return
	}
	for _, name := range h.planner.WatchedHosts() {
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

// ask follows another host's holdings, one question at a time.
func (h *host) ask(n *host) {
	if h.asked[n.Host] != 0 {
		return
	}
	h.question++
	id := h.question
	h.asked[n.Host] = id
	since, incarnation, set, artifacts := h.planner.Cursor(n.Host), h.incarnation, h.set, h.planner.Artifacts()
	h.w.after(3*heartbeat/2, func() { h.giveUp(n, id) })
	h.w.after(latency, func() {
		if !h.w.canReach(h, n) {
			return
		}
		if n.goal == nil {
			n.answer(waiter{from: h, id: id, incarnation: incarnation, set: set, since: since}, chunkcache.Delta{}, nil)
			return
		}
		n.planner.AddDiscoveredPeer(h.Peer)
		if h.w.counted {
			h.w.countBytes(messages.InventoryQuery{Epoch: since.Epoch, Position: since.Count, Host: h.Host})
		}
		wait := batch
		if h.Zone != n.Zone {
			wait = quick
		}
		now := time.Now()
		n.waiters = append(n.waiters, waiter{from: h, id: id, incarnation: incarnation, set: set, artifacts: artifacts, since: since, after: now.Add(wait), until: now.Add(heartbeat)})
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
func (h *host) flush() {
	if h.dead || h.frozen || h.goal == nil {
		return
	}
	var rest []waiter
	now := time.Now()
	for _, v := range h.waiters {
		if now.Before(v.after) {
			rest = append(rest, v)
			continue
		}
		d := h.cache.Delta(v.artifacts, v.since)
		if d.IsEmpty() && now.Before(v.until) {
			rest = append(rest, v)
			continue
		}
		h.answer(v, d, h.planner.ProgressAges(v.artifacts))
	}
	h.waiters = rest
}

func (h *host) answer(v waiter, d chunkcache.Delta, ages []int) {
	to, w := v.from, h.w
	if w.counted {
		w.countBytes(messages.InventoryResponse{Epoch: d.Next.Epoch, Position: d.Next.Count, Full: d.Full, AddedChunks: d.Added, ProgressAges: ages})
	}
	w.answers++
	w.after(latency, func() {
		if to.incarnation != v.incarnation || !w.canReach(to, h) || w.rng.Float64() < w.lost {
			return
		}
		if to.asked[h.Host] != v.id {
			return
		}
		to.asked[h.Host] = 0
		if to.set != v.set {
			return
		}
		to.planner.ApplyResponse(h.Host, v.since, d, ages)
		to.decide()
	})
}
