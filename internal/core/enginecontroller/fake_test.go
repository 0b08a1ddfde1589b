package enginecontroller

import (
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
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
	rt         *rapid.T
	engine     *fakeEngine
	controller Controller
	gate       gate.Gate
	want       Want
	verified   map[ident.WeightSet]bool
	frozen     time.Time
	decided    *Action
	current    *delivery
	requests   []*fakeRequest
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
	if old := w.Accepted[0]; !w.Verified && h.verified[old] {
		w.Held = old
	}
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
		a := h.controller.Next(now, w, len(h.requests))
		switch a.Kind {
		case Wait:
			return
		case Read:
			h.read(now)
		case Cancel:
			h.do(now, a)
		default:
			if a.Kind == Order && !h.verified[a.Set] {
				h.rt.Fatalf("load of %s was ordered before its chunks were verified", a.Set)
			}
			if a.Kind == Open && a.Set != w.Set && a.Set != w.Accepted[0] {
				h.rt.Fatalf("gate opens on %s, which nobody asked for", a.Set)
			}
			if a.Kind == Order && len(h.requests) > 0 && h.engine.set == h.want.Accepted[0] && h.engine.set != "" && h.engine.state() == h.controller.reading.state {
				h.rt.Fatalf("load of %s was ordered with %d requests in progress on %s", a.Set, len(h.requests), h.engine.set)
			}
			h.decided = &a
			return
		}
	}
}

func (h *fakeHost) read(now time.Time) {
	if now.Before(h.engine.cut) {
		h.controller.Unreachable(now)
		return
	}
	h.controller.Observe(now, h.engine.state())
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
		d.answer = func(r Result) { h.controller.Ended(time.Now(), r) }
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

// serve moves requests on, as the proxy does.
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
