package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// tryEndpoint makes one attempt, and then releases the endpoint, even if the attempt panics to abort the caller's
// connection. It reports whether the caller has got the complete response.
func (g *Gateway) tryEndpoint(ctx context.Context, cancel context.CancelFunc, req *request, state *requestState, choice *assigner.Assignment) (isDone bool) {
	result := assigner.CallerGone // unless sendAttempt returns
	g.beginRelocation(ctx, cancel, req, state, choice)
	defer func() {
		state.next, state.isAbandoned = state.relocation.end()
		g.Assigner.Release(choice, result)
		g.holder.Wake()
	}()
	state.sentAt = time.Now()
	result, isDone = g.sendAttempt(ctx, req, state, choice)
	if result == assigner.CallerGone && hasTimedOut(ctx, req, state) {
		result = assigner.TimedOut
	}
	state.outcome = result
	return isDone
}

// hasTimedOut reports whether an attempt ended because the endpoint did not respond in the time for the request. An attempt
// that had less time than the objective of the route says nothing about the endpoint.
func hasTimedOut(ctx context.Context, req *request, state *requestState) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) && req.r.Context().Err() == nil && state.receivedEvents() == 0 && time.Since(state.sentAt) >= req.route.Objective
}

// sendAttempt makes one attempt. It returns the result for the endpoint, and whether the caller has got the complete
// response.
func (g *Gateway) sendAttempt(ctx context.Context, req *request, state *requestState, choice *assigner.Assignment) (assigner.Outcome, bool) {
	endpointReq := headercodec.EndpointRequest{Endpoint: choice.Endpoint.ID, Priority: endpointPriority(req, choice)}
	if req.org != nil {
		endpointReq.Organisation = req.org.Name
	}
	if state.headerSent {
		endpointReq.Release = state.release
	}
	if state.sequencer.LastIDKnown {
		endpointReq.After, endpointReq.HasAfter = state.sequencer.LastID, true
	}
	state.lastErr, state.responseStatus, state.receivedBefore = nil, 0, state.sequencer.Received()
	state.isHarmless, state.hasCrashed = false, false
	endSend, ok := req.account.BeginSend(choice.Endpoint.ID, len(req.body))
	if !ok {
		state.heldUp++
		state.lastErr = &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Memory, Message: "endpoint reads requests slowly"}
		event.EndpointReadsSlowly.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": choice.Endpoint.ID})
		return assigner.NotSent, false
	}
	sentAt := time.Now()
	resp, err := g.Sender.Send(ctx, sender.Attempt{
		Address: choice.Endpoint.Address, Method: req.r.Method, Target: req.r.RequestURI, Host: req.r.Host,
		Header: func() http.Header {
			if req.Remaining > 0 {
				endpointReq.Remaining = req.Remaining - time.Since(req.arrivedAt)
			}
			return g.Codec.EndpointHeader(req.r, endpointReq)
		},
		Body:        req.body,
		Matches:     func(h http.Header) bool { return g.Codec.IsResponseTo(req.ID, h) },
		BeforeWrite: func() outcome.Reason { return g.beforeWrite(req, state, choice) },
		OnWritten:   endSend,
	})
	if err != nil {
		endSend()
		return state.recordFailure(ctx, req, err), false
	}
	defer resp.Close()
	state.responseStatus = resp.Status
	info := g.Codec.ReadResponse(resp.Status, resp.Header)
	if !info.IsOtherEndpoint {
		g.recordHoldoff(req, choice.Endpoint, info)
		g.recordLimit(req, choice.Endpoint, info, sentAt)
	}
	switch {
	case info.NotRun:
		state.refused++
		state.lastErr = &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Message: "status " + strconv.Itoa(resp.Status)}
		if info.IsOtherEndpoint {
			return assigner.AddressReused, false
		}
		return assigner.Refused, false
	case impliesNotRun(resp.Status):
		// The endpoint does not confirm that it did not run the request, but callers would conclude so from these
		// statuses.
		state.mayHaveRun++
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: "status " + strconv.Itoa(resp.Status)}
		return outcomeOfStatus(resp.Status), false
	case resp.Status == http.StatusOK && req.route.Kind == fleetconfig.Stream:
		return g.forwardStream(ctx, req, state, resp, info)
	default:
		// Without events, the request has begun once its response header is there.
		state.stopWithdrawal()
		return g.forwardBuffered(ctx, req, state, resp)
	}
}

// recordHoldoff records what a response says about further requests to its endpoint.
func (g *Gateway) recordHoldoff(req *request, e fleetconfig.Endpoint, info headercodec.ResponseInfo) {
	if info.IsLeaving && g.Assigner.RecordLeaving(e) {
		event.EndpointLeaving.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": e.ID, "born": e.StartTime})
	}
	if info.InvalidPause != "" {
		event.EndpointPauseInvalid.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": e.ID, "pause": info.InvalidPause})
	}
	if info.Pause > 0 {
		g.Assigner.Pause(e, info.Pause)
		event.EndpointPaused.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": e.ID, "pause": info.Pause.Seconds()})
	}
}

// recordLimit records what a response says about the rate of requests that its endpoint takes. Without a limit it ends the
// one that was stated before.
func (g *Gateway) recordLimit(req *request, e fleetconfig.Endpoint, info headercodec.ResponseInfo, sentAt time.Time) {
	if info.InvalidLimit != "" {
		event.EndpointLimitInvalid.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": e.ID, "limit": info.InvalidLimit})
		return
	}
	if !info.IsLimited && !g.Assigner.Limit(e).IsKnown() {
		return
	}
	limit := fleetconfig.RateLimit{ID: rand.Uint64() | 1, IsLimited: info.IsLimited, Rate: info.RateLimit, SentAt: sentAt, ReceivedAt: time.Now()}
	if g.Assigner.RecordLimit(e, limit) {
		event.EndpointLimited.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": e.ID, "born": e.StartTime, "limited": info.IsLimited, "rate": float64(info.RateLimit)})
	}
}

// impliesNotRun reports whether callers conclude from the status that the request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// outcomeOfStatus returns the outcome of a complete response for the endpoint.
func outcomeOfStatus(status int) assigner.Outcome {
	if status >= http.StatusInternalServerError {
		return assigner.Errored
	}
	return assigner.Served
}

// recordFailure counts an attempt that got no response and returns its result for the endpoint.
func (s *requestState) recordFailure(ctx context.Context, req *request, err error) assigner.Outcome {
	s.lastErr = err
	var o *outcome.Error
	isNotRun := errors.As(err, &o) && o.Kind == outcome.NotRun
	if isNotRun && (o.Reason == outcome.Restricted || o.Reason == outcome.NoPermit) {
		return assigner.NotSent
	}
	isUnreachable := isNotRun
	if isUnreachable {
		s.unreachable++
	} else {
		s.mayHaveRun++
	}
	// A deadline may have passed before its context has ended.
	if req.r.Context().Err() != nil || ctx.Err() != nil || isNotRun && o.Reason == outcome.Deadline {
		return assigner.CallerGone
	}
	if isUnreachable {
		return assigner.Unreachable
	}
	return assigner.Failed
}
