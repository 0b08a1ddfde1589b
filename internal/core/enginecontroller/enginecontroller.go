// Package enginecontroller decides when to read the state of an endpoint host's engine, when to load weights into it,
// and when to open the gate for requests. It does no I/O: it receives the engine states that were read and the results
// of load commands, and returns the next action.
package enginecontroller

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	// MaxStateAge is the maximum age of an engine state on which an action may be based.
	MaxStateAge = 250 * time.Millisecond
	// GateTTL is how long the gate stays open after the engine's state was requested, unless it is renewed.
	GateTTL = 3 * time.Second
	// LoadTimeout is how long a load that the engine has begun may take before another load command is issued.
	LoadTimeout = 10 * time.Minute

	// lostCommandGrace is how long an engine that reports no load may still be about to start one, after the call of a
	// load command ended without a response.
	lostCommandGrace = time.Second
	minRetryDelay    = 250 * time.Millisecond
	maxRetryDelay    = 8 * time.Second
	// maxReadFailures is the number of consecutive failed state reads that closes the gate.
	maxReadFailures = 2
)

// reading is an engine state and the time at which it was requested.
type reading struct {
	state       engineapi.State
	requestedAt time.Time
	valid       bool
}

type loadCommand struct {
	set           ident.WeightSet
	fencingToken  ident.FencingToken
	previousState engineapi.State
	issuedAt      time.Time
	endedAt       time.Time
	result        LoadResult
	// inProgress reports whether the call has not returned yet; cancelled, whether it was cancelled.
	inProgress bool
	cancelled  bool
}

type gateOpening struct {
	set         ident.WeightSet
	epoch       gate.WeightsEpoch
	requestedAt time.Time
}

// Controller controls one engine and issues one load command at a time. The zero value is a controller that has not
// read the engine's state yet. It is not safe for concurrent use.
type Controller struct {
	reading         reading
	readFailures    int
	lastReadFailure time.Time
	lastCommand     *loadCommand
	opening         *gateOpening
	switchTarget    ident.WeightSet
	retries         int
	retryAt         time.Time
	highestFence    ident.FencingToken
	// lostFence is the highest fencing token of the load commands that got no response since the last successful one.
	lostFence ident.FencingToken
}

// RecordState records the engine's state and the time at which it was requested. It ignores a state that was requested
// before the recorded one.
func (c *Controller) RecordState(requestedAt time.Time, st engineapi.State) {
	if requestedAt.Before(c.reading.requestedAt) {
		return
	}
	c.reading = reading{state: st, requestedAt: requestedAt, valid: true}
	c.readFailures = 0
	c.highestFence = max(c.highestFence, st.FencingToken)
}

// RecordReadFailure records that the engine's state could not be read.
func (c *Controller) RecordReadFailure(now time.Time) {
	c.readFailures++
	c.lastReadFailure = now
}

// RecordLoadResult records the result of the load command in progress.
func (c *Controller) RecordLoadResult(now time.Time, r LoadResult) {
	if c.lastCommand == nil || !c.lastCommand.inProgress {
		return
	}
	c.lastCommand.inProgress = false
	c.lastCommand.endedAt = now
	c.lastCommand.result = r
	// A state that was requested before the command ended may not show the effect of the command.
	c.reading.valid = false
	if r == LoadDone {
		// The engine refuses all earlier commands from now on.
		c.lostFence = 0
		return
	}
	if r == LoadResponseLost {
		c.lostFence = max(c.lostFence, c.lastCommand.fencingToken)
	}
	c.retryAt = now.Add(min(maxRetryDelay, minRetryDelay<<min(c.retries, 8)))
	c.retries++
}

// LoadInProgress reports whether a load command is in progress.
func (c *Controller) LoadInProgress() bool {
	return c.lastCommand != nil && c.lastCommand.inProgress
}

// NextAction returns the next action. The argument inFlight is the number of requests in flight from this host to the
// engine.
func (c *Controller) NextAction(now time.Time, target Target, inFlight int) Action {
	if c.opening != nil && c.readFailures >= maxReadFailures {
		c.opening = nil
		return Action{Kind: ActionCloseGate}
	}
	if !c.isFresh(now) {
		if c.readFailures > 0 && now.Sub(c.lastReadFailure) < MaxStateAge {
			return Action{Kind: ActionWait}
		}
		return Action{Kind: ActionReadState}
	}
	if c.LoadInProgress() {
		return c.superviseCommand(target)
	}
	st := c.reading.state
	if target.Set != c.switchTarget {
		c.switchTarget = ""
	}
	switch {
	case st.WeightSet != "" && st.WeightSet == target.Set && target.Verified && c.mayArriveLate():
		return c.supersedeLostCommand(now, target, inFlight)
	case target.Set != "" && st.WeightSet == target.Set:
		c.switchTarget = ""
		c.retries = 0
		return c.keepServing(st)
	case st.WeightSet != "" && slices.Contains(target.AcceptedSets, st.WeightSet):
		return c.switchSet(now, target, inFlight)
	case c.opening != nil:
		c.opening = nil
		return Action{Kind: ActionCloseGate}
	case target.nextSet() == "" || c.mayBeLoading(now):
		return Action{Kind: ActionWait}
	}
	return c.loadAfterBackoff(now, target, target.nextSet())
}

func (c *Controller) isFresh(now time.Time) bool {
	return c.reading.valid && now.Sub(c.reading.requestedAt) < MaxStateAge
}

// superviseCommand cancels the load command in progress if its set is no longer needed.
func (c *Controller) superviseCommand(target Target) Action {
	if c.lastCommand.set != target.Set && (target.Verified || c.lastCommand.set != target.FallbackSet) && !c.lastCommand.cancelled {
		c.lastCommand.cancelled = true
		return Action{Kind: ActionCancelLoad}
	}
	return Action{Kind: ActionWait}
}

// keepServing opens the gate, or renews it, once for each state that was read.
func (c *Controller) keepServing(st engineapi.State) Action {
	if c.opening != nil && c.opening.requestedAt.Equal(c.reading.requestedAt) {
		return Action{Kind: ActionWait}
	}
	c.opening = &gateOpening{set: st.WeightSet, epoch: Epoch(st), requestedAt: c.reading.requestedAt}
	return Action{Kind: ActionOpenGate, Set: st.WeightSet, Epoch: c.opening.epoch, Until: c.reading.requestedAt.Add(GateTTL)}
}

// switchSet continues to serve an accepted set until the host may switch to the wanted one. After the switch has begun,
// the gate stays closed to the old set even if the permission is withdrawn, because other hosts depend on the sequence
// of the switches.
func (c *Controller) switchSet(now time.Time, target Target, inFlight int) Action {
	st := c.reading.state
	if c.switchTarget == "" && (target.Set == "" || !target.Verified || !target.SwitchAllowed) {
		return c.keepServing(st)
	}
	c.switchTarget = target.Set
	switch {
	case c.opening != nil:
		c.opening = nil
		return Action{Kind: ActionCloseGate, Set: target.Set}
	case inFlight > 0 || !target.Verified:
		return Action{Kind: ActionWait}
	}
	return c.loadAfterBackoff(now, target, target.Set)
}

// mayArriveLate reports whether a load command that got no response may still reach the engine. It may as long as the
// engine's fencing token is lower, whatever became of the commands after it.
func (c *Controller) mayArriveLate() bool {
	return c.reading.state.FencingToken < c.lostFence
}

// supersedeLostCommand loads the set that the engine already serves with a higher fencing token, so that the engine
// refuses a lost command that arrives late.
func (c *Controller) supersedeLostCommand(now time.Time, target Target, inFlight int) Action {
	switch {
	case c.opening != nil:
		c.opening = nil
		return Action{Kind: ActionCloseGate}
	case inFlight > 0:
		return Action{Kind: ActionWait}
	}
	return c.loadAfterBackoff(now, target, target.Set)
}

// loadAfterBackoff issues a load command for a set once the backoff after an unsuccessful one has passed.
func (c *Controller) loadAfterBackoff(now time.Time, target Target, set ident.WeightSet) Action {
	if now.Before(c.retryAt) {
		return Action{Kind: ActionWait}
	}
	return c.issueLoad(now, target, set)
}

// mayBeLoading reports whether the engine may still be executing the last load command, whose response was lost.
func (c *Controller) mayBeLoading(now time.Time) bool {
	cmd, st := c.lastCommand, c.reading.state
	if cmd == nil || cmd.result != LoadResponseLost || cmd.cancelled || st.WeightSet != "" || st.StartTime != cmd.previousState.StartTime {
		return false
	}
	if st.Loading {
		return now.Sub(cmd.issuedAt) < LoadTimeout
	}
	return now.Sub(cmd.endedAt) < lostCommandGrace
}

// issueLoad issues a load command whose fencing token exceeds those seen before and the configuration offset.
func (c *Controller) issueLoad(now time.Time, target Target, set ident.WeightSet) Action {
	st := c.reading.state
	c.highestFence = max(c.highestFence, st.FencingToken, ident.FencingToken(target.Offset)) + 1
	c.lastCommand = &loadCommand{set: set, fencingToken: c.highestFence, previousState: st, issuedAt: now, inProgress: true}
	return Action{Kind: ActionLoad, Set: set, FencingToken: c.highestFence}
}

// Epoch returns the gate epoch of an engine state.
func Epoch(st engineapi.State) gate.WeightsEpoch {
	return gate.WeightsEpoch{StartTime: st.StartTime, LoadCount: st.AcceptedLoads, FencingToken: st.FencingToken}
}

// WeightsUnchanged reports whether an engine with the state current still has the weight set for which the gate was
// open at the start of a request, and has not loaded weights in between. If so, that set produced the entire response.
func WeightsUnchanged(atStart gate.Status, set ident.WeightSet, current engineapi.State) bool {
	return atStart.Set == set && current.WeightSet == set && Epoch(current) == atStart.Epoch
}
