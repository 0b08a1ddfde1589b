// Package scheduler admits requests to the endpoints of one pool: it queues them by priority and fair share, hands each
// to an endpoint that has room, and refuses at once those that cannot be handed over in time.
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
	// FirstTokenTarget is the time to the first token above which an endpoint is given less. It leaves room for the
	// queue in the 0.67 s that callers are promised.
	FirstTokenTarget = 450 * time.Millisecond
	// QueueCapacity is the most requests that wait at one entry host for one pool.
	QueueCapacity = 256
	// TickInterval is how often Tick must be called.
	TickInterval = 50 * time.Millisecond

	// rateWindow is the time over which the rate of hand-overs is smoothed.
	rateWindow = 2 * time.Second
	holdShare  = 0.05
	// reserveTime is how long room is kept free for high priority after a request of it.
	reserveTime = 5 * time.Second
	// reserveShare is the part of the room that is kept free, as its divisor.
	reserveShare = 16
)

// Request is one request that asks for an endpoint. A zero prefix has no affinity.
type Request struct {
	fairqueue.Item
	// Sets are the weight sets that may serve the request, the preferred one first.
	Sets []ident.WeightSet
	// Prefix prefers an endpoint.
	Prefix prefixhasher.Prefix
	// Whole marks a request whose answer shows no first token before its end.
	Whole bool
	// Tried are endpoints that must not be chosen again.
	Tried map[ident.Host]bool
}

// Decision ends the wait of a request: with an endpoint, or with a refusal.
type Decision struct {
	Request *Request
	// Candidate is the endpoint, if Err is nil. The caller must call End for it once.
	Candidate router.Candidate
	// Err is the refusal.
	Err *outcome.Error
}

type granted struct {
	request *Request
	start   time.Time
}

// Stall names a request that an endpoint without progress holds.
type Stall struct {
	Host ident.Host
	ID   ident.Request
}

// End tells how a request ended at its endpoint.
type End int

// Ends of requests.
const (
	// Done is an answer, or a caller who went away.
	Done End = iota
	// Refused means that the endpoint did not run the request.
	Refused
	// Lost means that the endpoint or the connection failed.
	Lost
	// Outdated means that the endpoint refused since its state was not known as it is.
	Outdated
)

// Scheduler decides for one pool of endpoints. It is not safe for concurrent use. Set its fields before use.
type Scheduler struct {
	// Router chooses among the endpoints that have room.
	Router *router.Router
	// Queue holds the requests that wait.
	Queue *fairqueue.Queue
	// RetryAdvisor tells refused callers when to come back.
	RetryAdvisor *retryadvisor.Advisor
	// EntryHosts returns the number of entry hosts that share the endpoints.
	EntryHosts func() int
	// Part returns how many of an endpoint's limit are this entry host's own. The parts of all entry hosts make up the
	// limit, so that a busy endpoint is not given too much by hosts that do not know of each other's hand-overs.
	Part func(h ident.Host, limit int) int
	// Limit returns the most requests of an organisation that may run at once from here; zero means no limit.
	Limit func(ident.Organisation) int

	endpoints []*endpoint
	byHost    map[ident.Host]*endpoint
	waiting   map[ident.Request]*Request
	running   map[ident.Request]*granted
	perOrg    map[ident.Organisation]int
	hold      time.Duration
	highSeen  time.Time
	served    float64
	servedAt  time.Time
	begun     time.Time
	out       []Decision
}

// Report takes an endpoint's report.
func (s *Scheduler) Report(r messages.Report) []Decision {
	s.init()
	e, ok := s.byHost[r.Host]
	if !ok {
		e = &endpoint{}
		e.lim.Target = FirstTokenTarget
		s.byHost[r.Host] = e
		i, _ := slices.BinarySearchFunc(s.endpoints, r.Host, func(e *endpoint, h ident.Host) int {
			if e.report.Host < h {
				return -1
			}
			return 1
		})
		s.endpoints = slices.Insert(s.endpoints, i, e)
	}
	if !e.put(r) {
		return nil
	}
	if e.closed || e.leaving {
		s.strand()
	}
	return s.pump()
}

func (s *Scheduler) init() {
	if s.byHost != nil {
		return
	}
	s.byHost = make(map[ident.Host]*endpoint)
	s.waiting = make(map[ident.Request]*Request)
	s.running = make(map[ident.Request]*granted)
	s.perOrg = make(map[ident.Organisation]int)
	s.begun = time.Now()
	s.servedAt = s.begun
}

// Submit takes a request and returns what it decides, for this request and for others.
func (s *Scheduler) Submit(q *Request) []Decision {
	s.init()
	if !s.serves(q) {
		s.refuse(q, outcome.NoEndpoint)
		return s.flush()
	}
	if ahead := s.Queue.Ahead(q.Organisation, q.Class); ahead > 0 && !s.inTime(q, ahead) {
		s.refuse(q, outcome.Overload)
		return s.flush()
	}
	if q.Class == fairqueue.High {
		s.highSeen = time.Now()
	}
	s.waiting[q.ID] = q
	if shed := s.Queue.Push(&q.Item); shed != nil {
		s.refuse(s.waiting[shed.ID], outcome.Overload)
	}
	return s.pump()
}

// serves tells whether an endpoint that was not tried yet can be expected to take the request.
func (s *Scheduler) serves(q *Request) bool {
	for _, e := range s.endpoints {
		if e.alive() && !q.Tried[e.report.Host] && slices.Contains(q.Sets, e.report.Set) {
			return true
		}
	}
	return false
}

func (s *Scheduler) inTime(q *Request, ahead int) bool {
	rate := s.rate()
	if rate == 0 {
		return true
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	return time.Now().Add(wait).Before(q.Deadline)
}

// rate returns the number of hand-overs a second that can be expected: what was seen of late, or what the running
// requests and their mean time amount to, if that is more. It is zero if too little has been seen.
func (s *Scheduler) rate() float64 {
	if s.hold == 0 || time.Since(s.begun) < rateWindow {
		return 0
	}
	seen := s.served * decay(s.servedAt) / rateWindow.Seconds()
	return max(seen, float64(len(s.running))/s.hold.Seconds())
}

func (s *Scheduler) refuse(q *Request, reason outcome.Reason) {
	delete(s.waiting, q.ID)
	text := "all endpoints of the deployment are busy"
	if reason == outcome.NoEndpoint {
		text = "no endpoint serves the deployment now"
	}
	err := &outcome.Error{Kind: outcome.NotRun, Reason: reason, After: s.RetryAdvisor.Refuse(q.Class), Text: text}
	s.out = append(s.out, Decision{Request: q, Err: err})
}

func (s *Scheduler) flush() []Decision {
	out := s.out
	s.out = nil
	return out
}

// pump hands over as many requests as the endpoints have room for.
func (s *Scheduler) pump() []Decision {
	for s.Queue.Size() > 0 {
		cs, keep := s.candidates()
		if !slices.ContainsFunc(cs, func(c router.Candidate) bool { return c.Free }) {
			break
		}
		var chosen router.Candidate
		it := s.Queue.Next(func(it *fairqueue.Item) bool {
			if it.Class != fairqueue.High && keep {
				return false
			}
			var ok bool
			chosen, ok = s.choose(s.waiting[it.ID], cs)
			return ok
		})
		if it == nil {
			break
		}
		s.grant(s.waiting[it.ID], chosen)
	}
	return s.flush()
}

// candidates returns the endpoints that can be expected to take work. Keep tells that they are so busy that this host must
// keep to its own part of them, and that all of it is in use but for what is kept free for high priority.
func (s *Scheduler) candidates() (cs []router.Candidate, keep bool) {
	pools := make(map[ident.WeightSet]pool, 2)
	entryHosts := s.EntryHosts()
	cs = make([]router.Candidate, 0, len(s.endpoints))
	own, all := 0, 0
	busy := 0.0
	for _, e := range s.endpoints {
		if !e.alive() {
			continue
		}
		p, ok := pools[e.report.Set]
		if !ok {
			p = measure(s.endpoints, e.report.Set)
			pools[e.report.Set] = p
		}
		limit, running := e.lim.Limit(), e.est.Running(entryHosts)
		part := s.Part(e.report.Host, limit)
		cs = append(cs, e.candidate(p, limit, part, running))
		all += limit
		own += part
		busy += running
	}
	if time.Since(s.highSeen) < reserveTime {
		own -= max(1, (own+reserveShare/2)/reserveShare)
	}
	return cs, busy >= lendShare*float64(all) && len(s.running) >= own
}

func (s *Scheduler) choose(q *Request, cs []router.Candidate) (router.Candidate, bool) {
	if n := s.Limit(q.Organisation); n > 0 && s.perOrg[q.Organisation] >= n {
		return router.Candidate{}, false
	}
	fit := make([]router.Candidate, 0, len(cs))
	for _, set := range q.Sets {
		fit = fit[:0]
		for _, c := range cs {
			if c.Set == set && !q.Tried[c.Host] {
				fit = append(fit, c)
			}
		}
		if c, ok := s.Router.Choose(fit, q.Prefix); ok {
			return c, true
		}
	}
	return router.Candidate{}, false
}

func (s *Scheduler) grant(q *Request, c router.Candidate) {
	delete(s.waiting, q.ID)
	s.running[q.ID] = &granted{q, time.Now()}
	s.perOrg[q.Organisation]++
	s.byHost[c.Host].est.Start(q.ID, q.Whole)
	s.RetryAdvisor.Grant(q.Class)
	s.served = s.served*decay(s.servedAt) + 1
	s.servedAt = time.Now()
	s.out = append(s.out, Decision{Request: q, Candidate: c})
}
