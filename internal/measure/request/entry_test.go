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

// entry is an entry host with the real scheduler and retry budget, or with a baseline policy in their place.
type entry struct {
	sim        *simulation
	scheduler  *scheduler.Scheduler
	budget     retrybudget.Budget
	nextEngine int
	// reports holds the last report of each engine. Only baseline policies use it.
	reports []messages.Report
	// waiting holds the requests that the scheduler has not decided on yet.
	waiting  map[ident.RequestID]*request
	attempts []*attempt
}

func newEntry(sim *simulation, i int) *entry {
	e := &entry{sim: sim, waiting: make(map[ident.RequestID]*request), reports: make([]messages.Report, sim.site.engines)}
	self := entryHostName(i)
	var hosts []ident.Host
	for j := range sim.site.entries {
		hosts = append(hosts, entryHostName(j))
	}
	e.scheduler = &scheduler.Scheduler{
		Router: &router.Router{Zone: zone(i), Intn: sim.rng.IntN, LoadBound: sim.policy.affinityBound},
		Queue: &fairqueue.Queue{Capacity: scheduler.QueueCapacity, Weight: func(name ident.Organisation) int {
			for _, o := range sim.orgs {
				if o.name == name {
					return o.weight
				}
			}
			return 1
		}},
		RetryAdvisor:      &retryadvisor.Advisor{Random: sim.rng.Float64},
		EntryHosts:        func() int { return sim.site.entries },
		Quota:             func(h ident.Host, limit int) int { return limitsplitter.Split(h, limit, self, hosts) },
		OrganisationLimit: func(ident.Organisation) int { return 0 },
	}
	if sim.policy.selectEngine == nil {
		sim.schedule(scheduler.TickInterval, e.tick)
	}
	return e
}

func entryHostName(i int) ident.Host {
	return ident.Host(fmt.Sprintf("entry-%d", i))
}

func (e *entry) tick() {
	e.apply(e.scheduler.Tick())
	for _, stalled := range e.scheduler.StalledRequests() {
		for _, a := range slices.Clone(e.attempts) {
			if a.id == stalled.RequestID {
				a.engine.remove(a)
				e.fail(a, connectionLostError())
			}
		}
	}
	e.sim.schedule(scheduler.TickInterval, e.tick)
}

func (e *entry) receiveReport(r messages.Report) {
	if e.sim.policy.selectEngine == nil {
		e.apply(e.scheduler.ApplyReport(r))
		return
	}
	for i, engine := range e.sim.engines {
		if engine.host == r.Host {
			e.reports[i] = r
		}
	}
}

// admit receives a request from its caller and adds it to the retry budget.
func (e *entry) admit(r *request) {
	e.budget.AddRequest()
	e.submit(r)
}

// submit passes a request to the scheduler, or sends it directly to the engine that a baseline policy selects.
func (e *entry) submit(r *request) {
	sim := e.sim
	sim.lastID++
	id := ident.RequestID(fmt.Sprintf("%08d", sim.lastID))
	if sim.policy.selectEngine != nil {
		e.send(r, id, sim.engines[sim.policy.selectEngine(e, sim)])
		return
	}
	schedulerRequest := &scheduler.Request{WeightSets: []ident.WeightSet{weightSet}, Prefix: r.prefix, TriedHosts: r.triedHosts}
	if sim.policy.noAffinity {
		schedulerRequest.Prefix = 0
	}
	schedulerRequest.ID = id
	schedulerRequest.Organisation = sim.orgs[r.org].name
	schedulerRequest.Class = r.class
	schedulerRequest.Cost = float64(r.tokens)
	schedulerRequest.Deadline = time.Now().Add(r.class.MaxWait())
	e.waiting[id] = r
	e.apply(e.scheduler.Submit(schedulerRequest))
}

// apply sends each request that the scheduler has assigned to an engine and refuses each request that it rejected.
func (e *entry) apply(decisions []scheduler.Decision) {
	for _, d := range decisions {
		r := e.waiting[d.Request.ID]
		delete(e.waiting, d.Request.ID)
		if d.Err != nil {
			e.sim.refuse(r, d.Err.RetryAfter)
			continue
		}
		for _, engine := range e.sim.engines {
			if engine.host == d.Candidate.Host {
				e.send(r, d.Request.ID, engine)
			}
		}
	}
}

func (e *entry) send(r *request, id ident.RequestID, target *engine) {
	a := &attempt{request: r, entry: e, engine: target, id: id}
	r.attempts++
	r.triedHosts[target.host] = true
	e.attempts = append(e.attempts, a)
	e.sim.schedule(hostLatency, func() {
		if !a.ended {
			target.receive(a)
		}
	})
}

// attemptsAt returns the attempts at an engine.
func (e *entry) attemptsAt(target *engine) []*attempt {
	var out []*attempt
	for _, a := range e.attempts {
		if a.engine == target {
			out = append(out, a)
		}
	}
	return out
}

// end marks an attempt as ended and notifies the scheduler. It returns false if the attempt had already ended.
func (e *entry) end(a *attempt, completion scheduler.Completion) bool {
	if a.ended {
		return false
	}
	a.ended = true
	e.attempts = slices.DeleteFunc(e.attempts, func(other *attempt) bool { return other == a })
	if e.sim.policy.selectEngine == nil {
		e.apply(e.scheduler.Finish(a.engine.host, a.id, completion))
	}
	return true
}

func (e *entry) recordFirstToken(a *attempt) {
	e.sim.schedule(hostLatency, func() {
		if a.ended {
			return
		}
		e.sim.recordFirstToken(a.request)
		if e.sim.policy.selectEngine == nil {
			e.apply(e.scheduler.RecordFirstToken(a.engine.host, a.id))
			e.apply(e.scheduler.ApplyReport(a.engine.newReport()))
		}
	})
}

func (e *entry) complete(a *attempt, report messages.Report) {
	if !e.end(a, scheduler.Completed) {
		return
	}
	e.sim.complete(a.request)
	if e.sim.policy.selectEngine == nil {
		e.apply(e.scheduler.ApplyReport(report))
	}
}

// fail ends an attempt and retries the request if the retry budget allows it. A generation is safe to repeat,
// so requests with an unknown outcome are retried as well.
func (e *entry) fail(a *attempt, err *outcome.Error) {
	completion := scheduler.Failed
	if err.Kind == outcome.NotRun {
		completion = scheduler.Refused
	}
	if !e.end(a, completion) {
		return
	}
	r := a.request
	if r.finished {
		return
	}
	if r.attempts < maxAttempts && (e.sim.policy.noBudget || e.budget.SpendRetry()) {
		e.sim.count(r, func(x *result) { x.retries++ })
		e.submit(r)
		return
	}
	if err.Kind == outcome.NotRun {
		e.sim.refuse(r, err.RetryAfter)
		return
	}
	e.sim.fail(r)
}

// roundRobin selects the engines in turn.
func roundRobin(e *entry, sim *simulation) int {
	e.nextEngine++
	return e.nextEngine % len(sim.engines)
}

// leastReported selects the engine whose last report has the fewest requests.
func leastReported(e *entry, _ *simulation) int {
	best := 0
	for i, r := range e.reports {
		if r.InFlight < e.reports[best].InFlight {
			best = i
		}
	}
	return best
}
