package fleetconfig_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// The priority of a route had no effect where the organisations state one.
func TestRanksAreOrderedByOrganisationThenRoute(t *testing.T) {
	is := is.New(t)
	urgent, usual, unstated := &fleetconfig.Organisation{HasPriority: true}, &fleetconfig.Organisation{HasPriority: true, Priority: 5}, &fleetconfig.Organisation{}
	c := &fleetconfig.Config{Keys: map[fleetconfig.Key]*fleetconfig.Organisation{"a": urgent, "b": usual, "c": unstated}}
	routes := []fleetconfig.Route{{Name: "first", Priority: 1}, {Name: "second", Priority: 7}, {Name: "again", Priority: 7}}
	c.SetRoutes(routes)
	rank := func(route int, o *fleetconfig.Organisation) ident.Rank { return c.Rank(&routes[route], o) }
	is.Equal(rank(0, urgent), ident.Rank(0))
	is.Equal(rank(1, urgent), ident.Rank(1))
	is.Equal(rank(2, urgent), ident.Rank(1))
	is.Equal(rank(0, unstated), ident.Rank(2)) // as if the organisation stated the priority of the route
	is.Equal(rank(0, usual), ident.Rank(3))
	is.Equal(rank(1, usual), ident.Rank(4))
	is.Equal(rank(1, unstated), ident.Rank(5))
}

// More pairs of priorities than ranks: the least urgent ones share the last rank.
func TestRanksEndAtTheirMaximum(t *testing.T) {
	is := is.New(t)
	c := &fleetconfig.Config{}
	routes := make([]fleetconfig.Route, 12)
	for i := range routes {
		routes[i].Priority = 2 * i
	}
	c.SetRoutes(routes)
	is.Equal(c.Rank(&routes[6], nil), ident.Rank(6))
	is.Equal(c.Rank(&routes[7], nil), ident.Rank(7))
	is.Equal(c.Rank(&routes[11], nil), ident.Rank(fleetconfig.MaxRanks-1))
}

// A deployment whose requests all have one priority has one rank, whatever its number is.
func TestOnePriorityIsRankZero(t *testing.T) {
	is := is.New(t)
	o := &fleetconfig.Organisation{HasPriority: true, Priority: 3}
	c := &fleetconfig.Config{Keys: map[fleetconfig.Key]*fleetconfig.Organisation{"a": o}}
	routes := []fleetconfig.Route{{Priority: 4}, {Priority: 4}}
	c.SetRoutes(routes)
	is.Equal(c.Rank(&routes[1], o), ident.Rank(0))
}
