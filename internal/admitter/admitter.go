// Package admitter holds requests in front of the dispatcher until an endpoint has room for them, or refuses them.
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

// calm is the time without a refusal after which an overload has ended.
const calm = 10 * time.Second

// Query asks for an endpoint.
type Query struct {
	Pool         ident.Pool
	Organisation ident.Organisation
	Deployment   ident.Deployment
	// Sets are the weight sets that may serve the request, the preferred one first.
	Sets []ident.WeightSet
	// Priority is the deployment's.
	Priority int
	// Cost is the work that the request asks for, such as its number of tokens.
	Cost float64
	// Prefix prefers an endpoint; zero prefers none.
	Prefix prefixhasher.Prefix
	// Whole marks a request whose answer comes in one piece.
	Whole bool
	// Repeatable lets the attempt be ended when its endpoint shows no progress.
	Repeatable bool
	// Tried are endpoints that must not be chosen again. It is not changed.
	Tried map[ident.Host]bool
}

// Admitter admits the requests of one entry host. Set its fields before use.
type Admitter struct {
	// Router chooses endpoints.
	Router *router.Router
	// Float64 returns a random number in [0, 1).
	Float64 func() float64
	// Weight returns the share of an organisation relative to the others.
	Weight func(ident.Organisation) int
	// Part returns how many of an endpoint's limit are this entry host's own.
	Part func(h ident.Host, limit int) int
	// Limit returns the most requests of an organisation that may run at once from here; zero means no limit.
	Limit func(ident.Organisation) int
	// EntryHosts returns the number of entry hosts that share the endpoints.
	EntryHosts func() int
	// Meter counts.
	Meter *meter.Meter
	// Logger receives the events.
	Logger log.Interface

	// Reports holds the reports.
	Reports *reportcache.Cache

	budget  retrybudget.Budget
	mu      sync.Mutex
	n       int64
	pools   map[ident.Pool]*pool
	waiting map[ident.Request]chan scheduler.Decision
	held    map[ident.Request]*Lease
	dry     bool
}

type pool struct {
	*scheduler.Scheduler
	refused time.Time
	stalled map[ident.Host]bool
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
		a.deliver(name, p, p.Tick())
		a.checkStalls(p)
		if !p.refused.IsZero() && time.Since(p.refused) > calm {
			p.refused = time.Time{}
			event.OverloadEnded.Log(a.Logger, log.Fields{"pool": name})
		}
	}
}

// checkStalls ends the attempts that may be made elsewhere, at endpoints that show no progress.
func (a *Admitter) checkStalls(p *pool) {
	now := make(map[ident.Host]bool)
	for _, st := range p.Stalls() {
		now[st.Host] = true
		if !p.stalled[st.Host] {
			event.EndpointStall.Log(a.Logger, log.Fields{"endpoint": st.Host})
		}
		if l := a.held[st.ID]; l != nil && l.repeatable {
			l.cancel()
		}
	}
	p.stalled = now
}

func (a *Admitter) pool(name ident.Pool) *pool {
	if a.pools == nil {
		a.pools = make(map[ident.Pool]*pool)
		a.waiting = make(map[ident.Request]chan scheduler.Decision)
		a.held = make(map[ident.Request]*Lease)
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

// Report takes an endpoint's full report.
func (a *Admitter) Report(r messages.Report) {
	if !a.Reports.Put(r) {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliver(r.Pool, p, p.Report(r))
}

// Load takes an endpoint's load, from a message or from the head of an answer. It returns the report that it makes up,
// and false if it belongs to none.
func (a *Admitter) Load(l messages.Load) (messages.Report, bool) {
	r, ok := a.Reports.Merge(l)
	if !ok {
		return r, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(r.Pool)
	a.deliver(r.Pool, p, p.Load(l))
	return r, true
}

// Leave ends new work to a host whose process started at birth or before.
func (a *Admitter) Leave(h ident.Host, birth int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, p := range a.pools {
		a.deliver(name, p, p.Leave(h, birth))
	}
}

// serve notes the weight set that an endpoint serves by now; none means that it is closed.
func (a *Admitter) serve(name ident.Pool, h ident.Host, set ident.WeightSet) {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	a.deliver(name, p, p.Serve(h, set))
}

// Retry tells whether one more attempt may be made for a request.
func (a *Admitter) Retry() bool {
	ok := a.budget.Spend()
	a.mu.Lock()
	changed := a.dry == ok
	a.dry = !ok
	a.mu.Unlock()
	if changed && !ok {
		event.RetriesSpent.Log(a.Logger, log.Fields{})
	}
	return ok
}

// Admit waits until an endpoint has room for the request and returns its lease, which the caller must end.
// Every error is an *outcome.Error for a request that was not run.
func (a *Admitter) Admit(ctx context.Context, q Query) (*Lease, error) {
	begin := time.Now()
	series := a.Meter.Series(meter.Owner{Organisation: q.Organisation, Deployment: q.Deployment})
	if len(q.Tried) == 0 {
		a.budget.Earn()
	} else {
		series.Retry()
	}
	id, ch := a.submit(ctx, q)
	var d scheduler.Decision
	select {
	case d = <-ch:
	case <-ctx.Done():
		if a.abandon(q.Pool, id) {
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, Text: "caller went away or the deadline passed before an endpoint had room"}
		}
		d = <-ch
	}
	series.Queue(time.Since(begin))
	if d.Err != nil {
		return nil, d.Err
	}
	return a.lease(ctx, q, id, d.Candidate, series, begin), nil
}

func (a *Admitter) submit(ctx context.Context, q Query) (ident.Request, chan scheduler.Decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
	r := &scheduler.Request{Sets: q.Sets, Prefix: q.Prefix, Tried: q.Tried, Whole: q.Whole}
	r.ID = ident.Request(fmt.Sprint(a.n))
	r.Organisation = q.Organisation
	r.Class = fairqueue.Of(q.Priority)
	r.Cost = math.Max(1, q.Cost)
	r.Deadline = time.Now().Add(r.Class.Patience())
	if end, ok := ctx.Deadline(); ok && end.Before(r.Deadline) {
		r.Deadline = end
	}
	p := a.pool(q.Pool)
	ch := make(chan scheduler.Decision, 1)
	a.waiting[r.ID] = ch
	a.deliver(q.Pool, p, p.Submit(r))
	return r.ID, ch
}

// abandon takes a request out of the queue. It returns false if it was decided meanwhile.
func (a *Admitter) abandon(name ident.Pool, id ident.Request) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pool(name)
	ds, ok := p.Cancel(id)
	if ok {
		delete(a.waiting, id)
	}
	a.deliver(name, p, ds)
	return ok
}

func (a *Admitter) deliver(name ident.Pool, p *pool, ds []scheduler.Decision) {
	for _, d := range ds {
		a.waiting[d.Request.ID] <- d
		delete(a.waiting, d.Request.ID)
		if d.Err == nil || d.Err.Reason != outcome.Overload {
			continue
		}
		if p.refused.IsZero() {
			event.OverloadBegan.Log(a.Logger, log.Fields{"pool": name})
		}
		p.refused = time.Now()
	}
}
