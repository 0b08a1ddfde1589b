package carrier

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/planner"
	"github.com/nutmegdock/nutmegdock/internal/core/seeder"
	"github.com/nutmegdock/nutmegdock/internal/enroller"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Peers returns the hosts that carry the weights of a pool: those beside its engines, and the entry hosts that are chosen
// for it.
func Peers(engines []messages.EngineEntry, entries []enroller.Entry, regions map[ident.Zone]ident.Region) []planner.Peer {
	var out []planner.Peer
	for _, e := range engines {
		out = append(out, planner.Peer{Host: e.Host, Zone: e.Zone, Region: regions[e.Zone]})
	}
	seeds := Seeds(entries)
	for _, e := range entries {
		if seeds[e.Host()] {
			out = append(out, planner.Peer{Host: e.Host(), Zone: e.Zone, Region: regions[e.Zone], Seed: true})
		}
	}
	return out
}

// Seeds returns the entry hosts that carry weights.
func Seeds(entries []enroller.Entry) map[ident.Host]bool {
	all := make([]seeder.Candidate, len(entries))
	for i, e := range entries {
		all[i] = seeder.Candidate{Host: e.Host(), Zone: e.Zone, Link: e.Link}
	}
	return seeder.Choose(all)
}
