package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outlierejector"
)

// trialReportAge is the age up to which a reported load shows that an ejected endpoint has no request of another host.
const trialReportAge = 100 * time.Millisecond

// suspectPenalty is the cost of an endpoint whose last requests have failed or whose host does not reply. It exceeds every prediction, so that the endpoint
// is chosen only if no other one of the candidates can serve the request.
const suspectPenalty = time.Hour

// Ejection is the ejection or the readmission of an endpoint, with the failure rates behind it.
type Ejection struct {
	Endpoint              fleetconfig.Endpoint
	IsEjected             bool
	FailureRate, MeanRate float64
}

// setEjectors passes the endpoints of each pool to its ejector. The caller must hold a.mu.
func (a *Assigner) setEjectors() {
	if a.OnEjection == nil {
		return
	}
	old := a.ejectors
	a.ejectors = make(map[ident.Pool]*outlierejector.Ejector, len(a.members))
	for pool, m := range a.members {
		j := old[pool]
		if j == nil {
			j = &outlierejector.Ejector{}
		}
		byMember := make(map[*outlierejector.Member]*endpointState, len(m.all))
		members := make([]*outlierejector.Member, 0, len(m.all))
		for _, s := range m.all {
			members = append(members, &s.outcomes)
			byMember[&s.outcomes] = s
		}
		j.OnChange = func(c outlierejector.Change) {
			if s := byMember[c.Member]; s != nil {
				a.OnEjection(Ejection{Endpoint: s.Endpoint, IsEjected: c.IsEjected, FailureRate: c.FailureRate, MeanRate: c.MeanRate})
			}
		}
		j.SetMembers(members)
		a.ejectors[pool] = j
	}
}

// recordOutcome counts the outcome of a request if it says something about the endpoint. A stream has been counted as served
// at its first event: the end of one that began before the endpoint failed would hide the failures since. The failure of
// a request that has failed elsewhere does not count. The caller must hold a.mu.
func (a *Assigner) recordOutcome(s *endpointState, c *Assignment, outcome Outcome) {
	switch outcome {
	case Served:
		if !c.hasFirstEvent {
			a.countOutcome(s, c, false)
		}
	case Failed, Errored, TimedOut:
		if !c.hasFailed {
			a.countOutcome(s, c, true)
		}
	case Unreachable, AddressReused, Refused, CallerGone, NotSent:
	}
}

func (a *Assigner) countOutcome(s *endpointState, c *Assignment, isFailure bool) {
	if j := a.ejectors[s.Pool]; j != nil {
		j.Record(&s.outcomes, c.sentAt, isFailure)
	}
}

// OutcomeTotals returns the numbers of requests of this host at an endpoint by their outcome, or nil if endpoints are not
// ejected.
func (a *Assigner) OutcomeTotals(e fleetconfig.Endpoint) *outcometracker.Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.OnEjection == nil {
		return nil
	}
	totals := outcometracker.Totals{}
	if s := a.incarnation(e); s != nil {
		totals = s.outcomes.Totals()
	}
	totals.Zone = a.Zone
	return &totals
}

// SetOutcomes records the outcomes of all hosts at an incarnation of an endpoint.
func (a *Assigner) SetOutcomes(e fleetconfig.Endpoint, sums outcometracker.Sums) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.incarnation(e)
	if s == nil {
		return
	}
	if j := a.ejectors[s.Pool]; j != nil {
		j.SetSums(&s.outcomes, sums)
	}
}

// EjectedEndpoints returns the number of endpoints that are ejected.
func (a *Assigner) EjectedEndpoints() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.endpoints {
		if s.outcomes.IsEjected() {
			n++
		}
	}
	return n
}

// hasUnsuspected reports whether one of the endpoints has not failed its last requests. The caller must hold a.mu.
func (a *Assigner) hasUnsuspected(endpoints []fleetconfig.Endpoint, now time.Time) bool {
	for _, e := range endpoints {
		if s := a.endpoints[e.ID]; !s.outcomes.IsEjected() && !s.isSuspect(now) {
			return true
		}
	}
	return false
}

// isSuspect reports whether other endpoints are preferred: the last requests of the endpoint have failed, or its host does not
// reply.
func (s *endpointState) isSuspect(now time.Time) bool {
	return s.outcomes.IsSuspect(now) || s.stall.IsDoubtful(now)
}

// allowsTrial reports whether an ejected endpoint may get the request of a query, as the only one of all hosts. The caller
// must hold a.mu.
func (s *endpointState) allowsTrial(q Query, now time.Time) bool {
	inFlight := s.localLoad.Requests
	if now.Sub(s.reportedAt) <= trialReportAge {
		inFlight += s.othersLoad.Requests
	}
	return s.outcomes.AllowsTrial(inFlight, q.IsRepeatable, now)
}
