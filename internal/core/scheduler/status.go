package scheduler

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
)

// Status is a snapshot of the scheduler.
type Status struct {
	Queued   int
	InFlight int
	// HighPriorityOnly is true while only high-priority requests are dispatched, because the local host's quota of the
	// endpoints is used up except for the reserve.
	HighPriorityOnly bool
	Endpoints        []EndpointStatus
}

// EndpointStatus is the scheduler's state of one endpoint.
type EndpointStatus struct {
	Host ident.Host
	// LocalInFlight is the number of requests that the local host has in flight at the endpoint.
	LocalInFlight int
	// EstimatedInFlight is the estimated number of requests from all entry hosts.
	EstimatedInFlight float64
	Limit             int
	Available         bool
}

// Status returns a snapshot.
func (s *Scheduler) Status() Status {
	s.init()
	candidates, highPriorityOnly := s.candidates()
	byHost := make(map[ident.Host]router.Candidate, len(candidates))
	for _, c := range candidates {
		byHost[c.Host] = c
	}
	status := Status{Queued: s.Queue.Size(), InFlight: len(s.inFlight), HighPriorityOnly: highPriorityOnly}
	for _, e := range s.endpoints {
		status.Endpoints = append(status.Endpoints, EndpointStatus{
			Host: e.report.Host, LocalInFlight: e.estimator.LocalRequests(), EstimatedInFlight: e.estimator.InFlight(s.EntryHosts()),
			Limit: e.limiter.Limit(), Available: byHost[e.report.Host].Available,
		})
	}
	return status
}
