// Package request measures the scheduling of requests under load in virtual time, with the real schedulers of several
// entry hosts and simulated engines. It also measures the cost of a request at an entry host, the traffic of load
// reports, and the claims of idempotency keys.
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
	hostLatency      = time.Millisecond
	callerLatency    = 3 * time.Millisecond
	maxCallerRetries = 3
	maxAttempts      = 3
	warmUpTime       = 10 * time.Second
	reportInterval   = 250 * time.Millisecond
	weightSet        = ident.WeightSet("set")
	pool             = ident.Pool("pool")
)

// deadlines holds, for each class, how long callers wait for a complete response after they first send a request.
var deadlines = [3]time.Duration{10 * time.Second, 20 * time.Second, 60 * time.Second}

// site is the size of one user's installation.
type site struct {
	name    string
	engines int
	entries int
}

var (
	agency  = site{"agency", 16, 7}
	schools = site{"schools", 9, 6}
)

type org struct {
	name   ident.Organisation
	weight int
	// load is the offered load of the organisation as a share of the capacity.
	load float64
}

// scenario describes one run.
type scenario struct {
	site
	orgs []org
	// classShares is the share of each class in the requests.
	classShares [3]float64
	duration    time.Duration
	reportLag   time.Duration
	policy      policy
	prefixes    int
	// fault changes the engines. It is called when faultAt has passed since the end of the warm-up.
	fault   func(sim *simulation)
	faultAt time.Duration
}

// policy is how entry hosts select engines and retry. Its zero value is the real scheduler.
type policy struct {
	// selectEngine returns the index of the engine for a request, which is sent there immediately, without queueing or
	// limits. Nil means the real scheduler.
	selectEngine func(e *entry, sim *simulation) int
	// noBudget retries every failure, whatever the retry budget.
	noBudget bool
	// noAffinity ignores prefixes.
	noAffinity bool
	// affinityBound is the router's bound on affinity. Zero means the default.
	affinityBound float64
}

// request is one request of a caller, including its resubmissions after refusals.
type request struct {
	id            int
	org           int
	class         fairqueue.Class
	tokens        int
	prefix        prefixhasher.Prefix
	createdAt     time.Time
	sentAt        time.Time
	callerRetries int
	attempts      int
	triedHosts    map[ident.Host]bool
	measured      bool
	finished      bool
}

// result holds the counts and times to first token of a group of requests.
type result struct {
	offered, succeeded, failed, refused, retries, sent int
	hits, lookups                                      int
	shares                                             []int
	timeToFirstToken                                   *hdrhistogram.Histogram
}

// simulation runs a scenario as a queue of events in virtual time.
type simulation struct {
	scenario
	rng       *rand.Rand
	startTime time.Time
	events    eventQueue
	seq       int
	engines   []*engine
	entries   []*entry
	lastID    int
	all       result
	byClass   [3]result
	byOrg     []result
	// completedInWindow counts the responses that were completed within the measured time, of all requests.
	completedInWindow int
	// pending counts the measured requests that are neither completed nor failed.
	pending int
}

type event struct {
	at  time.Time
	seq int
	fn  func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }

func (e eventQueue) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }

func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// schedule calls fn after d.
func (sim *simulation) schedule(d time.Duration, fn func()) {
	sim.seq++
	heap.Push(&sim.events, event{time.Now().Add(d), sim.seq, fn})
}

func newResult() result {
	return result{timeToFirstToken: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// runScenario simulates a scenario on one goroutine and returns the final state.
func runScenario(t *testing.T, s scenario) *simulation {
	t.Helper()
	var sim *simulation
	synctest.Test(t, func(*testing.T) {
		sim = newSimulation(s)
		end := sim.startTime.Add(warmUpTime + s.duration + deadlines[2])
		for len(sim.events) > 0 {
			next := heap.Pop(&sim.events).(event)
			if next.at.After(end) || sim.pending == 0 && time.Since(sim.startTime) > warmUpTime+s.duration {
				break
			}
			time.Sleep(time.Until(next.at))
			next.fn()
		}
	})
	return sim
}

func newSimulation(s scenario) *simulation {
	sim := &simulation{scenario: s, rng: rand.New(rand.NewPCG(1, 2)), startTime: time.Now(), all: newResult()}
	for i := range sim.byClass {
		sim.byClass[i] = newResult()
	}
	for range s.orgs {
		sim.byOrg = append(sim.byOrg, newResult())
	}
	for i := range s.site.engines {
		sim.engines = append(sim.engines, &engine{sim: sim, host: ident.Host(fmt.Sprintf("engine-%02d", i)), zone: zone(i), slowdown: 1, incarnation: 1})
	}
	for i := range s.site.entries {
		sim.entries = append(sim.entries, newEntry(sim, i))
	}
	for _, e := range sim.engines {
		sim.schedule(time.Duration(sim.rng.Int64N(int64(reportInterval))), e.sendReport)
	}
	for i := range s.orgs {
		sim.schedule(sim.timeToNextArrival(i), func() { sim.arrive(i) })
	}
	if s.fault != nil {
		sim.schedule(warmUpTime+s.faultAt, func() { s.fault(sim) })
	}
	return sim
}

func zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprintf("zone-%d", i%3))
}

// capacity returns the number of requests per second that all engines complete when every slot is always in use.
func (s scenario) capacity() float64 {
	mean := prefillTime + time.Duration(meanTokens)*tokenTime
	return float64(s.engines*slots) / mean.Seconds()
}

// timeToNextArrival draws the time until an organisation's next request, exponentially distributed.
func (sim *simulation) timeToNextArrival(orgIndex int) time.Duration {
	rate := sim.orgs[orgIndex].load * sim.capacity()
	return time.Duration(-math.Log(1-sim.rng.Float64()) / rate * float64(time.Second))
}

// arrive sends a new request of an organisation and schedules the organisation's next request.
func (sim *simulation) arrive(orgIndex int) {
	since := time.Since(sim.startTime)
	if since > warmUpTime+sim.duration {
		return
	}
	sim.lastID++
	r := &request{
		id: sim.lastID, org: orgIndex, class: sim.drawClass(), tokens: minTokens + sim.rng.IntN(2*(meanTokens-minTokens)+1),
		createdAt: time.Now(), measured: since >= warmUpTime,
	}
	if sim.prefixes > 0 {
		r.prefix = prefixhasher.Prefix(1 + sim.rng.IntN(sim.prefixes))
	}
	sim.count(r, func(x *result) { x.offered++ })
	sim.addPending(r, 1)
	sim.schedule(deadlines[r.class], func() { sim.expire(r) })
	sim.sendRequest(r)
	sim.schedule(sim.timeToNextArrival(orgIndex), func() { sim.arrive(orgIndex) })
}

func (sim *simulation) drawClass() fairqueue.Class {
	f := sim.rng.Float64()
	for c, share := range sim.classShares {
		if f < share {
			return fairqueue.Class(c)
		}
		f -= share
	}
	return fairqueue.Normal
}

// count applies update to the overall result and to those of the request's class and organisation. It ignores requests
// from the warm-up.
func (sim *simulation) count(r *request, update func(*result)) {
	if !r.measured {
		return
	}
	update(&sim.all)
	update(&sim.byClass[r.class])
	update(&sim.byOrg[r.org])
}

// addPending adds n to the number of measured requests that are pending.
func (sim *simulation) addPending(r *request, n int) {
	if r.measured {
		sim.pending += n
	}
}

// sendRequest sends a request to a random entry host, as the caller's load balancer does.
func (sim *simulation) sendRequest(r *request) {
	r.sentAt = time.Now()
	r.attempts = 0
	r.triedHosts = make(map[ident.Host]bool)
	sim.count(r, func(x *result) { x.sent++ })
	e := sim.entries[sim.rng.IntN(len(sim.entries))]
	sim.schedule(callerLatency, func() { e.admit(r) })
}

// refuse returns a refusal to the caller, who sends the request again when the given time has passed. The request fails
// if that time is zero or the caller has no retries left.
func (sim *simulation) refuse(r *request, after time.Duration) {
	sim.count(r, func(x *result) { x.refused++ })
	if r.finished || r.callerRetries >= maxCallerRetries || after == 0 {
		sim.fail(r)
		return
	}
	r.callerRetries++
	sim.schedule(callerLatency+after, func() {
		if !r.finished {
			sim.sendRequest(r)
		}
	})
}

func (sim *simulation) expire(r *request) {
	if !r.finished {
		sim.fail(r)
	}
}

func (sim *simulation) fail(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	sim.addPending(r, -1)
	sim.count(r, func(x *result) { x.failed++ })
}

func (sim *simulation) recordFirstToken(r *request) {
	if r.finished {
		return
	}
	d := time.Since(r.sentAt) + callerLatency
	sim.count(r, func(x *result) { _ = x.timeToFirstToken.RecordValue(int64(d / time.Microsecond)) })
}

func (sim *simulation) complete(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	sim.addPending(r, -1)
	sim.count(r, func(x *result) { x.succeeded++ })
	if since := time.Since(sim.startTime); since >= warmUpTime && since < warmUpTime+sim.duration {
		sim.completedInWindow++
	}
}

// goodput returns the rate of responses completed within their deadlines, as a share of the capacity.
func (sim *simulation) goodput() float64 {
	return float64(sim.completedInWindow) / sim.duration.Seconds() / sim.capacity()
}

// firstTokenPercentile returns the p-th percentile of the time to first token in seconds.
func firstTokenPercentile(r result, p float64) float64 {
	return float64(r.timeToFirstToken.ValueAtQuantile(p)) / float64(time.Second/time.Microsecond)
}

func connectionLostError() *outcome.Error {
	return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost}
}
