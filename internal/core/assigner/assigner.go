// Package assigner places requests on endpoints, or turns them away, when more work arrives than the endpoints can do.
//
// The load pattern that it answers is a steady overload seen by many entry hosts at once: each knows its own requests
// exactly and those of the others as of some tens of milliseconds ago. An endpoint takes a request only if its first
// event is predicted within what is left of the caller's objective; a request that is late already takes free places
// only. So the queues at the engines stay short, and a request that cannot be served in time hears so at once.
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
	// zoneCost is what a request to another zone is taken to be later, so that equal endpoints nearby come first.
	zoneCost = 3 * time.Millisecond
	// margin is kept free of the objective for the network and for errors of the prediction.
	margin = 40 * time.Millisecond
	// plainWork is the work of a request at a plain service until some have been seen.
	plainWork = 30 * time.Millisecond
	// spread is the part of a request's usual time by which equal predictions are told apart at random, so that the entry
	// hosts do not all choose the same endpoint.
	spread = 0.3
	// plainQueue is the number of requests, as a multiple of the slots, that a plain service may have waiting.
	plainQueue = 2
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
}

// Choice is an endpoint for a request, with what decided it.
type Choice struct {
	Endpoint directory.Endpoint
	// Load is the number of requests taken to be there, and Own those of this host.
	Load, Own int
	// First is the predicted time to the first event.
	First time.Duration
}

// Refusal is why no endpoint was chosen.
type Refusal string

// Refusals.
const (
	// None means that no endpoint serves what is asked for.
	None Refusal = "no-endpoint"
	// Full means that no endpoint could serve the request in time.
	Full Refusal = "overload"
)

type state struct {
	directory.Endpoint
	own     int
	breaker breaker.Breaker
	// switching says that the engine takes no new work until it has loaded other weights.
	switching time.Time
	// release overrides the entry, for a report that is newer.
	release map[directory.Model]directory.Release
}

type peer struct {
	heard  time.Time
	counts map[string]int
}

// Assigner holds what is known of the endpoints. Set its fields before use.
type Assigner struct {
	// Zone is the zone of this host.
	Zone ident.Zone
	// Draw returns a number from 0 up to 1; nil means a random one.
	Draw func() float64

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
			s = &state{}
		}
		s.Endpoint = e
		a.endpoints[e.ID] = s
	}
}

// SetPeer takes another entry host's word of how many requests it has at each endpoint, by id.
func (a *Assigner) SetPeer(h ident.Host, counts map[string]int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[ident.Host]*peer)
	}
	a.peers[h] = &peer{heard: time.Now(), counts: counts}
}

// Own returns the number of requests that this host has at each endpoint, by id.
func (a *Assigner) Own() map[string]int {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]int)
	for id, s := range a.endpoints {
		if s.own > 0 {
			out[id] = s.own
		}
	}
	return out
}

// Assign chooses an endpoint and counts the request there until Release. It returns a refusal if there is none.
func (a *Assigner) Assign(q Query) (Choice, Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.forget(now)
	pool := a.pools[q.Pool]
	var best *state
	var choice Choice
	var bestCost time.Duration
	refusal := None
	for id, s := range a.endpoints {
		if !a.serves(s, q, now) {
			continue
		}
		if q.Tried[id] || !s.breaker.Allows(s.own) {
			continue
		}
		refusal = Full
		load := s.own + a.others(id)
		first, ok := a.predict(pool, s, load, q)
		if !ok {
			continue
		}
		cost := first + time.Duration(a.draw()*spread*float64(a.perRequest(pool, s)))
		if s.Zone != a.Zone {
			cost += zoneCost
		}
		cost += time.Duration(float64(load) / float64(max(1, slots(pool, s))) * float64(a.perRequest(pool, s)))
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
			choice = Choice{Endpoint: s.Endpoint, Load: load, Own: s.own, First: first}
		}
	}
	if best == nil {
		return Choice{}, refusal
	}
	best.own++
	return choice, ""
}

func (a *Assigner) serves(s *state, q Query, _ time.Time) bool {
	if s.Pool != q.Pool || s.Leaving {
		return false
	}
	if q.Model == "" {
		return true
	}
	have, ok := s.Endpoint.Release(q.Model)
	if !ok {
		return false
	}
	return have == q.Release || !q.Exact && have > q.Release
}

// forget drops the word of hosts that fell silent.
func (a *Assigner) forget(now time.Time) {
	for h, p := range a.peers {
		if now.Sub(p.heard) > peerAge {
			delete(a.peers, h)
		}
	}
}

func (a *Assigner) others(id string) int {
	n := 0
	for _, p := range a.peers {
		n += p.counts[id]
	}
	return n
}

func slots(pool *directory.Pool, s *state) int {
	if pool != nil && pool.Engine != nil && pool.Engine.Slots > 0 {
		return pool.Engine.Slots
	}
	return max(1, s.Slots)
}

// perRequest is the time after which a full endpoint has room for one more request.
func (a *Assigner) perRequest(pool *directory.Pool, s *state) time.Duration {
	if pool == nil || pool.Engine == nil {
		work := a.work[s.Pool]
		if work == 0 {
			work = plainWork
		}
		return work / time.Duration(max(1, s.Slots))
	}
	e := pool.Engine
	return reading(e, e.Prompt) + time.Duration(e.Answer/float64(max(1, e.Slots))*float64(step(e)))
}

func reading(e *directory.Engine, tokens float64) time.Duration {
	if e.ReadRate <= 0 {
		return 0
	}
	return time.Duration(tokens / e.ReadRate * float64(time.Second))
}

// step is the time of one step of a full batch.
func step(e *directory.Engine) time.Duration {
	const perThousand = 1000
	context := (e.Prompt + e.Answer/2) / perThousand * float64(e.StepContext)
	return e.Step + time.Duration(float64(e.Slots)*(float64(e.StepSlot)+context))
}

// predict returns the time until the first event, and whether the request may go there.
func (a *Assigner) predict(pool *directory.Pool, s *state, load int, q Query) (time.Duration, bool) {
	n := slots(pool, s)
	wait := time.Duration(max(0, load+1-n)) * a.perRequest(pool, s)
	if pool == nil || pool.Engine == nil {
		return wait + a.work[s.Pool], load < n*(1+plainQueue)
	}
	e := pool.Engine
	pass := time.Duration(e.Stride) * step(e)
	first := wait + pass/2 + reading(e, q.Prompt) + pass
	if q.Left <= 0 {
		return first, load < n
	}
	return first, load < n || first <= q.Left-margin
}

func (a *Assigner) draw() float64 {
	if a.Draw != nil {
		return a.Draw()
	}
	return rand.Float64()
}

// End is how a request at an endpoint ended.
type End int

// Ends of requests.
const (
	// Served means that the endpoint gave an answer of its own.
	Served End = iota
	// Failed means that the endpoint could not be reached or broke off.
	Failed
	// Shed means that the endpoint refused the request as not run.
	Shed
	// Withdrawn means that the caller left, which says nothing of the endpoint.
	Withdrawn
)

// Release takes a request from the count of its endpoint.
func (a *Assigner) Release(e directory.Endpoint, end End, took time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.endpoints[e.ID]
	if s == nil || s.Born != e.Born {
		return
	}
	s.own = max(0, s.own-1)
	switch end {
	case Failed:
		s.breaker.Fail()
	case Served:
		s.breaker.Succeed()
		a.learn(e.Pool, took)
	case Shed, Withdrawn:
	}
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
