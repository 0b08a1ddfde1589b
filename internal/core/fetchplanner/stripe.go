package fetchplanner

import (
	"fmt"
	"slices"
	"time"

	"github.com/bits-and-blooms/bitset"

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
	for _, h := range p.seedsFirst(ranker.Rank(string(p.Self.Host), zone)) {
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
	for _, h := range p.hostOrder(s, zones[p.Self.Zone]) {
		if h == p.Self.Host {
			break
		}
		s.above = append(s.above, h)
	}
	if len(s.above) > watchedRanks {
		return
	}
	for i := s.place - 1; i >= 0; i-- {
		s.up = append(s.up, top(p.hostOrder(s, zones[order[i]]))...)
	}
	for i := len(order) - 1; i > s.place; i-- {
		s.down = append(s.down, top(p.hostOrder(s, zones[order[i]]))...)
	}
}

// hostOrder puts the hosts of a zone in the order in which they read a stripe, the seeds first. The order of any two hosts
// does not depend on the others, so that hosts whose lists differ never wait for each other in a cycle.
func (p *Planner) hostOrder(s *stripe, hosts []ident.Host) []ident.Host {
	key := fmt.Sprintf("%s/%d", p.artifacts[s.id/Stripes], s.id%Stripes)
	return p.seedsFirst(ranker.Rank(key, hosts))
}

// seedsFirst puts the seeds before the other hosts and keeps the order among both.
func (p *Planner) seedsFirst(hosts []ident.Host) []ident.Host {
	out := make([]ident.Host, 0, len(hosts))
	for _, isSeed := range []bool{true, false} {
		for _, h := range hosts {
			if p.peers[h].Seed == isSeed {
				out = append(out, h)
			}
		}
	}
	return out
}

func top(ranked []ident.Host) []ident.Host {
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
