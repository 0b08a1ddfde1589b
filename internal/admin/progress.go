package admin

import (
	"slices"
	"strings"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Zone sums up the endpoints of one availability zone.
type Zone struct {
	Zone    ident.Zone `json:"zone"`
	Hosts   int        `json:"hosts"`
	Serving int        `json:"serving"`
	Leaving int        `json:"leaving"`
	// Low and High are the lowest and the highest offset of the configuration in the zone.
	Low  ident.Offset `json:"low"`
	High ident.Offset `json:"high"`
}

// Zones sums up the endpoints by availability zone, in the order of the zones' names.
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

// Progress sums up how far the endpoints are with the weight sets that they are to serve.
type Progress struct {
	// Ready and Want count replicas.
	Ready int
	Want  int
	// Chunks and Total count chunks held and wanted on all hosts that wait for a set.
	Chunks int
	Total  int
	// Bytes sums up where all hosts' chunks came from since they started.
	Bytes messages.SourceBytes
}

// Ready counts the endpoints that serve the deployment's current weight set.
func (s Status) Ready(d catalog.Effective) int {
	n := 0
	for _, r := range s.Endpoints {
		if r.Pool == d.Spec.Pool && r.Open && !r.Leaving && r.Set == d.Set {
			n++
		}
	}
	return n
}

// Progress sums up the endpoints that have been given a weight set.
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
