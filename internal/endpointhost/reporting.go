package endpointhost

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/reporter"
)

// reportTargets returns the entry hosts to report to.
func (s *Server) reportTargets() reporter.Targets {
	selector := reporter.TargetSelector{Host: s.Settings.Host, Zone: s.Settings.Zone}
	entries := s.members.Members(membership.RoleEntry)
	endpoints := s.members.Members(membership.RoleEndpoint)
	return selector.Select(entries, endpoints, s.replicas(endpoints))
}

// replicas returns the expected number of endpoints that serve the same weight set or the same plain service: the
// largest replica count of its deployments, at most the size of the pool. Without a weight set it is the size of the
// pool.
func (s *Server) replicas(endpoints []membership.Member) int {
	poolSize := 0
	for _, m := range endpoints {
		if m.Pool == s.Settings.Pool {
			poolSize++
		}
	}
	set := s.gate.Status().Set
	if set == "" {
		return poolSize
	}
	wanted := 0
	s.follower.View(func(r *reducer.Reducer) {
		for _, d := range r.Deployments() {
			if d.WeightSet == set || d.PreviousWeightSet == set {
				wanted = max(wanted, d.Spec.Replicas)
			}
		}
	})
	return min(poolSize, wanted)
}

// uptime returns the time since the start of the host in milliseconds, by the monotonic clock.
func (s *Server) uptime() int64 {
	return time.Since(s.started).Milliseconds()
}

// loadHeader returns the current load as the value of a response header.
func (s *Server) loadHeader() string {
	load := messages.LoadUpdate{
		StartTime: s.startTime, SentMs: s.uptime(), Offset: s.follower.Offset(), InFlight: s.gate.Status().InFlight, Slots: s.reconciler.Slots(),
	}
	return load.Header()
}
