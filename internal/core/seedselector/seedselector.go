// Package seedselector chooses the entry hosts that carry the weights for the engines' hosts of their zone.
//
// The load pattern that it answers is a release that all engines' hosts of a zone read at the same time: a few wide links
// serve their many narrow ones, while a copy for each entry host would take up the links that the engines' hosts need.
package seedselector

import (
	"cmp"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// perZone is the most entry hosts of a zone that carry weights: enough that some are left after the loss of any two.
	perZone = 4
	// fewest is the least number, whatever their links.
	fewest = 2
	// wideShare of the widest link is what the others must have. Readers spread over all seeds alike, so that a narrow one
	// would be choked.
	wideShare = 0.5
)

// Candidate is an entry host.
type Candidate struct {
	Host ident.Host
	Zone ident.Zone
	// Link is the bandwidth of its link in Mbit/s.
	Link float64
}

// Choose returns the hosts that carry weights: the widest of each zone. Hosts with equal links are ranked by their names.
func Choose(all []Candidate) map[ident.Host]bool {
	zones := make(map[ident.Zone][]ident.Host)
	link := make(map[ident.Host]float64, len(all))
	for _, c := range all {
		zones[c.Zone] = append(zones[c.Zone], c.Host)
		link[c.Host] = c.Link
	}
	out := make(map[ident.Host]bool)
	for _, hosts := range zones {
		ranked := ranker.Rank("seed", hosts)
		slices.SortStableFunc(ranked, func(a, b ident.Host) int { return cmp.Compare(link[b], link[a]) })
		for i, h := range ranked[:min(perZone, len(ranked))] {
			if i < fewest || link[h] >= wideShare*link[ranked[0]] {
				out[h] = true
			}
		}
	}
	return out
}
