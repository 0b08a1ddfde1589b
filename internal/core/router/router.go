// Package router chooses the endpoint for a request.
package router

import (
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// spillFactor is the multiple of another zone's wait above which requests leave the local zone.
	spillFactor = 4
	// hopCost is the time that a hop to another zone adds to the wait there.
	hopCost = 5 * time.Millisecond
	// defaultBound is the default of Router.LoadBound.
	defaultBound = 1.25
	// affinityCandidates is the number of endpoints at the top of a prefix's rendezvous order that are considered.
	affinityCandidates = 2
	// minLocalAffinity is the number of local-zone endpoints from which on prefixes stay in the local zone. Fewer
	// endpoints could not cache all prefixes between them, and a hop to another zone costs less than a cache miss.
	minLocalAffinity = 32
)

// Candidate is the entry host's view of an endpoint.
type Candidate struct {
	Host      ident.Host
	Zone      ident.Zone
	Address   string
	WeightSet ident.WeightSet
	// Available reports whether one more request may be dispatched to the endpoint now.
	Available bool
	// Load is the fraction of the endpoint's limit that would be in use with one more request.
	Load float64
	// EstimatedWait is the estimated time to first token of one more request.
	EstimatedWait time.Duration
}

// Router chooses endpoints for one entry host.
type Router struct {
	// Zone is the entry host's availability zone (the local zone), whose endpoints are preferred.
	Zone ident.Zone
	// Intn returns a random number in [0, n).
	Intn func(n int) int
	// LoadBound is the multiple of the average load above which the endpoint that a prefix prefers is not chosen; zero
	// means 1.25.
	LoadBound float64
}

// Choose returns a free endpoint: the one that the prefix prefers unless its load is too far above the average,
// otherwise the one of two random endpoints with the shorter estimated wait. It chooses from the local zone unless that
// has no free endpoint or the wait in another zone is much shorter. While the local zone has fewer than
// minLocalAffinity endpoints, the endpoint that the prefix prefers may be in any zone.
func (r *Router) Choose(all []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	var local, remote []Candidate
	for _, c := range all {
		switch {
		case c.Zone == r.Zone:
			local = append(local, c)
		case c.Available:
			remote = append(remote, c)
		}
	}
	if len(local) < minLocalAffinity {
		if c, ok := r.preferred(all, p); ok {
			return c, true
		}
	}
	nearest, ok := r.chooseFrom(local, p)
	if len(remote) == 0 {
		return nearest, ok
	}
	if !ok {
		return r.chooseFrom(remote, p)
	}
	if spill := r.betterOfTwo(remote); nearest.EstimatedWait > spillFactor*(spill.EstimatedWait+hopCost) {
		return spill, true
	}
	return nearest, true
}

// chooseFrom chooses among cs regardless of their zones.
func (r *Router) chooseFrom(cs []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	if c, ok := r.preferred(cs, p); ok {
		return c, true
	}
	free := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if c.Available {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return Candidate{}, false
	}
	return r.betterOfTwo(free), true
}

// betterOfTwo returns the one of two random candidates with the shorter wait.
func (r *Router) betterOfTwo(cs []Candidate) Candidate {
	a := r.Intn(len(cs))
	if len(cs) == 1 {
		return cs[a]
	}
	b := r.Intn(len(cs) - 1)
	if b >= a {
		b++
	}
	if cs[b].EstimatedWait < cs[a].EstimatedWait {
		return cs[b]
	}
	return cs[a]
}

// preferred returns the first endpoint in the prefix's rendezvous order that is free and within the load bound.
func (r *Router) preferred(cs []Candidate, p prefixhasher.Prefix) (Candidate, bool) {
	if p == 0 || len(cs) == 0 {
		return Candidate{}, false
	}
	var top [affinityCandidates]int
	var scores [affinityCandidates]uint64
	key := strconv.FormatUint(uint64(p), 16)
	totalLoad := 0.0
	n := 0
	for i, c := range cs {
		totalLoad += c.Load
		n = insertScore(&top, &scores, n, i, ranker.Score(key, string(c.Host)))
	}
	bound := r.LoadBound
	if bound == 0 {
		bound = defaultBound
	}
	bound *= totalLoad / float64(len(cs))
	for _, i := range top[:n] {
		if cs[i].Available && cs[i].Load <= bound {
			return cs[i], true
		}
	}
	return Candidate{}, false
}

// insertScore inserts a candidate's index and score into the lists of the n highest scores, which are in descending
// order, and returns the new length.
func insertScore(top *[affinityCandidates]int, scores *[affinityCandidates]uint64, n, i int, score uint64) int {
	pos := n
	for pos > 0 && scores[pos-1] < score {
		pos--
	}
	if pos == affinityCandidates {
		return n
	}
	n = min(n+1, affinityCandidates)
	copy(top[pos+1:n], top[pos:n-1])
	copy(scores[pos+1:n], scores[pos:n-1])
	top[pos] = i
	scores[pos] = score
	return n
}
