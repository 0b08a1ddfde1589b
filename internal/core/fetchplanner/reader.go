package fetchplanner

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// progressTimeout returns the time without progress after which a live reader is replaced. It doubles with the stripe's
// stall timeout: a host whose own reads stall cannot fetch the stripe faster than the readers before it.
func (p *Planner) progressTimeout(s *stripe) time.Duration {
	if p.ProgressTimeout > 0 {
		return p.ProgressTimeout
	}
	if p.FetchGoal == catalog.MinimizeFetchTime {
		return minimizeTimeProgressTimeoutFactor * p.StallTimeout << s.stallDoublings
	}
	return progressTimeoutFactor * p.StallTimeout << s.stallDoublings
}

// hasReaderFailed reports whether a reader of the stripe does not respond, or responds but makes no progress. It starts
// to watch the reader if it is not watched yet.
func (p *Planner) hasReaderFailed(s *stripe, h ident.Host, now time.Time) bool {
	n := p.watch(h)
	if n == nil {
		return true
	}
	if now.Sub(latest(n.watchedSince, n.lastResponse)) > p.StallTimeout {
		return true
	}
	return now.Sub(latest(n.watchedSince, n.stripeProgress[s.id])) > p.progressTimeout(s)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isActiveReader reports whether this host must fetch the stripe into its zone now, because all hosts that precede it
// in the stripe's order have failed. A host far down the order waits for the last resort delay and then checks only the
// hosts directly before it.
func (p *Planner) isActiveReader(s *stripe, now time.Time) bool {
	prior := s.priorReaders
	if len(prior) > standbyReaders {
		if now.Sub(latest(p.goalStart, s.lastProgress)) < lastResortFactor*p.progressTimeout(s) {
			return false
		}
		prior = prior[len(prior)-standbyReaders:]
	}
	for _, h := range prior {
		if !p.hasReaderFailed(s, h, now) {
			return false
		}
	}
	return true
}

// upstreamReader returns the reader of the nearest preceding zone that has not failed; nil if there is none, or if the zone
// reads its own copy.
func (p *Planner) upstreamReader(s *stripe, now time.Time) *node {
	if p.ReadsExternalDirectly != nil && p.ReadsExternalDirectly() {
		return nil
	}
	for _, h := range s.upstream {
		if !p.hasReaderFailed(s, h, now) {
			return p.nodes[h]
		}
	}
	return nil
}

// nextStripeFetch starts the next fetch of a stripe from another zone or an external source, if this host is the active
// reader. It returns nil if no fetch is due or possible.
func (p *Planner) nextStripeFetch(s *stripe) *Fetch {
	now := time.Now()
	if s.fetch != nil || s.isComplete || now.Sub(p.goalStart) < p.settleDelay() || !p.isActiveReader(s, now) {
		return nil
	}
	upstream := p.upstreamReader(s, now)
	if upstream != nil && upstream.stripeProgress[s.id].After(s.lastProgress) {
		s.lastProgress = upstream.stripeProgress[s.id]
	}
	mayReadExternal := upstream == nil || p.readsExternalEarly(s)
	candidate := -1
	for k := range s.chunks {
		i := s.chunks[(k+p.firstChunkOffset(s))%len(s.chunks)]
		if p.held.Test(uint(i)) || p.chunkFetches[i] > 0 || p.isHeldInZone(i, now) {
			continue
		}
		if n := p.holderInOtherZone(i, upstream, now); n != nil {
			return p.startFetch(i, Source{Host: n.Host}, s)
		}
		if candidate < 0 {
			candidate = i
		}
	}
	if candidate < 0 || !mayReadExternal {
		return nil
	}
	for k := range p.externalHealth {
		if p.externalHealth[k].isUsable(now) {
			return p.startFetch(candidate, Source{ExternalIndex: k}, s)
		}
	}
	return p.fetchFromLaterZone(s, candidate, now)
}

// readsExternalEarly reports whether the host may read the first chunk of a stripe from an external source although a
// preceding reader is live, because the fetch goal is MinimizeFetchTime. Zones outside the home region may not, because
// a read from an external source would cross the same link between regions.
func (p *Planner) readsExternalEarly(s *stripe) bool {
	if p.FetchGoal != catalog.MinimizeFetchTime || s.zonePosition >= maxExternalReaders || (p.HomeRegion != "" && p.HomeRegion != p.Self.Region) {
		return false
	}
	return !slices.ContainsFunc(s.chunks, func(i int) bool { return p.held.Test(uint(i)) })
}

// fetchFromLaterZone watches the readers of the zones that follow in the order, and fetches from one that holds the
// chunk. It is used when no external source is usable.
func (p *Planner) fetchFromLaterZone(s *stripe, i int, now time.Time) *Fetch {
	for _, h := range s.downstream {
		p.watch(h)
	}
	if n := p.holderInOtherZone(i, nil, now); n != nil {
		return p.startFetch(i, Source{Host: n.Host}, s)
	}
	return nil
}

// settleDelay returns the time from the start of the goal until this host may act as a reader.
func (p *Planner) settleDelay() time.Duration {
	if p.FetchGoal == catalog.MinimizeFetchTime {
		return p.SettleDelay / 4
	}
	return p.SettleDelay
}

// firstChunkOffset returns the position in the stripe at which this host starts. It spreads the readers of a stripe
// over its chunks, so that several readers do not read the same chunk from an external source.
func (p *Planner) firstChunkOffset(s *stripe) int {
	section := len(s.priorReaders) % maxExternalReaders
	if p.FetchGoal == catalog.MinimizeFetchTime {
		section += s.zonePosition
	}
	return (section % maxExternalReaders) * len(s.chunks) / maxExternalReaders
}

// isHeldInZone reports whether an available neighbour in the zone holds the chunk.
func (p *Planner) isHeldInZone(i int, now time.Time) bool {
	if p.zoneHolders[i] == 0 {
		return false
	}
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone && n.inventory.Test(uint(i)) && p.isAvailable(n, now) {
			return true
		}
	}
	return false
}

// isAvailable reports whether a node responds to queries and is usable within the maximum retry delay, which excludes
// banned nodes.
func (p *Planner) isAvailable(n *node, now time.Time) bool {
	return n.retryAt.Sub(now) < maxRetryFactor*p.RetryDelay && now.Sub(latest(n.watchedSince, n.lastResponse)) <= p.StallTimeout
}

// holderInOtherZone returns the cheapest usable holder of the chunk in another zone. If there is a live upstream
// reader, only holders in its region or in this host's region are used, so that each link between regions carries only
// the stripes assigned to it.
func (p *Planner) holderInOtherZone(i int, upstream *node, now time.Time) *node {
	if p.otherZoneHolders[i] == 0 {
		return nil
	}
	var best *node
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone || !n.inventory.Test(uint(i)) || !n.isUsable(now) || !p.isAvailable(n, now) {
			continue
		}
		if upstream != nil && n.Region != upstream.Region && n.Region != p.Self.Region {
			continue
		}
		if best == nil || p.cost(n) < p.cost(best) {
			best = n
		}
	}
	return best
}

// cost returns the cost of a holder in another zone: holders in the same region are cheaper than all others, then those
// with fewer fetches in flight.
func (p *Planner) cost(n *node) int {
	const otherRegionCost = 1 << 16
	if n.Region == p.Self.Region {
		return n.inFlight
	}
	return otherRegionCost + n.inFlight
}

// isTakenOver reports whether a stripe's fetch must be stopped because a preceding reader is active again. A fetch that
// has received more than half of its chunk continues.
func (p *Planner) isTakenOver(f *Fetch) bool {
	if f.stripe == nil || f.received*2 > f.Chunk.Size {
		return false
	}
	now := time.Now()
	if !p.isActiveReader(f.stripe, now) {
		return true
	}
	return f.Source.Host == "" && !p.readsExternalEarly(f.stripe) && p.upstreamReader(f.stripe, now) != nil
}
