// Package slotreserver decides how many slots of an engine are kept free of less urgent requests (trunk reservation).
//
// Load pattern: sustained overload with requests of several ranks. An engine whose slots are all taken releases one only
// after several passes, which is too late for a short objective. Slots that are kept free let more urgent requests begin
// at once. They are sized from the arrivals of more urgent requests, so nothing is reserved where none arrives.
package slotreserver

import (
	"math"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// decayTime is the time after which the weight of past arrivals has fallen to 1/e. A host of a large fleet sees a few
	// requests of each rank in this time.
	decayTime = 3 * time.Second
	// decayInterval is the time between two updates of the decayed counts, so that few decisions pay for one.
	decayInterval = 20 * time.Millisecond
	// minArrivals is the decayed number of arrivals below which a rank counts as absent.
	minArrivals = 0.1
	// minServedShare is the share of the requests of a rank that are served, as a multiple of that of all ranks, below
	// which nothing is kept free of that rank.
	minServedShare = 0.25
	// contendedShare is the admitted share of the requests of a rank below which organisations compete for its capacity, and
	// assumedAdmitted a number of admitted requests that is added, because a host of a large fleet sees few. With 0.9 and
	// none, the first rank was held back at 149 hosts without contention in a replay, and 0.952 of it in time.
	contendedShare  = 0.8
	assumedAdmitted = 4
	// shareSmoothing is the weight of one engine in the mean share of the slots that a rank uses.
	shareSmoothing = 0.05
	// minAdmittedShare bounds how far the demand of a rank is taken to be above what it uses: to twice.
	minAdmittedShare = 0.5
	// slotsPerLoad is the number of reserved slots per unit of u/(1-u), where u is the share of the capacity that more
	// urgent requests need. In the replays of two overloads, 0.4 let fewer than 0.97 of the first rank start in time, and
	// 0.8 left engines idle.
	slotsPerLoad = 0.55
	// maxLoad bounds u, so that at most about three slots are reserved.
	maxLoad = 0.85
)

// Reserver sizes the reservation in one pool. The zero value is ready to use. It is not safe for concurrent use.
type Reserver struct {
	ranks     []counts
	updatedAt time.Time
}

// counts describes the requests of one rank.
type counts struct {
	// arrived and admitted are the decayed numbers of requests that have arrived and that were sent to an engine.
	arrived, admitted float64
	// share is the mean share of the slots of an engine that the requests use.
	share float64
}

// Arrive counts the arrival of a request.
func (r *Reserver) Arrive(rank ident.Rank) {
	r.decay()
	r.of(rank).arrived++
}

// Admit counts a request that was sent to an engine in time.
func (r *Reserver) Admit(rank ident.Rank) {
	r.decay()
	r.of(rank).admitted++
}

// Observe records the share of the slots of one engine that the requests of a rank use.
func (r *Reserver) Observe(rank ident.Rank, share float64) {
	c := r.of(rank)
	c.share += shareSmoothing * (share - c.share)
}

// of returns the counts of a rank.
func (r *Reserver) of(rank ident.Rank) *counts {
	for len(r.ranks) <= int(rank) {
		r.ranks = append(r.ranks, counts{})
	}
	return &r.ranks[rank]
}

func (r *Reserver) decay() {
	now := time.Now()
	age := now.Sub(r.updatedAt)
	if age < decayInterval {
		return
	}
	r.updatedAt = now
	factor := math.Exp(-float64(age) / float64(decayTime))
	for i := range r.ranks {
		r.ranks[i].arrived *= factor
		r.ranks[i].admitted *= factor
	}
}

// Slots returns the number of slots of an engine that a request of a rank must leave free. The mean over all engines is
// fractional: shift in [0, 1) is a constant of the engine, the same at all hosts, that decides which engines round up.
func (r *Reserver) Slots(rank ident.Rank, shift float64) int {
	return int(r.Mean(rank) + shift)
}

// Mean returns the mean number of slots of an engine that a request of a rank must leave free.
func (r *Reserver) Mean(rank ident.Rank) float64 {
	r.decay()
	var load float64
	isUrgentPresent := false
	for i, c := range r.ranks {
		if i < int(rank) && c.arrived >= minArrivals {
			isUrgentPresent = true
			load += c.share * c.arrived / max(c.admitted, minAdmittedShare*c.arrived)
		}
	}
	if !isUrgentPresent {
		return 0
	}
	load = min(maxLoad, load)
	return slotsPerLoad * load / (1 - load)
}

// IsStarved reports whether a rank is served so much less often than all ranks together that nothing may be kept free of it.
func (r *Reserver) IsStarved(rank ident.Rank) bool {
	r.decay()
	var total counts
	for _, c := range r.ranks {
		total.arrived += c.arrived
		total.admitted += c.admitted
	}
	own := r.of(rank)
	return own.arrived >= minArrivals && own.admitted*total.arrived < minServedShare*total.admitted*own.arrived
}

// IsContended reports whether a considerable part of the recent requests of a rank was not admitted.
func (r *Reserver) IsContended(rank ident.Rank) bool {
	r.decay()
	c := r.of(rank)
	return c.admitted+assumedAdmitted < contendedShare*(c.arrived+assumedAdmitted)
}

// HasLessUrgent reports whether requests of less urgent ranks have arrived recently.
func (r *Reserver) HasLessUrgent(rank ident.Rank) bool {
	r.decay()
	for i := int(rank) + 1; i < len(r.ranks); i++ {
		if r.ranks[i].arrived >= minArrivals {
			return true
		}
	}
	return false
}
