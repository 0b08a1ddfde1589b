package adminapi

import (
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// ZoneSummary summarizes the endpoint hosts of one availability zone.
type ZoneSummary struct {
	Zone    ident.Zone `json:"zone"`
	Hosts   int        `json:"hosts"`
	Serving int        `json:"serving"`
	Leaving int        `json:"leaving"`
	// MinOffset and MaxOffset are the lowest and the highest configuration offset of the hosts in the zone.
	MinOffset ident.Offset `json:"low"`
	MaxOffset ident.Offset `json:"high"`
}

// Zones summarizes the endpoint hosts by availability zone, sorted by the zones' names.
func (s Status) Zones() []ZoneSummary {
	byName := make(map[ident.Zone]ZoneSummary)
	for _, r := range s.Endpoints {
		z, ok := byName[r.Zone]
		if !ok {
			z = ZoneSummary{Zone: r.Zone, MinOffset: r.Offset}
		}
		z.Hosts++
		if r.Leaving {
			z.Leaving++
		} else if r.GateOpen {
			z.Serving++
		}
		z.MinOffset = min(z.MinOffset, r.Offset)
		z.MaxOffset = max(z.MaxOffset, r.Offset)
		byName[r.Zone] = z
	}
	out := []ZoneSummary{}
	for _, z := range byName {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b ZoneSummary) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return out
}

// Progress summarizes how far the endpoint hosts have fetched and loaded the weight sets assigned to them.
type Progress struct {
	// Assigned is the number of replicas that have been assigned a weight set. Ready is the number of those that serve
	// it.
	Ready    int
	Assigned int
	// HeldChunks is the number of chunks that the assigned replicas hold. TotalChunks is the number of chunks in their
	// weight sets.
	HeldChunks  int
	TotalChunks int
	// ReceivedBytes is the number of chunk bytes that all hosts have received since their start, by source.
	ReceivedBytes messages.SourceBytes
}

// ReadyReplicas returns the number of endpoint hosts that serve the deployment's current weight set.
func (s Status) ReadyReplicas(d catalog.EffectiveDeployment) int {
	n := 0
	for _, r := range s.Endpoints {
		if r.Pool == d.Spec.Pool && r.GateOpen && !r.Leaving && r.ServedSet == d.WeightSet {
			n++
		}
	}
	return n
}

// Progress summarizes the endpoint hosts that have been assigned a weight set.
func (s Status) Progress() Progress {
	var p Progress
	for _, r := range s.Endpoints {
		p.ReceivedBytes = p.ReceivedBytes.Add(r.ReceivedBytes)
		if r.AssignedSet == "" || r.Leaving {
			continue
		}
		p.Assigned++
		p.HeldChunks += r.HeldChunks
		p.TotalChunks += r.TotalChunks
		if r.GateOpen && r.ServedSet == r.AssignedSet {
			p.Ready++
		}
	}
	return p
}
