package entry

import (
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// maxRolloutSets is the maximum number of weight sets that the response to a report counts.
const maxRolloutSets = 32

// mergeMembership records that the reporting host was seen, and returns the report marked as leaving if the membership
// list says so of the same incarnation. The host itself may not know yet that it is to leave.
func (s *Server) mergeMembership(r messages.Report) messages.Report {
	s.members.Hear(roster.Sighting{Host: r.Host, Zone: r.Zone, Birth: r.Birth, Leaving: r.Leaving})
	r.Leaving = r.Leaving || s.members.State(r.Host) == roster.Leaving
	return r
}

// rolloutCounts counts the replicas of the pool by weight set. It returns nil unless the reporting host has to change
// its weight set, as no other host needs the counts.
func (s *Server) rolloutCounts(r messages.Report) []rolloutlimiter.Count {
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
	return counts[:min(len(counts), maxRolloutSets)]
}
