package scheduler

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
)

// Status is a snapshot of the scheduler.
type Status struct {
	Waiting int
	Running int
	// Keep tells that only high priority gets room, because this host's part of the endpoints is used up.
	Keep      bool
	Endpoints []EndpointStatus
}

// EndpointStatus is what the scheduler holds of one endpoint.
type EndpointStatus struct {
	Host    ident.Host
	Own     int
	Running float64
	Limit   int
	Free    bool
}

// Status returns a snapshot.
func (s *Scheduler) Status() Status {
	s.init()
	cs, keep := s.candidates()
	free := make(map[ident.Host]router.Candidate, len(cs))
	for _, c := range cs {
		free[c.Host] = c
	}
	out := Status{Waiting: s.Queue.Size(), Running: len(s.running), Keep: keep}
	for _, e := range s.endpoints {
		out.Endpoints = append(out.Endpoints, EndpointStatus{
			Host: e.report.Host, Own: e.est.Own(), Running: e.est.Running(s.EntryHosts()), Limit: e.lim.Limit(),
			Free: free[e.report.Host].Free,
		})
	}
	return out
}
