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

func drawDuration(rt *rapid.T, limit time.Duration) time.Duration {
	return time.Duration(rapid.IntRange(0, int(limit/tick)).Draw(rt, "ticks")) * tick
}

// TestStateOrders checks one host's load commands, gate and responses against an engine that restarts, becomes
// unreachable, receives commands late or from another host, and loses responses, while the host may be paused at any
// point. Half of the engines ignore fencing tokens.
func TestStateOrders(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		e := &fakeEngine{enforcesFence: rapid.Bool().Draw(rt, "fenced"), incarnation: 1}
		h := &fakeHost{rt: rt, engine: e, verified: make(map[ident.WeightSet]bool)}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		rt.Repeat(map[string]func(*rapid.T){
			"change": func(rt *rapid.T) {
				old := h.target.Set
				h.target = Target{Set: drawSet(rt), Offset: h.target.Offset + 1, AcceptedSets: []ident.WeightSet{old}}
			},
			"fetched": func(*rapid.T) { h.verified[h.target.Set] = true },
			"dropped": func(*rapid.T) { delete(h.verified, drawSet(rt)) },
			"crash":   func(*rapid.T) { e.crash() },
			"freeze":  func(rt *rapid.T) { h.pausedUntil = time.Now().Add(drawDuration(rt, 6*time.Second)) },
			"cut":     func(rt *rapid.T) { e.unreachableUntil = time.Now().Add(drawDuration(rt, 6*time.Second)) },
			"stranger": func(rt *rapid.T) {
				token := e.fencingToken + ident.FencingToken(rapid.IntRange(-2, 2).Draw(rt, "fence"))
				now := time.Now()
				load := drawDuration(rt, time.Second)
				e.inTransit = append(e.inTransit, &sentCommand{set: drawSet(rt), fencingToken: token, arrivesAt: now, loadedAt: now.Add(load)})
			},
			"reload": func(*rapid.T) {
				h.sendRequest(e.set, 30)
				arrives := time.Now().Add(2 * tick)
				e.inTransit = append(e.inTransit, &sentCommand{set: e.set, fencingToken: e.fencingToken + 1, arrivesAt: arrives, loadedAt: arrives.Add(tick)})
			},
			"network": func(rt *rapid.T) {
				h.commandDelay = drawDuration(rt, 4*time.Second)
				h.dropCommands = rapid.Bool().Draw(rt, "drop")
				h.loseResponses = rapid.Bool().Draw(rt, "lost")
			},
			"request": func(rt *rapid.T) { h.sendRequest(drawSet(rt), rapid.IntRange(1, 30).Draw(rt, "tokens")) },
			"run": func(rt *rapid.T) {
				for range rapid.IntRange(1, 60).Draw(rt, "steps") {
					time.Sleep(tick)
					h.sendRequest(e.set, 5)
					h.step()
				}
			},
		})
		h.checkRecovery()
	})
}

// checkRecovery ends all faults and checks that the host then serves the wanted set.
func (h *fakeHost) checkRecovery() {
	h.commandDelay, h.loseResponses, h.dropCommands = 0, false, false
	h.pausedUntil, h.engine.unreachableUntil = time.Time{}, time.Time{}
	h.verified[h.target.Set] = true
	for begin := time.Now(); time.Since(begin) < recoveryPeriod; {
		time.Sleep(tick)
		h.step()
	}
	if st := h.gate.Status(); !st.Open || st.Set != h.target.Set || h.engine.set != h.target.Set {
		h.rt.Fatalf("%s after the faults ended the gate is %+v, the engine serves %q, the wanted set is %q", recoveryPeriod, st, h.engine.set, h.target.Set)
	}
	h.sendRequest(h.target.Set, 3)
	intactBefore := h.intactResponses
	for range 10 {
		time.Sleep(tick)
		h.step()
	}
	if h.intactResponses != intactBefore+1 {
		h.rt.Fatalf("a request after the faults ended got no intact response")
	}
}

// runFor steps a host for a duration.
func (h *fakeHost) runFor(d time.Duration) {
	for begin := time.Now(); time.Since(begin) < d; {
		time.Sleep(tick)
		h.step()
	}
}

func TestRestartClosesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.target = Target{Set: "a", Offset: 7, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		is.True(h.gate.Status().Open)
		is.True(h.engine.fencingToken > 7) // above the offset of the assignment
		h.engine.crash()
		h.runFor(2 * MaxStateAge)
		is.True(!h.gate.Status().Open)
		h.runFor(3 * time.Second)
		is.True(h.gate.Status().Open)
	})
}

func TestUnreachableEngineClosesTheGate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		is.True(h.gate.Status().Open)
		h.engine.unreachableUntil = time.Now().Add(time.Minute)
		h.runFor(time.Second)
		is.True(!h.gate.Status().Open)
	})
}

func TestPausedHostRefusesRequestsUntilStateIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		is.NoErr(h.gate.Enter("a"))
		h.gate.Exit()
		time.Sleep(GateTTL) // paused
		is.True(h.gate.Enter("a") != nil)
	})
}

func TestLoadWithLostResponseIsNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true}, loseResponses: true}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(5 * time.Second)
		is.Equal(h.engine.loads, int64(1))
		is.True(h.gate.Status().Open)
	})
}

func TestLostWeightsAreReloadedUntilNextSetIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		h.target = Target{Set: "b", Offset: 2, AcceptedSets: []ident.WeightSet{"a"}}
		h.engine.crash()
		h.runFor(4 * time.Second)
		is.Equal(h.gate.Status().Set, ident.WeightSet("a"))
		is.True(h.gate.Status().Open)
		h.verified["b"] = true
		h.runFor(4 * time.Second)
		is.Equal(h.gate.Status().Set, ident.WeightSet("b"))
	})
}

func TestLoadFenceExceedsEngineFenceAndOffset(t *testing.T) {
	for _, token := range []ident.FencingToken{0, 41} {
		t.Run(fmt.Sprint(token), func(t *testing.T) {
			is := is.New(t)
			var c Controller
			now := time.Now()
			c.RecordState(now, engineapi.State{FencingToken: token, StartTime: 1})
			a := c.NextAction(now, Target{Set: "a", Offset: 9, Verified: true}, 0)
			is.Equal(a.Kind, ActionLoad)
			is.Equal(a.FencingToken, max(token, 9)+1)
		})
	}
}

func TestRequestsInFlightFinishBeforeLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true, "b": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		h.sendRequest("a", 100)
		h.target = Target{Set: "b", Offset: 2, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(90 * tick)
		is.Equal(h.engine.loads, int64(1))
		is.True(h.gate.Enter("a") != nil)
		h.runFor(3 * time.Second)
		is.Equal(h.intactResponses, 1)
		is.Equal(h.gate.Status().Set, ident.WeightSet("b"))
	})
}

func TestDelayedLoadIsSupersededByHigherFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true, "b": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		h.commandDelay, h.loseResponses = 5*time.Second, true
		h.target = Target{Set: "b", Offset: 2, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(500 * time.Millisecond) // the load command for b is in transit
		h.commandDelay, h.loseResponses = 0, false
		h.target = Target{Set: "a", Offset: 3, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(4 * time.Second)
		is.True(h.gate.Status().Open)
		loads := h.engine.loads
		h.runFor(4 * time.Second) // the load command for b arrives
		is.Equal(h.engine.loads, loads)
		is.Equal(h.engine.set, ident.WeightSet("a"))
	})
}

// Guards against a lost load command that is forgotten once a later one has been refused: the gate opened for the set
// that the engine still served, and the lost command replaced its weights seconds later.
func TestLostLoadIsSupersededAfterLaterRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &fakeHost{engine: &fakeEngine{enforcesFence: true, incarnation: 1}, verified: map[ident.WeightSet]bool{"a": true, "b": true}}
		h.target = Target{Set: "a", Offset: 1, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(3 * time.Second)
		h.commandDelay, h.loseResponses = 8*time.Second, true
		h.target = Target{Set: "b", Offset: 2, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(500 * time.Millisecond) // the load command for b is in transit
		h.commandDelay, h.loseResponses, h.refuseCommands = 0, false, 1
		h.target = Target{Set: "a", Offset: 3, AcceptedSets: []ident.WeightSet{"a"}}
		h.runFor(5 * time.Second)
		is.Equal(h.refuseCommands, 0)
		is.True(h.gate.Status().Open)
		loads := h.engine.loads
		h.runFor(5 * time.Second) // the load command for b arrives
		is.Equal(h.engine.loads, loads)
		is.Equal(h.engine.set, ident.WeightSet("a"))
	})
}
