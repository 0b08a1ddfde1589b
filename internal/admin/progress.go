package admin

import (
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Zone summarizes the endpoint hosts of one availability zone.
type Zone struct {
	Zone    ident.Zone `json:"zone"`
	Hosts   int        `json:"hosts"`
	Serving int        `json:"serving"`
	Leaving int        `json:"leaving"`
	// Low and High are the lowest and the highest configuration offset of the hosts in the zone.
	Low  ident.Offset `json:"low"`
	High ident.Offset `json:"high"`
}

// Zones summarizes the endpoint hosts by availability zone, sorted by the zones' names.
func (s Status) Zones() []Zone {
	byName := make(map[ident.Zone]Zone)
	for _, r := range s.Endpoints {
		z, ok := byName[r.Zone]
		if !ok {
			z = Zone{Zone: r.Zone, Low: r.Offset}
		}
		z.Hosts++
		if r.Leaving {
			z.Leaving++
		} else if r.Open {
			z.Serving++
		}
		z.Low = min(z.Low, r.Offset)
		z.High = max(z.High, r.Offset)
		byName[r.Zone] = z
	}
	out := []Zone{}
	for _, z := range byName {
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b Zone) int { return strings.Compare(string(a.Zone), string(b.Zone)) })
	return out
}

// Progress summarizes how far the endpoint hosts have fetched and loaded the weight sets assigned to them.
type Progress struct {
	// Want is the number of replicas that have been assigned a weight set, and Ready of those that serve it.
	Ready int
	Want  int
	// Chunks is the number of chunks that these replicas hold, and Total of those that their weight sets consist of.
	Chunks int
	Total  int
	// Bytes is the number of chunk bytes that all hosts have received since their start, by source.
	Bytes messages.SourceBytes
}

// Ready returns the number of endpoint hosts that serve the deployment's current weight set.
func (s Status) Ready(d catalog.Effective) int {
	n := 0
	for _, r := range s.Endpoints {
		if r.Pool == d.Spec.Pool && r.Open && !r.Leaving && r.Set == d.Set {
			n++
		}
	}
	return n
}

// Progress summarizes the endpoint hosts that have been assigned a weight set.
func (s Status) Progress() Progress {
	var p Progress
	for _, r := range s.Endpoints {
		p.Bytes = p.Bytes.Add(r.Bytes)
		if r.Want == "" || r.Leaving {
			continue
		}
		p.Want++
		p.Chunks += r.Chunks
		p.Total += r.Total
		if r.Open && r.Set == r.Want {
			p.Ready++
		}
	}
	return p
}
