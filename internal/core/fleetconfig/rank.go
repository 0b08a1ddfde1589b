package fleetconfig

import (
	"cmp"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// MaxRanks is the number of ranks that requests may have. Less urgent priorities than the last one share its rank.
const MaxRanks = 8

// priorityPair is the priority of a request: that of its organisation decides first, then that of its route. The priority
// of a route stands in for that of an organisation that states none.
type priorityPair struct {
	organisation, route int
}

func priorityOf(r *Route, o *Organisation) priorityPair {
	if o == nil || !o.HasPriority {
		return priorityPair{organisation: r.Priority, route: r.Priority}
	}
	return priorityPair{organisation: o.Priority, route: r.Priority}
}

// setRanks numbers the pairs of priorities that requests may have. The caller must have set routes and keys.
func (c *Config) setRanks() {
	organisations := []*Organisation{nil}
	seen := make(map[*Organisation]bool)
	for _, o := range c.Keys {
		if !seen[o] {
			seen[o] = true
			organisations = append(organisations, o)
		}
	}
	c.ranks = make(map[priorityPair]ident.Rank)
	var pairs []priorityPair
	for _, routes := range c.routesByHost {
		for _, r := range routes {
			for _, o := range organisations {
				if o == nil && c.Keys != nil && !r.Anonymous {
					continue // such a request needs a key
				}
				p := priorityOf(r, o)
				if _, ok := c.ranks[p]; !ok {
					c.ranks[p] = 0
					pairs = append(pairs, p)
				}
			}
		}
	}
	slices.SortFunc(pairs, func(a, b priorityPair) int {
		return cmp.Or(cmp.Compare(a.organisation, b.organisation), cmp.Compare(a.route, b.route))
	})
	for i, p := range pairs {
		c.ranks[p] = ident.Rank(min(i, MaxRanks-1))
	}
}

// Rank returns the rank of the requests of an organisation on a route. The organisation is nil if the request needs no key.
func (c *Config) Rank(r *Route, o *Organisation) ident.Rank {
	return c.ranks[priorityOf(r, o)]
}
