package chunkreplicator

import (
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/seedselector"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Peers returns the hosts that hold the weights of a pool: those beside its engines, and the entry hosts that are
// chosen as seed hosts.
func Peers(engines []messages.EngineInfo, entries []hostregistrar.Entry, regions map[ident.Zone]ident.Region) []fetchplanner.Peer {
	var out []fetchplanner.Peer
	for _, e := range engines {
		out = append(out, fetchplanner.Peer{Host: e.Host, Zone: e.Zone, Region: regions[e.Zone]})
	}
	seeds := SelectSeeds(entries)
	for _, e := range entries {
		if seeds[e.Host()] {
			out = append(out, fetchplanner.Peer{Host: e.Host(), Zone: e.Zone, Region: regions[e.Zone], Seed: true})
		}
	}
	return out
}

// SelectSeeds returns the entry hosts that are chosen as seed hosts.
func SelectSeeds(entries []hostregistrar.Entry) map[ident.Host]bool {
	all := make([]seedselector.Candidate, len(entries))
	for i, e := range entries {
		all[i] = seedselector.Candidate{Host: e.Host(), Zone: e.Zone, LinkMbps: e.LinkMbps}
	}
	return seedselector.Select(all)
}
