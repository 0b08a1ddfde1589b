// Package admitter queues the requests of an entry host until an endpoint has capacity for them, or refuses them.
package admitter

import (
	"context"
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/retryadvisor"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/scheduler"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

// overloadEndDelay is the time without an overload refusal after which a pool's overload has ended.
const overloadEndDelay = 10 * time.Second

// AdmissionRequest describes the endpoint that a request needs.
type AdmissionRequest struct {
	Pool         ident.Pool
	Organisation ident.Organisation
	Deployment   ident.Deployment
	// WeightSets are the weight sets that may serve the request, the preferred one first.
	WeightSets []ident.WeightSet
	// Priority is the priority of the deployment.
	Priority int
	// Cost is the estimated work of the request, such as its number of tokens.
	Cost float64
	// PromptPrefix identifies the beginning of the prompt, to prefer an endpoint that may have it in its cache. Zero means
	// no preference.
	PromptPrefix prefixhasher.Prefix
	// NonStreaming marks a request whose response is not streamed.
	NonStreaming bool
	// Repeatable allows the attempt to be cancelled when its endpoint makes no progress.
	Repeatable bool
	// TriedHosts holds endpoints that must not be chosen again. Admit does not modify it.
	TriedHosts map[ident.Host]bool
}

// Admitter admits the requests of one entry host. Set its fields before use.
type Admitter struct {
	// Router chooses endpoints.
	Router *router.Router
	// Random returns a random number in [0, 1).
	Random func() float64
	// Weight returns the weight of an organisation in fair queueing.
	Weight func(ident.Organisation) int
	// Quota returns this entry host's share of an endpoint's in-flight limit.
	Quota func(h ident.Host, limit int) int
	// OrganisationLimit returns the maximum number of requests of an organisation that this entry host may have in flight;
	// zero means no limit.
	OrganisationLimit func(ident.Organisation) int
	// EntryHosts returns the number of entry hosts that share the endpoints.
	EntryHosts func() int
	// Meter counts retries and observes the times of requests.
	Meter *meter.Meter
	// Logger receives the events.
	Logger log.Interface

	// Reports holds the latest report of each endpoint.
	Reports *reportcache.Cache

	budget retrybudget.Budget
	mu     sync.Mutex
	// lastID is the last id that was assigned to a queued request.
	lastID  int64
	pools   map[ident.Pool]*pool
	waiting map[ident.RequestID]chan scheduler.Decision
	leases  map[ident.RequestID]*Lease
	// budgetExhausted says that the last retry was refused for lack of budget.
	budgetExhausted bool
}

type pool struct {
	*scheduler.Scheduler
	// lastOverload is the time of the last overload refusal; zero means that the pool is not overloaded.
	lastOverload time.Time
	stalledHosts map[ident.Host]bool
}

// Run advances the queues, cancels stalled attempts and detects the end of overloads until ctx ends.
func (a *Admitter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(scheduler.TickInterval):
			a.tick()
		}
	}
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		a.deliverDecisions(name, p, p.Tick())
		a.cancelStalled(p)
		if !p.lastOverload.IsZero() && time.Since(p.lastOverload) > overloadEndDelay {
			p.lastOverload = time.Time{}
			event.OverloadEnded.Log(a.Logger, log.Fields{"pool": name})
		}
	}
}

// cancelStalled cancels repeatable attempts at endpoints that make no progress.
func (a *Admitter) cancelStalled(p *pool) {
	stalled := make(map[ident.Host]bool)
	for _, st := range p.StalledRequests() {
		stalled[st.Host] = true
		if !p.stalledHosts[st.Host] {
			event.EndpointStalled.Log(a.Logger, log.Fields{"endpoint": st.Host})
		}
		if l := a.leases[st.RequestID]; l != nil && l.repeatable {
			l.cancel()
		}
	}
	p.stalledHosts = stalled
}

func (a *Admitter) pool(name ident.Pool) *pool {
	if a.pools == nil {
		a.pools = make(map[ident.Pool]*pool)
		a.waiting = make(map[ident.RequestID]chan scheduler.Decision)
		a.leases = make(map[ident.RequestID]*Lease)
	}
	p, ok := a.pools[name]
	if !ok {
		p = &pool{Scheduler: &scheduler.Scheduler{
			Router: a.Router, Queue: &fairqueue.Queue{Capacity: scheduler.QueueCapacity, Weight: a.Weight},
			RetryAdvisor: &retryadvisor.Advisor{Random: a.Random}, EntryHosts: a.EntryHosts, Quota: a.Quota, OrganisationLimit: a.OrganisationLimit,
		}}
		a.pools[name] = p
	}
	return p
}

// ApplyReport applies an endpoint's full report.
func (a *Admitter) ApplyReport(r messages.Report) {
	if !a.Reports.Put(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliverDecisions(r.Pool, p, p.ApplyReport(r))
}

// ApplyLoad applies an endpoint's load, from a message or from a response header. It returns the endpoint's updated
// report, and false if there is no report that the load belongs to.
func (a *Admitter) ApplyLoad(l messages.LoadUpdate) (messages.Report, bool) {
	r, ok := a.Reports.MergeLoad(l)
	if !ok {
		return r, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliverDecisions(r.Pool, p, p.ApplyLoad(l))
	return r, true
}

// MarkLeaving stops sending requests to a host whose process started at startTime or before.
func (a *Admitter) MarkLeaving(h ident.Host, startTime int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		a.deliverDecisions(name, p, p.MarkLeaving(h, startTime))
	}
}

// updateServedSet records the weight set that an endpoint serves; an empty set means that the endpoint is closed.
func (a *Admitter) updateServedSet(name ident.Pool, h ident.Host, set ident.WeightSet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	a.deliverDecisions(name, p, p.UpdateServedSet(h, set))
}

// SpendRetryBudget consumes one retry from the retry budget and reports whether it was available.
func (a *Admitter) SpendRetryBudget() bool {
	ok := a.budget.SpendRetry()
	a.mu.Lock()
	changed := a.budgetExhausted == ok
	a.budgetExhausted = !ok
	a.mu.Unlock()
	if changed && !ok {
		event.RetryBudgetExhausted.Log(a.Logger, log.Fields{})
	}
	return ok
}

// Admit waits until an endpoint has capacity for the request and returns a lease on it, which the caller must end.
// Every error is an *outcome.Error for a request that was not run.
func (a *Admitter) Admit(ctx context.Context, q AdmissionRequest) (*Lease, error) {
	start := time.Now()
	series := a.Meter.Series(meter.SeriesKey{Organisation: q.Organisation, Deployment: q.Deployment})
	if len(q.TriedHosts) == 0 {
		a.budget.AddRequest()
	} else {
		series.CountRetry()
	}
	id, ch := a.enqueue(ctx, q)
	var d scheduler.Decision
	select {
	case d = <-ch:
	case <-ctx.Done():
		if a.cancelWaiting(q.Pool, id) {
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, Message: "caller went away or the deadline passed before an endpoint had room"}
		}
		d = <-ch
	}
	series.ObserveQueueTime(time.Since(start))
	if d.Err != nil {
		return nil, d.Err
	}
	return a.newLease(ctx, q, id, d.Candidate, series, start), nil
}

// enqueue submits a request to the scheduler. The channel receives the decision.
func (a *Admitter) enqueue(ctx context.Context, q AdmissionRequest) (ident.RequestID, chan scheduler.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	r := &scheduler.Request{WeightSets: q.WeightSets, Prefix: q.PromptPrefix, TriedHosts: q.TriedHosts, NonStreaming: q.NonStreaming}
	r.ID = ident.RequestID(fmt.Sprint(a.lastID))
	r.Organisation = q.Organisation
	r.Class = fairqueue.ClassOf(q.Priority)
	r.Cost = math.Max(1, q.Cost)
	r.Deadline = time.Now().Add(r.Class.MaxWait())
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(r.Deadline) {
		r.Deadline = deadline
	}
	p := a.pool(q.Pool)
	ch := make(chan scheduler.Decision, 1)
	a.waiting[r.ID] = ch
	a.deliverDecisions(q.Pool, p, p.Submit(r))
	return r.ID, ch
}

// cancelWaiting removes a request from the queue. It returns false if the request was decided in the meantime.
func (a *Admitter) cancelWaiting(name ident.Pool, id ident.RequestID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	decisions, ok := p.Cancel(id)
	if ok {
		delete(a.waiting, id)
	}
	a.deliverDecisions(name, p, decisions)
	return ok
}

// deliverDecisions passes decisions to the waiting requests and tracks the overload of the pool.
func (a *Admitter) deliverDecisions(name ident.Pool, p *pool, decisions []scheduler.Decision) {
	for _, d := range decisions {
		a.waiting[d.Request.ID] <- d
		delete(a.waiting, d.Request.ID)
		if d.Err == nil || d.Err.Reason != outcome.Overload {
			continue
		}
		if p.lastOverload.IsZero() {
			event.OverloadStarted.Log(a.Logger, log.Fields{"pool": name})
		}
		p.lastOverload = time.Now()
	}
}
