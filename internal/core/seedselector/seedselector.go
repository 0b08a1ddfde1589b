// Package seedselector selects the entry hosts that serve as seeds: they hold the weights for the engine hosts of their
// zone.
//
// All engine hosts of a zone read a new release at the same time. A few seeds with fast links can serve the many engine
// hosts with slow ones, while a copy on every entry host would use up the bandwidth that the engine hosts need.
package seedselector

import (
	"cmp"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// maxSeedsPerZone leaves at least two seeds in a zone after the loss of any two.
	maxSeedsPerZone = 4
	// minSeedsPerZone is the number of seeds in a zone regardless of their bandwidth.
	minSeedsPerZone = 2
	// minLinkShare is the minimum bandwidth of a further seed as a fraction of the zone's highest. Readers spread evenly
	// over all seeds, so a seed with a slow link would be overloaded.
	minLinkShare = 0.5
)

// Candidate is an entry host that may become a seed.
type Candidate struct {
	Host ident.Host
	Zone ident.Zone
	// LinkMbps is the bandwidth of its link in Mbit/s.
	LinkMbps float64
}

// Select returns the seeds: the hosts with the highest bandwidth in each zone. Hosts with equal bandwidth are ranked by
// rendezvous hashing of their names.
func Select(all []Candidate) map[ident.Host]bool {
	zones := make(map[ident.Zone][]ident.Host)
	linkMbps := make(map[ident.Host]float64, len(all))
	for _, c := range all {
		zones[c.Zone] = append(zones[c.Zone], c.Host)
		linkMbps[c.Host] = c.LinkMbps
	}
	out := make(map[ident.Host]bool)
	for _, hosts := range zones {
		ranked := ranker.Rank("seed", hosts)
		slices.SortStableFunc(ranked, func(a, b ident.Host) int { return cmp.Compare(linkMbps[b], linkMbps[a]) })
		for i, h := range ranked[:min(maxSeedsPerZone, len(ranked))] {
			if i < minSeedsPerZone || linkMbps[h] >= minLinkShare*linkMbps[ranked[0]] {
				out[h] = true
			}
		}
	}
	return out
}
