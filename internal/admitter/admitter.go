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

// Query describes the endpoint that a request needs.
type Query struct {
	Pool         ident.Pool
	Organisation ident.Organisation
	Deployment   ident.Deployment
	// Sets are the weight sets that may serve the request, the preferred one first.
	Sets []ident.WeightSet
	// Priority is the priority of the deployment.
	Priority int
	// Cost is the estimated work of the request, such as its number of tokens.
	Cost float64
	// Prefix identifies the beginning of the prompt, to prefer an endpoint that may have it in its cache. Zero means no
	// preference.
	Prefix prefixhasher.Prefix
	// Whole marks a request whose response is not streamed.
	Whole bool
	// Repeatable allows the attempt to be cancelled when its endpoint makes no progress.
	Repeatable bool
	// Tried holds endpoints that must not be chosen again. Admit does not modify it.
	Tried map[ident.Host]bool
}

// Admitter admits the requests of one entry host. Set its fields before use.
type Admitter struct {
	// Router chooses endpoints.
	Router *router.Router
	// Float64 returns a random number in [0, 1).
	Float64 func() float64
	// Weight returns the weight of an organisation in fair queueing.
	Weight func(ident.Organisation) int
	// Part returns this entry host's part of an endpoint's in-flight limit.
	Part func(h ident.Host, limit int) int
	// Limit returns the maximum number of requests of an organisation that this entry host may have in flight; zero
	// means no limit.
	Limit func(ident.Organisation) int
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
	waiting map[ident.Request]chan scheduler.Decision
	leases  map[ident.Request]*Lease
	// budgetExhausted says that the last retry was refused for lack of budget.
	budgetExhausted bool
}

type pool struct {
	*scheduler.Scheduler
	// lastOverload is the time of the last overload refusal; zero means that the pool is not overloaded.
	lastOverload time.Time
	stalledHosts map[ident.Host]bool
}

// Run keeps the queues up to date until ctx ends.
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
	for _, st := range p.Stalls() {
		stalled[st.Host] = true
		if !p.stalledHosts[st.Host] {
			event.EndpointStall.Log(a.Logger, log.Fields{"endpoint": st.Host})
		}
		if l := a.leases[st.ID]; l != nil && l.repeatable {
			l.cancel()
		}
	}
	p.stalledHosts = stalled
}

func (a *Admitter) pool(name ident.Pool) *pool {
	if a.pools == nil {
		a.pools = make(map[ident.Pool]*pool)
		a.waiting = make(map[ident.Request]chan scheduler.Decision)
		a.leases = make(map[ident.Request]*Lease)
	}
	p, ok := a.pools[name]
	if !ok {
		p = &pool{Scheduler: &scheduler.Scheduler{
			Router: a.Router, Queue: &fairqueue.Queue{Capacity: scheduler.QueueCapacity, Weight: a.Weight},
			RetryAdvisor: &retryadvisor.Advisor{Float64: a.Float64}, EntryHosts: a.EntryHosts, Part: a.Part, Limit: a.Limit,
		}}
		a.pools[name] = p
	}
	return p
}

// Report applies an endpoint's full report.
func (a *Admitter) Report(r messages.Report) {
	if !a.Reports.Put(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliverDecisions(r.Pool, p, p.Report(r))
}

// Load applies an endpoint's load, from a message or from a response header. It returns the endpoint's updated report,
// and false if there is no report that the load belongs to.
func (a *Admitter) Load(l messages.Load) (messages.Report, bool) {
	r, ok := a.Reports.Merge(l)
	if !ok {
		return r, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliverDecisions(r.Pool, p, p.Load(l))
	return r, true
}

// Leave stops sending requests to a host whose process started at startTime or before.
func (a *Admitter) Leave(h ident.Host, startTime int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		a.deliverDecisions(name, p, p.Leave(h, startTime))
	}
}

// updateServedSet records the weight set that an endpoint serves; an empty set means that the endpoint is closed.
func (a *Admitter) updateServedSet(name ident.Pool, h ident.Host, set ident.WeightSet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	a.deliverDecisions(name, p, p.Serve(h, set))
}

// Retry consumes one retry from the retry budget and reports whether it was available.
func (a *Admitter) Retry() bool {
	ok := a.budget.Spend()
	a.mu.Lock()
	changed := a.budgetExhausted == ok
	a.budgetExhausted = !ok
	a.mu.Unlock()
	if changed && !ok {
		event.RetriesSpent.Log(a.Logger, log.Fields{})
	}
	return ok
}

// Admit waits until an endpoint has capacity for the request and returns a lease on it, which the caller must end.
// Every error is an *outcome.Error for a request that was not run.
func (a *Admitter) Admit(ctx context.Context, q Query) (*Lease, error) {
	start := time.Now()
	series := a.Meter.Series(meter.Owner{Organisation: q.Organisation, Deployment: q.Deployment})
	if len(q.Tried) == 0 {
		a.budget.Earn()
	} else {
		series.CountRetry()
	}
	id, ch := a.enqueue(ctx, q)
	var d scheduler.Decision
	select {
	case d = <-ch:
	case <-ctx.Done():
		if a.cancelWaiting(q.Pool, id) {
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, Text: "request was cancelled or its deadline passed before an endpoint had capacity"}
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
func (a *Admitter) enqueue(ctx context.Context, q Query) (ident.Request, chan scheduler.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastID++
	r := &scheduler.Request{Sets: q.Sets, Prefix: q.Prefix, Tried: q.Tried, Whole: q.Whole}
	r.ID = ident.Request(fmt.Sprint(a.lastID))
	r.Organisation = q.Organisation
	r.Class = fairqueue.Of(q.Priority)
	r.Cost = math.Max(1, q.Cost)
	r.Deadline = time.Now().Add(r.Class.Patience())
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
func (a *Admitter) cancelWaiting(name ident.Pool, id ident.Request) bool {
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
			event.OverloadBegan.Log(a.Logger, log.Fields{"pool": name})
		}
		p.lastOverload = time.Now()
	}
}
