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
	"github.com/nutmegdock/nutmegdock/internal/core/attributor"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// tryEndpoint makes one attempt, and then releases the endpoint, even if the attempt panics to abort the caller's
// connection. It reports whether the caller has got the complete response. requestCtx ends with the request.
func (g *Gateway) tryEndpoint(requestCtx, ctx context.Context, cancel context.CancelFunc, req *request, state *requestState, choice *assigner.Assignment) (isDone bool) {
	result := assigner.CallerGone // unless sendAttempt returns
	isOver := true
	g.beginRelocation(requestCtx, cancel, req, state, choice)
	defer func() {
		g.Assigner.Release(choice, result)
		g.holder.Wake()
		state.check = nil
		if result == assigner.Failed && !state.isHarmless && state.attempt.sentTo.Load() != nil {
			state.check = g.checkCrash(&choice.Endpoint, req.features)
		}
		state.relocation.end(state, isOver)
	}()
	result, isDone = g.sendAttempt(ctx, req, state, choice)
	isOver = isDone || state.isFinal || state.attempt.isQuarantined.Load() || requestCtx.Err() != nil
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
	state.lastErr, state.responseStatus, state.receivedBefore = nil, 0, state.sequencer.Received()
	state.isHarmless, state.hasCrashed = false, false
	resp := state.response
	if resp == nil {
		position := streamPosition{after: state.sequencer.LastID, hasAfter: state.sequencer.LastIDKnown}
		if state.headerSent {
			position.release = state.release
		}
		var err error
		if resp, err = g.exchange(ctx, req, choice, state.attempt, position); err != nil {
			return state.recordFailure(ctx, req, err), false
		}
		state.relocation.recordProgress(state, true)
	}
	defer resp.Close()
	state.responseStatus = resp.Status
	switch info := resp.info; {
	case info.NotRun || impliesNotRun(resp.Status):
		var err error
		var result assigner.Outcome
		if result, err = refusal(resp.Status, info); info.NotRun {
			state.refused++
		} else {
			state.mayHaveRun++
		}
		state.lastErr = err
		return result, false
	case resp.Status == http.StatusOK && req.route.Kind == fleetconfig.Stream:
		return g.forwardStream(ctx, req, state, resp)
	default:
		// Without events, the request has begun once its response header is there.
		state.stopWithdrawal()
		return g.forwardBuffered(ctx, req, state, resp)
	}
}

// streamPosition is the event after which an endpoint continues a stream, and the release that it began on; zero if it has
// not begun.
type streamPosition struct {
	after    int64
	hasAfter bool
	release  fleetconfig.Release
}

// endpointResponse is the response of an endpoint to a request, and what its head states.
type endpointResponse struct {
	*sender.Response
	info headercodec.ResponseInfo
}

// exchange sends a request to an endpoint and returns the header of its response. Its error is an outcome.Error, also for a
// response that is not that of the endpoint to the request: nothing else acts on such a response.
func (g *Gateway) exchange(ctx context.Context, req *request, choice *assigner.Assignment, a *attempt, p streamPosition) (*endpointResponse, error) {
	endpointReq := headercodec.EndpointRequest{
		Endpoint: choice.Endpoint.ID, Priority: endpointPriority(req, choice), Release: p.release, After: p.after, HasAfter: p.hasAfter,
	}
	if req.org != nil {
		endpointReq.Organisation = req.org.Name
	}
	endSend, ok := req.account.BeginSend(choice.Endpoint.ID, len(req.body))
	if !ok {
		event.EndpointReadsSlowly.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"endpoint": choice.Endpoint.ID})
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Memory, Message: "endpoint reads requests slowly"}
	}
	sentAt := time.Now()
	var info headercodec.ResponseInfo
	resp, err := g.Sender.Send(ctx, sender.Attempt{
		Address: choice.Endpoint.Address, Method: req.r.Method, Target: req.r.RequestURI, Host: req.r.Host,
		Header: func() http.Header {
			if req.Remaining > 0 {
				endpointReq.Remaining = req.Remaining - time.Since(req.arrivedAt)
			}
			return g.Codec.EndpointHeader(req.r, endpointReq)
		},
		Body: req.body,
		Check: func(status int, h http.Header) error {
			info = g.Codec.ReadResponse(status, h)
			return g.checkOrigin(req, status, info)
		},
		BeforeWrite: func() outcome.Reason { return g.beforeWrite(req, a, choice) },
		OnWritten:   endSend,
	})
	if err != nil {
		endSend()
		return nil, err
	}
	if !info.IsOtherEndpoint {
		g.recordHoldoff(req, choice.Endpoint, info)
		g.recordLimit(req, choice.Endpoint, info, sentAt)
	}
	return &endpointResponse{Response: resp, info: info}, nil
}

// checkOrigin returns an attributor.Error, and counts it, for a response that is not that of the endpoint to the request.
func (g *Gateway) checkOrigin(req *request, status int, info headercodec.ResponseInfo) error {
	err := attributor.Check(attributor.Origin{Status: status, IDs: info.IDs, Signed: info.Signed, IsEncoded: info.IsEncoded, NotRun: info.NotRun}, req.ID)
	var refused *attributor.Error
	if errors.As(err, &refused) {
		g.Meter.CountUnattributed(refused.Reason)
	}
	return err
}

// refusal returns the outcome for the endpoint, and the error, of a response that states or implies that the request has not
// run.
func refusal(status int, info headercodec.ResponseInfo) (assigner.Outcome, error) {
	err := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Message: "status " + strconv.Itoa(status)}
	switch {
	case !info.NotRun:
		// The endpoint does not confirm that it did not run the request, but callers would conclude so from these
		// statuses.
		err.Kind, err.Reason = outcome.Unknown, outcome.ConnectionLost
		return outcomeOfStatus(status), err
	case info.IsOtherEndpoint:
		return assigner.AddressReused, err
	default:
		return assigner.Refused, err
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
	switch result, isNotRun := failureOutcome(ctx, req, err); {
	case isReason(err, outcome.Memory):
		s.heldUp++
		return result
	case result == assigner.NotSent && !isReason(err, outcome.HostLimit):
		return result
	case isNotRun:
		s.unreachable++
		return result
	default:
		s.mayHaveRun++
		return result
	}
}

// failureOutcome returns the outcome for the endpoint of an attempt that got no response, and whether it was not run.
func failureOutcome(ctx context.Context, req *request, err error) (result assigner.Outcome, isNotRun bool) {
	var o *outcome.Error
	isNotRun = errors.As(err, &o) && o.Kind == outcome.NotRun
	switch {
	case isNotRun && (o.Reason == outcome.Restricted || o.Reason == outcome.NoPermit || o.Reason == outcome.Memory):
		return assigner.NotSent, true
	// A deadline may have passed before its context has ended.
	case req.r.Context().Err() != nil || ctx.Err() != nil || isNotRun && o.Reason == outcome.Deadline:
		return assigner.CallerGone, isNotRun
	case isNotRun && o.Reason == outcome.HostLimit:
		return assigner.NotSent, true
	case isNotRun:
		return assigner.Unreachable, true
	default:
		return assigner.Failed, false
	}
}

func isReason(err error, r outcome.Reason) bool {
	var o *outcome.Error
	return errors.As(err, &o) && o.Reason == r
}
