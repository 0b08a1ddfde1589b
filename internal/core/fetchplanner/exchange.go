package fetchplanner

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// perNeighbor is the number of chunks to read from one neighbour at a time.
	perNeighbor = 2
	// seedPatience times the deadline is the time without progress after which a seed without chunks is not waited for.
	seedPatience = 2
	// endgameAfter is the age of a fetch from which a second holder is asked for the same chunk.
	endgameAfter = 2 * time.Second
)

// exchange returns the next fetch from a neighbour of the zone.
func (p *Planner) exchange() *Fetch {
	now := time.Now()
	var usable []*node
	isSeeded := p.isSeeded(now)
	for _, n := range p.watched {
		if n.Zone == p.Self.Zone && n.running < perNeighbor && n.isUsable(now) && p.canAsk(n, now) && (n.Seed || !isSeeded) {
			usable = append(usable, n)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	if i, n := p.pick(usable); n != nil {
		return p.begin(i, Source{Host: n.Host}, nil)
	}
	if i, n := p.duplicate(usable, now); n != nil {
		return p.begin(i, Source{Host: n.Host}, nil)
	}
	return nil
}

// isSeeded tells whether a seed of the zone serves this host, which is none itself.
func (p *Planner) isSeeded(now time.Time) bool {
	if p.Self.Seed {
		return false
	}
	for _, n := range p.watched {
		if n.Seed && n.Zone == p.Self.Zone && !n.heard.IsZero() && p.canAsk(n, now) && p.helps(n, now) {
			return true
		}
	}
	return false
}

// helps tells whether a seed has what this host lacks, or makes progress itself.
func (p *Planner) helps(n *node, now time.Time) bool {
	last := n.watched
	for _, sign := range n.signs {
		last = later(last, sign)
	}
	if now.Sub(last) < seedPatience*p.Deadline {
		return true
	}
	return slices.ContainsFunc(p.order, func(i int) bool { return !p.held.Test(uint(i)) && n.have.Test(uint(i)) })
}

// pick returns the chunk to ask for and its holder.
func (p *Planner) pick(usable []*node) (int, *node) {
	best, holder := -1, (*node)(nil)
	kept := p.order[:0]
	for _, i := range p.order {
		if p.held.Test(uint(i)) {
			continue
		}
		kept = append(kept, i)
		if p.flight[i] > 0 || p.counts[i] == 0 || best >= 0 && !p.isBefore(i, best) {
			continue
		}
		if n := p.holder(usable, i); n != nil {
			best, holder = i, n
		}
	}
	p.order = kept
	return best, holder
}

// isBefore tells whether chunk i is to be read before chunk k, which comes first in the order.
func (p *Planner) isBefore(i, k int) bool {
	if p.Rank != nil && p.Rank(i) != p.Rank(k) {
		return p.Rank(i) < p.Rank(k)
	}
	return p.Choice != RoundRobin && p.counts[i] < p.counts[k]
}

func (p *Planner) holder(usable []*node, i int) *node {
	if p.Choice != RarestFirst {
		return p.holderInTurn(usable, i)
	}
	var best *node
	var score uint64
	for _, n := range usable {
		if !n.have.Test(uint(i)) || (best != nil && n.running > best.running) {
			continue
		}
		s := ranker.Score(string(p.Self.Host)+string(p.chunks[i].Digest[:8]), string(n.Host))
		if best == nil || n.running < best.running || s > score {
			best, score = n, s
		}
	}
	return best
}

func (p *Planner) holderInTurn(usable []*node, i int) *node {
	for k := range usable {
		n := usable[(p.turn+k)%len(usable)]
		if n.have.Test(uint(i)) {
			p.turn += k + 1
			return n
		}
	}
	return nil
}

// duplicate returns a chunk that is already being read from one source, and a second holder of it, once no other
// chunk is left to ask for.
func (p *Planner) duplicate(usable []*node, now time.Time) (int, *node) {
	for _, f := range p.running {
		if f.stripe != nil || p.flight[f.index] > 1 || now.Sub(f.started) < endgameAfter {
			continue
		}
		for _, n := range usable {
			if n.Host != f.Source.Host && n.have.Test(uint(f.index)) {
				return f.index, n
			}
		}
	}
	return -1, nil
}
