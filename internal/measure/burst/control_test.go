package burst

import (
	"encoding/json"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// pendingQuery is a query for holdings that waits for a response. The response is sent as soon as there are new
// holdings and notBefore has passed, and at deadline at the latest.
type pendingQuery struct {
	from        *host
	id          int
	incarnation int64
	set         int
	artifacts   []ident.Digest
	cursor      chunkcache.Cursor
	notBefore   time.Time
	deadline    time.Time
}

func (h *host) setGoals(set int, goals []fetchplanner.Goal) {
	if h.crashed || h.set > set {
		return
	}
	isFirst := h.goals == nil
	h.goals, h.set = goals, set
	for _, t := range h.transfers {
		t.stopped = true
	}
	h.transfers = make(map[int64]*transfer)
	var digests []ident.Digest
	for _, g := range goals {
		h.cache.PutArtifact(g.Digest, g.Artifact)
		digests = append(digests, g.Digest)
	}
	if err := h.cache.Pin(digests); err != nil {
		panic(err)
	}
	h.planner.SetPeers(h.peers())
	h.planner.SetGoal(goals, func(d ident.Digest) bool {
		_, ok := h.cache.Chunk(d)
		return ok
	})
	if isFirst {
		h.tick(h.incarnation)
	}
}

func (h *host) tick(incarnation int64) {
	if h.crashed || h.incarnation != incarnation {
		return
	}
	if !h.frozen {
		if h.ticks++; h.ticks%4 == 0 {
			h.planner.SetPeers(h.peers())
		}
		h.respondToPendingQueries()
		h.runPlanner()
	}
	h.sim.schedule(tickInterval, func() { h.tick(incarnation) })
}

// peers returns the list of hosts as this host knows it. Crashed hosts stay listed for a while. While the list is
// partial, it has the host itself and about half of the others.
func (h *host) peers() []fetchplanner.Peer {
	var out []fetchplanner.Peer
	for i, q := range h.sim.hosts {
		if q.crashed && !h.sim.keepsCrashedInList && time.Since(q.crashedAt) > crashDetectionTime+listLag {
			continue
		}
		if h != q && time.Since(h.sim.startTime) < h.sim.partialListTime && (i+int(h.Host[len(h.Host)-1]))%2 == 0 {
			continue
		}
		out = append(out, q.Peer)
	}
	return out
}

// runPlanner sends the queries and starts and stops the fetches that the planner requests.
func (h *host) runPlanner() {
	if h.crashed || h.frozen || h.goals == nil {
		return
	}
	for _, name := range h.planner.WatchedHosts() {
		h.queryHoldings(h.sim.hostsByName[name])
	}
	start, stop := h.planner.Next()
	for _, id := range stop {
		if t := h.transfers[id]; t != nil {
			t.stopped = true
			delete(h.transfers, id)
		}
	}
	for _, f := range start {
		h.fetch(f)
	}
}

// queryHoldings queries another host for changes of its holdings, with at most one query in flight.
func (h *host) queryHoldings(peer *host) {
	if h.openQueries[peer.Host] != 0 {
		return
	}
	h.lastQuery++
	id := h.lastQuery
	h.openQueries[peer.Host] = id
	cursor, incarnation, set, artifacts := h.planner.Cursor(peer.Host), h.incarnation, h.set, h.planner.Artifacts()
	h.sim.schedule(3*heartbeatInterval/2, func() { h.expireQuery(peer, id) })
	h.sim.schedule(hostLatency, func() {
		if !h.sim.canReach(h, peer) {
			return
		}
		if peer.goals == nil {
			peer.sendDelta(pendingQuery{from: h, id: id, incarnation: incarnation, set: set, cursor: cursor}, chunkcache.Delta{}, nil)
			return
		}
		peer.planner.AddDiscoveredPeer(h.Peer)
		if h.sim.countsBytes {
			h.sim.addControlBytes(messages.InventoryQuery{Epoch: cursor.Epoch, Position: cursor.Count, Host: h.Host})
		}
		wait := sameZoneBatchDelay
		if h.Zone != peer.Zone {
			wait = otherZoneBatchDelay
		}
		now := time.Now()
		peer.pendingQueries = append(peer.pendingQueries, pendingQuery{from: h, id: id, incarnation: incarnation, set: set, artifacts: artifacts, cursor: cursor, notBefore: now.Add(wait), deadline: now.Add(heartbeatInterval)})
	})
}

// expireQuery allows the next query to a host if this one had no response.
func (h *host) expireQuery(peer *host, id int) {
	if h.openQueries[peer.Host] == id {
		h.openQueries[peer.Host] = 0
	}
}

// addControlBytes counts a message with its JSON-RPC envelope, at the sender and at the receiver.
func (sim *simulation) addControlBytes(v any) {
	const envelope = 60
	data, _ := json.Marshal(v)
	sim.controlBytes += 2 * (len(data) + envelope)
}

// respondToPendingQueries responds to the pending queries for which there are new holdings, or whose deadline has
// passed.
func (h *host) respondToPendingQueries() {
	if h.crashed || h.frozen || h.goals == nil {
		return
	}
	var rest []pendingQuery
	now := time.Now()
	for _, v := range h.pendingQueries {
		if now.Before(v.notBefore) {
			rest = append(rest, v)
			continue
		}
		d := h.cache.Delta(v.artifacts, v.cursor)
		if d.IsEmpty() && now.Before(v.deadline) {
			rest = append(rest, v)
			continue
		}
		h.sendDelta(v, d, h.planner.ProgressAges(v.artifacts))
	}
	h.pendingQueries = rest
}

func (h *host) sendDelta(v pendingQuery, d chunkcache.Delta, ages []int) {
	to, sim := v.from, h.sim
	if sim.countsBytes {
		sim.addControlBytes(messages.InventoryResponse{Epoch: d.Next.Epoch, Position: d.Next.Count, Full: d.Full, AddedChunks: d.Added, ProgressAges: ages})
	}
	sim.deltasSent++
	sim.schedule(hostLatency, func() {
		if to.incarnation != v.incarnation || !sim.canReach(to, h) || sim.rng.Float64() < sim.lostShare {
			return
		}
		if to.openQueries[h.Host] != v.id {
			return
		}
		to.openQueries[h.Host] = 0
		if to.set != v.set {
			return
		}
		to.planner.ApplyResponse(h.Host, v.cursor, d, ages)
		to.runPlanner()
	})
}
