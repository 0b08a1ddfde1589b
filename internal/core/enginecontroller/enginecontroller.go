// Package enginecontroller decides when the engine beside an endpoint host is read, ordered to load, and let serve.
// It does no I/O: it is told what was read and what became of an order, and returns the next action.
package enginecontroller

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	// FreshTime is how old a reading of the engine may be when an action rests on it.
	FreshTime = 250 * time.Millisecond
	// LapseTime is how long after a reading was asked for the gate stays open on it.
	LapseTime = 3 * time.Second
	// LoadTime is how long a load that the engine has begun may take before it is ordered again.
	LoadTime = 10 * time.Minute

	lateTime    = time.Second
	minRetry    = 250 * time.Millisecond
	maxRetry    = 8 * time.Second
	maxFailures = 2
)

type reading struct {
	state engineapi.State
	asked time.Time
	known bool
}

type order struct {
	set    ident.WeightSet
	fence  ident.Fence
	before engineapi.State
	given  time.Time
	ended  time.Time
	result Result
	// running tells that the call has not returned; cancelled, that it was given up.
	running   bool
	cancelled bool
}

type opening struct {
	set   ident.WeightSet
	epoch gate.Epoch
	asked time.Time
}

// Controller orders one engine, one order at a time. The zero value knows nothing of the engine. It is not safe for
// concurrent use.
type Controller struct {
	reading  reading
	failures int
	failed   time.Time
	last     *order
	open     *opening
	goal     ident.WeightSet
	retries  int
	retryAt  time.Time
	fence    ident.Fence
}

// Observe takes the engine's state, which was asked for at a time.
func (c *Controller) Observe(asked time.Time, st engineapi.State) {
	if asked.Before(c.reading.asked) {
		return
	}
	c.reading = reading{state: st, asked: asked, known: true}
	c.failures = 0
	c.fence = max(c.fence, st.Fence)
}

// Unreachable records that the state could not be read.
func (c *Controller) Unreachable(now time.Time) {
	c.failures++
	c.failed = now
}

// Ended takes the result of the order in progress.
func (c *Controller) Ended(now time.Time, r Result) {
	if c.last == nil || !c.last.running {
		return
	}
	c.last.running = false
	c.last.ended = now
	c.last.result = r
	// A reading that was asked for before the order ended does not tell what it led to.
	c.reading.known = false
	if r == Done {
		return
	}
	c.retryAt = now.Add(min(maxRetry, minRetry<<min(c.retries, 8)))
	c.retries++
}

// Running tells whether an order is in progress.
func (c *Controller) Running() bool {
	return c.last != nil && c.last.running
}

// Next returns the next action. Running is the number of requests that the engine has from this host.
func (c *Controller) Next(now time.Time, w Want, running int) Action {
	if c.open != nil && c.failures >= maxFailures {
		c.open = nil
		return Action{Kind: Close}
	}
	if !c.fresh(now) {
		if c.failures > 0 && now.Sub(c.failed) < FreshTime {
			return Action{Kind: Wait}
		}
		return Action{Kind: Read}
	}
	if c.Running() {
		return c.watch(w)
	}
	st := c.reading.state
	if w.Set != c.goal {
		c.goal = ""
	}
	switch {
	case st.Set != "" && st.Set == w.Set && w.Verified && c.isLate():
		return c.outbid(now, w, running)
	case w.Set != "" && st.Set == w.Set:
		c.goal = ""
		c.retries = 0
		return c.serve(st)
	case st.Set != "" && slices.Contains(w.Accepted, st.Set):
		return c.replace(now, w, running)
	case c.open != nil:
		c.open = nil
		return Action{Kind: Close}
	case w.next() == "" || c.isLoading(now):
		return Action{Kind: Wait}
	}
	return c.again(now, w, w.next())
}

func (c *Controller) fresh(now time.Time) bool {
	return c.reading.known && now.Sub(c.reading.asked) < FreshTime
}

// watch looks after the order in progress.
func (c *Controller) watch(w Want) Action {
	if c.last.set != w.Set && (w.Verified || c.last.set != w.Held) && !c.last.cancelled {
		c.last.cancelled = true
		return Action{Kind: Cancel}
	}
	return Action{Kind: Wait}
}

func (c *Controller) serve(st engineapi.State) Action {
	if c.open != nil && c.open.asked.Equal(c.reading.asked) {
		return Action{Kind: Wait}
	}
	c.open = &opening{set: st.Set, epoch: Epoch(st), asked: c.reading.asked}
	return Action{Kind: Open, Set: st.Set, Epoch: c.open.epoch, Until: c.reading.asked.Add(LapseTime)}
}

// replace goes on serving an accepted set until the wanted one may take its place. Once the gate is closed for the
// wanted set it stays so, because other hosts count on the order of the switches.
func (c *Controller) replace(now time.Time, w Want, running int) Action {
	st := c.reading.state
	if c.goal == "" && (w.Set == "" || !w.Verified || !w.Permitted) {
		return c.serve(st)
	}
	c.goal = w.Set
	switch {
	case c.open != nil:
		c.open = nil
		return Action{Kind: Close, Set: w.Set}
	case running > 0 || !w.Verified:
		return Action{Kind: Wait}
	}
	return c.again(now, w, w.Set)
}

// isLate tells whether an order that was lost may still reach the engine.
func (c *Controller) isLate() bool {
	return c.last != nil && c.last.result == Lost && c.reading.state.Fence < c.last.fence
}

// outbid orders the set that the engine has already, so that the order that may still come finds a higher number.
func (c *Controller) outbid(now time.Time, w Want, running int) Action {
	switch {
	case c.open != nil:
		c.open = nil
		return Action{Kind: Close}
	case running > 0:
		return Action{Kind: Wait}
	}
	return c.again(now, w, w.Set)
}

// again orders a set unless the last order ended too lately.
func (c *Controller) again(now time.Time, w Want, set ident.WeightSet) Action {
	if now.Before(c.retryAt) {
		return Action{Kind: Wait}
	}
	return c.order(now, w, set)
}

// isLoading tells whether the last order, whose answer was lost, may still be in progress in the engine.
func (c *Controller) isLoading(now time.Time) bool {
	l, st := c.last, c.reading.state
	if l == nil || l.result != Lost || l.cancelled || st.Set != "" || st.Birth != l.before.Birth {
		return false
	}
	if st.Loading {
		return now.Sub(l.given) < LoadTime
	}
	return now.Sub(l.ended) < lateTime
}

func (c *Controller) order(now time.Time, w Want, set ident.WeightSet) Action {
	st := c.reading.state
	c.fence = max(c.fence, st.Fence, ident.Fence(w.Offset)) + 1
	c.last = &order{set: set, fence: c.fence, before: st, given: now, running: true}
	return Action{Kind: Order, Set: set, Fence: c.fence}
}

// Epoch returns the epoch that an engine's state belongs to.
func Epoch(st engineapi.State) gate.Epoch {
	return gate.Epoch{Birth: st.Birth, Loads: st.Loads, Fence: st.Fence}
}

// Unchanged tells whether an engine that was read now has kept the weights on which the gate was open at begin, so that
// all that it gave in between for the set was made by the set.
func Unchanged(begin gate.Status, set ident.WeightSet, now engineapi.State) bool {
	return begin.Set == set && now.Set == set && Epoch(now) == begin.Epoch
}
