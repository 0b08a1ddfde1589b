package entryhost

import (
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// maxRolloutSets is the maximum number of weight sets that the response to a report counts.
const maxRolloutSets = 32

// mergeMembership records that the reporting host was seen, and returns the report, marked as leaving if the membership
// list marks the same incarnation as leaving. The host itself may not know yet that it is to leave.
func (s *Server) mergeMembership(r messages.Report) messages.Report {
	s.members.Observe(roster.Observation{Host: r.Host, Zone: r.Zone, StartTime: r.StartTime, Leaving: r.Leaving})
	r.Leaving = r.Leaving || s.members.HostState(r.Host) == roster.Leaving
	return r
}

// rolloutCounts counts the replicas of the pool by weight set. It returns nil unless the reporting host has to change
// its weight set, as no other host needs the counts.
func (s *Server) rolloutCounts(r messages.Report) []rolloutlimiter.SetCount {
	if !r.GateOpen || r.AssignedSet == "" || r.AssignedSet == r.ServedSet {
		return nil
	}
	var open []rolloutlimiter.Replica
	for _, o := range s.reports.Reports() {
		if o.Pool == r.Pool && o.GateOpen && s.members.HostState(o.Host) == roster.Live {
			open = append(open, rolloutlimiter.Replica{Host: o.Host, ServedSet: o.ServedSet, AssignedSet: o.AssignedSet, Offset: o.Offset})
		}
	}
	counts := rolloutlimiter.CountReplicas(r.Host, r.AssignedSince, open)
	return counts[:min(len(counts), maxRolloutSets)]
}
