// Package router chooses the endpoint that a request goes to.
package router

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Candidate is an endpoint as the entry host knows it.
type Candidate struct {
	Host    ident.Host
	Zone    ident.Zone
	Address string
	Set     ident.WeightSet
	Open    bool
	Running int
	Slots   int
}

// Router chooses endpoints for one entry host.
type Router struct {
	// Zone is the entry host's own availability zone, whose endpoints come first.
	Zone ident.Zone
	// Intn returns a random number in [0, n).
	Intn func(n int) int
}

// Choose returns the better of two random candidates, from the own zone if it has any, without those already tried.
func (r *Router) Choose(all []Candidate, tried map[ident.Host]bool) (Candidate, bool) {
	var near, far []Candidate
	for _, c := range all {
		switch {
		case tried[c.Host] || !c.Open:
		case c.Zone == r.Zone:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	if len(near) > 0 {
		return r.better(near), true
	}
	if len(far) > 0 {
		return r.better(far), true
	}
	return Candidate{}, false
}

func (r *Router) better(cs []Candidate) Candidate {
	a := cs[r.Intn(len(cs))]
	b := cs[r.Intn(len(cs))]
	if b.Running < a.Running {
		return b
	}
	return a
}
