package fetchplanner

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// A host is banned for banDuration once it has sent at least banThreshold corrupt chunks, and more than one for every
	// maxStoredPerCorrupt chunks that were stored.
	banThreshold        = 3
	maxStoredPerCorrupt = 8
	banDuration         = time.Minute
	// maxRetryFactor is the maximum delay after repeated failures, in multiples of the first one.
	maxRetryFactor = 16
	// maxExternalRetryFactor is the same for external sources. They may be the only ones, and what they have back after an
	// outage is missing at all hosts.
	maxExternalRetryFactor = 4
	// discoveredPeerTTL is how long a peer that is not on the list of peers yet is kept after its last request.
	discoveredPeerTTL = 10 * time.Second
)

// health counts the outcomes of fetches from one source and holds the time of its next use.
type health struct {
	stored              int
	corrupt             int
	consecutiveFailures int
	retryAt             time.Time
}

func (h *health) isUsable(now time.Time) bool {
	return !now.Before(h.retryAt)
}

// recordOutcome counts the outcome of a fetch and delays or bans the source if the fetch failed.
func (h *health) recordOutcome(o Outcome, now time.Time, busyDelay, retryDelay time.Duration) {
	switch o {
	case Stored:
		h.stored++
		h.consecutiveFailures = 0
	case Corrupt:
		h.corrupt++
		h.retryAt = now.Add(retryDelay)
		if h.corrupt >= banThreshold && h.corrupt*maxStoredPerCorrupt > h.stored {
			h.retryAt = now.Add(banDuration)
		}
	case Busy:
		h.retryAt = now.Add(busyDelay)
	case Failed:
		h.retryAt = now.Add(min(retryDelay<<h.consecutiveFailures, maxRetryFactor*retryDelay))
		h.consecutiveFailures = min(h.consecutiveFailures+1, 5)
	}
}

// node is a watched peer: its inventory of chunks and its progress are queried regularly.
type node struct {
	Peer
	health
	inventory    *bitset.BitSet
	cursor       chunkcache.Cursor
	watchedSince time.Time
	lastResponse time.Time
	// stripeProgress holds the time of the node's last progress on each stripe.
	stripeProgress []time.Time
	// inFlight counts the fetches in flight from the node.
	inFlight int
}

// recordOutcome records the outcome of a fetch for its source.
func (p *Planner) recordOutcome(f *Fetch, o Outcome) {
	now := time.Now()
	if f.Source.Host == "" {
		if o == Corrupt {
			// An external source may be the only one, so it is never banned.
			o = Failed
		}
		h := &p.externalHealth[f.Source.ExternalIndex]
		h.recordOutcome(o, now, p.BusyDelay, p.RetryDelay)
		if latestRetry := now.Add(maxExternalRetryFactor * p.RetryDelay); h.retryAt.After(latestRetry) {
			h.retryAt = latestRetry
		}
		return
	}
	if n := p.nodes[f.Source.Host]; n != nil {
		n.recordOutcome(o, now, p.BusyDelay, p.RetryDelay)
	}
}

// SetPeers replaces the list of hosts that want the same weight set. The list may be out of date and may differ between
// hosts.
func (p *Planner) SetPeers(peers []Peer) {
	p.fillDefaults()
	now := time.Now()
	updated := make(map[ident.Host]Peer, len(peers))
	for _, q := range peers {
		updated[q.Host] = q
	}
	for h, m := range p.discovered {
		if now.Sub(m.seenAt) > discoveredPeerTTL {
			delete(p.discovered, h)
			continue
		}
		updated[h] = m.peer
	}
	updated[p.Self.Host] = p.Self
	changed := len(updated) != len(p.peers)
	for h, q := range updated {
		changed = changed || p.peers[h] != q
	}
	if !changed {
		return
	}
	p.peers = updated
	p.assignReaders()
}

// AddDiscoveredPeer records a host that requested this host's inventory of chunks. The host counts as a peer even if
// it is not on the list of peers yet.
func (p *Planner) AddDiscoveredPeer(q Peer) {
	p.fillDefaults()
	p.discovered[q.Host] = discoveredPeer{peer: q, seenAt: time.Now()}
	if _, ok := p.peers[q.Host]; ok || q.Host == p.Self.Host {
		return
	}
	p.peers[q.Host] = q
	p.assignReaders()
}

// WatchedHosts returns the hosts whose inventory of chunks the caller must query.
func (p *Planner) WatchedHosts() []ident.Host {
	out := make([]ident.Host, len(p.watched))
	for i, n := range p.watched {
		out[i] = n.Host
	}
	return out
}

// watch adds a host to the watched nodes and returns its node. It returns nil if the host is not a peer.
func (p *Planner) watch(h ident.Host) *node {
	if n, ok := p.nodes[h]; ok {
		return n
	}
	q, ok := p.peers[h]
	if !ok || h == p.Self.Host {
		return nil
	}
	n := &node{Peer: q, watchedSince: time.Now(), inventory: bitset.New(uint(len(p.chunks))), stripeProgress: make([]time.Time, len(p.stripes))}
	p.nodes[h] = n
	p.watched = append(p.watched, n)
	return n
}

// removeDepartedNodes removes the nodes whose hosts are no longer peers.
func (p *Planner) removeDepartedNodes() {
	kept := p.watched[:0]
	for _, n := range p.watched {
		if _, ok := p.peers[n.Host]; ok {
			kept = append(kept, n)
			continue
		}
		p.clearHeld(n)
		delete(p.nodes, n.Host)
	}
	p.watched = kept
}

// clearHeld removes all chunks from a node's inventory.
func (p *Planner) clearHeld(n *node) {
	counts := p.holderCounts(n)
	for i, ok := n.inventory.NextSet(0); ok; i, ok = n.inventory.NextSet(i + 1) {
		counts[i]--
	}
	n.inventory.ClearAll()
}

// Cursor returns the position in a host's sequence of arrivals from which to request its next delta.
func (p *Planner) Cursor(h ident.Host) chunkcache.Cursor {
	if n := p.nodes[h]; n != nil {
		return n.cursor
	}
	return chunkcache.Cursor{}
}

// ApplyResponse applies the response of a watched host to the request for its delta after the cursor since. If since is
// not the host's current cursor, the delta is ignored unless it is a full one, because chunks could be missing between
// the two. ages holds the milliseconds since the host's last progress on each stripe; a negative value means no
// progress.
func (p *Planner) ApplyResponse(h ident.Host, since chunkcache.Cursor, d chunkcache.Delta, ages []int) {
	n := p.nodes[h]
	if n == nil {
		return
	}
	now := time.Now()
	n.lastResponse = now
	if d.Full || since == n.cursor {
		p.applyDelta(n, d)
	}
	for k, age := range ages {
		if k < len(n.stripeProgress) && age >= 0 {
			n.stripeProgress[k] = now.Add(-time.Duration(age) * time.Millisecond)
		}
	}
}

// applyDelta updates a node's inventory and cursor.
func (p *Planner) applyDelta(n *node, d chunkcache.Delta) {
	if d.Full {
		p.clearHeld(n)
	}
	n.cursor = d.Next
	for k, list := range d.Added {
		for _, i := range list {
			p.addHeldChunk(n, k, i)
		}
	}
}

// addHeldChunk adds one chunk to a node's inventory. Indexes out of range come from a faulty sender and are ignored.
func (p *Planner) addHeldChunk(n *node, artifact, i int) {
	if artifact >= len(p.offsets) || i < 0 || p.offsets[artifact]+i >= p.artifactEnd(artifact) {
		return
	}
	index := uint(p.firstIndexes[p.offsets[artifact]+i])
	if n.inventory.Test(index) {
		return
	}
	n.inventory.Set(index)
	p.holderCounts(n)[index]++
}

// holderCounts returns the counts of holders to which the node contributes: those of this zone or of all others.
func (p *Planner) holderCounts(n *node) []int {
	if n.Zone == p.Self.Zone {
		return p.zoneHolders
	}
	return p.otherZoneHolders
}

// artifactEnd returns the index after the artifact's last chunk.
func (p *Planner) artifactEnd(artifact int) int {
	if artifact+1 < len(p.offsets) {
		return p.offsets[artifact+1]
	}
	return len(p.chunks)
}

// ProgressAges returns the milliseconds since this host's last progress on each stripe of the artifacts, for the
// response to a peer that watches this host. A complete stripe has the age 0; a stripe without progress, or of an
// artifact that is not part of the goal, has the age -1.
func (p *Planner) ProgressAges(artifacts []ident.Digest) []int {
	now := time.Now()
	out := make([]int, len(artifacts)*Stripes)
	for k, d := range artifacts {
		stripes := p.stripesOf(d)
		for j := range Stripes {
			out[k*Stripes+j] = -1
			if stripes == nil {
				continue
			}
			if s := stripes[j]; s.isComplete {
				out[k*Stripes+j] = 0
			} else if !s.lastProgress.IsZero() {
				out[k*Stripes+j] = int(now.Sub(s.lastProgress) / time.Millisecond)
			}
		}
	}
	return out
}

// stripesOf returns the stripes of an artifact; nil if it is not part of the goal.
func (p *Planner) stripesOf(d ident.Digest) []*stripe {
	for k, a := range p.artifacts {
		if a == d {
			return p.stripes[k*Stripes : (k+1)*Stripes]
		}
	}
	return nil
}
