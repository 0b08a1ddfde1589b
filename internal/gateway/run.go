package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/sequencer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	copyBufferBytes = 16 << 10
	// streamBufferBytes is the size of the buffer for reading a stream, of which there are hundreds at once: about as much
	// as the sender buffers.
	streamBufferBytes = 4 << 10
	// maxBufferedBytes limits the responses that are read in full before their header is sent, so that an incomplete
	// one can still be reported as a failure.
	maxBufferedBytes = 1 << 20
	// maxRefusals is the number of endpoints that may refuse a request as not run before the caller gets a refusal.
	maxRefusals = 3
	// maxResponseTime is the approximate longest response time of a busy engine.
	maxResponseTime = 2500 * time.Millisecond
	// maxEndpointWait limits the wait for endpoints to recover to half the time that a retrying caller typically has
	// left. endpointWaitInterval is the time between two checks.
	maxEndpointWait      = 2 * time.Second
	endpointWaitInterval = 25 * time.Millisecond
	// maxUnreachable is the number of unreachable endpoints after which a request is not sent to another one.
	maxUnreachable = 4
)

// budgetExhausted means that an endpoint was chosen for a request that waits, but that the retry budget has no token.
const budgetExhausted assigner.Refusal = "retry-budget"

// requestState is the progress of one request over its attempts.
type requestState struct {
	// tried holds the ids of the endpoints that were tried.
	tried map[string]bool
	// mayHaveRun counts the endpoints that may have run the request, refused those that reported that they did not,
	// and unreachable those that received nothing.
	mayHaveRun, refused, unreachable int
	// heldUp counts the endpoints that were passed over because they have too many bytes to read.
	heldUp int
	// refusedAt is set if endpoints have refused the request and it waits for others. Only endpoints that are known to be
	// there after that time are tried then, each of them with a token of the retry budget: after a loss of power, the
	// entries of all endpoints are outdated for a while.
	refusedAt time.Time
	// lastErr is the failure of the latest attempt.
	lastErr error
	// heldResponse is an endpoint's error response, kept for the caller while the request is retried elsewhere.
	heldResponse *bufferedResponse
	// ready is the complete response for the caller, which is written once the endpoint has been released.
	ready *bufferedResponse
	// chargedPartial is the part of an incomplete event that is charged.
	chargedPartial int
	// relay passes the response on to the caller. onDelivered is called when it has been written completely.
	relay       relay
	onDelivered func()
	// sequencer checks and joins the events of a stream across attempts. headerSent is set once the caller has been
	// sent a response header.
	sequencer  sequencer.Sequencer
	headerSent bool
	// kind is that of the response with which the stream began.
	kind streamKind
	// responseStatus is the status of the response to the current attempt, or zero before its header has arrived.
	// receivedBefore is the number of events that earlier attempts received.
	responseStatus, receivedBefore int
	// attempt is the current attempt, and outcome its outcome for the endpoint. isHarmless is set if the attempt does not
	// crash its endpoint, and hasCrashed if the endpoint has crashed.
	attempt                *attempt
	outcome                assigner.Outcome
	isHarmless, hasCrashed bool
	// check finds out whether the endpoint of the attempt has crashed; nil if it did not lose the request.
	check *crashCheck
	// relocation looks for another endpoint if that of the current attempt may be gone. next is the attempt that takes the
	// place of the current one, or nil, and isAbandoned is set if the request was ended instead.
	relocation  *relocation
	next        *candidate
	isAbandoned bool
	// response is that of the current attempt if it began as a candidate.
	response *endpointResponse
	// isFinal is set once no other endpoint can continue the response: a part of a large one has been sent, or the caller
	// has left.
	isFinal bool
	// abortReason is the reason for which the response is ended and what is queued for the caller is discarded.
	abortReason string
	// release is the release that the stream began on; zero if it is unknown.
	release fleetconfig.Release
	// timeToFirstEvent is the time to the first event of the stream, and maxGap the longest time between two events.
	timeToFirstEvent, maxGap time.Duration
	lastEventAt              time.Time
	// sentAt is when the current attempt began.
	sentAt time.Time
	// load is the load of the current endpoint when it was chosen.
	load assigner.Load
	// noRetry says that a retry has no prospect of success.
	noRetry bool
	// resumeIn is the time until the first endpoint takes requests again, if all have asked for a pause or limit them.
	resumeIn time.Duration
	// refusalDetails is this host's view of the endpoints when it found none for the request, for the log.
	refusalDetails log.Fields
	// onEvent notifies the assigner that the current endpoint has sent an event.
	onEvent func()
	// stopWithdrawal ends the withdrawal of the current attempt at the cutoff of its release.
	stopWithdrawal func()
	// predictedFirstEvent is the predicted time to the first event of the current endpoint.
	predictedFirstEvent time.Duration
}

// runAttempts tries endpoints until the request is served or no further attempt is allowed.
func (g *Gateway) runAttempts(ctx context.Context, req *request) {
	state := &requestState{tried: make(map[string]bool)}
	state.sequencer.LastID, state.sequencer.LastIDKnown, state.sequencer.HoldsUnnumbered = req.After, req.HasAfter, req.route.MayRepeat()
	state.relay = relay{w: req.w, ctl: http.NewResponseController(req.w), account: req.account, onSlow: func() {
		event.CallerReadsSlowly.Log(g.Logger.WithFields(g.logFields(req)), nil)
	}}
	defer func() {
		if state.attempt != nil {
			g.attempts.remove(state.attempt)
		}
	}()
	g.recordArrival(req)
	defer state.relay.stop()
	defer func() {
		if state.next != nil {
			g.endCandidate(state.next, assigner.CallerGone)
		}
	}()
	for {
		if state.headerSent && state.release > 0 && state.release < g.OldestRelease(req.Model) {
			// A stream can only resume on the release that it began on, and no request may begin on that any more.
			g.endUnserved(ctx, req, state, "release-over")
			return
		}
		next := state.takeNext()
		if next == nil {
			next = &candidate{}
			next.ctx, next.cancel = context.WithCancel(ctx)
			mayBegin := false
			if next.attempt, mayBegin = g.beginAttempt(req, next.cancel); !mayBegin {
				state.attempt = next.attempt
				next.cancel()
				g.endUnserved(ctx, req, state, reasonQuarantined)
				return
			}
		}
		state.attempt, state.response = next.attempt, next.response
		attemptCtx, cancel, choice := next.ctx, next.cancel, next.choice
		if choice == nil {
			query := g.assignerQuery(req, state)
			var refusal assigner.Refusal
			if choice, refusal = g.assign(attemptCtx, req, &query); refusal == "" && !state.refusedAt.IsZero() && !g.RetryBudget.SpendRetry() {
				g.Assigner.Release(choice, assigner.NotSent)
				refusal = budgetExhausted
			}
			if refusal != "" {
				cancel()
				g.attempts.remove(state.attempt)
				if (refusal == assigner.NoEndpoint || refusal == budgetExhausted) && g.waitForEndpoints(ctx, req, state) {
					continue
				}
				g.endUnassigned(ctx, req, state, query, refusal)
				return
			}
		}
		state.tried[choice.Endpoint.ID] = true
		g.recordAssigned(req, choice)
		state.load, state.predictedFirstEvent = choice.Load, choice.PredictedFirstEvent
		state.onEvent = func() { g.Assigner.RecordFirstEvent(choice) }
		g.Logger.WithFields(g.logFields(req)).WithFields(log.Fields{
			"endpoint": choice.Endpoint.ID, "load": choice.Load.Requests, "unread": choice.Load.PendingPromptTokens,
			"first": choice.PredictedFirstEvent.Milliseconds(), "attempt": len(state.tried),
		}).Debug("request sent")
		if state.stopWithdrawal = next.stopWithdrawal; state.stopWithdrawal == nil {
			state.stopWithdrawal = g.withdrawAtCutoff(req, choice, cancel)
		}
		if state.sentAt = next.sentAt; state.sentAt.IsZero() {
			state.sentAt = time.Now()
		}
		isDone := g.tryEndpoint(ctx, attemptCtx, cancel, req, state, choice)
		state.stopWithdrawal()
		cancel()
		reason := g.endAttempt(ctx, req, state, isDone)
		if isDone {
			g.deliver(req, state)
			return
		}
		if state.lastErr != nil {
			f := g.logFields(req)
			f["endpoint"], f["cause"], f["load"], f["sent"] = choice.Endpoint.ID, state.lastErr.Error(), choice.Load.Requests, state.mayHaveRun
			if choice.Release > 0 {
				f["release"] = int64(choice.Release)
			}
			f["header"], f["events"] = state.responseStatus > 0, state.receivedEvents()
			f["since"], f["silent"] = time.Since(state.sentAt).Milliseconds(), g.Assigner.Silence(choice).Milliseconds()
			if state.hasCrashed {
				f["features"] = featureList(req.features)
			}
			event.AttemptFailed.Log(g.Logger.WithFields(f), nil)
		}
		if reason == "" && state.isAbandoned && ctx.Err() == nil {
			reason = reasonStalled
		}
		if reason != "" {
			g.endUnserved(ctx, req, state, reason)
			return
		}
		if state.next != nil && ctx.Err() == nil && !state.isFinal {
			continue
		}
		if !g.mayRetry(ctx, req, state) {
			if !g.waitForEndpoints(ctx, req, state) {
				g.endUnserved(ctx, req, state, state.failureReason())
				return
			}
			if state.refused > 0 {
				state.refusedAt = time.Now()
			}
		}
	}
}

// takeNext returns the attempt that takes the place of the last one, or nil.
func (s *requestState) takeNext() *candidate {
	next := s.next
	s.next = nil
	return next
}

// endUnassigned ends a request for which no endpoint was found.
func (g *Gateway) endUnassigned(ctx context.Context, req *request, state *requestState, query assigner.Query, refusal assigner.Refusal) {
	snapshot := g.Assigner.Snapshot(query)
	state.refusalDetails = refusalFields(snapshot, query.TimeLeft)
	switch refusal {
	case assigner.Overload:
		g.recordOverload(req, state, query, snapshot.ReservedSlots)
	case assigner.Paused:
		state.resumeIn = snapshot.EarliestResume
	case assigner.Limited:
		// All hosts compete for the next permit, so that it is not the time at which this caller will be served.
		state.resumeIn = max(snapshot.EarliestResume, g.RetryAfter(req.Remaining-time.Since(req.arrivedAt)))
	}
	if state.heldUp > 0 {
		refusal = assigner.Refusal(reasonMemory)
	}
	g.endUnserved(ctx, req, state, string(refusal))
}

// endUnserved ends a request for which no further attempt is made.
func (g *Gateway) endUnserved(ctx context.Context, req *request, state *requestState, reason string) {
	if req.r.Context().Err() != nil {
		g.logIncomplete(req, event.CallerDisconnected, "caller", state.lastErr)
		panic(http.ErrAbortHandler)
	}
	switch {
	case state.headerSent:
		if state.abortReason != "" {
			reason = state.abortReason
		} else {
			// What has arrived is still of use to the caller. The end of the response is missing.
			_ = state.relay.finish(req.r.Context())
		}
		g.logIncomplete(req, event.ResponseAborted, reason, state.lastErr)
		g.Meter.CountTruncated(reason)
		panic(http.ErrAbortHandler)
	case state.heldResponse != nil:
		g.writeResponse(req, state.heldResponse.status, state.heldResponse.header, state.heldResponse.body)
	case reason == reasonQuarantined || reason == reasonSuspect:
		g.refuse(req, g.suspectRejection(req, state, reason))
	case reason == reasonStalled:
		g.refuse(req, rejection{status: http.StatusGatewayTimeout, reason: reason, cause: errorText(state.lastErr)})
	case state.mayHaveRun > 0 && ctx.Err() != nil:
		g.refuse(req, rejection{status: http.StatusGatewayTimeout, reason: "deadline", cause: errorText(state.lastErr)})
	case state.mayHaveRun > 0:
		g.refuse(req, rejection{status: http.StatusBadGateway, reason: "lost", cause: errorText(state.lastErr)})
	default:
		remaining := req.Remaining - time.Since(req.arrivedAt)
		retryAfter := g.RetryAfter(remaining)
		if reason == reasonRestricted || state.noRetry {
			retryAfter = 0
		}
		if state.resumeIn > 0 && state.resumeIn < remaining {
			retryAfter = state.resumeIn
		}
		g.refuse(req, rejection{status: http.StatusServiceUnavailable, reason: reason, retryAfter: retryAfter, cause: errorText(state.lastErr), details: state.refusalDetails})
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
