package fetchplanner

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// maxFetchesPerNeighbor is the number of chunks to read from one neighbour at a time.
	maxFetchesPerNeighbor = 2
	// seedTimeoutFactor is the time, in multiples of the stall timeout, after which the host stops waiting for a seed that
	// makes no progress and holds no chunk that the host needs.
	seedTimeoutFactor = 2
	// endgameDelay is the age of a fetch after which the same chunk is requested from a second holder.
	endgameDelay = 2 * time.Second
)

// nextExchangeFetch starts the next fetch from a neighbour in the zone. It returns nil if no fetch is possible.
func (p *Planner) nextExchangeFetch() *Fetch {
	now := time.Now()
	var usable []*node
	hasSeed := p.hasUsefulSeed(now)
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone && n.inFlight < maxFetchesPerNeighbor && n.isUsable(now) && p.isAvailable(n, now) && (n.Seed || !hasSeed) {
			usable = append(usable, n)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	if i, n := p.pickChunk(usable); n != nil {
		return p.startFetch(i, Source{Host: n.Host}, nil)
	}
	if i, n := p.pickDuplicate(usable, now); n != nil {
		return p.startFetch(i, Source{Host: n.Host}, nil)
	}
	return nil
}

// hasUsefulSeed reports whether this host is not a seed and a seed of its zone can serve it.
func (p *Planner) hasUsefulSeed(now time.Time) bool {
	if p.Self.Seed {
		return false
	}
	for _, n := range p.watched {
		if n.Seed && n.Zone == p.Self.Zone && !n.lastResponse.IsZero() && p.isAvailable(n, now) && p.isSeedUseful(n, now) {
			return true
		}
	}
	return false
}

// isSeedUseful reports whether a seed holds a chunk that this host is missing, or is still making progress itself.
func (p *Planner) isSeedUseful(n *node, now time.Time) bool {
	lastProgress := n.watchedSince
	for _, progress := range n.stripeProgress {
		lastProgress = latest(lastProgress, progress)
	}
	if now.Sub(lastProgress) < seedTimeoutFactor*p.StallTimeout {
		return true
	}
	return slices.ContainsFunc(p.fetchOrder, func(i int) bool { return !p.held.Test(uint(i)) && n.inventory.Test(uint(i)) })
}

// pickChunk returns the index of the next chunk to fetch and a usable holder of it. The holder is nil if there is no
// such chunk. It also removes the chunks that are held by now from the fetch order.
func (p *Planner) pickChunk(usable []*node) (int, *node) {
	best, holder := -1, (*node)(nil)
	missing := p.fetchOrder[:0]
	for _, i := range p.fetchOrder {
		if p.held.Test(uint(i)) {
			continue
		}
		missing = append(missing, i)
		if p.chunkFetches[i] > 0 || p.zoneHolders[i] == 0 || best >= 0 && !p.hasPriority(i, best) {
			continue
		}
		if n := p.pickHolder(usable, i); n != nil {
			best, holder = i, n
		}
	}
	p.fetchOrder = missing
	return best, holder
}

// hasPriority reports whether chunk i must be fetched before chunk k, which precedes it in the fetch order.
func (p *Planner) hasPriority(i, k int) bool {
	if p.PriorityClass != nil && p.PriorityClass(i) != p.PriorityClass(k) {
		return p.PriorityClass(i) < p.PriorityClass(k)
	}
	return p.Selection != RoundRobin && p.zoneHolders[i] < p.zoneHolders[k]
}

// pickHolder returns the usable node from which to fetch chunk i, or nil if no usable node holds it.
func (p *Planner) pickHolder(usable []*node, i int) *node {
	if p.Selection != RarestFirst {
		return p.nextHolderInTurn(usable, i)
	}
	var best *node
	var score uint64
	for _, n := range usable {
		if !n.inventory.Test(uint(i)) || (best != nil && n.inFlight > best.inFlight) {
			continue
		}
		s := ranker.Score(string(p.Self.Host)+string(p.chunks[i].Digest[:8]), string(n.Host))
		if best == nil || n.inFlight < best.inFlight || s > score {
			best, score = n, s
		}
	}
	return best
}

func (p *Planner) nextHolderInTurn(usable []*node, i int) *node {
	for k := range usable {
		n := usable[(p.holderOffset+k)%len(usable)]
		if n.inventory.Test(uint(i)) {
			p.holderOffset += k + 1
			return n
		}
	}
	return nil
}

// pickDuplicate returns a chunk whose fetch from one source is slow, and a second holder of it. It is used when every
// missing chunk that a neighbour holds is already in flight, so that one slow source does not delay the end.
func (p *Planner) pickDuplicate(usable []*node, now time.Time) (int, *node) {
	for _, f := range p.active {
		if f.stripe != nil || p.chunkFetches[f.index] > 1 || now.Sub(f.startedAt) < endgameDelay {
			continue
		}
		for _, n := range usable {
			if n.Host != f.Source.Host && n.inventory.Test(uint(f.index)) {
				return f.index, n
			}
		}
	}
	return -1, nil
}
