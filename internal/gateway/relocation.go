package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/relocator"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// reasonStalled is the reason of a request that ends because its endpoint stands still and none can serve it in time.
const reasonStalled = "stalled"

// relocation moves an attempt in flight to another endpoint if its own stands still. The other endpoint is found first, so that
// a request for which there is none stays where it is.
type relocation struct {
	gateway *Gateway
	req     *request
	choice  *assigner.Assignment
	// ctx ends with the attempt, and cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// query is the one for another endpoint, and canMove says that one may run the request.
	query   assigner.Query
	canMove bool
	// lastEventAt is when the caller got the last event of an earlier attempt; the zero time if it got none.
	lastEventAt time.Time

	mu sync.Mutex
	// isOver is set once the attempt has ended, and isSeeking while another endpoint is sought.
	isOver, isSeeking bool
	soughtAt          time.Time
	// next is the endpoint to continue at, and isAbandoned is set if the request cannot be served any more.
	next        *assigner.Assignment
	isAbandoned bool
}

// beginRelocation makes an attempt known to CheckStalls until its end method is called.
func (g *Gateway) beginRelocation(ctx context.Context, cancel context.CancelFunc, req *request, state *requestState, choice *assigner.Assignment) {
	query := g.assignerQuery(req, state)
	query.Excluded, query.HasFailed = maps.Clone(state.tried), true
	r := &relocation{
		gateway: g, req: req, choice: choice, ctx: ctx, cancel: cancel, query: query,
		canMove: req.route.MayRepeat() && state.mayHaveRun+1 < req.route.MaxAttempts, lastEventAt: state.lastEventAt,
	}
	state.relocation = r
	g.relocations.add(r)
}

// end ends the attempt, and returns the endpoint to continue at, if there is one, and whether the request was abandoned.
func (r *relocation) end() (next *assigner.Assignment, isAbandoned bool) {
	r.gateway.relocations.remove(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isOver = true
	return r.next, r.isAbandoned
}

// setRelease records that the stream has begun. It can only continue on the same release.
func (r *relocation) setRelease(release fleetconfig.Release) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.query.Release, r.query.ExactRelease = release, release > 0
}

// describe returns what the decision on the request is based on.
func (r *relocation) describe(index int, s assigner.StalledRequest, now time.Time) relocator.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relocator.Request{
		Index: index, Rank: r.req.rank, WasLate: r.choice.IsLate, FirstEvent: s.FirstEvent, NextEvent: s.NextEvent, Completion: s.Completion,
		CanMove:  r.canMove && r.next == nil && !r.isSeeking && now.Sub(r.soughtAt) >= relocator.RetryInterval,
		TimeLeft: r.timeLeft(s.LastEventAt, now), EventLeft: r.eventLeft(s.LastEventAt, now), DeadlineLeft: r.req.deadline.Sub(now),
	}
}

// eventLeft returns the time until the caller leaves if it gets no event.
func (r *relocation) eventLeft(lastEventAt, now time.Time) time.Duration {
	if r.req.route.MaxEventWait == 0 {
		return r.req.deadline.Sub(now)
	}
	if lastEventAt.IsZero() {
		lastEventAt = r.lastEventAt
	}
	if lastEventAt.IsZero() {
		lastEventAt = r.req.arrivedAt
	}
	return r.req.route.MaxEventWait - now.Sub(lastEventAt)
}

// timeLeft returns the time until the next event is late.
func (r *relocation) timeLeft(lastEventAt, now time.Time) time.Duration {
	if lastEventAt.IsZero() {
		lastEventAt = r.lastEventAt
	}
	switch {
	case lastEventAt.IsZero():
		return r.req.route.Objective - r.req.earlierTime - now.Sub(r.req.arrivedAt)
	case r.req.route.MaxEventGap > 0:
		return r.req.route.MaxEventGap - now.Sub(lastEventAt)
	default:
		return r.req.deadline.Sub(now)
	}
}

// seek finds another endpoint, spends a retry, and ends the attempt.
func (r *relocation) seek(lastEventAt time.Time) {
	g := r.gateway
	r.mu.Lock()
	if r.isOver || r.isSeeking {
		r.mu.Unlock()
		return
	}
	r.isSeeking, r.soughtAt = true, time.Now()
	query := r.query
	query.TimeLeft = r.timeLeft(lastEventAt, r.soughtAt)
	r.mu.Unlock()
	next, refusal := g.assignWithoutHold(r.ctx, &query)
	if refusal == "" && !g.RetryBudget.SpendRetry() {
		g.Assigner.Release(next, assigner.NotSent)
		next, refusal = nil, budgetExhausted
	}
	if refusal != "" {
		g.Meter.CountRelocation(string(refusal))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSeeking = false
	switch {
	case next == nil:
	case r.isOver:
		g.Assigner.Release(next, assigner.NotSent)
	default:
		r.next = next
		g.Meter.CountRelocation("")
		event.RequestMoved.Log(g.Logger.WithFields(g.logFields(r.req)), log.Fields{
			"endpoint": r.choice.Endpoint.ID, "to": next.Endpoint.ID, "silent": g.Assigner.Silence(r.choice).Milliseconds(), "left": query.TimeLeft.Milliseconds(),
		})
		r.cancel()
	}
}

// abandon ends the attempt because the request cannot be served in time any more.
func (r *relocation) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isOver || r.next != nil {
		return
	}
	r.isAbandoned = true
	r.cancel()
}

// relocationList holds the attempts in flight.
type relocationList struct {
	mu       sync.Mutex
	byChoice map[*assigner.Assignment]*relocation
}

func (l *relocationList) add(r *relocation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byChoice == nil {
		l.byChoice = make(map[*assigner.Assignment]*relocation)
	}
	l.byChoice[r.choice] = r
}

func (l *relocationList) remove(r *relocation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byChoice, r.choice)
}

func (l *relocationList) of(c *assigner.Assignment) *relocation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byChoice[c]
}

// CheckStalls finds the endpoints that stand still, and moves or ends the requests there that would be late otherwise. It
// returns the time until the next check.
func (g *Gateway) CheckStalls() time.Duration {
	check := g.Assigner.CheckStalls()
	for _, e := range check.Questions {
		g.AskHost(e)
	}
	for _, c := range check.Changes {
		g.logStall(c)
	}
	if len(check.Requests) == 0 {
		return check.Wait
	}
	now := time.Now()
	stalled := make([]*relocation, len(check.Requests))
	requests := make([]relocator.Request, 0, len(check.Requests))
	for i, s := range check.Requests {
		if stalled[i] = g.relocations.of(s.Assignment); stalled[i] != nil {
			requests = append(requests, stalled[i].describe(i, s, now))
		}
	}
	plan := relocator.Decide(requests, g.RetryBudget.Retries())
	for _, i := range plan.Ends {
		stalled[i].abandon()
	}
	for _, i := range plan.Moves {
		go stalled[i].seek(check.Requests[i].LastEventAt)
	}
	return min(check.Wait, relocator.Interval)
}

func (g *Gateway) logStall(c assigner.StallChange) {
	f := log.Fields{"endpoint": c.Endpoint.ID, "address": c.Endpoint.Address, "silent": c.Silence.Milliseconds(), "requests": c.Requests}
	if c.IsStill {
		event.EndpointStandsStill.Log(g.Logger, f)
		return
	}
	event.EndpointResumed.Log(g.Logger, f)
}
