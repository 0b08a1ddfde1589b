package crashsuspector_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
)

const (
	warmUp = 5 * time.Second
	// settleTime is the time after the fifth crash from which the number of requests is bounded.
	settleTime = 3 * time.Second
	// serveTime is the time after the fifth crash from which sound requests must be served again.
	serveTime = 6 * time.Second
	// crashesBeforeBound is the number of crashes after which the number of requests with the part is bounded, and
	// crashesBeforeRepeatBound the number after which that of a request that is repeated is.
	crashesBeforeBound       = 5
	crashesBeforeRepeatBound = 3

	engineSlots = 16
	eventGap    = 46 * time.Millisecond
	answerTime  = 300 * time.Millisecond
	retryDelay  = 5 * time.Millisecond
	dialTime    = time.Millisecond
	maxAttempts = 3
)

// route is a kind of requests that share their first part. Each has a middle part as well, of a group or a rare one.
type route struct {
	// rate is the number of sound requests a second.
	rate      float64
	groups    int
	rareShare float64
}

// crasher is a part of prompts that crashes engines. Its requests share their other parts with sound ones of the route.
type crasher struct {
	route int
	// isFirst means that the crasher stands in place of the route's first part, and hasGroup that the requests have the
	// middle part of a group as well.
	isFirst, hasGroup bool
	rate              float64
	probability       float64
	// repeats means that the same request is sent each time.
	repeats bool
}

// disturbance is trouble of another kind.
type disturbance struct {
	kind string
	at   time.Duration
	// n is the number of engines that end, or the index of the host or engine.
	n int
	// lasts is the time between the first and the last end, or the time that a host or an engine is disturbed.
	lasts time.Duration
}

// scenario describes the load and the trouble of a simulated fleet. Times are since its start.
type scenario struct {
	seed            uint64
	hosts, engines  int
	routes          []route
	crashers        []crasher
	crashersFrom    time.Duration
	recovery        time.Duration
	transit         time.Duration
	loss            float64
	disturbances    []disturbance
	duration        time.Duration
	withoutSuspects bool
}

// simulatedRequest is one request, with all its attempts.
type simulatedRequest struct {
	serial   int
	features []feature
	route    int
	crasher  int // -1 for a sound request
	host     *simulatedHost
	engine   *simulatedEngine
	attempts int
	harmless bool
	// isCounted means that the host was in touch with the others when the request came.
	isCounted bool
	done      bool
	sentAt    time.Duration
}

type simulatedEngine struct {
	index          int
	incarnation    int
	up, hung       bool
	queue, running []*simulatedRequest
}

type simulatedHost struct {
	suspector   *crashsuspector.Suspector
	incarnation int
	up          bool
	pausedUntil time.Duration
	cutUntil    time.Duration
	// inTouchFrom is when the host has been in touch with the others for settleTime.
	inTouchFrom time.Duration
	requests    map[*simulatedRequest]bool
}

// tally counts what a simulated fleet did to the requests of one route or with one crasher.
type tally struct {
	crashes []time.Duration
	// reached holds when a request reached an engine.
	reached []time.Duration
	// sent and refused hold the sound requests of a route, and those that were refused because of a quarantine.
	sent, refused []time.Duration
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].serial < q[j].serial)
}

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet simulates entry hosts and engines in virtual time, one event after the other.
type fleet struct {
	scenario
	rng       *rand.Rand
	startTime time.Time
	now       time.Duration
	queue     eventQueue
	serial    int
	hosts     []*simulatedHost
	engines   []*simulatedEngine
	parts     uint64

	byRoute   []tally
	byCrasher []tally
	crashes   int
	// quarantined holds the sound parts that any host has quarantined at any time, and parts the number of sound parts.
	quarantined map[feature]bool
	soundParts  map[feature]bool
}

func mix(x uint64) feature {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return feature(x ^ x>>31)
}

func firstPart(route int) feature        { return mix(1_000_000 + uint64(route)) }
func groupPart(route, group int) feature { return mix(2_000_000 + 1000*uint64(route) + uint64(group)) }
func crashPart(i int) feature            { return mix(3_000_000 + uint64(i)) }
func (f *fleet) newDigest() feature      { f.parts++; return mix(1<<40 + f.parts) }
func (f *fleet) isSound(part feature) bool {
	return !slices.ContainsFunc(f.crashParts(), func(p feature) bool { return p == part })
}

func (f *fleet) crashParts() []feature {
	var out []feature
	for i, c := range f.crashers {
		out = append(out, crashPart(i))
		if c.repeats {
			out = append(out, repeatedDigest(i))
		}
	}
	return out
}

func repeatedDigest(i int) feature { return mix(4_000_000 + uint64(i)) }

func simulate(s scenario) *fleet {
	f := &fleet{
		scenario: s, rng: rand.New(rand.NewPCG(s.seed, 7)), startTime: time.Now(), quarantined: make(map[feature]bool), soundParts: make(map[feature]bool),
		byRoute: make([]tally, len(s.routes)), byCrasher: make([]tally, len(s.crashers)),
	}
	for range s.hosts {
		h := &simulatedHost{up: true, requests: make(map[*simulatedRequest]bool)}
		f.hosts = append(f.hosts, h)
		f.startHost(h)
	}
	for i := range s.engines {
		f.engines = append(f.engines, &simulatedEngine{index: i, up: true})
	}
	for i := range s.routes {
		f.arrivals(s.routes[i].rate, 0, func() { f.submitSound(i) })
	}
	for i := range s.crashers {
		f.arrivals(s.crashers[i].rate, s.crashersFrom, func() { f.submitCrashing(i) })
	}
	for _, d := range s.disturbances {
		f.after(d.at, func() { f.disturb(d) })
	}
	for len(f.queue) > 0 && f.queue[0].at < s.duration {
		e := heap.Pop(&f.queue).(event)
		time.Sleep(e.at - time.Since(f.startTime))
		f.now = e.at
		e.do()
	}
	return f
}

func (f *fleet) after(d time.Duration, do func()) {
	f.serial++
	heap.Push(&f.queue, event{at: f.now + d, serial: f.serial, do: do})
}

func (f *fleet) uniform(limit time.Duration) time.Duration {
	return time.Duration(f.rng.Float64() * float64(limit))
}

func (f *fleet) arrivals(rate float64, from time.Duration, submit func()) {
	gap := func() time.Duration { return time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)) }
	var next func()
	next = func() {
		submit()
		f.after(gap(), next)
	}
	f.after(from+gap(), next)
}

func (f *fleet) submitSound(i int) {
	r := f.routes[i]
	middle := groupPart(i, f.rng.IntN(max(1, r.groups)))
	if f.rng.Float64() < r.rareShare {
		middle = f.newDigest()
	}
	f.soundParts[middle], f.soundParts[firstPart(i)] = true, true
	f.submit(&simulatedRequest{features: []feature{firstPart(i), middle, f.newDigest()}, route: i, crasher: -1})
}

func (f *fleet) submitCrashing(i int) {
	c := f.crashers[i]
	var features []feature
	if !c.isFirst {
		features = append(features, firstPart(c.route))
	}
	group, digest := f.rng.IntN(max(1, f.routes[c.route].groups)), f.newDigest()
	if c.repeats {
		group, digest = 0, repeatedDigest(i)
	}
	if c.hasGroup {
		features = append(features, groupPart(c.route, group))
	}
	f.submit(&simulatedRequest{features: append(features, crashPart(i), digest), route: c.route, crasher: i})
}

func (f *fleet) submit(r *simulatedRequest) {
	f.serial++
	r.serial, r.sentAt = f.serial, f.now
	var up []*simulatedHost
	for _, h := range f.hosts {
		if h.up && f.now >= h.pausedUntil {
			up = append(up, h)
		}
	}
	if len(up) == 0 {
		return
	}
	r.host = up[f.rng.IntN(len(up))]
	r.host.requests[r] = true
	r.isCounted = f.now >= r.host.inTouchFrom
	if r.crasher < 0 && r.isCounted {
		f.byRoute[r.route].sent = append(f.byRoute[r.route].sent, f.now)
	}
	f.attempt(r)
}

// verdict returns the verdict on a request, which is always clean for the decision without a quarantine.
func (f *fleet) verdict(r *simulatedRequest) crashsuspector.Verdict {
	if f.withoutSuspects {
		return crashsuspector.Clean
	}
	return r.host.suspector.Verdict(r.features)
}

func (f *fleet) attempt(r *simulatedRequest) {
	if r.done {
		return
	}
	verdict := f.verdict(r)
	if verdict == crashsuspector.Quarantined {
		f.refuse(r)
		return
	}
	r.attempts++
	if r.attempts > maxAttempts || (r.attempts > 1 && verdict != crashsuspector.Clean) {
		f.end(r)
		return
	}
	e := f.chooseEngine()
	if e == nil {
		f.end(r)
		return
	}
	host := r.host.incarnation
	f.after(dialTime, func() {
		switch {
		case r.done || host != r.host.incarnation:
		case !e.up:
			f.attempt(r)
		case f.verdict(r) == crashsuspector.Quarantined:
			f.refuse(r)
		default:
			f.reach(r, e)
		}
	})
}

func (f *fleet) chooseEngine() *simulatedEngine {
	var up []*simulatedEngine
	for _, e := range f.engines {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return nil
	}
	a, b := up[f.rng.IntN(len(up))], up[f.rng.IntN(len(up))]
	if len(b.queue)+len(b.running) < len(a.queue)+len(a.running) {
		return b
	}
	return a
}

func (f *fleet) refuse(r *simulatedRequest) {
	if r.crasher < 0 && r.isCounted {
		f.byRoute[r.route].refused = append(f.byRoute[r.route].refused, r.sentAt)
	}
	f.end(r)
}

func (f *fleet) end(r *simulatedRequest) {
	r.done = true
	delete(r.host.requests, r)
	if e := r.engine; e != nil {
		r.engine = nil
		is := func(other *simulatedRequest) bool { return other == r }
		e.queue, e.running = slices.DeleteFunc(e.queue, is), slices.DeleteFunc(e.running, is)
		f.runNext(e)
	}
}

func (f *fleet) reach(r *simulatedRequest, e *simulatedEngine) {
	if r.crasher >= 0 && f.now >= r.host.inTouchFrom {
		f.byCrasher[r.crasher].reached = append(f.byCrasher[r.crasher].reached, f.now)
	}
	r.engine = e
	e.queue = append(e.queue, r)
	f.runNext(e)
}

func (f *fleet) runNext(e *simulatedEngine) {
	for e.up && !e.hung && len(e.running) < engineSlots && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running = append(e.running, r)
		incarnation := e.incarnation
		current := func() bool { return r.engine == e && e.incarnation == incarnation }
		f.after(30*time.Millisecond+f.uniform(70*time.Millisecond), func() {
			if !current() || e.hung {
				return
			}
			if r.crasher >= 0 && f.rng.Float64() < f.crashers[r.crasher].probability {
				f.byCrasher[r.crasher].crashes = append(f.byCrasher[r.crasher].crashes, f.now)
				f.crash(e)
				return
			}
			f.after(eventGap, func() {
				if current() && !e.hung {
					r.harmless = true
					f.announce(r.host, r.host.suspector.RecordSuccess(r.features))
				}
			})
			f.after(answerTime, func() {
				if current() && !e.hung {
					f.end(r)
				}
			})
		})
	}
}

// crash ends an engine. The hosts with requests at it notice after some milliseconds.
func (f *fleet) crash(e *simulatedEngine) {
	if !e.up {
		return
	}
	f.crashes++
	id := crashsuspector.CrashID(mix(uint64(e.index)<<32 + uint64(e.incarnation)))
	requests := slices.Concat(e.running, e.queue)
	e.up, e.queue, e.running = false, nil, nil
	e.incarnation++
	f.after(f.recovery+f.uniform(time.Second), func() { e.up, e.hung = true, false })
	byHost := make(map[*simulatedHost][]*simulatedRequest)
	for _, r := range requests {
		r.engine = nil
		byHost[r.host] = append(byHost[r.host], r)
	}
	for _, h := range f.hosts {
		if lost := byHost[h]; len(lost) > 0 {
			incarnation := h.incarnation
			f.after(max(0, h.pausedUntil-f.now)+dialTime+f.uniform(3*time.Millisecond), func() {
				if h.up && h.incarnation == incarnation {
					f.noticeCrash(h, id, lost)
				}
			})
		}
	}
}

func (f *fleet) noticeCrash(h *simulatedHost, id crashsuspector.CrashID, lost []*simulatedRequest) {
	var suspects []feature
	for _, r := range lost {
		if !r.harmless && !r.done {
			suspects = append(suspects, r.features...)
		}
	}
	if !f.withoutSuspects {
		f.announce(h, h.suspector.RecordCrash(id, suspects))
	}
	for _, r := range lost {
		if r.harmless {
			f.end(r)
			continue
		}
		f.after(retryDelay, func() { f.attempt(r) })
	}
}

// startHost starts a host, which learns the facts of another one.
func (f *fleet) startHost(h *simulatedHost) {
	h.incarnation++
	incarnation := h.incarnation
	h.suspector = &crashsuspector.Suspector{MayProbe: func() bool { return f.mayProbe(h) }, OnQuarantine: func(part feature) {
		if f.soundParts[part] && f.isSound(part) {
			f.quarantined[part] = true
		}
		f.after(0, func() {
			for _, r := range f.requestsOf(h) {
				if h.incarnation == incarnation && !r.harmless && !r.done && slices.Contains(r.features, part) && f.verdict(r) == crashsuspector.Quarantined {
					f.refuse(r)
				}
			}
		})
	}}
	if others := f.others(h); len(others) > 0 {
		h.suspector.Merge(others[f.rng.IntN(len(others))].suspector.Facts())
	}
	var gossip func()
	gossip = func() {
		if h.incarnation != incarnation {
			return
		}
		if f.now >= h.pausedUntil {
			if facts := h.suspector.Facts(); !facts.IsEmpty() {
				others := f.others(h)
				for range min(3, len(others)) {
					f.send(h, others[f.rng.IntN(len(others))], facts)
				}
			}
		}
		f.after(500*time.Millisecond, gossip)
	}
	f.after(f.uniform(500*time.Millisecond), gossip)
}

// mayProbe reports whether a host is the first one that it knows to be alive.
func (f *fleet) mayProbe(h *simulatedHost) bool {
	for _, other := range f.hosts {
		if other == h || f.now < h.cutUntil {
			return true
		}
		if other.up && f.now >= other.cutUntil {
			return false
		}
	}
	return false
}

// requestsOf returns the requests of a host in the order of their digests, as maps have none.
func (f *fleet) requestsOf(h *simulatedHost) []*simulatedRequest {
	var out []*simulatedRequest
	for r := range h.requests {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *simulatedRequest) int {
		if a.sentAt != b.sentAt {
			return int(a.sentAt - b.sentAt)
		}
		return a.serial - b.serial
	})
	return out
}

func (f *fleet) others(h *simulatedHost) []*simulatedHost {
	var out []*simulatedHost
	for _, other := range f.hosts {
		if other != h && other.up && other.suspector != nil {
			out = append(out, other)
		}
	}
	return out
}

// aged returns facts as they are some time later.
func aged(facts facts, by time.Duration) facts {
	out := crashsuspector.Facts{Crashes: slices.Clone(facts.Crashes), Clearings: slices.Clone(facts.Clearings)}
	for i := range out.Crashes {
		out.Crashes[i].AgeMs += by.Milliseconds()
	}
	for i := range out.Clearings {
		out.Clearings[i].AgeMs += by.Milliseconds()
	}
	return out
}

// announce sends facts to all hosts, three times.
func (f *fleet) announce(h *simulatedHost, facts facts) {
	if facts.IsEmpty() || f.withoutSuspects {
		return
	}
	incarnation := h.incarnation
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		f.after(delay, func() {
			if h.incarnation != incarnation {
				return
			}
			for _, other := range f.others(h) {
				f.send(h, other, aged(facts, delay))
			}
		})
	}
}

func (f *fleet) send(from, to *simulatedHost, facts facts) {
	if f.rng.Float64() < f.loss || f.now < from.cutUntil || f.now < to.cutUntil || f.withoutSuspects {
		return
	}
	incarnation := to.incarnation
	f.after(f.transit/4+f.uniform(f.transit), func() { f.deliver(to, incarnation, facts) })
}

func (f *fleet) deliver(h *simulatedHost, incarnation int, facts facts) {
	if !h.up || h.incarnation != incarnation {
		return
	}
	if f.now < h.pausedUntil {
		f.after(h.pausedUntil-f.now, func() { f.deliver(h, incarnation, facts) })
		return
	}
	answer := h.suspector.Merge(facts)
	if answer.IsEmpty() {
		return
	}
	f.after(f.uniform(50*time.Millisecond), func() {
		if h.incarnation == incarnation && f.now >= h.pausedUntil {
			f.announce(h, crashsuspector.Facts{Clearings: h.suspector.Remaining(answer.Clearings)})
		}
	})
}

func (f *fleet) disturb(d disturbance) {
	switch d.kind {
	case "engines end":
		first := f.rng.IntN(len(f.engines))
		for i := range min(d.n, len(f.engines)) {
			f.after(f.uniform(d.lasts), func() { f.crash(f.engines[(first+i)%len(f.engines)]) })
		}
	case "engine flaps":
		e := f.engines[d.n%len(f.engines)]
		for at := time.Duration(0); at < d.lasts; at += 500*time.Millisecond + f.uniform(3*time.Second) {
			f.after(at, func() { f.crash(e) })
		}
	case "engine hangs":
		e := f.engines[d.n%len(f.engines)]
		e.hung = true
		f.after(d.lasts, func() { f.crash(e) })
	default:
		f.disturbHost(f.hosts[d.n%len(f.hosts)], d)
	}
}

func (f *fleet) disturbHost(h *simulatedHost, d disturbance) {
	h.inTouchFrom = max(h.inTouchFrom, f.now+d.lasts+settleTime)
	switch d.kind {
	case "host is paused":
		h.pausedUntil = max(h.pausedUntil, f.now+d.lasts)
	case "host is cut off":
		h.cutUntil = max(h.cutUntil, f.now+d.lasts)
	case "host restarts":
		h.up = false
		h.incarnation++
		for _, r := range f.requestsOf(h) {
			f.end(r)
		}
		incarnation := h.incarnation
		f.after(d.lasts, func() {
			if h.incarnation == incarnation {
				h.up = true
				f.startHost(h)
			}
		})
	}
}

// reachedAfterBound returns how many requests with a crasher reached engines after the time from which they are bounded.
func (f *fleet) reachedAfterBound(i int) int {
	t, crashes := f.byCrasher[i], crashesBeforeBound
	if f.crashers[i].repeats {
		crashes = crashesBeforeRepeatBound
	}
	if len(t.crashes) < crashes {
		return 0
	}
	return countAfter(t.reached, t.crashes[crashes-1]+settleTime)
}

func countAfter(times []time.Duration, from time.Duration) int {
	n := 0
	for _, t := range times {
		if t > from {
			n++
		}
	}
	return n
}

// refusedShare returns the share of a route's sound requests that were sent in a period and refused, and their number.
func (f *fleet) refusedShare(i int, from, to time.Duration) (share float64, sent int) {
	t := f.byRoute[i]
	sent = countAfter(t.sent, from) - countAfter(t.sent, to)
	return float64(countAfter(t.refused, from)-countAfter(t.refused, to)) / float64(max(1, sent)), sent
}
