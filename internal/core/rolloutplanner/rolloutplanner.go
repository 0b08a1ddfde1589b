// Package rolloutplanner decides what the host beside a model engine does next, so that the engine comes to serve a release.
//
// The load pattern that it answers is a release that all engines of a pool must change to within a few seconds while
// requests go on: they change in groups, as an engine takes no new work from the order until it has loaded.
package rolloutplanner

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
	// Layers is the part that is loaded.
	Layers directory.Span
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

// Release returns the release of a model that is loaded, whole or in part; zero if none is.
func (r Report) Release(m directory.Model) directory.Release {
	for _, s := range r.Serves {
		if s.Model == m {
			return s.Release
		}
	}
	return 0
}

// Whole returns the release of a model that the engine serves by itself; zero if it serves none.
func (r Report) Whole(m directory.Model, layers int) directory.Release {
	if !r.Layers.IsWhole(layers) {
		return 0
	}
	return r.Release(m)
}

// earlyParts are the shares of the layers that an empty engine loads before it has all chunks.
var earlyParts = []float64{0.5, 0.75}

// Early returns the spans that an empty engine loads one after the other while the rest of its chunks is still on the way.
// The load pattern that it answers is the loss of power of all engines, whose hosts take seconds to fetch the chunks:
// loading then ends soon after the last chunk has come.
func Early(layers int) []directory.Span {
	var out []directory.Span
	for _, share := range earlyParts {
		if to := int(share * float64(layers)); to > 0 {
			out = append(out, directory.Span{To: to})
		}
	}
	return out
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
