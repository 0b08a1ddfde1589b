package orderer

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	tick   = 50 * time.Millisecond
	settle = 40 * time.Second
)

// fakeEngine is an engine as it truly is. Orders arrive late, and their answers may be lost.
type fakeEngine struct {
	fenced  bool
	set     ident.WeightSet
	fence   ident.Fence
	loads   int64
	birth   int64
	loading *delivery
	wire    []*delivery
	cut     time.Time
}

// delivery is an order on its way: to the engine, in it, and back.
type delivery struct {
	set     ident.WeightSet
	fence   ident.Fence
	arrives time.Time
	loaded  time.Time
	lost    bool
	answer  func(Result)
}

func (e *fakeEngine) state() engineapi.State {
	return engineapi.State{Set: e.set, Fence: e.fence, Loads: e.loads, Loading: e.loading != nil, Birth: e.birth}
}

func (e *fakeEngine) crash() {
	e.birth++
	e.set, e.loads, e.fence = "", 0, 0
	if e.loading != nil {
		e.loading.end(Lost)
	}
	e.loading = nil
}

func (d *delivery) end(r Result) {
	if d.lost {
		r = Lost
	}
	if d.answer != nil {
		d.answer(r)
	}
	d.answer = nil
}

func (e *fakeEngine) step(now time.Time) {
	rest := e.wire[:0]
	for _, d := range e.wire {
		if d.arrives.After(now) {
			rest = append(rest, d)
			continue
		}
		e.take(d)
	}
	e.wire = rest
	if d := e.loading; d != nil && !d.loaded.After(now) {
		e.set = d.set
		e.loading = nil
		d.end(Done)
	}
}

func (e *fakeEngine) take(d *delivery) {
	if e.fenced && d.fence <= e.fence {
		d.end(Refused)
		return
	}
	e.fence = d.fence
	e.set = ""
	e.loads++
	if e.loading != nil {
		e.loading.end(Failed)
	}
	e.loading = d
}

// fakeRequest is one request that the host let in. Tokens are the sets that truly made its tokens.
type fakeRequest struct {
	set    ident.WeightSet
	begin  gate.Status
	handed bool
	birth  int64
	tokens []ident.WeightSet
	left   int
}

type fakeHost struct {
	rt       *rapid.T
	engine   *fakeEngine
	orderer  Orderer
	gate     gate.Gate
	want     Want
	verified map[ident.WeightSet]bool
	frozen   time.Time
	decided  *Action
	current  *delivery
	requests []*fakeRequest
	// delays, losses and gaps are the faults of the orders to come.
	delay time.Duration
	lost  bool
	drop  bool
	whole int
}

func (h *fakeHost) wanted() Want {
	w := h.want
	w.Verified = h.verified[w.Set]
	w.Permitted = true
	return w
}

// step runs one tick of the engine and, unless the process is paused, of the host. A pause may fall between a
// decision and its act, and between a request's check and its hand-over.
func (h *fakeHost) step() {
	now := time.Now()
	h.engine.step(now)
	for _, q := range h.requests {
		if q.handed && q.left > 0 {
			q.tokens = append(q.tokens, h.engine.set)
			q.left--
		}
	}
	if now.Before(h.frozen) {
		return
	}
	h.serve(now)
	if h.decided != nil {
		a := *h.decided
		h.decided = nil
		h.do(now, a)
	}
	for range 8 {
		w := h.wanted()
		a := h.orderer.Next(now, w, len(h.requests))
		switch a.Kind {
		case Wait:
			return
		case Read:
			h.read(now)
		case Cancel:
			h.do(now, a)
		default:
			if a.Kind == Order && !w.Verified {
				h.rt.Fatalf("load of %s was ordered before its chunks were verified", a.Set)
			}
			if a.Kind == Open && a.Set != w.Set && a.Set != w.Accepted[0] {
				h.rt.Fatalf("gate opens on %s, which nobody asked for", a.Set)
			}
			if a.Kind == Order && len(h.requests) > 0 && h.engine.set == h.want.Accepted[0] && h.engine.set != "" && h.engine.state() == h.orderer.reading.state {
				h.rt.Fatalf("load of %s was ordered with %d requests in progress on %s", a.Set, len(h.requests), h.engine.set)
			}
			h.decided = &a
			return
		}
	}
}

func (h *fakeHost) read(now time.Time) {
	if now.Before(h.engine.cut) {
		h.orderer.Unreachable(now)
		return
	}
	h.orderer.Observe(now, h.engine.state())
}

func (h *fakeHost) do(now time.Time, a Action) {
	switch a.Kind {
	case Open:
		h.gate.OpenUntil(a.Set, a.Epoch, a.Until)
	case Close:
		h.gate.Close()
	case Cancel:
		// The call is given up at once; the order may still be carried out.
		h.current.end(Lost)
	case Order:
		d := &delivery{set: a.Set, fence: a.Fence, arrives: now.Add(h.delay), lost: h.lost}
		d.loaded = d.arrives.Add(time.Second)
		d.answer = func(r Result) { h.orderer.Ended(time.Now(), r) }
		h.current = d
		if h.drop || now.Before(h.engine.cut) {
			d.end(Lost)
			return
		}
		h.engine.wire = append(h.engine.wire, d)
		if h.lost {
			d.end(Lost)
		}
	}
}

// serve moves requests on, as the runner does.
func (h *fakeHost) serve(now time.Time) {
	rest := h.requests[:0]
	for _, q := range h.requests {
		switch {
		case !q.handed:
			q.handed, q.birth = true, h.engine.birth
		case q.birth != h.engine.birth:
			h.gate.Exit() // the connection broke
			continue
		case q.left == 0:
			h.gate.Exit()
			h.finish(now, q)
			continue
		}
		rest = append(rest, q)
	}
	h.requests = rest
}

func (h *fakeHost) finish(now time.Time, q *fakeRequest) {
	st := h.engine.state()
	if now.Before(h.engine.cut) || !Unchanged(q.begin, q.set, st) {
		return
	}
	h.whole++
	for i, s := range q.tokens {
		if s != q.set {
			h.rt.Fatalf("answer passes as whole on %s, token %d was made by %q", q.set, i, s)
		}
	}
}

func (h *fakeHost) request(set ident.WeightSet, tokens int) {
	if time.Now().Before(h.frozen) || h.gate.Enter(set) != nil {
		return
	}
	h.requests = append(h.requests, &fakeRequest{set: set, begin: h.gate.Status(), left: tokens})
}

func drawSet(rt *rapid.T) ident.WeightSet {
	return ident.WeightSet(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "set"))
}

func drawTime(rt *rapid.T, most time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(most/tick)).Draw(rt, "ticks")) * tick
}

// TestStateOrders holds one host's orders, gate and answers against an engine that restarts, is cut off, gets orders
// late or from somebody else, and loses answers, while the host is paused at any point. Half of the engines ignore
// fencing numbers.
func TestStateOrders(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		e := &fakeEngine{fenced: rapid.Bool().Draw(rt, "fenced"), birth: 1}
		h := &fakeHost{rt: rt, engine: e, verified: make(map[ident.WeightSet]bool)}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(rt *rapid.T) {
				old := h.want.Set
				h.want = Want{Set: drawSet(rt), Offset: h.want.Offset + 1, Accepted: []ident.WeightSet{old}}
			},
			"fetched": func(*rapid.T) { h.verified[h.want.Set] = true },
			"dropped": func(*rapid.T) { delete(h.verified, drawSet(rt)) },
			"crash":   func(*rapid.T) { e.crash() },
			"freeze":  func(rt *rapid.T) { h.frozen = time.Now().Add(drawTime(rt, 6*time.Second)) },
			"cut":     func(rt *rapid.T) { e.cut = time.Now().Add(drawTime(rt, 6*time.Second)) },
			"stranger": func(rt *rapid.T) {
				fence := e.fence + ident.Fence(rapid.IntRange(-2, 2).Draw(rt, "fence"))
				now := time.Now()
				load := drawTime(rt, time.Second)
				e.wire = append(e.wire, &delivery{set: drawSet(rt), fence: fence, arrives: now, loaded: now.Add(load)})
			},
			"reload": func(*rapid.T) {
				h.request(e.set, 30)
				arrives := time.Now().Add(2 * tick)
				e.wire = append(e.wire, &delivery{set: e.set, fence: e.fence + 1, arrives: arrives, loaded: arrives.Add(tick)})
			},
			"network": func(rt *rapid.T) {
				h.delay = drawTime(rt, 4*time.Second)
				h.drop = rapid.Bool().Draw(rt, "drop")
				h.lost = rapid.Bool().Draw(rt, "lost")
			},
			"request": func(rt *rapid.T) { h.request(drawSet(rt), rapid.IntRange(1, 30).Draw(rt, "tokens")) },
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(rt, "steps") {
					time.Sleep(tick)
					h.request(e.set, 5)
					h.step()
				}
			},
		})
		h.settle()
	})
}

// settle ends all faults, and checks that the host comes to serve what is wanted.
func (h *fakeHost) settle() {
	h.delay, h.lost, h.drop = 0, false, false
	h.frozen, h.engine.cut = time.Time{}, time.Time{}
	h.verified[h.want.Set] = true
	for begin := time.Now(); time.Since(begin) < settle; {
		time.Sleep(tick)
		h.step()
	}
	if st := h.gate.Status(); !st.Open || st.Set != h.want.Set || h.engine.set != h.want.Set {
		h.rt.Fatalf("%s after the faults the gate is %+v, the engine serves %q, wanted is %q", settle, st, h.engine.set, h.want.Set)
	}
	h.request(h.want.Set, 3)
	whole := h.whole
	for range 10 {
		time.Sleep(tick)
		h.step()
	}
	if h.whole != whole+1 {
		h.rt.Fatalf("a request after the faults has no whole answer")
	}
}

// run steps a host for a time.
func (h *fakeHost) run(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
		time.Sleep(tick)
		h.step()
	}
}

func TestRestartClosesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{fenced: true, birth: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.want = Want{Set: "a", Offset: 7, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		is.True(h.gate.Status().Open)
		is.True(h.engine.fence > 7) // above the change that asked
		h.engine.crash()
		h.run(2 * FreshTime)
		is.True(!h.gate.Status().Open)
		h.run(3 * time.Second)
		is.True(h.gate.Status().Open)
	})
}

func TestUnreachableEngineClosesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{birth: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		is.True(h.gate.Status().Open)
		h.engine.cut = time.Now().Add(time.Minute)
		h.run(time.Second)
		is.True(!h.gate.Status().Open)
	})
}

func TestPausedHostReadsBeforeItHandsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{birth: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		is.NoErr(h.gate.Enter("a"))
		h.gate.Exit()
		time.Sleep(LapseTime) // paused
		is.True(h.gate.Enter("a") != nil)
	})
}

func TestLostAnswerIsNotOrderedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{fenced: true, birth: 1}, verified: map[ident.WeightSet]bool{"a": true}, lost: true}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(5 * time.Second)
		is.Equal(h.engine.loads, int64(1))
		is.True(h.gate.Status().Open)
	})
}

func TestOldFenceIsRaised(t *testing.T) {
	for _, fence := range []ident.Fence{0, 41} {
		t.Run(fmt.Sprint(fence), func(t *testing.T) {
			is := is.New(t)
			var o Orderer
			now := time.Now()
			o.Observe(now, engineapi.State{Fence: fence, Birth: 1})
			a := o.Next(now, Want{Set: "a", Offset: 9, Verified: true}, 0)
			is.Equal(a.Kind, Order)
			is.Equal(a.Fence, max(fence, 9)+1)
		})
	}
}
