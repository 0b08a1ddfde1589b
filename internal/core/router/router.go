// Package router chooses the endpoint that a request goes to.
package router

import (
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// spillFactor is how many times the wait in another zone the own zone's wait may be.
	spillFactor = 4
	// spillCost is the time that a hop to another zone adds.
	spillCost = 5 * time.Millisecond
	// defaultBound is how far above the average the load of the endpoint may be that a prefix prefers.
	defaultBound = 1.25
	// affinityRanks is the number of endpoints in a prefix's rendezvous order that are looked at.
	affinityRanks = 2
	// affinityZone is the number of endpoints in the own zone from which on prefixes stay in it. Fewer could not hold
	// all prefixes between them, and a hop costs less than a miss.
	affinityZone = 32
)

// Candidate is an endpoint as the entry host knows it.
type Candidate struct {
	Host    ident.Host
	Zone    ident.Zone
	Address string
	Set     ident.WeightSet
	// Free tells whether the endpoint may be given one more request now.
	Free bool
	// Load is the part of the endpoint's limit that would be in use with one more request.
	Load float64
	// Wait is the estimated time to the first token of one more request.
	Wait time.Duration
}

// Router chooses endpoints for one entry host.
type Router struct {
	// Zone is the entry host's own availability zone, whose endpoints come first.
	Zone ident.Zone
	// Intn returns a random number in [0, n).
	Intn func(n int) int
	// Bound is how far above the average the load of the endpoint may be that a prefix prefers; zero means 1.25.
	Bound float64
}

// Choose returns an endpoint that is free: the one that the prefix prefers, unless its load is well above the average;
// else the better of two random ones by estimated wait, from the own zone unless it has none or another zone's wait is
// much shorter.
func (r *Router) Choose(all []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	var near, far []Candidate
	for _, c := range all {
		switch {
		case c.Zone == r.Zone:
			near = append(near, c)
		case c.Free:
			far = append(far, c)
		}
	}
	if len(near) < affinityZone {
		if c, ok := r.preferred(all, p); ok {
			return c, true
		}
	}
	best, ok := r.choose(near, p)
	if len(far) == 0 {
		return best, ok
	}
	if !ok {
		return r.choose(far, p)
	}
	if other := r.better(far); best.Wait > spillFactor*(other.Wait+spillCost) {
		return other, true
	}
	return best, true
}

func (r *Router) choose(cs []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	if c, ok := r.preferred(cs, p); ok {
		return c, true
	}
	free := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if c.Free {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return Candidate{}, false
	}
	return r.better(free), true
}

func (r *Router) better(cs []Candidate) Candidate {
	a := r.Intn(len(cs))
	if len(cs) == 1 {
		return cs[a]
	}
	b := r.Intn(len(cs) - 1)
	if b >= a {
		b++
	}
	if cs[b].Wait < cs[a].Wait {
		return cs[b]
	}
	return cs[a]
}

// preferred returns the first endpoint in the prefix's rendezvous order that is free and not loaded far above average.
func (r *Router) preferred(cs []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	if p == 0 || len(cs) == 0 {
		return Candidate{}, false
	}
	var top [affinityRanks]int
	var scores [affinityRanks]uint64
	key := strconv.FormatUint(uint64(p), 16)
	sum := 0.0
	n := 0
	for i, c := range cs {
		sum += c.Load
		n = insert(&top, &scores, n, i, ranker.Score(key, string(c.Host)))
	}
	bound := r.Bound
	if bound == 0 {
		bound = defaultBound
	}
	bound *= sum / float64(len(cs))
	for _, i := range top[:n] {
		if cs[i].Free && cs[i].Load <= bound {
			return cs[i], true
		}
	}
	return Candidate{}, false
}

// insert keeps the highest scores in falling order and returns how many there are.
func insert(top *[affinityRanks]int, scores *[affinityRanks]uint64, n, i int, score uint64) int {
	at := n
	for at > 0 && scores[at-1] < score {
		at--
	}
	if at == affinityRanks {
		return n
	}
	n = min(n+1, affinityRanks)
	copy(top[at+1:n], top[at:n-1])
	copy(scores[at+1:n], scores[at:n-1])
	top[at] = i
	scores[at] = score
	return n
}
