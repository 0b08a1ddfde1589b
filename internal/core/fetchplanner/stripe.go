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
	// standbyReaders is the number of hosts of a zone that are ready to replace the reader of a stripe.
	standbyReaders = 3
	// readersPerZone is the number of readers of another zone from which a stripe may be fetched.
	readersPerZone = 2
	// maxExternalReaders is the maximum number of zones that may read from an external source at the same time if the
	// fetch goal is MinimizeFetchTime.
	maxExternalReaders = 4
	// progressTimeoutFactor is the time without progress, in multiples of the stall timeout, after which a live reader is
	// replaced.
	progressTimeoutFactor = 3
	// minimizeTimeProgressTimeoutFactor replaces progressTimeoutFactor if the fetch goal is MinimizeFetchTime.
	minimizeTimeProgressTimeoutFactor = 2
	// maxStallDoublings bounds how often a stripe's stall timeout doubles. It doubles each time a read stalls, so that
	// retries do not use up the capacity of a congested link.
	maxStallDoublings = 4
	// lastResortFactor is the time without progress, in multiples of the progress timeout, after which any host of the
	// zone may read a stripe.
	lastResortFactor = 3
)

// stripe is a subset of an artifact's chunks that one host fetches into the zone.
type stripe struct {
	id     int
	chunks []int
	// zonePosition is the index of this host's zone in the stripe's order of zones.
	zonePosition int
	// priorReaders lists the hosts of this zone that precede this host in the stripe's order.
	priorReaders []ident.Host
	// upstream lists the readers of the preceding zones, the nearest zone first.
	upstream []ident.Host
	// downstream lists the readers of the following zones, the farthest zone first.
	downstream   []ident.Host
	lastProgress time.Time
	// fetch is the stripe's fetch in flight; nil if there is none.
	fetch          *Fetch
	stallDoublings int
	// isComplete is true if all chunks of the stripe are held.
	isComplete bool
}

// contains reports whether chunk i of the goal belongs to the stripe. offsets holds the index of each artifact's first
// chunk.
func (s *stripe) contains(i int, offsets []int) bool {
	artifact := s.id / Stripes
	if i < offsets[artifact] || (artifact+1 < len(offsets) && i >= offsets[artifact+1]) {
		return false
	}
	return (i-offsets[artifact])%Stripes == s.id%Stripes
}

// updateComplete sets isComplete according to the chunks held.
func (s *stripe) updateComplete(held *bitset.BitSet) {
	s.isComplete = !slices.ContainsFunc(s.chunks, func(i int) bool { return !held.Test(uint(i)) })
}

// assignReaders computes the readers of all stripes, and watches the neighbours and the hosts that this host must
// follow from the start.
func (p *Planner) assignReaders() {
	if p.held == nil {
		return
	}
	p.removeDepartedNodes()
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
	for _, h := range p.selectNeighbors(zones[p.Self.Zone]) {
		p.watch(h)
	}
	for _, s := range p.stripes {
		p.rankReaders(s, regions, zones)
		if len(s.priorReaders) > standbyReaders {
			continue
		}
		for _, h := range s.priorReaders {
			p.watch(h)
		}
		if len(s.priorReaders) == 0 {
			p.watchFirst(s.upstream)
			p.watchFirst(s.downstream)
		}
	}
}

func (p *Planner) watchFirst(hosts []ident.Host) {
	if len(hosts) > 0 {
		p.watch(hosts[0])
	}
}

// selectNeighbors returns the hosts of the zone to exchange chunks with.
func (p *Planner) selectNeighbors(zone []ident.Host) []ident.Host {
	var out []ident.Host
	for _, h := range p.seedsFirst(ranker.Rank(string(p.Self.Host), zone)) {
		if h != p.Self.Host && len(out) < p.MaxNeighbors {
			out = append(out, h)
		}
	}
	return out
}

// rankReaders computes the hosts that read the stripe before this host, in its zone and in others.
func (p *Planner) rankReaders(s *stripe, regions map[ident.Region][]ident.Zone, zones map[ident.Zone][]ident.Host) {
	order := p.zoneOrder(s, regions)
	s.priorReaders, s.upstream, s.downstream = nil, nil, nil
	for i, z := range order {
		if z == p.Self.Zone {
			s.zonePosition = i
		}
	}
	for _, h := range p.hostOrder(s, zones[p.Self.Zone]) {
		if h == p.Self.Host {
			break
		}
		s.priorReaders = append(s.priorReaders, h)
	}
	if len(s.priorReaders) > standbyReaders {
		return
	}
	for i := s.zonePosition - 1; i >= 0; i-- {
		s.upstream = append(s.upstream, firstReaders(p.hostOrder(s, zones[order[i]]))...)
	}
	for i := len(order) - 1; i > s.zonePosition; i-- {
		s.downstream = append(s.downstream, firstReaders(p.hostOrder(s, zones[order[i]]))...)
	}
}

// hostOrder sorts the hosts of a zone in the order in which they become the reader of a stripe, the seeds first. The
// relative order of two hosts does not depend on the rest of the list, so that hosts whose lists differ never wait for
// each other in a cycle.
func (p *Planner) hostOrder(s *stripe, hosts []ident.Host) []ident.Host {
	key := fmt.Sprintf("%s/%d", p.artifacts[s.id/Stripes], s.id%Stripes)
	return p.seedsFirst(ranker.Rank(key, hosts))
}

// seedsFirst moves the seeds before the other hosts and keeps the order within both groups.
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

func firstReaders(ranked []ident.Host) []ident.Host {
	return ranked[:min(readersPerZone, len(ranked))]
}

// zoneOrder returns the order in which the zones receive a stripe. The zones of the home region come first and the
// zones of a region stay together, so that each chunk enters a region once. Each stripe rotates the orders of regions
// and of zones by one more position, which spreads the stripes evenly over the links between regions.
func (p *Planner) zoneOrder(s *stripe, regions map[ident.Region][]ident.Zone) []ident.Zone {
	regionOrder := make([]ident.Region, 0, len(regions))
	for r := range regions {
		regionOrder = append(regionOrder, r)
	}
	artifact := string(p.artifacts[s.id/Stripes])
	regionOrder = ranker.Rank(artifact, regionOrder)
	if i := slices.Index(regionOrder, p.HomeRegion); i >= 0 {
		regionOrder = append([]ident.Region{p.HomeRegion}, rotate(slices.Delete(regionOrder, i, i+1), s.id)...)
	} else {
		regionOrder = rotate(regionOrder, s.id)
	}
	var out []ident.Zone
	for _, r := range regionOrder {
		out = append(out, rotate(ranker.Rank(artifact, regions[r]), s.id)...)
	}
	return out
}

// rotate returns a copy of list, rotated left by n positions.
func rotate[T any](list []T, n int) []T {
	if len(list) == 0 {
		return nil
	}
	n %= len(list)
	return append(slices.Clone(list[n:]), list[:n]...)
}
