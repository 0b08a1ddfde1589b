package enginecontroller

import (
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	tick           = 50 * time.Millisecond
	recoveryPeriod = 40 * time.Second
)

// fakeEngine is the actual state of an engine. Load commands may arrive late, and their responses may be lost.
type fakeEngine struct {
	enforcesFence    bool
	set              ident.WeightSet
	fencingToken     ident.FencingToken
	loads            int64
	incarnation      int64
	loading          *sentCommand
	inTransit        []*sentCommand
	unreachableUntil time.Time
}

// sentCommand is a load command from its sending until its response.
type sentCommand struct {
	set          ident.WeightSet
	fencingToken ident.FencingToken
	arrivesAt    time.Time
	loadedAt     time.Time
	responseLost bool
	respond      func(LoadResult)
}

func (e *fakeEngine) state() engineapi.State {
	return engineapi.State{WeightSet: e.set, FencingToken: e.fencingToken, AcceptedLoads: e.loads, Loading: e.loading != nil, StartTime: e.incarnation}
}

func (e *fakeEngine) crash() {
	e.incarnation++
	e.set, e.loads, e.fencingToken = "", 0, 0
	if e.loading != nil {
		e.loading.end(LoadResponseLost)
	}
	e.loading = nil
}

func (c *sentCommand) end(r LoadResult) {
	if c.responseLost {
		r = LoadResponseLost
	}
	if c.respond != nil {
		c.respond(r)
	}
	c.respond = nil
}

func (e *fakeEngine) step(now time.Time) {
	undelivered := e.inTransit[:0]
	for _, c := range e.inTransit {
		if c.arrivesAt.After(now) {
			undelivered = append(undelivered, c)
			continue
		}
		e.receive(c)
	}
	e.inTransit = undelivered
	if c := e.loading; c != nil && !c.loadedAt.After(now) {
		e.set = c.set
		e.loading = nil
		c.end(LoadDone)
	}
}

func (e *fakeEngine) receive(c *sentCommand) {
	if e.enforcesFence && c.fencingToken <= e.fencingToken {
		c.end(LoadRefused)
		return
	}
	e.fencingToken = c.fencingToken
	e.set = ""
	e.loads++
	if e.loading != nil {
		e.loading.end(LoadFailed)
	}
	e.loading = c
}

// fakeRequest is a request that the gate admitted. For each token of its response, tokens holds the set that the engine
// actually had when it produced the token.
type fakeRequest struct {
	set         ident.WeightSet
	gateStatus  gate.Status
	forwarded   bool
	incarnation int64
	tokens      []ident.WeightSet
	remaining   int
}

type fakeHost struct {
	rt             *rapid.T
	engine         *fakeEngine
	controller     Controller
	gate           gate.Gate
	target         Target
	verified       map[ident.WeightSet]bool
	pausedUntil    time.Time
	pendingAction  *Action
	currentCommand *sentCommand
	requests       []*fakeRequest
	// commandDelay, loseResponses and dropCommands are the faults of the next load commands.
	commandDelay  time.Duration
	loseResponses bool
	dropCommands  bool
	// refuseCommands is the number of load commands that are refused because no connection can be opened.
	refuseCommands  int
	intactResponses int
}

func (h *fakeHost) currentTarget() Target {
	target := h.target
	target.Verified = h.verified[target.Set]
	target.SwitchAllowed = true
	if old := target.AcceptedSets[0]; !target.Verified && h.verified[old] {
		target.FallbackSet = old
	}
	return target
}

// step runs one tick of the engine and, unless the process is paused, of the host. A pause may occur between an
// action's decision and its execution, and between the admission of a request and its forwarding.
func (h *fakeHost) step() {
	now := time.Now()
	h.engine.step(now)
	for _, r := range h.requests {
		if r.forwarded && r.remaining > 0 {
			r.tokens = append(r.tokens, h.engine.set)
			r.remaining--
		}
	}
	if now.Before(h.pausedUntil) {
		return
	}
	h.advanceRequests(now)
	if h.pendingAction != nil {
		a := *h.pendingAction
		h.pendingAction = nil
		h.execute(now, a)
	}
	for range 8 {
		target := h.currentTarget()
		a := h.controller.NextAction(now, target, len(h.requests))
		switch a.Kind {
		case ActionWait:
			return
		case ActionReadState:
			h.read(now)
		case ActionCancelLoad:
			h.execute(now, a)
		default:
			if a.Kind == ActionLoad && !h.verified[a.Set] {
				h.rt.Fatalf("load command for %s was issued before its chunks were verified", a.Set)
			}
			if a.Kind == ActionOpenGate && a.Set != target.Set && a.Set != target.AcceptedSets[0] {
				h.rt.Fatalf("gate opens for %s, which is neither wanted nor accepted", a.Set)
			}
			if a.Kind == ActionLoad && len(h.requests) > 0 && h.engine.set == h.target.AcceptedSets[0] && h.engine.set != "" && h.engine.state() == h.controller.reading.state {
				h.rt.Fatalf("load command for %s was issued with %d requests in flight on %s", a.Set, len(h.requests), h.engine.set)
			}
			h.pendingAction = &a
			return
		}
	}
}

func (h *fakeHost) read(now time.Time) {
	if now.Before(h.engine.unreachableUntil) {
		h.controller.RecordReadFailure(now)
		return
	}
	h.controller.RecordState(now, h.engine.state())
}

func (h *fakeHost) execute(now time.Time, a Action) {
	switch a.Kind {
	case ActionOpenGate:
		h.gate.OpenUntil(a.Set, a.Epoch, a.Until)
	case ActionCloseGate:
		h.gate.Close()
	case ActionCancelLoad:
		// The call ends immediately; the engine may still execute the command.
		h.currentCommand.end(LoadResponseLost)
	case ActionLoad:
		c := &sentCommand{set: a.Set, fencingToken: a.FencingToken, arrivesAt: now.Add(h.commandDelay), responseLost: h.loseResponses}
		c.loadedAt = c.arrivesAt.Add(time.Second)
		c.respond = func(r LoadResult) { h.controller.RecordLoadResult(time.Now(), r) }
		h.currentCommand = c
		if h.refuseCommands > 0 {
			h.refuseCommands--
			c.end(LoadRefused)
			return
		}
		if h.dropCommands || now.Before(h.engine.unreachableUntil) {
			c.end(LoadResponseLost)
			return
		}
		h.engine.inTransit = append(h.engine.inTransit, c)
		if h.loseResponses {
			c.end(LoadResponseLost)
		}
	}
}

// advanceRequests forwards admitted requests and ends those that are complete or whose engine crashed, as the proxy
// does.
func (h *fakeHost) advanceRequests(now time.Time) {
	unfinished := h.requests[:0]
	for _, r := range h.requests {
		switch {
		case !r.forwarded:
			r.forwarded, r.incarnation = true, h.engine.incarnation
		case r.incarnation != h.engine.incarnation:
			h.gate.Exit() // the connection broke
			continue
		case r.remaining == 0:
			h.gate.Exit()
			h.verifyResponse(now, r)
			continue
		}
		unfinished = append(unfinished, r)
	}
	h.requests = unfinished
}

// verifyResponse fails if a response counts as intact although another set produced one of its tokens.
func (h *fakeHost) verifyResponse(now time.Time, r *fakeRequest) {
	st := h.engine.state()
	if now.Before(h.engine.unreachableUntil) || !WeightsUnchanged(r.gateStatus, r.set, st) {
		return
	}
	h.intactResponses++
	for i, s := range r.tokens {
		if s != r.set {
			h.rt.Fatalf("response counts as intact on %s, but token %d was produced by %q", r.set, i, s)
		}
	}
}

func (h *fakeHost) sendRequest(set ident.WeightSet, tokens int) {
	if time.Now().Before(h.pausedUntil) || h.gate.Enter(set) != nil {
		return
	}
	h.requests = append(h.requests, &fakeRequest{set: set, gateStatus: h.gate.Status(), remaining: tokens})
}
