package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// watchedRanks is the number of hosts of a zone that stand by to take over a stripe.
	watchedRanks = 3
	// readersPerZone is the number of readers of another zone that are tried.
	readersPerZone = 2
	// maxCopies is the number of zones that may read a chunk from outside if time matters more.
	maxCopies = 4
	// patienceFactor times the deadline is the time without a sign after which a live reader is passed over.
	patienceFactor = 3
	// timePatienceFactor is the same where time matters more than reads from outside.
	timePatienceFactor = 2
	// maxSlow bounds how often a stripe's deadline doubles. It doubles when a read over a congested link is given up, so
	// that retries do not take what the link carries.
	maxSlow = 4
	// lastResortFactor times the patience is the time after which any host may read a stripe.
	lastResortFactor = 3
)

// stripe is a share of an artifact's chunks that one host brings into the zone.
type stripe struct {
	id     int
	key    string
	chunks []int
	place  int
	above  []ident.Host
	up     []ident.Host
	down   []ident.Host
	sign   time.Time
	fetch  *Fetch
	slow   int
	// isWhole tells that all chunks are held.
	isWhole bool
}

func stripeKey(d ident.Digest, k int) string {
	return fmt.Sprintf("%s/%d", d, k)
}

func (s *stripe) owns(i int, offsets []int) bool {
	artifact := s.id / Stripes
	if i < offsets[artifact] || (artifact+1 < len(offsets) && i >= offsets[artifact+1]) {
		return false
	}
	return (i-offsets[artifact])%Stripes == s.id%Stripes
}

// update notes whether all chunks of the stripe are held.
func (s *stripe) update(held *bitset.BitSet) {
	s.isWhole = !slices.ContainsFunc(s.chunks, func(i int) bool { return !held.Test(uint(i)) })
}

// plan works out the readers of all stripes and whom to watch from the start.
func (p *Planner) plan() {
	if p.held == nil {
		return
	}
	p.forget()
	zones := make(map[ident.Zone][]ident.Host)
	regions := make(map[ident.Region][]ident.Zone)
	for _, q := range p.peers {
		if zones[q.Zone] == nil {
			regions[q.Region] = append(regions[q.Region], q.Zone)
		}
		zones[q.Zone] = append(zones[q.Zone], q.Host)
	}
	if zones[p.Self.Zone] == nil {
		regions[p.Self.Region] = append(regions[p.Self.Region], p.Self.Zone)
		zones[p.Self.Zone] = []ident.Host{p.Self.Host}
	}
	for _, h := range p.neighbors(zones[p.Self.Zone]) {
		p.watch(h)
	}
	for _, s := range p.stripes {
		p.rank(s, regions, zones)
		if len(s.above) > watchedRanks {
			continue
		}
		for _, h := range s.above {
			p.watch(h)
		}
		if len(s.above) == 0 {
			p.watchFirst(s.up)
			p.watchFirst(s.down)
		}
	}
}

func (p *Planner) watchFirst(hosts []ident.Host) {
	if len(hosts) > 0 {
		p.watch(hosts[0])
	}
}

func (p *Planner) neighbors(zone []ident.Host) []ident.Host {
	var out []ident.Host
	for _, h := range ranker.Rank(string(p.Self.Host), zone) {
		if h != p.Self.Host && len(out) < p.Neighbors {
			out = append(out, h)
		}
	}
	return out
}

func (p *Planner) rank(s *stripe, regions map[ident.Region][]ident.Zone, zones map[ident.Zone][]ident.Host) {
	order := p.zoneOrder(s, regions)
	s.above, s.up, s.down = nil, nil, nil
	for i, z := range order {
		if z == p.Self.Zone {
			s.place = i
		}
	}
	for _, h := range ranker.Rank(s.key, zones[p.Self.Zone]) {
		if h == p.Self.Host {
			break
		}
		s.above = append(s.above, h)
	}
	if len(s.above) > watchedRanks {
		return
	}
	for i := s.place - 1; i >= 0; i-- {
		s.up = append(s.up, top(s.key, zones[order[i]])...)
	}
	for i := len(order) - 1; i > s.place; i-- {
		s.down = append(s.down, top(s.key, zones[order[i]])...)
	}
}

func top(key string, hosts []ident.Host) []ident.Host {
	ranked := ranker.Rank(key, hosts)
	return ranked[:min(readersPerZone, len(ranked))]
}

// zoneOrder puts the zones of the home region first and keeps the zones of a region together, so that each chunk
// enters a region once. Each stripe turns the orders of regions and of zones by one place, which spreads the stripes
// evenly over the links between regions.
func (p *Planner) zoneOrder(s *stripe, regions map[ident.Region][]ident.Zone) []ident.Zone {
	names := make([]ident.Region, 0, len(regions))
	for r := range regions {
		names = append(names, r)
	}
	artifact := string(p.artifacts[s.id/Stripes])
	names = ranker.Rank(artifact, names)
	if i := slices.Index(names, p.Home); i >= 0 {
		names = append([]ident.Region{p.Home}, turn(slices.Delete(names, i, i+1), s.id)...)
	} else {
		names = turn(names, s.id)
	}
	var out []ident.Zone
	for _, r := range names {
		out = append(out, turn(ranker.Rank(artifact, regions[r]), s.id)...)
	}
	return out
}

func turn[T any](list []T, n int) []T {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}

// patience is the time without a sign of progress after which a live reader is passed over.
// It doubles with the stripe's deadline: a host whose own reads stall has no better way than those before it.
func (p *Planner) patience(s *stripe) time.Duration {
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

// readsEarly tells whether the host reads from outside although a reader before it is live, because time matters
// more. Zones beyond a link between regions do not: a read from outside would cross the same link.
func (p *Planner) readsEarly(s *stripe) bool {
	return p.Bias == catalog.BiasTime && s.place < maxCopies && (p.Home == "" || p.Home == p.Self.Region)
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
	return n.retry.Sub(now) < longestWait && now.Sub(later(n.watched, n.heard)) <= p.Deadline
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
