// Package request measures the policy under load in virtual time: the real schedulers of several entry hosts before
// fake engines.
package request

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
)

const (
	hop        = time.Millisecond
	callerHop  = 3 * time.Millisecond
	comebacks  = 3
	attempts   = 3
	warmUp     = 10 * time.Second
	reportTime = 250 * time.Millisecond
	anySet     = ident.WeightSet("set")
	pool       = ident.Pool("pool")
)

// deadlines are how long callers of each class wait for their whole answers, from the first time that they ask.
var deadlines = [3]time.Duration{10 * time.Second, 20 * time.Second, 60 * time.Second}

// size is a site of the users.
type size struct {
	name    string
	engines int
	entries int
}

var (
	agency  = size{"agency", 16, 7}
	schools = size{"schools", 9, 6}
)

type org struct {
	name   ident.Organisation
	weight int
	// load is the part of the capacity that the organisation asks for.
	load float64
}

// scenario is one run.
type scenario struct {
	size
	orgs []org
	// classes are the parts of the requests of each class.
	classes  [3]float64
	length   time.Duration
	lag      time.Duration
	policy   policy
	prefixes int
	// fault changes engines at the time given, after the warm-up.
	fault   func(w *world)
	faultAt time.Duration
}

type policy struct {
	// choose sends requests without admission; nil stands for the scheduler.
	choose func(e *entry, w *world) int
	// noBudget lets every failure be tried again.
	noBudget bool
	// noAffinity takes no notice of prefixes.
	noAffinity bool
	// bound is the router's bound on affinity; zero is its default.
	bound float64
}

// request is what a caller wants, over all the times that it asks.
type request struct {
	id       int
	org      int
	class    fairqueue.Class
	tokens   int
	prefix   prefixhasher.Prefix
	begin    time.Time
	asked    time.Time
	came     int
	tries    int
	tried    map[ident.Host]bool
	measured bool
	over     bool
}

type result struct {
	offered, good, failed, refused, retries, asks int
	hits, lookups                                 int
	shares                                        []int
	first                                         *hdrhistogram.Histogram
}

type world struct {
	scenario
	rng     *rand.Rand
	begin   time.Time
	events  events
	seq     int
	engines []*engine
	entries []*entry
	ids     int
	all     result
	byClass [3]result
	byOrg   []result
	// done counts the whole answers of all requests within the measured time.
	done int
	// open counts the measured requests that are neither answered nor failed.
	open int
}

type action struct {
	at  time.Time
	seq int
	do  func()
}

type events []action

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(action)) }

func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, action{time.Now().Add(d), w.seq, do})
}

func newResult() result {
	return result{first: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// run plays a scenario on one goroutine and returns its world.
func run(t *testing.T, s scenario) *world {
	t.Helper()
	var w *world
	synctest.Test(t, func(*testing.T) {
		w = newWorld(s)
		end := w.begin.Add(warmUp + s.length + deadlines[2])
		for len(w.events) > 0 {
			a := heap.Pop(&w.events).(action)
			if a.at.After(end) || w.open == 0 && time.Since(w.begin) > warmUp+s.length {
				break
			}
			time.Sleep(time.Until(a.at))
			a.do()
		}
	})
	return w
}

func newWorld(s scenario) *world {
	w := &world{scenario: s, rng: rand.New(rand.NewPCG(1, 2)), begin: time.Now(), all: newResult()}
	for i := range w.byClass {
		w.byClass[i] = newResult()
	}
	for range s.orgs {
		w.byOrg = append(w.byOrg, newResult())
	}
	for i := range s.size.engines {
		w.engines = append(w.engines, &engine{world: w, host: ident.Host(fmt.Sprintf("engine-%02d", i)), zone: zone(i), pace: 1, startTime: 1})
	}
	for i := range s.size.entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for _, e := range w.engines {
		w.after(time.Duration(w.rng.Int64N(int64(reportTime))), e.report)
	}
	for i := range s.orgs {
		w.after(w.gap(i), func() { w.arrive(i) })
	}
	if s.fault != nil {
		w.after(warmUp+s.faultAt, func() { s.fault(w) })
	}
	return w
}

func zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("zone-%d", i%3))
}

// capacity is the number of requests a second that all engines answer when every slot is always in use.
func (s scenario) capacity() float64 {
	mean := prefill + time.Duration(meanTokens)*tokenTime
	return float64(s.engines*slots) / mean.Seconds()
}

// gap draws the time until an organisation's next request.
func (w *world) gap(i int) time.Duration {
	rate := w.orgs[i].load * w.capacity()
	return time.Duration(-math.Log(1-w.rng.Float64()) / rate * float64(time.Second))
}

func (w *world) arrive(i int) {
	since := time.Since(w.begin)
	if since > warmUp+w.length {
		return
	}
	w.ids++
	r := &request{
		id: w.ids, org: i, class: w.class(), tokens: minTokens + w.rng.IntN(2*(meanTokens-minTokens)+1),
		begin: time.Now(), measured: since >= warmUp,
	}
	if w.prefixes > 0 {
		r.prefix = prefixhasher.Prefix(1 + w.rng.IntN(w.prefixes))
	}
	w.count(r, func(x *result) { x.offered++ })
	w.settle(r, 1)
	w.after(deadlines[r.class], func() { w.expire(r) })
	w.ask(r)
	w.after(w.gap(i), func() { w.arrive(i) })
}

func (w *world) class() fairqueue.Class {
	f := w.rng.Float64()
	for c, part := range w.classes {
		if f < part {
			return fairqueue.Class(c)
		}
		f -= part
	}
	return fairqueue.Normal
}

// count adds to the results of a request's class and organisation.
func (w *world) count(r *request, add func(*result)) {
	if !r.measured {
		return
	}
	add(&w.all)
	add(&w.byClass[r.class])
	add(&w.byOrg[r.org])
}

// settle keeps the count of measured requests that are open.
func (w *world) settle(r *request, n int) {
	if r.measured {
		w.open += n
	}
}

// ask lets the caller's balancer pick an entry host.
func (w *world) ask(r *request) {
	r.asked = time.Now()
	r.tries = 0
	r.tried = make(map[ident.Host]bool)
	w.count(r, func(x *result) { x.asks++ })
	e := w.entries[w.rng.IntN(len(w.entries))]
	w.after(callerHop, func() { e.admit(r) })
}

// refuse tells the caller that the request was not run, and when to come back.
func (w *world) refuse(r *request, after time.Duration) {
	w.count(r, func(x *result) { x.refused++ })
	if r.over || r.came >= comebacks || after == 0 {
		w.fail(r)
		return
	}
	r.came++
	w.after(callerHop+after, func() {
		if !r.over {
			w.ask(r)
		}
	})
}

func (w *world) expire(r *request) {
	if !r.over {
		w.fail(r)
	}
}

func (w *world) fail(r *request) {
	if r.over {
		return
	}
	r.over = true
	w.settle(r, -1)
	w.count(r, func(x *result) { x.failed++ })
}

func (w *world) first(r *request) {
	if r.over {
		return
	}
	d := time.Since(r.asked) + callerHop
	w.count(r, func(x *result) { _ = x.first.RecordValue(int64(d / time.Microsecond)) })
}

func (w *world) answered(r *request) {
	if r.over {
		return
	}
	r.over = true
	w.settle(r, -1)
	w.count(r, func(x *result) { x.good++ })
	if since := time.Since(w.begin); since >= warmUp && since < warmUp+w.length {
		w.done++
	}
}

// goodput returns the whole answers that came within their deadlines, in parts of what all slots can give.
func (w *world) goodput() float64 {
	return float64(w.done) / w.length.Seconds() / w.capacity()
}

func quantile(x result, q float64) float64 {
	return float64(x.first.ValueAtQuantile(q)) / float64(time.Second/time.Microsecond)
}

func lost() *outcome.Error {
	return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}
}
