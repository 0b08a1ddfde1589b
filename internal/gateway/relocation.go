package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/attemptkeeper"
	"github.com/nutmegdock/nutmegdock/internal/core/relocator"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// reasonStalled is the reason of a request that ends because its endpoint stands still and none can serve it in time.
// reasonResumed is that of an attempt that stays where it is because its endpoint has sent something, reasonFailed that of
// one that stays because the other endpoint has refused or failed.
const (
	reasonStalled = "stalled"
	reasonResumed = "resumed"
	reasonFailed  = "failed"
)

// relocation has an attempt that is open continued at another endpoint if its own stands still or cannot be reached. The
// attempt is kept until the other endpoint has begun to respond.
type relocation struct {
	gateway *Gateway
	req     *request
	choice  *assigner.Assignment
	// requestCtx ends with the request, and cancel ends the attempt.
	requestCtx context.Context
	cancel     context.CancelFunc
	// query is the one for another endpoint.
	query assigner.Query

	mu sync.Mutex
	// keeper decides when the attempt ends, and position is where another endpoint continues. lastEventAt is when the caller
	// got the last event; the zero time if it got none.
	keeper      attemptkeeper.Keeper
	position    streamPosition
	lastEventAt time.Time
	// kind is that of a stream that has begun.
	hasStarted bool
	kind       streamKind
	// candidates are the attempts at other endpoints that have not responded yet. settled is closed when the request no longer
	// awaits one of them after its attempt has ended.
	candidates map[*candidate]bool
	settled    chan struct{}
	// next is the attempt that the request continues with, and isAbandoned is set if it cannot be served any more. failures
	// are the results of candidates that did not take over.
	next        *candidate
	isAbandoned bool
	failures    []candidateFailure
}

// beginRelocation makes an attempt known to CheckStalls until its end method is called.
func (g *Gateway) beginRelocation(requestCtx context.Context, cancel context.CancelFunc, req *request, state *requestState, choice *assigner.Assignment) {
	query := g.assignerQuery(req, state)
	query.Excluded, query.HasFailed = maps.Clone(state.tried), true
	r := &relocation{
		gateway: g, req: req, choice: choice, requestCtx: requestCtx, cancel: cancel, query: query, lastEventAt: state.lastEventAt,
		position:   streamPosition{after: state.sequencer.LastID, hasAfter: state.sequencer.LastIDKnown},
		hasStarted: state.headerSent, kind: state.kind,
	}
	if state.headerSent {
		r.position.release = state.release
	}
	if req.route.MayRepeat() && !state.isFinal {
		r.keeper.Spares = req.route.MaxAttempts - 1 - state.mayHaveRun
	}
	state.relocation = r
	g.relocations.add(choice, r)
}

// end ends the attempt. If another endpoint has the request, it waits for its response. isOver says that the request does
// not go on.
func (r *relocation) end(state *requestState, isOver bool) {
	r.gateway.relocations.remove(r.choice, r)
	r.mu.Lock()
	defer r.mu.Unlock()
	switch r.keeper.RecordEnd(isOver || r.isAbandoned) {
	case attemptkeeper.Await:
		settled := make(chan struct{})
		r.settled = settled
		r.mu.Unlock()
		<-settled // all candidates end with the request
		r.mu.Lock()
	case attemptkeeper.Alone, attemptkeeper.Stop:
		r.cancelCandidates()
	case attemptkeeper.Continue:
	}
	state.next, state.isAbandoned = r.next, r.isAbandoned
	for _, f := range r.failures {
		f.addTo(state)
	}
}

// setStarted records that the stream has begun. It can only continue on the same release.
func (r *relocation) setStarted(state *requestState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.query.Release, r.query.ExactRelease = state.release, state.release > 0
	r.position.release = state.release
	r.hasStarted, r.kind = true, state.kind
}

// recordProgress records that a part of the response was read. If the endpoint has just sent it, an attempt at another
// endpoint is ended, since this one goes on.
func (r *relocation) recordProgress(state *requestState, isFresh bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position.after, r.position.hasAfter = state.sequencer.LastID, state.sequencer.LastIDKnown
	if state.receivedEvents() > 0 {
		r.lastEventAt = time.Now()
	}
	if isFresh && r.keeper.RecordProgress() {
		r.gateway.Meter.CountRelocation(reasonResumed)
		r.cancelCandidates()
	}
}

// cancelCandidates ends the attempts at other endpoints. The caller must hold r.mu.
func (r *relocation) cancelCandidates() {
	for c := range r.candidates {
		c.cancel()
	}
}

// settle lets the request go on if it awaits no candidate any more. The caller must hold r.mu.
func (r *relocation) settle() {
	if r.settled != nil && !r.keeper.Awaits() {
		close(r.settled)
		r.settled = nil
	}
}

// keep records that no other endpoint can continue the response.
func (r *relocation) keep() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keeper.Spares = 0
	if r.keeper.RecordProgress() {
		r.cancelCandidates()
	}
}

// describe returns what the decision on the request is based on.
func (r *relocation) describe(index int, s assigner.StalledRequest, now time.Time) relocator.Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	return relocator.Request{
		Index: index, Rank: r.req.rank, WasLate: r.choice.IsLate, FirstEvent: s.FirstEvent, NextEvent: s.NextEvent, Completion: s.Completion,
		CanMove:  r.keeper.CanSeek(now),
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

// seek looks for another endpoint, spends a retry, and sends the request there.
func (r *relocation) seek(lastEventAt time.Time) {
	g := r.gateway
	r.mu.Lock()
	if !r.keeper.Seek(time.Now()) {
		r.mu.Unlock()
		return
	}
	query := r.query
	query.Excluded = maps.Clone(query.Excluded)
	query.TimeLeft = r.timeLeft(lastEventAt, time.Now())
	r.mu.Unlock()
	next, refusal := g.assignWithoutHold(r.requestCtx, &query)
	if refusal == "" && !g.RetryBudget.SpendRetry() {
		g.Assigner.Release(next, assigner.NotSent)
		refusal = budgetExhausted
	}
	if refusal != "" {
		g.Meter.CountRelocation(string(refusal))
		r.mu.Lock()
		defer r.mu.Unlock()
		r.keeper.RecordNotSent()
		r.settle()
		return
	}
	r.try(next, query.TimeLeft)
}

// abandon ends the attempt because the request cannot be served in time any more.
func (r *relocation) abandon() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next != nil {
		return
	}
	r.isAbandoned = true
	r.cancel()
	r.cancelCandidates()
}

// recordSuspect records that there is indirect evidence against the endpoint of an assignment of the request.
func (r *relocation) recordSuspect(choice *assigner.Assignment) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.candidates {
		if c.choice == choice && !c.isSuspect {
			c.isSuspect = true
			r.keeper.RecordSuspect()
		}
	}
}

// HandleSuspect looks for another endpoint for a request whose endpoint cannot be reached and is silent.
func (g *Gateway) HandleSuspect(c *assigner.Assignment) {
	if r := g.relocations.of(c); r != nil {
		r.recordSuspect(c)
		go r.seek(time.Time{})
	}
}

// relocationList holds the attempts in flight, and the candidates for their places.
type relocationList struct {
	mu       sync.Mutex
	byChoice map[*assigner.Assignment]*relocation
}

func (l *relocationList) add(c *assigner.Assignment, r *relocation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byChoice == nil {
		l.byChoice = make(map[*assigner.Assignment]*relocation)
	}
	l.byChoice[c] = r
}

// remove removes an attempt, unless a candidate has become the attempt of another relocation.
func (l *relocationList) remove(c *assigner.Assignment, r *relocation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byChoice[c] == r {
		delete(l.byChoice, c)
	}
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
	for _, e := range check.GateQuestions {
		g.AskGate(e)
	}
	for _, c := range check.Changes {
		g.logStall(c)
	}
	if len(check.Requests) == 0 {
		return check.Wait
	}
	now := time.Now()
	stalled := make([]*relocation, len(check.Requests))
	isOwn := make(map[*relocation]bool) // whether the endpoint of the attempt itself stands still, not only that of a candidate
	for i, s := range check.Requests {
		if r := g.relocations.of(s.Assignment); r != nil {
			stalled[i] = r
			r.recordSuspect(s.Assignment)
			isOwn[r] = isOwn[r] || s.Assignment == r.choice
		}
	}
	requests := make([]relocator.Request, 0, len(check.Requests))
	for i, s := range check.Requests {
		if r := stalled[i]; r != nil && (s.Assignment == r.choice || !isOwn[r]) {
			requests = append(requests, r.describe(i, s, now))
		}
	}
	plan := relocator.Decide(requests, g.RetryBudget.Retries())
	for _, i := range plan.Ends {
		if isOwn[stalled[i]] {
			stalled[i].abandon()
		}
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
