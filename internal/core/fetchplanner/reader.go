package fetchplanner

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// patience is the time without a sign of progress after which a live reader is passed over.
// It doubles with the stripe's deadline: a host whose own reads stall has no better way than those before it.
func (p *Planner) patience(s *stripe) time.Duration {
	if p.Patience > 0 {
		return p.Patience
	}
	if p.Bias == catalog.BiasTime {
		return timePatienceFactor * p.Deadline << s.slow
	}
	return patienceFactor * p.Deadline << s.slow
}

// hasFailed tells whether a reader of the stripe is silent, or alive without progress. It starts to watch a reader
// that is not watched yet.
func (p *Planner) hasFailed(s *stripe, h ident.Host, now time.Time) bool {
	n := p.watch(h)
	if n == nil {
		return true
	}
	if now.Sub(later(n.watched, n.heard)) > p.Deadline {
		return true
	}
	return now.Sub(later(n.watched, n.signs[s.id])) > p.patience(s)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acts tells whether this host is to bring the stripe into its zone now: all hosts before it have failed.
func (p *Planner) acts(s *stripe, now time.Time) bool {
	above := s.above
	if len(above) > watchedRanks {
		if now.Sub(later(p.start, s.sign)) < lastResortFactor*p.patience(s) {
			return false
		}
		above = above[len(above)-watchedRanks:]
	}
	for _, h := range above {
		if !p.hasFailed(s, h, now) {
			return false
		}
	}
	return true
}

// live returns the nearest reader before this zone that has not failed.
func (p *Planner) live(s *stripe, now time.Time) *node {
	for _, h := range s.up {
		if !p.hasFailed(s, h, now) {
			return p.nodes[h]
		}
	}
	return nil
}

// bring returns the next fetch of a stripe from another zone or from outside, if this host is the reader.
func (p *Planner) bring(s *stripe) *Fetch {
	now := time.Now()
	if s.fetch != nil || s.isWhole || now.Sub(p.start) < p.settle() || !p.acts(s, now) {
		return nil
	}
	up := p.live(s, now)
	if up != nil && up.signs[s.id].After(s.sign) {
		s.sign = up.signs[s.id]
	}
	isOpen := up == nil || p.readsEarly(s)
	candidate := -1
	for k := range s.chunks {
		i := s.chunks[(k+p.firstChunk(s))%len(s.chunks)]
		if p.held.Test(uint(i)) || p.flight[i] > 0 || p.isInZone(i, now) {
			continue
		}
		if n := p.outsideHolder(i, up, now); n != nil {
			return p.begin(i, Source{Host: n.Host}, s)
		}
		if candidate < 0 {
			candidate = i
		}
	}
	if candidate < 0 || !isOpen {
		return nil
	}
	for k := range p.sources {
		if p.sources[k].isUsable(now) {
			return p.begin(candidate, Source{Outside: k}, s)
		}
	}
	return p.bringFromLater(s, candidate, now)
}

// readsEarly tells whether the host reads from outside although a reader before it is live: the first chunk of a
// stripe, where time matters more. Zones beyond a link between regions do not, because a read from outside would cross
// the same link.
func (p *Planner) readsEarly(s *stripe) bool {
	if p.Bias != catalog.BiasTime || s.place >= maxCopies || (p.Home != "" && p.Home != p.Self.Region) {
		return false
	}
	return !slices.ContainsFunc(s.chunks, func(i int) bool { return p.held.Test(uint(i)) })
}

// bringFromLater starts to watch more readers of later zones when no source outside can be used.
func (p *Planner) bringFromLater(s *stripe, i int, now time.Time) *Fetch {
	for _, h := range s.down {
		p.watch(h)
	}
	if n := p.outsideHolder(i, nil, now); n != nil {
		return p.begin(i, Source{Host: n.Host}, s)
	}
	return nil
}

func (p *Planner) settle() time.Duration {
	if p.Bias == catalog.BiasTime {
		return p.Settle / 4
	}
	return p.Settle
}

// firstChunk spreads the readers of a stripe over its chunks, where more than one may read from outside.
func (p *Planner) firstChunk(s *stripe) int {
	share := len(s.above) % maxCopies
	if p.Bias == catalog.BiasTime {
		share += s.place
	}
	return (share % maxCopies) * len(s.chunks) / maxCopies
}

// isInZone tells whether a usable neighbour of the zone holds the chunk.
func (p *Planner) isInZone(i int, now time.Time) bool {
	if p.counts[i] == 0 {
		return false
	}
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone && n.have.Test(uint(i)) && p.canAsk(n, now) {
			return true
		}
	}
	return false
}

func (p *Planner) canAsk(n *node, now time.Time) bool {
	return n.retry.Sub(now) < longestFactor*p.Retry && now.Sub(later(n.watched, n.heard)) <= p.Deadline
}

// outsideHolder returns the cheapest usable holder of the chunk in another zone. While the reader before this zone is
// live, no other region than its own is asked, which keeps each link between regions to its share.
func (p *Planner) outsideHolder(i int, up *node, now time.Time) *node {
	if p.far[i] == 0 {
		return nil
	}
	var best *node
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone || !n.have.Test(uint(i)) || !n.isUsable(now) || !p.canAsk(n, now) {
			continue
		}
		if up != nil && n.Region != up.Region && n.Region != p.Self.Region {
			continue
		}
		if best == nil || p.cost(n) < p.cost(best) {
			best = n
		}
	}
	return best
}

// cost orders holders in other zones: the same region first, then those with fewer fetches.
func (p *Planner) cost(n *node) int {
	const far = 1 << 16
	if n.Region == p.Self.Region {
		return n.running
	}
	return far + n.running
}

// isSuperfluous tells whether a read from outside is to be left to a reader that has taken the stripe up again.
func (p *Planner) isSuperfluous(f *Fetch) bool {
	if f.stripe == nil || f.done*2 > f.Chunk.Size {
		return false
	}
	now := time.Now()
	if !p.acts(f.stripe, now) {
		return true
	}
	return f.Source.Host == "" && !p.readsEarly(f.stripe) && p.live(f.stripe, now) != nil
}
