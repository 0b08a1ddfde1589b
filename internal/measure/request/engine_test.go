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
	// prefill is the time to the first token in a free slot, and cached the time when the prefix is in the cache.
	prefill    = 150 * time.Millisecond
	cached     = 50 * time.Millisecond
	tokenTime  = 40 * time.Millisecond
	minTokens  = 20
	meanTokens = 50
	// memory is the number of prefixes that an engine's cache holds.
	memory = 8
)

type state int

const (
	working state = iota
	frozen
	refusing
	dead
)

// engine is a fake engine with its endpoint host. Beyond its slots it queues without bound.
type engine struct {
	world     *world
	host      ident.Host
	zone      ident.Zone
	state     state
	pace      float64
	startTime int64
	running   map[*attempt]bool
	queue     []*attempt
	cache     []prefixhasher.Prefix
	given     int
}

// attempt is one hand-over.
type attempt struct {
	request *request
	entry   *entry
	engine  *engine
	id      ident.RequestID
	over    bool
}

func (e *engine) load() messages.Report {
	return messages.Report{
		Host: e.host, Zone: e.zone, Pool: pool, DataAddress: string(e.host), StartTime: e.startTime, GateOpen: true, ServedSet: anySet,
		InFlight: len(e.running) + len(e.queue), Slots: slots, SentMs: time.Since(e.world.begin).Milliseconds(), MaxIntervalSeconds: 4,
	}
}

// report sends the load to all entry hosts. The endpoint host beside a frozen engine goes on reporting.
func (e *engine) report() {
	if e.state != dead {
		r := e.load()
		for _, n := range e.world.entries {
			e.world.after(hop+e.world.lag, func() { n.hear(r) })
		}
	}
	e.world.after(reportTime, e.report)
}

func (e *engine) take(a *attempt) {
	e.given++
	switch e.state {
	case refusing:
		e.world.after(hop, func() {
			a.entry.failed(a, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, RetryAfter: time.Second})
		})
		return
	case dead:
		a.entry.failed(a, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, RetryAfter: time.Second})
		return
	}
	if len(e.running) >= slots {
		e.queue = append(e.queue, a)
		return
	}
	e.begin(a)
}

func (e *engine) begin(a *attempt) {
	if e.running == nil {
		e.running = make(map[*attempt]bool)
	}
	e.running[a] = true
	first := prefill
	e.world.count(a.request, func(x *result) { x.lookups++ })
	if e.touch(a.request.prefix) {
		first = cached
		e.world.count(a.request, func(x *result) { x.hits++ })
	}
	first = time.Duration(float64(first) * e.pace)
	rest := time.Duration(float64(a.request.tokens) * float64(tokenTime) * e.pace)
	e.world.after(first, func() { e.step(a, func() { a.entry.first(a) }) })
	e.world.after(first+rest, func() { e.step(a, func() { e.finish(a) }) })
}

// touch puts a prefix at the front of the cache and tells whether it was there.
func (e *engine) touch(p prefixhasher.Prefix) bool {
	if p == 0 {
		return false
	}
	hit := false
	next := []prefixhasher.Prefix{p}
	for _, q := range e.cache {
		if q == p {
			hit = true
			continue
		}
		if len(next) < memory {
			next = append(next, q)
		}
	}
	e.cache = next
	return hit
}

// step does what an engine does for an attempt at a time, unless it stands still.
func (e *engine) step(a *attempt, do func()) {
	if e.running[a] && e.state != frozen && e.state != dead {
		do()
	}
}

func (e *engine) finish(a *attempt) {
	e.remove(a)
	load := e.load()
	e.world.after(hop, func() { a.entry.done(a, load) })
}

// remove ends an attempt and begins the next in the queue.
func (e *engine) remove(a *attempt) {
	delete(e.running, a)
	for i, q := range e.queue {
		if q == a {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return
		}
	}
	if len(e.queue) > 0 && len(e.running) < slots && e.state != frozen {
		next := e.queue[0]
		e.queue = e.queue[1:]
		e.begin(next)
	}
}

// die ends all attempts at once.
func (e *engine) die() {
	e.state = dead
	var all []*attempt
	for _, n := range e.world.entries {
		for _, a := range n.held(e) {
			all = append(all, a)
		}
	}
	e.running, e.queue = nil, nil
	for _, a := range all {
		e.world.after(hop, func() { a.entry.failed(a, lost()) })
	}
}
