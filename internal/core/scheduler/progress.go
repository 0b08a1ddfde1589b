package scheduler

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// decayFactor returns the weight that remains, after exponential decay, of a count that was last updated at since.
func decayFactor(since time.Time) float64 {
	return math.Exp(-float64(time.Since(since)) / float64(rateWindow))
}

// RecordFirstToken records the first token, or the response head, of a request that was dispatched to h.
func (s *Scheduler) RecordFirstToken(h ident.Host, id ident.RequestID) []Decision {
	if _, ok := s.inFlight[id]; !ok {
		return nil
	}
	e := s.byHost[h]
	start, ok := e.estimator.RecordFirstToken(id)
	if !ok {
		return nil
	}
	e.breaker.RecordSuccess()
	e.limiter.Observe(start, time.Since(start), int(math.Ceil(e.estimator.InFlight(s.EntryHosts()))))
	return s.dispatchQueued()
}

// Finish releases the capacity that a request dispatched to h occupied.
func (s *Scheduler) Finish(h ident.Host, id ident.RequestID, completion Completion) []Decision {
	r, ok := s.inFlight[id]
	if !ok {
		return nil
	}
	delete(s.inFlight, id)
	org := r.request.Organisation
	s.inFlightByOrganisation[org]--
	if s.inFlightByOrganisation[org] == 0 {
		delete(s.inFlightByOrganisation, org)
	}
	e := s.byHost[h]
	e.estimator.End(id)
	if completion == StaleState {
		return s.dispatchQueued()
	}
	if completion != Completed {
		e.breaker.RecordFailure()
		return s.dispatchQueued()
	}
	duration := time.Since(r.start)
	if s.meanDuration == 0 {
		s.meanDuration = duration
	}
	s.meanDuration += time.Duration(durationSmoothing * float64(duration-s.meanDuration))
	return s.dispatchQueued()
}

// Cancel removes a request from the queue. It returns false if the request is not queued.
func (s *Scheduler) Cancel(id ident.RequestID) ([]Decision, bool) {
	q, ok := s.waiting[id]
	if !ok {
		return nil, false
	}
	delete(s.waiting, id)
	s.Queue.Remove(&q.Item)
	return s.dispatchQueued(), true
}

// MarkLeaving stops dispatching to a host whose known incarnation is the given one or an earlier one. The next
// incarnation receives requests again.
func (s *Scheduler) MarkLeaving(h ident.Host, incarnation int64) []Decision {
	e, ok := s.byHost[h]
	if !ok || e.leaving || e.report.StartTime > incarnation {
		return nil
	}
	e.leaving = true
	s.refuseUnservable()
	return s.dispatchQueued()
}

// closedPause is how long an endpoint that refused a request as closed receives no requests.
const closedPause = 500 * time.Millisecond

// ApplyLoad applies the load of an endpoint.
func (s *Scheduler) ApplyLoad(l messages.LoadUpdate) []Decision {
	e, ok := s.byHost[l.Host]
	if !ok || !e.applyLoad(l) {
		return nil
	}
	return s.dispatchQueued()
}

// UpdateServedSet records the weight set that an endpoint named when it refused a request. It is valid until the next
// report. An empty set means that the endpoint is closed.
func (s *Scheduler) UpdateServedSet(h ident.Host, set ident.WeightSet) []Decision {
	e, ok := s.byHost[h]
	if !ok {
		return nil
	}
	if set == "" {
		e.closedUntil = time.Now().Add(closedPause)
		return s.dispatchQueued()
	}
	e.closed = false
	e.report.ServedSet = set
	return s.dispatchQueued()
}

// Tick refuses queued requests that can no longer be dispatched before their deadlines, removes expired endpoints, and
// dispatches to endpoints whose pause has ended. It must be called at every TickInterval.
func (s *Scheduler) Tick() []Decision {
	s.init()
	for _, it := range s.Queue.RemoveLate(s.dispatchRate()) {
		s.refuse(s.waiting[it.ID], outcome.Overload)
	}
	s.refuseUnservable()
	s.endpoints = slices.DeleteFunc(s.endpoints, func(e *endpoint) bool {
		if e.expired() {
			delete(s.byHost, e.report.Host)
			return true
		}
		return false
	})
	return s.dispatchQueued()
}

// refuseUnservable refuses queued requests that no available endpoint can serve, in the order of their ids.
func (s *Scheduler) refuseUnservable() {
	var unservable []*Request
	for _, q := range s.waiting {
		if !s.hasEndpoint(q) {
			unservable = append(unservable, q)
		}
	}
	slices.SortFunc(unservable, func(a, b *Request) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, q := range unservable {
		s.Queue.Remove(&q.Item)
		s.refuse(q, outcome.NoEndpoint)
	}
}

// StalledRequests returns the requests that wait for a first token at a stalled endpoint.
func (s *Scheduler) StalledRequests() []StalledRequest {
	var stalled []StalledRequest
	for _, e := range s.endpoints {
		timeout := computeLatencyStats(s.endpoints, e.report.ServedSet).stallTimeout
		if !e.stalled(timeout) {
			continue
		}
		ids := e.estimator.Overdue(timeout)
		slices.Sort(ids)
		for _, id := range ids {
			stalled = append(stalled, StalledRequest{Host: e.report.Host, RequestID: id})
		}
	}
	return stalled
}
