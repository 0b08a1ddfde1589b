package admin

import "github.com/nutmegdock/nutmegdock/internal/core/catalog"

// Progress sums up how far the endpoints are with the weight sets that they are to serve.
type Progress struct {
	// Ready and Want count replicas.
	Ready int
	Want  int
	// Chunks and Total count chunks held and wanted on all hosts that wait for a set.
	Chunks int
	Total  int
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
