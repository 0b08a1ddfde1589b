package entry

import (
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// maxWaveSets bounds the weight sets that an answer to a report counts.
const maxWaveSets = 32

// join marks a report as leaving where the list says so of the same incarnation, whatever the host itself knows yet.
func (s *Server) join(r messages.Report) messages.Report {
	s.members.Hear(roster.Sighting{Host: r.Host, Zone: r.Zone, Birth: r.Birth, Leaving: r.Leaving})
	r.Leaving = r.Leaving || s.members.State(r.Host) == roster.Leaving
	return r
}

// wave counts the replicas of the pool for a host that is to leave the weight set it serves.
func (s *Server) wave(r messages.Report) []rolloutlimiter.Count {
	if !r.Open || r.Want == "" || r.Want == r.Set {
		return nil
	}
	var open []rolloutlimiter.Replica
	for _, o := range s.reports.Reports() {
		if o.Pool == r.Pool && o.Open && s.members.State(o.Host) == roster.Live {
			open = append(open, rolloutlimiter.Replica{Host: o.Host, Set: o.Set, Want: o.Want, Offset: o.Offset})
		}
	}
	counts := rolloutlimiter.Tally(r.Host, r.Since, open)
	return counts[:min(len(counts), maxWaveSets)]
}
