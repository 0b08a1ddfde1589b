// Package stager decides what the host beside a model engine does next, so that the engine comes to serve a release.
//
// The load pattern that it answers is a release that all engines of a pool must change to within a few seconds while
// requests go on: they change in groups, as an engine takes no new work from the order until it has loaded.
package stager

import (
	"cmp"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// starts are the shares of the bound after which the groups change over. An engine is away for about a fifth of the
// bound: the answers in progress and the loading. The first group's share is about the time that the chunks take; the
// last one still begins before the bound, and takes no new requests from then on.
var starts = []float64{0.33, 0.52, 0.71, 0.90}

// Report is an engine's own word of its state.
type Report struct {
	Serves []directory.Serving
	// Loading says that an order is in progress.
	Loading bool
	// Orders is the number of orders that the engine accepted since its start.
	Orders int64
	// Queued and Running count requests.
	Queued, Running int
	// Pace is how many times longer than its figures the engine takes; zero if it does not say.
	Pace float64
	// Born tells the engine's incarnations apart.
	Born int64
}

// Release returns the release of a model that the engine serves; zero if it serves none.
func (r Report) Release(m directory.Model) directory.Release {
	for _, s := range r.Serves {
		if s.Model == m {
			return s.Release
		}
	}
	return 0
}

// Member is one engine of the pool.
type Member struct {
	// Host is the address of the host beside it.
	Host string
	// Release is the one that it serves; zero if none.
	Release directory.Release
}

// Turn returns the share of the bound after which an engine changes over. Engines on the oldest releases come first;
// among equals the order is drawn from their names.
func Turn(self string, all []Member) float64 {
	hosts := make([]string, 0, len(all))
	release := make(map[string]directory.Release, len(all))
	for _, m := range all {
		if m.Release > 0 {
			hosts = append(hosts, m.Host)
			release[m.Host] = m.Release
		}
	}
	ranked := ranker.Rank("turn", hosts)
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(release[a], release[b]) })
	place := slices.Index(ranked, self)
	if place < 0 || len(ranked) < len(starts) {
		return starts[0]
	}
	return starts[place*len(starts)/len(ranked)]
}
