package assigner_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// The figures of the engines that the replays run on, as a service's configuration lists them.
var figures = &directory.Engine{
	Slots: 16, Tokens: 317000, Stride: 5, Step: 9270 * time.Microsecond, StepSlot: 23200 * time.Nanosecond,
	StepContext: 32200 * time.Nanosecond, ReadRate: 20700, Prompt: 979, Answer: 92, Models: []directory.Model{"m"},
}

const objective = 450 * time.Millisecond

// job is one request at an engine.
type job struct {
	prompt, answer int
	first          func()
	end            func()
}

// engine works in passes: it reads what is unread, then writes one stride of tokens for each request of the batch.
type engine struct {
	mu           sync.Mutex
	queue, batch []*job
	slow         float64
}

func (e *engine) run(until time.Time) {
	for time.Now().Before(until) {
		e.admit()
		if len(e.batch) == 0 {
			time.Sleep(time.Millisecond)
			continue
		}
		read := 0
		for _, j := range e.batch {
			read += j.prompt
			j.prompt = 0
		}
		took := time.Duration(float64(read)/figures.ReadRate*float64(time.Second)) + time.Duration(figures.Stride)*figures.Step
		time.Sleep(time.Duration(float64(took) * e.slow))
		kept := e.batch[:0]
		for _, j := range e.batch {
			if j.first != nil {
				j.first()
				j.first = nil
			}
			if j.answer -= figures.Stride; j.answer > 0 {
				kept = append(kept, j)
				continue
			}
			j.end()
		}
		e.batch = kept
	}
}

func (e *engine) admit() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.batch) < figures.Slots && len(e.queue) > 0 {
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
	}
}

func (e *engine) add(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, j)
}

// replay sends requests at the load, as a multiple of what the engines can do, through several entry hosts that hear of
// each other after lag, and returns the shares that began in time, late, and were refused.
type replay struct {
	hosts, engines int
	load           float64
	lag            time.Duration
	slow           int
	// after is when a caller that was refused comes back, once; zero means that it does not.
	after time.Duration
	// choose replaces the assigner's choice by a former decision; it returns the engine, or -1 for a refusal.
	choose func(own []int, loads [][]int, host int) int
}

type shares struct{ inTime, late, refused, other float64 }

func (r replay) run(t *testing.T) shares {
	var out shares
	var mu sync.Mutex // guards out, seen and told
	synctest.Test(t, func(*testing.T) {
		const seconds = 20
		draw := rand.New(rand.NewPCG(1, 2))
		end := time.Now().Add(seconds * time.Second)
		engines := make([]*engine, r.engines)
		var endpoints []directory.Endpoint
		for i := range engines {
			engines[i] = &engine{slow: 1}
			if i < r.slow {
				engines[i].slow = 5
			}
			endpoints = append(endpoints, directory.Endpoint{ID: fmt.Sprint(i), Pool: "p", Zone: "z", Serves: []directory.Serving{{Model: "m", Release: 1}}})
			go engines[i].run(end.Add(10 * time.Second))
		}
		hosts := make([]*assigner.Assigner, r.hosts)
		seen := make([][]int, r.hosts) // what each host has at each engine
		for i := range hosts {
			hosts[i] = &assigner.Assigner{Zone: "z", Draw: draw.Float64}
			hosts[i].SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
			hosts[i].SetEndpoints(endpoints)
			seen[i] = make([]int, r.engines)
		}
		told := make([][]int, r.hosts)
		for i := range told {
			told[i] = make([]int, r.engines)
		}
		go func() {
			for time.Now().Before(end) {
				for i, h := range hosts {
					own := h.Own()
					for k, other := range hosts {
						if k != i {
							other.SetPeer(ident.Host(fmt.Sprint(i)), own)
						}
					}
					mu.Lock()
					copy(told[i], seen[i])
					mu.Unlock()
				}
				time.Sleep(r.lag)
			}
		}()
		// One request costs its reading and its part of the steps of a full batch.
		cost := figures.Prompt/figures.ReadRate + figures.Answer/float64(figures.Slots)*figures.Step.Seconds()
		every := time.Duration(cost / r.load / float64(r.engines) * float64(time.Second))
		// submit places a request and tells whether it was taken. One that is late already came back after a refusal.
		submit := func(host, prompt, answer int, sent time.Time) bool {
			var at int
			var choice *assigner.Choice
			if r.choose != nil {
				mu.Lock()
				at = r.choose(seen[host], told, host)
				mu.Unlock()
			} else {
				var why assigner.Refusal
				choice, why = hosts[host].Assign(assigner.Query{
					Pool: "p", Model: "m", Release: 1, Prompt: float64(prompt), Left: objective - time.Since(sent),
				})
				at = -1
				if why == "" {
					_, _ = fmt.Sscan(choice.Endpoint.ID, &at)
				}
			}
			if at < 0 {
				return false
			}
			mu.Lock()
			seen[host][at]++
			mu.Unlock()
			engines[at].add(&job{
				prompt: prompt, answer: answer,
				first: func() {
					mu.Lock()
					defer mu.Unlock()
					if time.Since(sent) <= objective {
						out.inTime++
					} else {
						out.late++
					}
					if choice != nil {
						hosts[host].Begin(choice)
					}
				},
				end: func() {
					mu.Lock()
					defer mu.Unlock()
					seen[host][at]--
					if choice != nil {
						hosts[host].Release(choice, assigner.Served)
					}
				},
			})
			return true
		}
		refuse := func() {
			mu.Lock()
			defer mu.Unlock()
			out.refused++
		}
		for time.Now().Before(end) {
			time.Sleep(time.Duration(draw.ExpFloat64() * float64(every)))
			host, again := draw.IntN(r.hosts), draw.IntN(r.hosts)
			prompt := int(figures.Prompt * min(3, draw.ExpFloat64()))
			answer := int(figures.Answer * min(2.5, draw.ExpFloat64()))
			sent := time.Now()
			mu.Lock()
			out.other++
			mu.Unlock()
			if submit(host, prompt, answer, sent) {
				continue
			}
			if r.after == 0 {
				refuse()
				continue
			}
			time.AfterFunc(r.after, func() {
				if !submit(again, prompt, answer, sent) {
					refuse()
				}
			})
		}
		time.Sleep(11 * time.Second)
	})
	mu.Lock()
	defer mu.Unlock()
	out.inTime, out.late, out.refused = out.inTime/out.other, out.late/out.other, out.refused/out.other
	return out
}

// fewest is the former decision: the engine with the fewest requests, as long as it has a slot or little more.
func fewest(own []int, told [][]int, host int) int {
	best, least := -1, figures.Slots+2
	for i := range own {
		n := own[i]
		for k := range told {
			if k != host {
				n += told[k][i]
			}
		}
		if n < least {
			best, least = i, n
		}
	}
	return best
}

// Load pattern: the whole fleet well below its capacity, seen by eight hosts that hear of each other 100 ms late.
func TestBelowCapacityAlmostAllBeginInTime(t *testing.T) {
	is := is.New(t)
	now := replay{hosts: 8, engines: 16, load: 0.62, lag: 10 * time.Millisecond}.run(t)
	former := replay{hosts: 8, engines: 16, load: 0.62, lag: 100 * time.Millisecond, choose: fewest}.run(t)
	t.Logf("now %+v, former %+v", now, former)
	is.True(now.inTime > 0.97)
	is.True(now.inTime > former.inTime)
}

// Load pattern: half as much work again as the engines can do, for long. Those that are taken must begin in time, and the
// engines must be kept busy.
func TestOverloadIsTurnedAwayAtOnce(t *testing.T) {
	is := is.New(t)
	now := replay{hosts: 8, engines: 16, load: 1.5, lag: 20 * time.Millisecond}.run(t)
	former := replay{hosts: 8, engines: 16, load: 1.5, lag: 100 * time.Millisecond, choose: fewest}.run(t)
	t.Logf("now %+v, former %+v", now, former)
	is.True(now.inTime > former.inTime)
	is.True(now.late < 0.1*(now.inTime+now.late))
	is.True(now.inTime > 0.9/1.5*0.9) // nine tenths of the work that fits, of requests of all sizes
}

// Load pattern: a sixth of the engines turns five times slower without a word.
func TestSlowEnginesAreFoundOut(t *testing.T) {
	is := is.New(t)
	now := replay{hosts: 8, engines: 18, load: 0.6, lag: 20 * time.Millisecond, slow: 3}.run(t)
	former := replay{hosts: 8, engines: 18, load: 0.6, lag: 100 * time.Millisecond, choose: fewest, slow: 3}.run(t)
	t.Logf("now %+v, former %+v", now, former)
	is.True(now.inTime > former.inTime)
	is.True(now.inTime > 0.9)
}

// Load pattern: a fifth more work than the engines can do, for long, from callers that come back once after a refusal. Two
// thirds of what can be in time at all must be, and hardly any caller is refused twice.
func TestOverloadWithCallersThatComeBack(t *testing.T) {
	is := is.New(t)
	now := replay{hosts: 8, engines: 16, load: 1.2, lag: 20 * time.Millisecond, after: 1900 * time.Millisecond}.run(t)
	former := replay{hosts: 8, engines: 16, load: 1.2, lag: 100 * time.Millisecond, after: 1900 * time.Millisecond, choose: fewest}.run(t)
	t.Logf("now %+v, former %+v", now, former)
	is.True(now.inTime > former.inTime)
	is.True(now.inTime > 2.0/3/1.2)
	is.True(now.refused < 0.2) // what is beyond the capacity
}

func assign(a *assigner.Assigner, tried ...string) (*assigner.Choice, assigner.Refusal) {
	q := assigner.Query{Pool: "p", Model: "m", Release: 1, Prompt: 500, Left: objective, Tried: make(map[string]bool)}
	for _, id := range tried {
		q.Tried[id] = true
	}
	return a.Assign(q)
}

// Load pattern: a zone is cut off. The first failed connection takes its endpoints out of use, so that no request waits
// for each of them in turn, and the requests that are there go on elsewhere.
func TestZoneThatIsCutOffIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := &assigner.Assigner{Zone: "near", Draw: func() float64 { return 0 }}
		a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
		var all []directory.Endpoint
		for i, zone := range []ident.Zone{"near", "far", "far", "far"} {
			all = append(all, directory.Endpoint{ID: fmt.Sprint(i), Pool: "p", Zone: zone, Address: fmt.Sprint("10.0.0.", i, ":80"), Serves: []directory.Serving{{Model: "m", Release: 1}}})
		}
		a.SetEndpoints(all)
		lost := false
		_, why := a.Assign(assigner.Query{
			Pool: "p", Model: "m", Release: 1, Left: objective, Tried: map[string]bool{"0": true, "2": true, "3": true},
			Lost: func() { lost = true },
		})
		is.Equal(why, assigner.Refusal(""))
		time.Sleep(time.Second)
		failed, _ := assign(a, "0", "1")
		a.Release(failed, assigner.Unreached)
		is.Equal(len(a.Probes()), 3)
		c, _ := assign(a)
		is.Equal(c.Endpoint.ID, "0")
		_, why = assign(a, "0")
		is.True(why != "")
		for _, p := range a.Probes() {
			// The one nearby is probed too, as a request is there and it gave no sign.
			is.Equal(a.Probed(p, p.ID == "3" || p.ID == "0"), p.ID == "3")
		}
		is.True(lost)
		c, why = assign(a, "0")
		is.Equal(why, assigner.Refusal(""))
		is.Equal(c.Endpoint.ID, "3")
	})
}

// Load pattern: all hosts lost power and came back under the same addresses. The old entries stand until they lapse, and
// each costs one refusal at most.
func TestEndpointWhoseAddressAnotherHasIsNotAskedAgain(t *testing.T) {
	is := is.New(t)
	a := &assigner.Assigner{Zone: "z"}
	a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
	old := directory.Endpoint{ID: "old", Pool: "p", Born: 1, Address: "10.0.0.1:80", Serves: []directory.Serving{{Model: "m", Release: 1}}}
	a.SetEndpoints([]directory.Endpoint{old})
	c, _ := assign(a)
	a.Release(c, assigner.Moved)
	_, why := assign(a)
	is.Equal(why, assigner.None)
	a.SetEndpoints([]directory.Endpoint{old})
	_, why = assign(a)
	is.Equal(why, assigner.None)
	again := old
	again.Born = 2
	a.SetEndpoints([]directory.Endpoint{again})
	_, why = assign(a)
	is.Equal(why, assigner.Refusal(""))
}

// Load pattern: all engines lost power. The word of the host beside an engine shows that an entry is of an incarnation that
// is gone, before a request finds out.
func TestEntryOfAnIncarnationThatIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := &assigner.Assigner{Zone: "z"}
		a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
		a.SetEndpoints([]directory.Endpoint{
			{ID: "e", Pool: "p", Born: 1, Address: "10.0.0.1:80", Serves: []directory.Serving{{Model: "m", Release: 1}}},
		})
		a.SetGate(assigner.Gate{Address: "10.0.0.2:80", Born: 2, Closed: true}) // of another host
		c, why := assign(a)
		is.Equal(why, assigner.Refusal(""))
		a.Release(c, assigner.Served)
		a.SetGate(assigner.Gate{Address: "10.0.0.1:80", Born: 2, Closed: true})
		_, why = assign(a)
		is.Equal(why, assigner.None)
		time.Sleep(1100 * time.Millisecond) // the host beside it fell silent: the entry holds again
		_, why = assign(a)
		is.Equal(why, assigner.Refusal(""))
	})
}

// An engine that holds some of the layers serves nothing by itself, whatever models it lists.
func TestEngineWithSomeLayersTakesNoRequests(t *testing.T) {
	is := is.New(t)
	whole := *figures
	whole.Layers = 16
	a := &assigner.Assigner{Zone: "z"}
	a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: &whole}})
	e := directory.Endpoint{ID: "e", Pool: "p", Serves: []directory.Serving{{Model: "m", Release: 1}}}
	for _, c := range []struct {
		layers directory.Span
		want   assigner.Refusal
	}{
		{directory.Span{To: 8}, assigner.None},
		{directory.Span{From: 8, To: 16}, assigner.None},
		{directory.Span{To: 16}, ""},
		{directory.Span{}, ""},
	} {
		e.Layers = c.layers
		a.SetEndpoints([]directory.Endpoint{e})
		_, why := assign(a)
		is.Equal(why, c.want)
	}
}

// What the host beside an engine says goes before the engine's entry.
func TestGates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := &assigner.Assigner{Zone: "z"}
		a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
		a.SetEndpoints([]directory.Endpoint{{ID: "e", Pool: "p", Born: 1, Address: "10.0.0.1:80"}})
		_, why := assign(a)
		is.Equal(why, assigner.None) // it serves nothing yet
		a.SetGate(assigner.Gate{Address: "10.0.0.1:80", Born: 1, Model: "m", Release: 1})
		c, why := assign(a)
		is.Equal(why, assigner.Refusal(""))
		a.Release(c, assigner.Served)
		a.SetGate(assigner.Gate{Address: "10.0.0.1:80", Born: 1, Closed: true})
		_, why = assign(a)
		is.Equal(why, assigner.None)
		a.SetGate(assigner.Gate{Address: "10.0.0.1:80", Born: 2, Model: "m", Release: 1}) // of another incarnation
		_, why = assign(a)
		is.Equal(why, assigner.None)
		time.Sleep(1100 * time.Millisecond) // the host beside it fell silent: the entry holds again
		a.SetEndpoints([]directory.Endpoint{{ID: "e", Pool: "p", Born: 1, Address: "10.0.0.1:80", Serves: []directory.Serving{{Model: "m", Release: 1}}}})
		_, why = assign(a)
		is.Equal(why, assigner.Refusal(""))
	})
}

// Load pattern: the first engine is back after a loss of power, and every host has callers waiting that came back. They must
// not all go there at once.
func TestCallersThatCameBackDoNotFloodTheFirstEngine(t *testing.T) {
	is := is.New(t)
	const hosts, waiting = 8, 20
	placed := 0
	for range hosts {
		a := &assigner.Assigner{Zone: "z"}
		a.SetPools(map[ident.Pool]*directory.Pool{"p": {Name: "p", Engine: figures}})
		a.SetEndpoints([]directory.Endpoint{{ID: "e", Pool: "p", Serves: []directory.Serving{{Model: "m", Release: 1}}}})
		for range waiting {
			if _, why := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, Prompt: figures.Prompt, Left: -time.Second}); why == "" {
				placed++
			}
		}
	}
	is.True(placed >= hosts)           // each host may send some
	is.True(placed <= 2*figures.Slots) // all of them begin within two turns of the batch
}
