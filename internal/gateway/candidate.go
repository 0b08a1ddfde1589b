package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// candidate is an attempt at another endpoint that is made while the one before it is open, and may take its place.
type candidate struct {
	choice *assigner.Assignment
	// ctx ends with the attempt, and cancel ends it.
	ctx            context.Context
	cancel         context.CancelFunc
	attempt        *attempt
	stopWithdrawal func()
	sentAt         time.Time
	// response is the header of the response; nil before it has arrived.
	response *endpointResponse
	// isSuspect says that its endpoint may be gone or stand still, and isCounted that its result is among the failures.
	isSuspect, isCounted bool
}

// candidateFailure is the result of a candidate that did not take the place of an attempt.
type candidateFailure struct {
	endpoint string
	// isRefused, isUnreachable and mayHaveRun say in which of the counts of the request it is included.
	isRefused, isUnreachable, mayHaveRun bool
}

func (f candidateFailure) addTo(state *requestState) {
	state.tried[f.endpoint] = true
	switch {
	case f.isRefused:
		state.refused++
	case f.isUnreachable:
		state.unreachable++
	case f.mayHaveRun:
		state.mayHaveRun++
	}
}

// try sends the request to another endpoint while the attempt is open. If that one begins to respond, the request continues
// there. timeLeft is the time until the next event is late.
func (r *relocation) try(next *assigner.Assignment, timeLeft time.Duration) {
	g := r.gateway
	c := &candidate{choice: next, sentAt: time.Now()}
	c.ctx, c.cancel = context.WithCancel(r.requestCtx)
	var mayBegin bool
	c.attempt, mayBegin = g.beginAttempt(r.req, c.cancel)
	c.stopWithdrawal = g.withdrawAtCutoff(r.req, next, c.cancel)
	r.mu.Lock()
	if !mayBegin || !r.keeper.RecordSent() {
		r.keeper.RecordNotSent()
		r.settle()
		r.mu.Unlock()
		g.endCandidate(c, assigner.NotSent)
		return
	}
	if r.candidates == nil {
		r.candidates = make(map[*candidate]bool)
	}
	r.candidates[c] = true
	g.relocations.add(next, r)
	r.query.Excluded[next.Endpoint.ID] = true
	position := r.position
	r.mu.Unlock()
	resp, err := g.exchange(c.ctx, r.req, next, c.attempt, position)
	failure := candidateFailure{endpoint: next.Endpoint.ID}
	result := assigner.CallerGone
	switch {
	case err != nil:
		var isNotRun bool
		result, isNotRun = failureOutcome(c.ctx, r.req, err)
		failure.isUnreachable, failure.mayHaveRun = isNotRun && result != assigner.NotSent, !isNotRun
	default:
		c.response = resp
		if result, err = r.check(resp); err != nil {
			failure.isRefused = result == assigner.Refused || result == assigner.AddressReused
			failure.mayHaveRun = !failure.isRefused
		}
	}
	g.relocations.remove(next, r)
	r.mu.Lock()
	delete(r.candidates, c)
	if err == nil {
		if r.keeper.RecordAccepted(c.isSuspect) {
			r.next = c
			r.cancel()
			r.endOthers()
			r.settle()
			r.mu.Unlock()
			g.Meter.CountRelocation("")
			event.RequestMoved.Log(g.Logger.WithFields(g.logFields(r.req)), log.Fields{
				"endpoint": r.choice.Endpoint.ID, "to": next.Endpoint.ID, "silent": g.Assigner.Silence(r.choice).Milliseconds(), "left": timeLeft.Milliseconds(),
			})
			return
		}
		failure.mayHaveRun, result = true, assigner.CallerGone
	} else {
		r.keeper.RecordFailed(failure.mayHaveRun, c.isSuspect)
	}
	if !c.isCounted {
		r.failures = append(r.failures, failure)
	}
	r.settle()
	r.mu.Unlock()
	if result == assigner.Failed && c.attempt.sentTo.Load() != nil {
		g.checkCrash(&next.Endpoint, r.req.features)
	}
	g.endCandidate(c, result)
	if err != nil && c.ctx.Err() == nil {
		g.Meter.CountRelocation(reasonFailed)
		event.MoveFailed.Log(g.Logger.WithFields(g.logFields(r.req)).WithError(err), log.Fields{
			"endpoint": r.choice.Endpoint.ID, "to": next.Endpoint.ID, "silent": g.Assigner.Silence(r.choice).Milliseconds(),
		})
	}
}

// endOthers ends the candidates after one of them has taken over. They may have run the request, and are counted before their
// ends are known, since the request does not wait for them. The caller must hold r.mu.
func (r *relocation) endOthers() {
	for c := range r.candidates {
		c.isCounted = true
		r.failures = append(r.failures, candidateFailure{endpoint: c.choice.Endpoint.ID, mayHaveRun: true})
		c.cancel()
	}
}

// check returns an error if the response of a candidate cannot take the place of that of the attempt, and the outcome for
// the endpoint.
func (r *relocation) check(resp *endpointResponse) (assigner.Outcome, error) {
	if info := resp.info; info.NotRun || impliesNotRun(resp.Status) {
		return refusal(resp.Status, info)
	}
	r.mu.Lock()
	hasStarted, kind := r.hasStarted, r.kind
	r.mu.Unlock()
	if resp.Status >= http.StatusInternalServerError || hasStarted && resp.Status != http.StatusOK {
		return outcomeOfStatus(resp.Status), &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: "status " + strconv.Itoa(resp.Status)}
	}
	if r.req.route.Kind == fleetconfig.Stream && hasStarted {
		if err := kind.check(resp); err != nil {
			return assigner.Failed, err
		}
	}
	return assigner.Served, nil
}

// endCandidate ends an attempt that does not take the place of another one, and releases its endpoint.
func (g *Gateway) endCandidate(c *candidate, result assigner.Outcome) {
	c.stopWithdrawal()
	c.cancel()
	if c.response != nil {
		_ = c.response.Close()
	}
	g.attempts.remove(c.attempt)
	g.Assigner.Release(c.choice, result)
	g.holder.Wake()
}
