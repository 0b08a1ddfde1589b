// Package rolloutplanner plans the rollout of a model release to the engines of a pool.
//
// All engines of a pool must switch to a new release within a few seconds while the pool serves requests. An engine
// accepts no new requests from the load command until it has loaded the release, so the engines switch in groups, one
// after the other.
package rolloutplanner

import (
	"cmp"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// groupStartShares holds the time at which each group switches, as a fraction of the time for which entry hosts send
// requests to engines with the old release. An engine is unavailable for about a quarter of that time, while it finishes
// its requests in flight and loads. The first group starts about when the chunks have been fetched. The last group starts
// when it would receive no more requests on the old release.
var groupStartShares = []float64{0.45, 0.63, 0.81, 0.99}

// Report is the state that an engine reports of itself.
type Report struct {
	// Loaded lists the releases that are loaded.
	Loaded []fleetconfig.ServedModel
	// Layers is the range of layers that is loaded.
	Layers fleetconfig.LayerRange
	// Loading is true while a load command is in progress.
	Loading bool
	// LoadCommands is the number of load commands that the engine has accepted since its start.
	LoadCommands int64
	// Queued and Running are the numbers of waiting and of executing requests.
	Queued, Running int
	// Slowdown is the ratio of the engine's processing time to the time that its specified figures predict; zero if the
	// engine does not report it.
	Slowdown float64
	// StartTime is the start time of the process. It distinguishes the engine's incarnations.
	StartTime int64
}

// LoadedRelease returns the release of a model that is loaded fully or partly; zero if none is loaded.
func (r Report) LoadedRelease(m fleetconfig.Model) fleetconfig.Release {
	for _, s := range r.Loaded {
		if s.Model == m {
			return s.Release
		}
	}
	return 0
}

// FullRelease returns the release of a model that is loaded with all its layers, so that the engine serves the model
// alone. It returns zero if there is none.
func (r Report) FullRelease(m fleetconfig.Model, layers int) fleetconfig.Release {
	if !r.Layers.CoversAll(layers) {
		return 0
	}
	return r.LoadedRelease(m)
}

// earlyLayerShares holds the fractions of the layers that an empty engine loads before all chunks have been fetched.
var earlyLayerShares = []float64{0.5, 0.75}

// EarlyLayerRanges returns the ranges of layers that an empty engine loads, one after the other, while the remaining
// chunks are still being fetched. After a power failure of all engines, their hosts need seconds to fetch the chunks;
// with early loading the engine is ready soon after the last chunk has arrived.
func EarlyLayerRanges(layers int) []fleetconfig.LayerRange {
	var out []fleetconfig.LayerRange
	for _, share := range earlyLayerShares {
		if to := int(share * float64(layers)); to > 0 {
			out = append(out, fleetconfig.LayerRange{To: to})
		}
	}
	return out
}

// Member is one engine of the pool.
type Member struct {
	// Host is the address of the engine's host.
	Host string
	// Release is the release that the engine serves; zero if none.
	Release fleetconfig.Release
}

// SwitchShare returns the time at which the engine of host self switches, as a fraction of the time for which entry hosts
// send requests to engines with the old release. Engines with the oldest releases switch first. Engines with the same release are ranked by rendezvous
// hashing of their hosts.
func SwitchShare(self string, all []Member) float64 {
	hosts := make([]string, 0, len(all))
	releases := make(map[string]fleetconfig.Release, len(all))
	for _, m := range all {
		if m.Release > 0 {
			hosts = append(hosts, m.Host)
			releases[m.Host] = m.Release
		}
	}
	ranked := ranker.Rank("turn", hosts)
	slices.SortStableFunc(ranked, func(a, b string) int { return cmp.Compare(releases[a], releases[b]) })
	position := slices.Index(ranked, self)
	if position < 0 || len(ranked) < len(groupStartShares) {
		return groupStartShares[0]
	}
	return groupStartShares[position*len(groupStartShares)/len(ranked)]
}
