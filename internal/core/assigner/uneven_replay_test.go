package assigner_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
)

// billingProfile is the engine profile of the billing deployment of docs/design/hard-load.md.
var billingProfile = &fleetconfig.EngineProfile{
	Slots: 12, MemoryTokens: 317000, StepsPerPass: 5, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 23200 * time.Nanosecond,
	StepTimePerThousandTokens: 32200 * time.Nanosecond, PrefillRate: 20700, PromptTokens: 954, ResponseTokens: 95, Models: []fleetconfig.Model{"m"},
}

// unevenJob is one request at an unevenEngine.
type unevenJob struct {
	promptTokens, responseTokens int
	remaining                    int
	hasBegun                     bool
	onFirstEvent                 func()
	onEnd                        func(assigner.Outcome)
}

// unevenEngine simulates a model engine whose pace and failures depend on the time since the start of the replay.
type unevenEngine struct {
	mu           sync.Mutex
	queue, batch []*unevenJob
	passEnds     time.Time
	pace         func(at time.Duration) float64
	fails        func(at time.Duration, z ident.Zone) bool
	wake         chan struct{}
}

// prefillPassTime returns the duration of a pass with n requests in the batch and some prompt tokens, at a pace of one.
func prefillPassTime(promptTokens, n int) time.Duration {
	return time.Duration(float64(promptTokens)/billingProfile.PrefillRate*float64(time.Second)) + passTime(billingProfile, n)
}

func (e *unevenEngine) run(start, end time.Time) {
	for time.Now().Before(end) {
		e.mu.Lock()
		for len(e.batch) < billingProfile.Slots && len(e.queue) > 0 {
			e.batch = append(e.batch, e.queue[0])
			e.queue = e.queue[1:]
		}
		tokens := 0
		for _, j := range e.batch {
			if !j.hasBegun {
				tokens += j.promptTokens
			}
		}
		took := time.Duration(float64(prefillPassTime(tokens, len(e.batch))) * e.pace(time.Since(start)))
		e.passEnds = time.Now().Add(took)
		isIdle := len(e.batch) == 0
		e.mu.Unlock()
		if isIdle {
			select {
			case <-e.wake:
			case <-time.After(time.Until(end)):
			}
			continue
		}
		time.Sleep(took)
		e.mu.Lock()
		var done, begun []*unevenJob
		rest := make([]*unevenJob, 0, len(e.batch))
		for _, j := range e.batch {
			if !j.hasBegun {
				begun = append(begun, j)
			}
			j.hasBegun = true
			if j.remaining -= billingProfile.StepsPerPass; j.remaining > 0 {
				rest = append(rest, j)
			} else {
				done = append(done, j)
			}
		}
		e.batch = rest
		e.mu.Unlock()
		for _, j := range begun {
			j.onFirstEvent()
		}
		for _, j := range done {
			j.onEnd(assigner.Served)
		}
	}
}

func (e *unevenEngine) add(j *unevenJob) {
	j.remaining = j.responseTokens
	e.mu.Lock()
	e.queue = append(e.queue, j)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// firstEventAt returns when a request would have its first event, from the engine's state and its future pace, or a time after
// limit.
func (e *unevenEngine) firstEventAt(start, now, limit time.Time, promptTokens int) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	type entry struct {
		prompt, remaining int
		isNew             bool
	}
	var batch, queue []entry
	for _, j := range e.batch {
		batch = append(batch, entry{remaining: j.remaining - billingProfile.StepsPerPass})
	}
	for _, j := range e.queue {
		queue = append(queue, entry{prompt: j.promptTokens, remaining: j.remaining})
	}
	queue = append(queue, entry{prompt: promptTokens, remaining: 1, isNew: true})
	at := now
	if len(batch) > 0 {
		at = e.passEnds
	}
	for {
		rest := batch[:0]
		for _, j := range batch {
			if j.remaining > 0 {
				rest = append(rest, j)
			}
		}
		batch = rest
		for len(batch) < billingProfile.Slots && len(queue) > 0 {
			batch = append(batch, queue[0])
			queue = queue[1:]
		}
		tokens := 0
		isBegun := false
		for i := range batch {
			tokens += batch[i].prompt
			batch[i].prompt = 0
			batch[i].remaining -= billingProfile.StepsPerPass
			isBegun = isBegun || batch[i].isNew
		}
		at = at.Add(time.Duration(float64(prefillPassTime(tokens, len(batch))) * e.pace(at.Sub(start))))
		if isBegun || at.After(limit) {
			return at
		}
	}
}

// unevenReplay simulates requests of the entry hosts of three zones to engines that differ and fail. isFormer replays the
// decision without the figures that responders pass on, and oracle one that knows all lengths and paces.
type unevenReplay struct {
	hosts, engines [3]int
	// load is the request rate as a multiple of the capacity.
	load             float64
	seconds          float64
	isFormer, oracle bool
	// oracleMargin is the time that the oracle keeps for requests that join a pass later and make it longer.
	oracleMargin time.Duration
	pace         func(engine int, at time.Duration) float64
	fails        func(engine int, at time.Duration, z ident.Zone) bool
	// naturalFailures is the share of requests that fail at any endpoint.
	naturalFailures float64
	// hasHints says that callers state an estimate of the response tokens. lengthSpread is the ratio of the longest and the
	// shortest response.
	hasHints     bool
	lengthSpread float64
	// from and to limit the time in which assigned requests are counted.
	from, to time.Duration
	seed     uint64
}

type unevenResult struct {
	inTime, late, refused, failed, total float64
	// failedAttempts is the number of attempts that failed. assigned holds the attempts of each engine between from and to.
	failedAttempts int
	assigned       []int
	ejections      int
}

const (
	replayRoundTrip = 2 * time.Millisecond
	failureTime     = time.Millisecond
	paceInterval    = 100 * time.Millisecond
)

func (r unevenReplay) run(t *testing.T) unevenResult {
	var out unevenResult
	var mu sync.Mutex // guards out and serial
	var serial uint64
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(r.seed, 2))
		start := time.Now()
		end := start.Add(time.Duration(r.seconds * float64(time.Second)))
		var engines []*unevenEngine
		var endpoints []fleetconfig.Endpoint
		zone := func(z int) ident.Zone { return ident.Zone(fmt.Sprint("z", z)) }
		for z, n := range r.engines {
			for range n {
				i := len(engines)
				e := &unevenEngine{pace: func(time.Duration) float64 { return 1 }, wake: make(chan struct{}, 1)}
				if r.pace != nil {
					e.pace = func(at time.Duration) float64 { return r.pace(i, at) }
				}
				if r.fails != nil {
					e.fails = func(at time.Duration, z ident.Zone) bool { return r.fails(i, at, z) }
				}
				engines = append(engines, e)
				endpoints = append(endpoints, fleetconfig.Endpoint{ID: fmt.Sprint(i), Pool: "p", Zone: zone(z), Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}})
				go e.run(start, end.Add(15*time.Second))
			}
		}
		out.assigned = make([]int, len(engines))
		loads := make([]*loadtracker.Tracker, len(engines))
		outcomes := make([]*outcometracker.Tracker, len(engines))
		for i := range loads {
			loads[i], outcomes[i] = &loadtracker.Tracker{}, &outcometracker.Tracker{}
		}
		nextSerial := func() uint64 {
			mu.Lock()
			defer mu.Unlock()
			serial++
			return serial
		}
		var hosts []*assigner.Assigner
		for z, n := range r.hosts {
			for range n {
				i := len(hosts)
				h := &assigner.Assigner{Zone: zone(z), Random: lockedRandom(uint64(i) + r.seed)}
				h.OnLoadChange = func(e fleetconfig.Endpoint, load assigner.Load) {
					n, _ := strconv.Atoi(e.ID)
					s := nextSerial()
					go func() {
						totals := h.OutcomeTotals(e)
						time.Sleep(replayRoundTrip / 2)
						loads[n].Record(ident.Host(fmt.Sprint(i)), load, 1, s)
						if totals != nil {
							outcomes[n].Record(ident.Host(fmt.Sprint(i)), *totals, 1, s)
						}
					}()
				}
				if !r.isFormer {
					h.OnEjection = func(e assigner.Ejection) {
						if e.IsEjected {
							mu.Lock()
							defer mu.Unlock()
							out.ejections++
						}
					}
				}
				h.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: billingProfile}})
				h.SetEndpoints(endpoints)
				hosts = append(hosts, h)
			}
		}
		query := func(host int, e fleetconfig.Endpoint) {
			n, _ := strconv.Atoi(e.ID)
			h, name, s := hosts[host], ident.Host(fmt.Sprint(host)), nextSerial()
			totals := h.OutcomeTotals(e)
			time.Sleep(replayRoundTrip / 2)
			others := loads[n].Others(name)
			var sums outcometracker.Sums
			hasSums := false
			if totals != nil {
				outcomes[n].Record(name, *totals, 1, s)
				sums, hasSums = outcomes[n].Sums(h.Zone)
			}
			time.Sleep(replayRoundTrip / 2)
			h.SetReport(e, others)
			if hasSums {
				h.SetOutcomes(e, sums)
			}
			if r.pace != nil && !r.isFormer {
				// The host beside the engine reads the pace every paceInterval.
				age := time.Since(start) % paceInterval
				h.SetPace(e, assigner.Pace{Value: float32(engines[n].pace(time.Since(start) - age)), AgeMs: uint32(age.Milliseconds())})
			}
		}
		var oracleMu sync.Mutex // makes the choice and the start of a request one step
		assign := func(host int, q assigner.Query, promptTokens int) (*assigner.Assignment, int) {
			if r.oracle {
				now := time.Now()
				best, bestAt := -1, now.Add(q.TimeLeft-r.oracleMargin+1)
				for i, e := range engines {
					if q.Excluded[fmt.Sprint(i)] {
						continue
					}
					if at := e.firstEventAt(start, now, bestAt, promptTokens); at.Before(bestAt) {
						best, bestAt = i, at
					}
				}
				return nil, best
			}
			q.Among = make(map[string]bool)
			q.AvoidsSuspects = true
			take := func(c *assigner.Assignment) (*assigner.Assignment, int) {
				n, _ := strconv.Atoi(c.Endpoint.ID)
				return c, n
			}
			var refusal assigner.Refusal
			for round := range assigner.MaxRounds {
				candidates := hosts[host].Candidates(q, q.Among, round > 0)
				if len(candidates) == 0 {
					break
				}
				var wait sync.WaitGroup
				for _, e := range candidates {
					wait.Go(func() { query(host, e) })
				}
				wait.Wait()
				var choice *assigner.Assignment
				if choice, refusal = hosts[host].Assign(q); refusal == "" {
					return take(choice)
				}
			}
			if refusal == assigner.Suspect {
				q.AvoidsSuspects = false
				if choice, refusal := hosts[host].Assign(q); refusal == "" {
					return take(choice)
				}
			}
			return nil, -1
		}
		submit := func(host, promptTokens, responseTokens int, hint float64, isNaturalFailure bool) {
			sentAt := time.Now()
			excluded := make(map[string]bool)
			const maxAttempts = 2
			for attempt := range maxAttempts {
				q := assigner.Query{
					Pool: "p", Model: "m", Release: 1, PromptTokens: float64(promptTokens), TimeLeft: objective - time.Since(sentAt), Excluded: excluded, IsRepeatable: true, HasFailed: attempt > 0,
				}
				if r.hasHints && !r.isFormer {
					q.ResponseTokens = hint
				}
				if r.oracle {
					oracleMu.Lock()
				}
				choice, target := assign(host, q, promptTokens)
				if target < 0 {
					if r.oracle {
						oracleMu.Unlock()
					}
					mu.Lock()
					out.refused++
					mu.Unlock()
					return
				}
				excluded[fmt.Sprint(target)] = true
				mu.Lock()
				if at := time.Since(start); at >= r.from && at < r.to {
					out.assigned[target]++
				}
				mu.Unlock()
				release := func(o assigner.Outcome) {
					if choice != nil {
						hosts[host].Release(choice, o)
					}
				}
				if e := engines[target]; e.fails != nil && e.fails(time.Since(start), hosts[host].Zone) || isNaturalFailure {
					time.Sleep(replayRoundTrip + failureTime)
					release(assigner.Errored)
					mu.Lock()
					out.failedAttempts++
					mu.Unlock()
					continue
				}
				if !r.oracle {
					time.Sleep(replayRoundTrip / 2)
				}
				engines[target].add(&unevenJob{
					promptTokens: promptTokens, responseTokens: responseTokens,
					onFirstEvent: func() {
						if choice != nil {
							hosts[host].RecordFirstEvent(choice)
						}
						mu.Lock()
						defer mu.Unlock()
						if time.Since(sentAt) <= objective {
							out.inTime++
						} else {
							out.late++
						}
					},
					onEnd: release,
				})
				if r.oracle {
					oracleMu.Unlock()
				}
				return
			}
			mu.Lock()
			out.failed++
			mu.Unlock()
		}
		p := billingProfile
		cost := p.PromptTokens/p.PrefillRate + p.ResponseTokens/float64(p.Slots)*prefillPassTime(0, p.Slots).Seconds()/float64(p.StepsPerPass)
		interval := cost / r.load / float64(len(engines))
		for time.Now().Before(end) {
			time.Sleep(time.Duration(rng.ExpFloat64() * interval * float64(time.Second)))
			host := rng.IntN(len(hosts))
			promptTokens := int(p.PromptTokens * (0.5 + rng.Float64()))
			length := p.ResponseTokens
			if r.lengthSpread > 1 {
				// The logarithm is uniform. The factor keeps the mean at the profile's.
				s := r.lengthSpread
				length *= math.Pow(s, rng.Float64()) * math.Log(s) / (s - 1)
			}
			// The estimate is right at the median. A deviation of one is a factor of two.
			hint := length * math.Pow(2, rng.NormFloat64())
			isNaturalFailure := rng.Float64() < r.naturalFailures
			mu.Lock()
			out.total++
			mu.Unlock()
			go submit(host, promptTokens, max(1, int(length)), hint, isNaturalFailure)
		}
		time.Sleep(15 * time.Second)
	})
	mu.Lock()
	defer mu.Unlock()
	return out
}

func (o unevenResult) String() string {
	return fmt.Sprintf("in time %.4f, late %.4f, refused %.4f, failed %.4f of %.0f; %d failed attempts, %d ejections", o.inTime/o.total, o.late/o.total, o.refused/o.total, o.failed/o.total, o.total, o.failedAttempts, o.ejections)
}
