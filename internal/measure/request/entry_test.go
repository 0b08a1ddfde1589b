package request

import (
	"fmt"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/limitsplitter"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/retryadvisor"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/scheduler"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// entry is an entry host: the real scheduler and budget, or a baseline in their place.
type entry struct {
	world    *world
	sched    *scheduler.Scheduler
	budget   retrybudget.Budget
	next     int
	reports  []messages.Report
	waiting  map[ident.RequestID]*request
	attempts []*attempt
}

func newEntry(w *world, i int) *entry {
	e := &entry{world: w, waiting: make(map[ident.RequestID]*request), reports: make([]messages.Report, w.size.engines)}
	self := entryHost(i)
	var hosts []ident.Host
	for j := range w.size.entries {
		hosts = append(hosts, entryHost(j))
	}
	e.sched = &scheduler.Scheduler{
		Router: &router.Router{Zone: zone(i), Intn: w.rng.IntN, LoadBound: w.policy.bound},
		Queue: &fairqueue.Queue{Capacity: scheduler.QueueCapacity, Weight: func(o ident.Organisation) int {
			for _, x := range w.orgs {
				if x.name == o {
					return x.weight
				}
			}
			return 1
		}},
		RetryAdvisor:      &retryadvisor.Advisor{Random: w.rng.Float64},
		EntryHosts:        func() int { return w.size.entries },
		Quota:             func(h ident.Host, limit int) int { return limitsplitter.Split(h, limit, self, hosts) },
		OrganisationLimit: func(ident.Organisation) int { return 0 },
	}
	if w.policy.choose == nil {
		w.after(scheduler.TickInterval, e.tick)
	}
	return e
}

func entryHost(i int) ident.Host {
	return ident.Host(fmt.Sprintf("entry-%d", i))
}

func (e *entry) tick() {
	e.apply(e.sched.Tick())
	for _, st := range e.sched.StalledRequests() {
		for _, a := range slices.Clone(e.attempts) {
			if a.id == st.RequestID {
				a.engine.remove(a)
				e.failed(a, lost())
			}
		}
	}
	e.world.after(scheduler.TickInterval, e.tick)
}

func (e *entry) hear(r messages.Report) {
	if e.world.policy.choose == nil {
		e.apply(e.sched.ApplyReport(r))
		return
	}
	for i, g := range e.world.engines {
		if g.host == r.Host {
			e.reports[i] = r
		}
	}
}

// admit takes a request from its caller.
func (e *entry) admit(r *request) {
	e.budget.AddRequest()
	e.submit(r)
}

func (e *entry) submit(r *request) {
	w := e.world
	w.ids++
	id := ident.RequestID(fmt.Sprintf("%08d", w.ids))
	if w.policy.choose != nil {
		e.hand(r, id, w.engines[w.policy.choose(e, w)])
		return
	}
	q := &scheduler.Request{WeightSets: []ident.WeightSet{anySet}, Prefix: r.prefix, TriedHosts: r.tried}
	if w.policy.noAffinity {
		q.Prefix = 0
	}
	q.ID = id
	q.Organisation = w.orgs[r.org].name
	q.Class = r.class
	q.Cost = float64(r.tokens)
	q.Deadline = time.Now().Add(r.class.MaxWait())
	e.waiting[id] = r
	e.apply(e.sched.Submit(q))
}

func (e *entry) apply(ds []scheduler.Decision) {
	for _, d := range ds {
		r := e.waiting[d.Request.ID]
		delete(e.waiting, d.Request.ID)
		if d.Err != nil {
			e.world.refuse(r, d.Err.RetryAfter)
			continue
		}
		for _, g := range e.world.engines {
			if g.host == d.Candidate.Host {
				e.hand(r, d.Request.ID, g)
			}
		}
	}
}

func (e *entry) hand(r *request, id ident.RequestID, g *engine) {
	a := &attempt{request: r, entry: e, engine: g, id: id}
	r.tries++
	r.tried[g.host] = true
	e.attempts = append(e.attempts, a)
	e.world.after(hop, func() {
		if !a.over {
			g.take(a)
		}
	})
}

// held returns the attempts at an engine.
func (e *entry) held(g *engine) []*attempt {
	var out []*attempt
	for _, a := range e.attempts {
		if a.engine == g {
			out = append(out, a)
		}
	}
	return out
}

func (e *entry) end(a *attempt, how scheduler.Completion) bool {
	if a.over {
		return false
	}
	a.over = true
	e.attempts = slices.DeleteFunc(e.attempts, func(x *attempt) bool { return x == a })
	if e.world.policy.choose == nil {
		e.apply(e.sched.Finish(a.engine.host, a.id, how))
	}
	return true
}

func (e *entry) first(a *attempt) {
	e.world.after(hop, func() {
		if a.over {
			return
		}
		e.world.first(a.request)
		if e.world.policy.choose == nil {
			e.apply(e.sched.FirstToken(a.engine.host, a.id))
			e.apply(e.sched.ApplyReport(a.engine.load()))
		}
	})
}

func (e *entry) done(a *attempt, load messages.Report) {
	if !e.end(a, scheduler.Completed) {
		return
	}
	e.world.answered(a.request)
	if e.world.policy.choose == nil {
		e.apply(e.sched.ApplyReport(load))
	}
}

// failed ends an attempt and makes another if the budget allows it. Generations may be repeated.
func (e *entry) failed(a *attempt, err *outcome.Error) {
	how := scheduler.Failed
	if err.Kind == outcome.NotRun {
		how = scheduler.Refused
	}
	if !e.end(a, how) {
		return
	}
	r := a.request
	if r.over {
		return
	}
	if r.tries < attempts && (e.world.policy.noBudget || e.budget.TakeRetry()) {
		e.world.count(r, func(x *result) { x.retries++ })
		e.submit(r)
		return
	}
	if err.Kind == outcome.NotRun {
		e.world.refuse(r, err.RetryAfter)
		return
	}
	e.world.fail(r)
}

// roundRobin takes the engines in turn.
func roundRobin(e *entry, w *world) int {
	e.next++
	return e.next % len(w.engines)
}

// leastReported takes the engine that reported the fewest requests last.
func leastReported(e *entry, _ *world) int {
	best := 0
	for i, r := range e.reports {
		if r.InFlight < e.reports[best].InFlight {
			best = i
		}
	}
	return best
}
