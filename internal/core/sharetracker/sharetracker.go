// Package sharetracker tracks what organisations demand and get of one endpoint, and their fair shares. It runs beside the
// endpoint, which all entry hosts report to, so that all hosts together treat organisations fairly without a coordinator.
//
// Load pattern: contention, with one organisation that sends many times what the others do.
package sharetracker

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// decayTime is the time after which the weight of past requests has fallen to 1/e.
	decayTime = 5 * time.Second
	// computeInterval is the time between two computations of the fair share of a rank.
	computeInterval = 200 * time.Millisecond
	// forgotten is the decayed number of requests below which an organisation is forgotten.
	forgotten = 0.01
	// maxOrganisations bounds the organisations that are tracked for a rank.
	maxOrganisations = 1024
	// contentionFactor is how much more must be demanded than is served for there to be contention.
	contentionFactor = 1.1
)

// Tracker tracks one endpoint. The zero value is ready to use. It is not safe for concurrent use.
type Tracker struct {
	ranks map[ident.Rank]*rank
}

type rank struct {
	organisations map[ident.OrganisationKey]*usage
	decayedAt     time.Time
	fair          float64
	computedAt    time.Time
}

// usage is the decayed numbers of requests that an organisation has demanded and that were sent to the endpoint.
type usage struct{ demanded, used float64 }

// Demand counts a part of a request that might have been sent to the endpoint: hosts query several endpoints for each.
func (t *Tracker) Demand(r ident.Rank, o ident.OrganisationKey, part float64) {
	if u := t.usage(r, o); u != nil {
		u.demanded += part
	}
}

// Use counts a request that was sent to the endpoint.
func (t *Tracker) Use(r ident.Rank, o ident.OrganisationKey) {
	if u := t.usage(r, o); u != nil {
		u.used++
	}
}

// Share returns how many requests of a rank an organisation has had of late, and how many are its fair share: what it
// gets if the endpoint is divided equally, and what some do not demand is divided among the others. The fair share is
// infinite while there is no contention.
func (t *Tracker) Share(r ident.Rank, o ident.OrganisationKey) (used, fair float64) {
	u := t.usage(r, o)
	if u == nil {
		return 0, math.Inf(1)
	}
	k := t.ranks[r]
	if now := time.Now(); now.Sub(k.computedAt) >= computeInterval {
		k.fair, k.computedAt = k.fairShare(), now
	}
	return u.used, k.fair
}

// usage returns the usage of an organisation, decayed to now, or nil if there are too many organisations.
func (t *Tracker) usage(r ident.Rank, o ident.OrganisationKey) *usage {
	if t.ranks == nil {
		t.ranks = make(map[ident.Rank]*rank)
	}
	k := t.ranks[r]
	if k == nil {
		k = &rank{organisations: make(map[ident.OrganisationKey]*usage), decayedAt: time.Now()}
		t.ranks[r] = k
	}
	k.decay()
	u := k.organisations[o]
	if u == nil && len(k.organisations) < maxOrganisations {
		u = &usage{}
		k.organisations[o] = u
	}
	return u
}

func (k *rank) decay() {
	now := time.Now()
	age := now.Sub(k.decayedAt)
	if age < computeInterval {
		return
	}
	k.decayedAt = now
	factor := math.Exp(-float64(age) / float64(decayTime))
	for o, u := range k.organisations {
		u.demanded *= factor
		u.used *= factor
		if u.demanded+u.used < forgotten {
			delete(k.organisations, o)
		}
	}
}

// fairShare returns the max-min fair share of what the rank gets.
func (k *rank) fairShare() float64 {
	var demanded, used float64
	demands := make([]float64, 0, len(k.organisations))
	for _, u := range k.organisations {
		demand := max(u.demanded, u.used)
		demands = append(demands, demand)
		demanded += demand
		used += u.used
	}
	if demanded <= contentionFactor*used {
		return math.Inf(1)
	}
	slices.SortFunc(demands, cmp.Compare)
	left := used
	for i, d := range demands {
		level := left / float64(len(demands)-i)
		if d >= level {
			return level
		}
		left -= d
	}
	return math.Inf(1)
}
