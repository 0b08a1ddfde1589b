package burst

import (
	"encoding/json"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// pendingQuery is a query for a host's inventory of chunks that has no response yet. The response is sent as soon as
// there are new chunks and notBefore has passed, and at deadline at the latest.
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

// setGoals replaces the goals and stops the transfers of the previous ones. Goals of an older weight set are
// ignored, and so are all goals while the host is crashed.
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

// tick runs the periodic work of one incarnation of the host and schedules the next tick. A frozen host does no work.
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

// peers returns the list of hosts that this host knows. A crashed host stays listed until its crash is detected and the
// list is updated. While the list is partial, it contains the host itself and about half of the others.
func (h *host) peers() []fetchplanner.Peer {
	var out []fetchplanner.Peer
	for i, other := range h.sim.hosts {
		if other.crashed && !h.sim.keepsCrashedInList && time.Since(other.crashedAt) > crashDetectionTime+listUpdateDelay {
			continue
		}
		if h != other && time.Since(h.sim.startTime) < h.sim.partialListTime && (i+int(h.Host[len(h.Host)-1]))%2 == 0 {
			continue
		}
		out = append(out, other.Peer)
	}
	return out
}

// runPlanner sends the queries that the planner requires, and starts and stops the fetches that it selects.
func (h *host) runPlanner() {
	if h.crashed || h.frozen || h.goals == nil {
		return
	}
	for _, name := range h.planner.WatchedHosts() {
		h.queryInventory(h.sim.hostsByName[name])
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

// queryInventory queries a peer for the chunks added to its inventory, unless a query to this peer is already in
// flight.
func (h *host) queryInventory(peer *host) {
	if h.queriesInFlight[peer.Host] != 0 {
		return
	}
	h.lastQueryID++
	id := h.lastQueryID
	h.queriesInFlight[peer.Host] = id
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
		if h.sim.countsControlBytes {
			h.sim.addControlBytes(messages.InventoryQuery{Epoch: cursor.Epoch, Position: cursor.Count, Host: h.Host})
		}
		batchDelay := sameZoneBatchDelay
		if h.Zone != peer.Zone {
			batchDelay = otherZoneBatchDelay
		}
		now := time.Now()
		peer.pendingQueries = append(peer.pendingQueries, pendingQuery{from: h, id: id, incarnation: incarnation, set: set, artifacts: artifacts, cursor: cursor, notBefore: now.Add(batchDelay), deadline: now.Add(heartbeatInterval)})
	})
}

// expireQuery allows a new query to the peer if the given one had no response.
func (h *host) expireQuery(peer *host, id int) {
	if h.queriesInFlight[peer.Host] == id {
		h.queriesInFlight[peer.Host] = 0
	}
}

// addControlBytes adds the size of a message with its JSON-RPC envelope, once for the sender and once for the receiver.
func (sim *simulation) addControlBytes(v any) {
	const envelopeBytes = 60
	data, _ := json.Marshal(v)
	sim.controlBytes += 2 * (len(data) + envelopeBytes)
}

// respondToPendingQueries responds to the pending queries for which there are new chunks or whose deadline has passed.
func (h *host) respondToPendingQueries() {
	if h.crashed || h.frozen || h.goals == nil {
		return
	}
	var rest []pendingQuery
	now := time.Now()
	for _, q := range h.pendingQueries {
		if now.Before(q.notBefore) {
			rest = append(rest, q)
			continue
		}
		d := h.cache.Delta(q.artifacts, q.cursor)
		if d.IsEmpty() && now.Before(q.deadline) {
			rest = append(rest, q)
			continue
		}
		h.sendDelta(q, d, h.planner.ProgressAges(q.artifacts))
	}
	h.pendingQueries = rest
}

// sendDelta sends the response to a query. It has no effect if the response is lost, if the query has expired, or if
// the sender of the query has restarted or has another weight set as its goal by then.
func (h *host) sendDelta(q pendingQuery, d chunkcache.Delta, ages []int) {
	to, sim := q.from, h.sim
	if sim.countsControlBytes {
		sim.addControlBytes(messages.InventoryResponse{Epoch: d.Next.Epoch, Position: d.Next.Count, Full: d.Full, AddedChunks: d.Added, ProgressAges: ages})
	}
	sim.deltasSent++
	sim.schedule(hostLatency, func() {
		if to.incarnation != q.incarnation || !sim.canReach(to, h) || sim.rng.Float64() < sim.lostShare {
			return
		}
		if to.queriesInFlight[h.Host] != q.id {
			return
		}
		to.queriesInFlight[h.Host] = 0
		if to.set != q.set {
			return
		}
		to.planner.ApplyResponse(h.Host, q.cursor, d, ages)
		to.runPlanner()
	})
}
