// Package assigner places requests on endpoints, or turns them away, when more work arrives than the endpoints can do.
//
// The load pattern that it answers is a steady overload seen by many entry hosts at once. A model engine reads one
// prompt after the other, so the time to the first event of a request is decided by the prompts that are still unread
// there; each entry host knows its own exactly, and those of the others as of their last message. A request goes where
// its first event is predicted soonest, and only if that is within what is left of its objective. So the queues at the
// engines stay short, and a request that cannot be served in time hears so at once. A request that is late already
// takes room that is left over.
package assigner

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/breaker"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// peerAge is how long the word of another entry host counts: several of its messages, so that single lost ones do no
	// harm.
	peerAge = time.Second
	// zoneCost is how much later a first event must be in the own zone before another zone is chosen: what hosts of other
	// zones say is older, and bytes between regions cost money.
	zoneCost = 20 * time.Millisecond
	// margin is kept free of the objective for the network and the engine's passes.
	margin = 40 * time.Millisecond
	// caution times the predicted wait for others' work must fit into the objective: the wait is uncertain, unlike the
	// request's own reading. Replays of overload lose answers in time below 1.5 and above 3.
	caution = 2.0
	// plainWork is the work of a request at a plain service until some have been seen.
	plainWork = 30 * time.Millisecond
	// spread is the largest random part of a cost, so that hosts do not all choose the same of two equal endpoints.
	spread = 10 * time.Millisecond
	// plainQueue is the number of requests, as a multiple of the slots, that a plain service may have waiting.
	plainQueue = 2
	// spare is the share of the slots up to which an engine takes requests that are late already.
	spare = 0.9
	// lateWait is the longest wait for others' work at an engine that takes a request which is late already: about one
	// request for each entry host of a zone, until the hosts have heard of each other.
	lateWait = 120 * time.Millisecond
	// paceWeight is the weight of one observation in an endpoint's pace, and paceMemory the time after which an unobserved
	// pace has halved its distance from one.
	paceWeight = 0.25
	paceMemory = 3 * time.Second
	minPace    = 0.8
	maxPace    = 20
	// overdueGrace is how much later than predicted a first event may be before the endpoint counts as stalled.
	// gateTime is how long a closed gate counts without being told again.
	gateTime     = time.Second
	overdueGrace = 250 * time.Millisecond
)

// Query is a request to place.
type Query struct {
	Pool ident.Pool
	// Model and Release say what the endpoint must serve: Release or a newer one; an empty model means a plain service.
	Model   directory.Model
	Release directory.Release
	// Exact asks for this very release.
	Exact bool
	// Prompt is the number of prompt tokens.
	Prompt float64
	// Left is what is left of the objective; zero or less means that the request is late already.
	Left time.Duration
	// Tried are endpoints that must not be chosen again, by id.
	Tried map[string]bool
	// Lost is called if the endpoint turns out to be unreachable while the request is there; nil if it cannot go on
	// elsewhere. It must not call the assigner.
	Lost func()
}

// Load is what one entry host has at an endpoint.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Requests counts those in progress, and Unread the prompt tokens of those whose first event has not come.
	Requests, Unread int
}

// Choice is an endpoint for a request, with what decided it.
type Choice struct {
	Endpoint directory.Endpoint
	// Load is what all hosts are taken to have there, without the request.
	Load Load
	// First is the predicted time to the first event.
	First time.Duration
	// Release is that of the weights there; zero at a plain service.
	Release directory.Release

	lost   func()
	prompt int
	sent   time.Time
	begun  bool
	plain  time.Duration
}

// Refusal is why no endpoint was chosen.
type Refusal string

// Refusals.
const (
	// None means that no endpoint that can be reached serves what is asked for.
	None Refusal = "no-endpoint"
	// Full means that no endpoint could serve the request in time.
	Full Refusal = "overload"
)

// Gate is what the host beside an engine says of it, ahead of the engine's own entry.
type Gate struct {
	// Address and Born name the engine.
	Address string `cbor:"address"`
	Born    int64  `cbor:"born"`
	// Closed says that it takes no requests until it has loaded other weights.
	Closed bool `cbor:"closed,omitempty"`
	// Model and Release are what it serves, if Closed is not set.
	Model   directory.Model   `cbor:"model,omitempty"`
	Release directory.Release `cbor:"release,omitempty"`
}

type state struct {
	directory.Endpoint
	own     Load
	breaker breaker.Breaker
	pending map[*Choice]bool
	running map[*Choice]bool
	// down says that the endpoint cannot be reached; alive is when it last gave a sign.
	down  bool
	alive time.Time
	// moved says that another endpoint has its address, so that it is gone, whatever its entry says.
	moved bool
	gate  Gate
	gated time.Time
	// replaced is when the host beside the engine last told of another incarnation at its address.
	replaced time.Time
	pace     float64
	paced    time.Time
}

type peer struct {
	heard time.Time
	loads map[string]Load
}

// Assigner holds what is known of the endpoints. Set its fields before use.
type Assigner struct {
	// Zone is the zone of this host.
	Zone ident.Zone
	// Draw returns a number from 0 up to 1; nil means a random one.
	Draw func() float64
	// Changed is told when this host's loads changed; it may be nil.
	Changed func()

	mu        sync.Mutex
	endpoints map[string]*state
	peers     map[ident.Host]*peer
	pools     map[ident.Pool]*directory.Pool
	work      map[ident.Pool]time.Duration
}

// SetPools takes the figures of the pools.
func (a *Assigner) SetPools(pools map[ident.Pool]*directory.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pools = pools
}

// SetEndpoints takes all endpoints that are known.
func (a *Assigner) SetEndpoints(all []directory.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.endpoints
	a.endpoints = make(map[string]*state, len(all))
	for _, e := range all {
		s := old[e.ID]
		if s == nil || s.Born != e.Born || s.Address != e.Address {
			s = &state{pending: make(map[*Choice]bool), running: make(map[*Choice]bool), pace: 1, alive: time.Now()}
		}
		s.Endpoint = e
		a.endpoints[e.ID] = s
	}
}

// SetPeer takes another entry host's word of what it has at each endpoint, by id.
func (a *Assigner) SetPeer(h ident.Host, loads map[string]Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[ident.Host]*peer)
	}
	a.peers[h] = &peer{heard: time.Now(), loads: loads}
}

// SetGate takes the word of the host beside an engine.
func (a *Assigner) SetGate(g Gate) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.endpoints {
		switch {
		case s.Address != g.Address:
		case s.Born == g.Born:
			s.gate, s.gated = g, time.Now()
		default:
			s.replaced = time.Now()
		}
	}
}

// Own returns what this host has at each endpoint, by id.
func (a *Assigner) Own() map[string]Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]Load)
	for id, s := range a.endpoints {
		if s.own.Requests > 0 {
			out[id] = s.own
		}
	}
	return out
}

// Assign chooses an endpoint and counts the request there until Release. It returns a refusal if there is none.
func (a *Assigner) Assign(q Query) (*Choice, Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.forget(now)
	pool := a.pools[q.Pool]
	var best *state
	var choice *Choice
	var bestCost time.Duration
	refusal := None
	for id, s := range a.endpoints {
		release, ok := s.serves(q, pool, now)
		if !ok || q.Tried[id] {
			continue
		}
		if !s.isUsable() {
			continue
		}
		refusal = Full
		load := a.load(s)
		first, ok := a.predict(pool, s, load, q, now)
		if !ok {
			continue
		}
		cost := first + time.Duration(a.draw()*float64(spread))
		if s.Zone != a.Zone {
			cost += zoneCost
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
			choice = &Choice{Endpoint: s.Endpoint, Load: load, First: first, Release: release, prompt: int(q.Prompt), sent: now, lost: q.Lost}
		}
	}
	if best == nil {
		return nil, refusal
	}
	choice.plain = time.Duration(float64(choice.First) / best.paceNow(now))
	best.own.Requests++
	best.own.Unread += choice.prompt
	best.pending[choice] = true
	best.running[choice] = true
	a.changed()
	return choice, ""
}

func (a *Assigner) changed() {
	if a.Changed != nil {
		a.Changed()
	}
}

// serves tells whether the endpoint serves what a query asks for, and on which release.
func (s *state) serves(q Query, pool *directory.Pool, now time.Time) (directory.Release, bool) {
	if s.Pool != q.Pool || s.Leaving || s.gate.Closed && now.Sub(s.gated) < gateTime || now.Sub(s.replaced) < gateTime {
		return 0, false
	}
	if q.Model == "" {
		return 0, true
	}
	have, ok := s.Endpoint.Release(q.Model)
	if pool != nil && pool.Engine != nil && !s.Layers.IsWhole(pool.Engine.Layers) {
		have, ok = 0, false
	}
	if !s.gate.Closed && s.gate.Model == q.Model {
		// The engine's entry may be older.
		have, ok = max(have, s.gate.Release), true
	}
	return have, ok && (have == q.Release || !q.Exact && have > q.Release)
}

// forget drops the word of hosts that fell silent.
func (a *Assigner) forget(now time.Time) {
	for h, p := range a.peers {
		if now.Sub(p.heard) > peerAge {
			delete(a.peers, h)
		}
	}
}

func (a *Assigner) load(s *state) Load {
	l := s.own
	for _, p := range a.peers {
		other := p.loads[s.ID]
		l.Requests += other.Requests
		l.Unread += other.Unread
	}
	return l
}

func slots(pool *directory.Pool, s *state) int {
	if pool != nil && pool.Engine != nil && pool.Engine.Slots > 0 {
		return pool.Engine.Slots
	}
	return max(1, s.Slots)
}

func reading(e *directory.Engine, tokens float64) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	return time.Duration(tokens / e.ReadRate * float64(time.Second))
}

// step is the time of one step of n requests.
func step(e *directory.Engine, n int) time.Duration {
	const perThousand = 1000
	context := (e.Prompt + e.Answer/2) / perThousand * float64(e.StepContext)
	return e.Step + time.Duration(float64(n)*(float64(e.StepSlot)+context))
}

// leaving is the time after which one of n requests of a full batch ends.
func leaving(e *directory.Engine, n int) time.Duration {
	return reading(e, e.Prompt) + time.Duration(e.Answer/float64(max(1, n))*float64(step(e, n)))
}

// predict returns the time until the first event, and whether the request may go there.
func (a *Assigner) predict(pool *directory.Pool, s *state, load Load, q Query, now time.Time) (time.Duration, bool) {
	n := slots(pool, s)
	if pool == nil || pool.Engine == nil {
		work := a.work[s.Pool]
		if work == 0 {
			work = plainWork
		}
		work = time.Duration(float64(work) * s.paceNow(now))
		wait := work * time.Duration(max(0, load.Requests+1-n)) / time.Duration(n)
		// A place that is taken counts a little, so that equal endpoints get equal shares.
		wait += work * time.Duration(load.Requests) / time.Duration(4*n)
		return max(wait+work, s.overdue(now)), load.Requests < n*(1+plainQueue)
	}
	e := pool.Engine
	pace := s.paceNow(now)
	pass := time.Duration(e.Stride) * step(e, min(n, load.Requests+1))
	own := time.Duration(pace * float64(pass/2+reading(e, q.Prompt)+pass))
	wait := reading(e, float64(load.Unread)) + time.Duration(max(0, load.Requests+1-n))*leaving(e, n)
	wait = max(time.Duration(pace*float64(wait)), s.overdue(now)-own)
	if q.Left <= 0 {
		return own + wait, float64(load.Requests) < spare*float64(n) && wait <= lateWait
	}
	return own + wait, own+time.Duration(caution*float64(wait)) <= q.Left-margin
}

// overdue returns how long the request has waited that is the most behind its prediction, if it is far behind.
func (s *state) overdue(now time.Time) time.Duration {
	var worst time.Duration
	for c := range s.pending {
		if age := now.Sub(c.sent); age > c.First+overdueGrace {
			worst = max(worst, age)
		}
	}
	return worst
}

// paceNow is how many times longer than by its figures the endpoint takes, drawn towards one with time.
func (s *state) paceNow(now time.Time) float64 {
	if s.pace == 1 || s.paced.IsZero() {
		return 1
	}
	halvings := float64(now.Sub(s.paced)) / float64(paceMemory)
	return 1 + (s.pace-1)/(1+halvings)
}

func (a *Assigner) draw() float64 {
	if a.Draw != nil {
		return a.Draw()
	}
	return rand.Float64()
}

// HasBegun tells whether an event of a request has come.
func (a *Assigner) HasBegun(c *Choice) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.begun
}

// Begin notes that an event of a request has come.
func (a *Assigner) Begin(c *Choice) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.begin(c)
}

func (a *Assigner) begin(c *Choice) {
	s := a.endpoints[c.Endpoint.ID]
	if s == nil || s.Born != c.Endpoint.Born {
		return
	}
	s.alive = time.Now()
	if c.begun {
		return
	}
	c.begun = true
	now := time.Now()
	s.own.Unread = max(0, s.own.Unread-c.prompt)
	delete(s.pending, c)
	if c.plain > 0 {
		seen := min(maxPace, max(minPace, float64(now.Sub(c.sent))/float64(c.plain)))
		s.pace = s.paceNow(now)*(1-paceWeight) + seen*paceWeight
		s.paced = now
	}
	a.changed()
}

// End is how a request at an endpoint ended.
type End int

// Ends of requests.
const (
	// Served means that the endpoint gave an answer of its own.
	Served End = iota
	// Failed means that the endpoint broke off.
	Failed
	// Unreached means that no connection was made.
	Unreached
	// Moved means that another endpoint answers at the address.
	Moved
	// Shed means that the endpoint refused the request as not run.
	Shed
	// Withdrawn means that the caller left, which says nothing of the endpoint.
	Withdrawn
)

// Release takes a request from the count of its endpoint.
func (a *Assigner) Release(c *Choice, end End) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.endpoints[c.Endpoint.ID]
	if s == nil || s.Born != c.Endpoint.Born {
		return
	}
	if !c.begun {
		s.own.Unread = max(0, s.own.Unread-c.prompt)
		delete(s.pending, c)
	}
	s.own.Requests = max(0, s.own.Requests-1)
	delete(s.running, c)
	switch end {
	case Unreached:
		a.suspect(s)
	case Moved:
		s.moved = true
	case Failed:
		s.breaker.Fail()
	case Served:
		s.alive = time.Now()
		s.breaker.Succeed()
		a.learn(c.Endpoint.Pool, time.Since(c.sent))
	case Shed, Withdrawn:
	}
	a.changed()
}

// learn keeps a moving mean of the time that requests take in a pool.
func (a *Assigner) learn(p ident.Pool, took time.Duration) {
	const weight = 16
	if a.work == nil {
		a.work = make(map[ident.Pool]time.Duration)
	}
	if a.work[p] == 0 {
		a.work[p] = took
		return
	}
	a.work[p] += (took - a.work[p]) / weight
}
