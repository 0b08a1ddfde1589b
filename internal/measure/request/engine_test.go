package request

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	slots = 8
	// prefillTime is the time to the first token in a free slot; cachedPrefillTime applies if the prefix is cached.
	prefillTime       = 150 * time.Millisecond
	cachedPrefillTime = 50 * time.Millisecond
	tokenTime         = 40 * time.Millisecond
	minTokens         = 20
	meanTokens        = 50
	// prefixCacheSize is the number of prefixes that an engine caches.
	prefixCacheSize = 8
)

type state int

const (
	healthy state = iota
	// frozen means that the engine makes no progress, while its endpoint host still reports.
	frozen
	// refusing means that the engine refuses every request immediately.
	refusing
	// crashed means that the engine is unreachable and its endpoint host sends no reports.
	crashed
)

// engine simulates an engine with its endpoint host. When all slots are in use, it queues without bound.
type engine struct {
	sim         *simulation
	host        ident.Host
	zone        ident.Zone
	state       state
	slowdown    float64
	incarnation int64
	active      map[*attempt]bool
	queue       []*attempt
	cache       []prefixhasher.Prefix
	received    int
}

// attempt is one request as sent by an entry host to one engine.
type attempt struct {
	request *request
	entry   *entry
	engine  *engine
	id      ident.RequestID
	ended   bool
}

// newReport returns a report of the current load.
func (e *engine) newReport() messages.Report {
	return messages.Report{
		Host: e.host, Zone: e.zone, Pool: pool, DataAddress: string(e.host), StartTime: e.incarnation, GateOpen: true, ServedSet: weightSet,
		InFlight: len(e.active) + len(e.queue), Slots: slots, SentMs: time.Since(e.sim.startTime).Milliseconds(), MaxIntervalSeconds: 4,
	}
}

// sendReport sends the current load to all entry hosts and schedules the next report.
func (e *engine) sendReport() {
	if e.state != crashed {
		r := e.newReport()
		for _, entry := range e.sim.entries {
			e.sim.schedule(hostLatency+e.sim.reportLag, func() { entry.receiveReport(r) })
		}
	}
	e.sim.schedule(reportInterval, e.sendReport)
}

func (e *engine) receive(a *attempt) {
	e.received++
	switch e.state {
	case refusing:
		e.sim.schedule(hostLatency, func() {
			a.entry.fail(a, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, RetryAfter: time.Second})
		})
		return
	case crashed:
		a.entry.fail(a, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, RetryAfter: time.Second})
		return
	}
	if len(e.active) >= slots {
		e.queue = append(e.queue, a)
		return
	}
	e.start(a)
}

func (e *engine) start(a *attempt) {
	if e.active == nil {
		e.active = make(map[*attempt]bool)
	}
	e.active[a] = true
	toFirstToken := prefillTime
	e.sim.count(a.request, func(x *result) { x.lookups++ })
	if e.lookUpPrefix(a.request.prefix) {
		toFirstToken = cachedPrefillTime
		e.sim.count(a.request, func(x *result) { x.hits++ })
	}
	toFirstToken = time.Duration(float64(toFirstToken) * e.slowdown)
	generation := time.Duration(float64(a.request.tokens) * float64(tokenTime) * e.slowdown)
	e.sim.schedule(toFirstToken, func() { e.runIfActive(a, func() { a.entry.recordFirstToken(a) }) })
	e.sim.schedule(toFirstToken+generation, func() { e.runIfActive(a, func() { e.finish(a) }) })
}

// lookUpPrefix moves a prefix to the front of the LRU cache and reports whether it was cached.
func (e *engine) lookUpPrefix(p prefixhasher.Prefix) bool {
	if p == 0 {
		return false
	}
	hit := false
	next := []prefixhasher.Prefix{p}
	for _, cached := range e.cache {
		if cached == p {
			hit = true
			continue
		}
		if len(next) < prefixCacheSize {
			next = append(next, cached)
		}
	}
	e.cache = next
	return hit
}

// runIfActive calls fn if the attempt is still active and the engine is neither frozen nor crashed.
func (e *engine) runIfActive(a *attempt, fn func()) {
	if e.active[a] && e.state != frozen && e.state != crashed {
		fn()
	}
}

func (e *engine) finish(a *attempt) {
	e.remove(a)
	report := e.newReport()
	e.sim.schedule(hostLatency, func() { a.entry.complete(a, report) })
}

// remove removes an attempt from its slot or from the queue. If a slot is free then, the first attempt in the queue
// starts.
func (e *engine) remove(a *attempt) {
	delete(e.active, a)
	for i, queued := range e.queue {
		if queued == a {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
	if len(e.queue) > 0 && len(e.active) < slots && e.state != frozen {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.start(next)
	}
}

// crash stops the engine for the rest of the run. All attempts at it fail after hostLatency.
func (e *engine) crash() {
	e.state = crashed
	var all []*attempt
	for _, entry := range e.sim.entries {
		for _, a := range entry.attemptsAt(e) {
			all = append(all, a)
		}
	}
	e.active, e.queue = nil, nil
	for _, a := range all {
		e.sim.schedule(hostLatency, func() { a.entry.fail(a, connectionLostError()) })
	}
}
