package endpoint

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/reporter"
)

// targets returns the entry hosts to report to.
func (s *Server) targets() reporter.Targets {
	c := reporter.Chooser{Host: s.Settings.Host, Zone: s.Settings.Zone}
	entries := s.members.Members(membership.RoleEntry)
	endpoints := s.members.Members(membership.RoleEndpoint)
	return c.Targets(entries, endpoints, s.replicas(endpoints))
}

// replicas returns the number of endpoints that answer for the same weight set, or for the same plain service.
func (s *Server) replicas(endpoints []membership.Member) int {
	pool := 0
	for _, m := range endpoints {
		if m.Pool == s.Settings.Pool {
			pool++
		}
	}
	set := s.gate.Status().Set
	if set == "" {
		return pool
	}
	asked := 0
	s.follower.View(func(r *reducer.Reducer) {
		for _, d := range r.Deployments() {
			if d.Set == set || d.Previous == set {
				asked = max(asked, d.Spec.Replicas)
			}
		}
	})
	return min(pool, asked)
}

// uptime returns the time since the start in milliseconds, by the monotonic clock.
func (s *Server) uptime() int64 {
	return time.Since(s.began).Milliseconds()
}

// loadHeader returns the load as answers carry it.
func (s *Server) loadHeader() string {
	l := messages.Load{
		Birth: s.birth, Time: s.uptime(), Offset: s.follower.Offset(), Running: s.gate.Status().Running, Slots: s.reconciler.Slots(),
	}
	return l.Header()
}
