package seedselector_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/seedselector"
)

func TestHostsWithFastestLinksOfEachZoneAreSeeds(t *testing.T) {
	is := is.New(t)
	var all []seedselector.Candidate
	for i := range 30 {
		c := seedselector.Candidate{Host: ident.Host(fmt.Sprint("h", i)), Zone: ident.Zone(fmt.Sprint("z", i%2)), LinkMbps: 40}
		if i >= 26 {
			c.LinkMbps = 200
		}
		all = append(all, c)
	}
	seeds := seedselector.Select(all)
	for _, c := range all {
		is.Equal(seeds[c.Host], c.LinkMbps == 200)
	}
	for i := range all {
		all[i].LinkMbps = 40
	}
	seeds = seedselector.Select(all)
	is.Equal(len(seeds), 8)
	count := make(map[ident.Zone]int)
	for _, c := range all {
		if seeds[c.Host] {
			count[c.Zone]++
		}
	}
	is.Equal(count["z0"], 4)
	is.Equal(count["z1"], 4)
	// In a small zone every host is a seed. The selection does not depend on the order of the list.
	is.Equal(len(seedselector.Select(all[:3])), 3)
	rotated := append(append([]seedselector.Candidate(nil), all[11:]...), all[:11]...)
	is.Equal(seedselector.Select(rotated), seeds)
	is.Equal(len(seedselector.Select(nil)), 0)
}
