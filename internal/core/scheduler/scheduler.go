// Package scheduler admits requests to the endpoints of one pool: it queues them by priority and fair share,
// dispatches each to an endpoint that has capacity, and immediately refuses those that cannot be dispatched before
// their deadlines.
package scheduler

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/retryadvisor"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// FirstTokenTarget is the time to first token above which the limit of an endpoint is reduced. Callers are promised
	// 0.67 s, so the rest is left for the time in the queue.
	FirstTokenTarget = 450 * time.Millisecond
	// QueueCapacity is the maximum number of requests that one entry host queues for one pool.
	QueueCapacity = 256
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond

	// rateWindow is the time constant for smoothing the dispatch rate.
	rateWindow = 2 * time.Second
	// durationSmoothing is the weight of the latest request in the mean duration.
	durationSmoothing = 0.05
	// reserveWindow is how long capacity stays reserved for high priority after a high-priority request.
	reserveWindow = 5 * time.Second
	// reserveDivisor sets the reserved capacity: one part in reserveDivisor.
	reserveDivisor = 16
)

// Request is one request for an endpoint.
type Request struct {
	fairqueue.Item
	// WeightSets are the weight sets that may serve the request, the preferred one first.
	WeightSets []ident.WeightSet
	// Prefix selects a preferred endpoint, whose prefix cache may hold it; zero means no preference.
	Prefix prefixhasher.Prefix
	// NonStreaming marks a request whose response does not show when the first token was produced, because it is not
	// streamed.
	NonStreaming bool
	// TriedHosts holds the endpoints of earlier attempts, which must not be chosen again.
	TriedHosts map[ident.Host]bool
}

// Decision assigns an endpoint to a queued request or refuses it.
type Decision struct {
	Request *Request
	// Candidate is the chosen endpoint if Err is nil. The receiver must then call Finish once.
	Candidate router.Candidate
	// Err is the reason for a refusal.
	Err *outcome.Error
}

type inFlightRequest struct {
	request *Request
	start   time.Time
}

// StalledRequest names a request in flight at a stalled endpoint.
type StalledRequest struct {
	Host      ident.Host
	RequestID ident.RequestID
}

// Completion is how a request ended at its endpoint.
type Completion int

// Values of Completion.
const (
	// Completed means that the request was served, that its caller disconnected, or that it failed for a reason that
	// says nothing about the endpoint.
	Completed Completion = iota
	// Refused means that the endpoint did not run the request.
	Refused
	// Failed means that the endpoint or the connection failed.
	Failed
	// StaleState means that the endpoint refused the request because the scheduler's view of it was out of date.
	StaleState
)

// Scheduler schedules the requests for one pool of endpoints. It is not safe for concurrent use. Set its fields before
// use.
type Scheduler struct {
	// Router chooses among the endpoints that have capacity.
	Router *router.Router
	// Queue holds the requests that wait for an endpoint.
	Queue *fairqueue.Queue
	// RetryAdvisor computes when refused callers should retry.
	RetryAdvisor *retryadvisor.Advisor
	// EntryHosts returns the number of entry hosts that share the endpoints.
	EntryHosts func() int
	// Quota returns the local host's quota of an endpoint's limit. The quotas of all entry hosts add up to the limit, so
	// that hosts which do not know of each other's dispatches cannot overload a busy endpoint.
	Quota func(h ident.Host, limit int) int
	// OrganisationLimit returns an organisation's in-flight limit at this host; zero means no limit.
	OrganisationLimit func(ident.Organisation) int

	endpoints              []*endpoint
	byHost                 map[ident.Host]*endpoint
	waiting                map[ident.RequestID]*Request
	inFlight               map[ident.RequestID]*inFlightRequest
	inFlightByOrganisation map[ident.Organisation]int
	meanDuration           time.Duration
	lastHighPriority       time.Time
	// dispatchCount is the number of dispatches with exponential decay, as of dispatchCountTime.
	dispatchCount     float64
	dispatchCountTime time.Time
	startTime         time.Time
	// decisions are those not yet returned to the caller.
	decisions []Decision
}

// ApplyReport applies the full report of an endpoint.
func (s *Scheduler) ApplyReport(r messages.Report) []Decision {
	s.init()
	e, ok := s.byHost[r.Host]
	if !ok {
		e = &endpoint{}
		e.limiter.FirstTokenTarget = FirstTokenTarget
		s.byHost[r.Host] = e
		i, _ := slices.BinarySearchFunc(s.endpoints, r.Host, func(e *endpoint, h ident.Host) int {
			if e.report.Host < h {
				return -1
			}
			return 1
		})
		s.endpoints = slices.Insert(s.endpoints, i, e)
	}
	if !e.applyReport(r) {
		return nil
	}
	if e.closed || e.leaving {
		s.refuseUnservable()
	}
	return s.dispatchQueued()
}

func (s *Scheduler) init() {
	if s.byHost != nil {
		return
	}
	s.byHost = make(map[ident.Host]*endpoint)
	s.waiting = make(map[ident.RequestID]*Request)
	s.inFlight = make(map[ident.RequestID]*inFlightRequest)
	s.inFlightByOrganisation = make(map[ident.Organisation]int)
	s.startTime = time.Now()
	s.dispatchCountTime = s.startTime
}

// Submit queues or refuses a request. It returns the decisions on this request and on others.
func (s *Scheduler) Submit(q *Request) []Decision {
	s.init()
	if !s.hasEndpoint(q) {
		s.refuse(q, outcome.NoEndpoint)
		return s.flushDecisions()
	}
	if ahead := s.Queue.CountAhead(q.Organisation, q.Class); ahead > 0 && !s.canMeetDeadline(q, ahead) {
		s.refuse(q, outcome.Overload)
		return s.flushDecisions()
	}
	if q.Class == fairqueue.High {
		s.lastHighPriority = time.Now()
	}
	s.waiting[q.ID] = q
	if evicted := s.Queue.Push(&q.Item); evicted != nil {
		s.refuse(s.waiting[evicted.ID], outcome.Overload)
	}
	return s.dispatchQueued()
}

// hasEndpoint reports whether an endpoint that was not tried yet can be expected to accept the request.
func (s *Scheduler) hasEndpoint(q *Request) bool {
	for _, e := range s.endpoints {
		if e.available() && !q.TriedHosts[e.report.Host] && slices.Contains(q.WeightSets, e.report.ServedSet) {
			return true
		}
	}
	return false
}

// canMeetDeadline reports whether a request with a number of requests ahead can be dispatched before its deadline.
func (s *Scheduler) canMeetDeadline(q *Request, ahead int) bool {
	rate := s.dispatchRate()
	if rate == 0 {
		return true
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return time.Now().Add(wait).Before(q.Deadline)
}

// dispatchRate returns the expected number of dispatches per second: the larger of the recent rate and the rate at
// which the requests in flight finish, given their mean duration. It is zero until there is enough data.
func (s *Scheduler) dispatchRate() float64 {
	if s.meanDuration == 0 || time.Since(s.startTime) < rateWindow {
		return 0
	}
	recent := s.dispatchCount * decayFactor(s.dispatchCountTime) / rateWindow.Seconds()
	return max(recent, float64(len(s.inFlight))/s.meanDuration.Seconds())
}

func (s *Scheduler) refuse(q *Request, reason outcome.Reason) {
	delete(s.waiting, q.ID)
	text := "all endpoints of the deployment are busy"
	if reason == outcome.NoEndpoint {
		text = "no endpoint serves the deployment now"
	}
	err := &outcome.Error{Kind: outcome.NotRun, Reason: reason, RetryAfter: s.RetryAdvisor.CountRefused(q.Class), Message: text}
	s.decisions = append(s.decisions, Decision{Request: q, Err: err})
}

func (s *Scheduler) flushDecisions() []Decision {
	decisions := s.decisions
	s.decisions = nil
	return decisions
}

// dispatchQueued dispatches as many queued requests as the endpoints have capacity for, and returns all new decisions.
func (s *Scheduler) dispatchQueued() []Decision {
	for s.Queue.Size() > 0 {
		cs, highPriorityOnly := s.candidates()
		if !slices.ContainsFunc(cs, func(c router.Candidate) bool { return c.Available }) {
			break
		}
		var chosen router.Candidate
		it := s.Queue.Next(func(it *fairqueue.Item) bool {
			if it.Class != fairqueue.High && highPriorityOnly {
				return false
			}
			var ok bool
			chosen, ok = s.chooseEndpoint(s.waiting[it.ID], cs)
			return ok
		})
		if it == nil {
			break
		}
		s.dispatch(s.waiting[it.ID], chosen)
	}
	return s.flushDecisions()
}

// candidates returns the available endpoints. highPriorityOnly reports whether they are so busy that this host must
// stay within its quota, and that all of the quota is in use except for the reserve for high priority.
func (s *Scheduler) candidates() (cs []router.Candidate, highPriorityOnly bool) {
	statsBySet := make(map[ident.WeightSet]latencyStats, 2)
	entryHosts := s.EntryHosts()
	cs = make([]router.Candidate, 0, len(s.endpoints))
	quotas, limits := 0, 0
	totalInFlight := 0.0
	for _, e := range s.endpoints {
		if !e.available() {
			continue
		}
		stats, ok := statsBySet[e.report.ServedSet]
		if !ok {
			stats = computeLatencyStats(s.endpoints, e.report.ServedSet)
			statsBySet[e.report.ServedSet] = stats
		}
		limit, inFlight := e.limiter.Limit(), e.estimator.InFlight(entryHosts)
		quota := s.Quota(e.report.Host, limit)
		cs = append(cs, e.candidate(stats, limit, quota, inFlight))
		limits += limit
		quotas += quota
		totalInFlight += inFlight
	}
	if time.Since(s.lastHighPriority) < reserveWindow {
		quotas -= max(1, (quotas+reserveDivisor/2)/reserveDivisor)
	}
	return cs, totalInFlight >= sharedFraction*float64(limits) && len(s.inFlight) >= quotas
}

func (s *Scheduler) chooseEndpoint(q *Request, cs []router.Candidate) (router.Candidate, bool) {
	if n := s.OrganisationLimit(q.Organisation); n > 0 && s.inFlightByOrganisation[q.Organisation] >= n {
		return router.Candidate{}, false
	}
	suitable := make([]router.Candidate, 0, len(cs))
	for _, set := range q.WeightSets {
		suitable = suitable[:0]
		for _, c := range cs {
			if c.WeightSet == set && !q.TriedHosts[c.Host] {
				suitable = append(suitable, c)
			}
		}
		if c, ok := s.Router.Choose(suitable, q.Prefix); ok {
			return c, true
		}
	}
	return router.Candidate{}, false
}

func (s *Scheduler) dispatch(q *Request, c router.Candidate) {
	delete(s.waiting, q.ID)
	s.inFlight[q.ID] = &inFlightRequest{q, time.Now()}
	s.inFlightByOrganisation[q.Organisation]++
	s.byHost[c.Host].estimator.Start(q.ID, q.NonStreaming)
	s.RetryAdvisor.CountAdmitted(q.Class)
	s.dispatchCount = s.dispatchCount*decayFactor(s.dispatchCountTime) + 1
	s.dispatchCountTime = time.Now()
	s.decisions = append(s.decisions, Decision{Request: q, Candidate: c})
}
