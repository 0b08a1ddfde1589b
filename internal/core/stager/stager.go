// Package stager decides what the host beside a model engine does next, so that the engine comes to serve a release.
//
// The load pattern that it answers is a release that all engines of a pool must change to within a few seconds while
// requests go on: they change in groups, as an engine takes no new work from the order until it has loaded.
package stager

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// groups is the number of parts in which a pool changes over: with four, three quarters of the engines serve.
	groups = 4
	// switchTime is what one engine takes from the order until it serves again: the longest answer in progress and the
	// loading.
	switchTime = 3 * time.Second
)

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

// Turn returns when an engine may change over from an older release: self's place among all endpoints of the pool
// decides its group, and the groups share the time between named and the latest moment at which the change ends in
// time.
func Turn(self string, all []string, named time.Time, bound time.Duration) time.Time {
	if len(all) < groups {
		return named
	}
	place := 0
	for i, id := range ranker.Rank("turn", all) {
		if id == self {
			place = i
		}
	}
	group := place * groups / len(all)
	last := bound - switchTime
	return named.Add(last * time.Duration(group) / (groups - 1))
}
