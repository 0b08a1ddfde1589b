package enginecontroller

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

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

func TestLostWeightsAreLoadedAgainUntilTheNextAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{fenced: true, birth: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		h.want = Want{Set: "b", Offset: 2, Accepted: []ident.WeightSet{"a"}}
		h.engine.crash()
		h.run(4 * time.Second)
		is.Equal(h.gate.Status().Set, ident.WeightSet("a"))
		is.True(h.gate.Status().Open)
		h.verified["b"] = true
		h.run(4 * time.Second)
		is.Equal(h.gate.Status().Set, ident.WeightSet("b"))
	})
}

func TestOldFenceIsRaised(t *testing.T) {
	for _, fence := range []ident.Fence{0, 41} {
		t.Run(fmt.Sprint(fence), func(t *testing.T) {
			is := is.New(t)
			var o Controller
			now := time.Now()
			o.Observe(now, engineapi.State{Fence: fence, Birth: 1})
			a := o.Next(now, Want{Set: "a", Offset: 9, Verified: true}, 0)
			is.Equal(a.Kind, Order)
			is.Equal(a.Fence, max(fence, 9)+1)
		})
	}
}

func TestWorkInProgressEndsBeforeTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{fenced: true, birth: 1}, verified: map[ident.WeightSet]bool{"a": true, "b": true}}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		h.request("a", 100)
		h.want = Want{Set: "b", Offset: 2, Accepted: []ident.WeightSet{"a"}}
		h.run(90 * tick)
		is.Equal(h.engine.loads, int64(1))
		is.True(h.gate.Enter("a") != nil)
		h.run(3 * time.Second)
		is.Equal(h.whole, 1)
		is.Equal(h.gate.Status().Set, ident.WeightSet("b"))
	})
}

func TestLateOrderIsOutbid(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{fenced: true, birth: 1}, verified: map[ident.WeightSet]bool{"a": true, "b": true}}
		h.want = Want{Set: "a", Offset: 1, Accepted: []ident.WeightSet{"a"}}
		h.run(3 * time.Second)
		h.delay, h.lost = 5*time.Second, true
		h.want = Want{Set: "b", Offset: 2, Accepted: []ident.WeightSet{"a"}}
		h.run(500 * time.Millisecond) // the order for b is on its way
		h.delay, h.lost = 0, false
		h.want = Want{Set: "a", Offset: 3, Accepted: []ident.WeightSet{"a"}}
		h.run(4 * time.Second)
		is.True(h.gate.Status().Open)
		loads := h.engine.loads
		h.run(4 * time.Second) // it arrives
		is.Equal(h.engine.loads, loads)
		is.Equal(h.engine.set, ident.WeightSet("a"))
	})
}
