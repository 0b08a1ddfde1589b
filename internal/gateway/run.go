package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/sequencer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/sender"
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
	// responseStatus is the status of the response to the current attempt, or zero before its header has arrived.
	// receivedBefore is the number of events that earlier attempts received.
	responseStatus, receivedBefore int
	// attempt is the current attempt, and outcome its outcome for the endpoint. isHarmless is set if the attempt does not
	// crash its endpoint, and hasCrashed if the endpoint has crashed.
	attempt                attempt
	outcome                assigner.Outcome
	isHarmless, hasCrashed bool
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

// receivedEvents returns the number of complete events that the current attempt has received.
func (s *requestState) receivedEvents() int {
	return s.sequencer.Received() - s.receivedBefore
}

// bufferedResponse is a response that has been read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// runAttempts tries endpoints until the request is served or no further attempt is allowed.
func (g *Gateway) runAttempts(ctx context.Context, req *request) {
	state := &requestState{tried: make(map[string]bool)}
	state.sequencer.LastID, state.sequencer.LastIDKnown = req.After, req.HasAfter
	state.relay = relay{w: req.w, ctl: http.NewResponseController(req.w), account: req.account, onSlow: func() {
		event.CallerReadsSlowly.Log(g.Logger.WithFields(g.logFields(req)), nil)
	}}
	defer g.attempts.remove(&state.attempt)
	g.recordArrival(req)
	defer state.relay.stop()
	for {
		if state.headerSent && state.release > 0 && state.release < g.OldestRelease(req.Model) {
			// A stream can only resume on the release that it began on, and no request may begin on that any more.
			g.endUnserved(ctx, req, state, "release-over")
			return
		}
		attemptCtx, cancel := context.WithCancel(ctx)
		if !g.beginAttempt(req, state, cancel) {
			cancel()
			g.endUnserved(ctx, req, state, reasonQuarantined)
			return
		}
		query := g.assignerQuery(req, state)
		choice, refusal := g.assign(attemptCtx, req, &query)
		if refusal == "" && !state.refusedAt.IsZero() && !g.RetryBudget.SpendRetry() {
			g.Assigner.Release(choice, assigner.NotSent)
			refusal = budgetExhausted
		}
		if refusal != "" {
			cancel()
			if (refusal == assigner.NoEndpoint || refusal == budgetExhausted) && g.waitForEndpoints(ctx, req, state) {
				continue
			}
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
			return
		}
		state.tried[choice.Endpoint.ID] = true
		g.recordAssigned(req, choice)
		state.load, state.predictedFirstEvent = choice.Load, choice.PredictedFirstEvent
		state.onEvent = func() { g.Assigner.RecordFirstEvent(choice) }
		g.Logger.WithFields(g.logFields(req)).WithFields(log.Fields{
			"endpoint": choice.Endpoint.ID, "load": choice.Load.Requests, "unread": choice.Load.PendingPromptTokens,
			"first": choice.PredictedFirstEvent.Milliseconds(), "attempt": len(state.tried),
		}).Debug("request sent")
		state.stopWithdrawal = g.withdrawAtCutoff(req, choice, cancel)
		isDone := g.tryEndpoint(attemptCtx, req, state, choice)
		state.stopWithdrawal()
		cancel()
		reason := g.endAttempt(ctx, req, state, choice, isDone)
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
		if reason != "" {
			g.endUnserved(ctx, req, state, reason)
			return
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

// assign chooses an endpoint among a few candidates, whose load it queries first. While none of them can serve the
// request in time, it tries further ones, the last ones after a moment. It sets the endpoints that query chose from.
func (g *Gateway) assign(ctx context.Context, req *request, query *assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	if g.QueryLoads == nil {
		return g.assignWithPermit(ctx, query)
	}
	among := make(map[string]bool)
	query.AvoidsSuspects = true
	var refusal assigner.Refusal
	for round := range assigner.MaxRounds {
		if round == assigner.MaxRounds-1 && refusal == assigner.Overload {
			g.hold(ctx, req, query)
		}
		candidates := g.Assigner.Candidates(*query, among, round > 0)
		if len(candidates) == 0 || ctx.Err() != nil {
			break
		}
		query.Among = among
		g.QueryLoads(ctx, candidates, loadexchanger.Asker{
			Requester: assigner.Requester{Rank: query.Rank, Organisation: query.Organisation}, IsFirst: round == 0 && len(query.Excluded) == 0,
		})
		var choice *assigner.Assignment
		if choice, refusal = g.assignWithPermit(ctx, query); refusal == "" {
			return choice, ""
		}
	}
	if query.Among == nil {
		query.AvoidsSuspects = false
		// No endpoint could be queried. The assigner knows the reason.
		return g.assignWithPermit(ctx, query)
	}
	if refusal == assigner.Suspect {
		query.AvoidsSuspects = false
		return g.assignWithPermit(ctx, query)
	}
	return nil, refusal
}

// assignWithPermit chooses an endpoint that may receive the request now. One that limits its requests, and for which there
// is no permit, is passed over until there may be one.
func (g *Gateway) assignWithPermit(ctx context.Context, query *assigner.Query) (*assigner.Assignment, assigner.Refusal) {
	for {
		choice, refusal := g.Assigner.Assign(*query)
		if refusal != "" || g.TakePermit == nil || !g.needsPermit(choice.Endpoint) {
			return choice, refusal
		}
		askedAt := time.Now()
		ok, wait := g.TakePermit(ctx, choice.Endpoint)
		if ok {
			choice.PermitAskedAt = askedAt
			return choice, ""
		}
		g.Assigner.RecordNoPermit(choice.Endpoint, wait)
		g.Assigner.Release(choice, assigner.NotSent)
	}
}

// tryEndpoint makes one attempt, and then releases the endpoint, even if the attempt panics to abort the caller's
// connection. It reports whether the caller has got the complete response.
func (g *Gateway) tryEndpoint(ctx context.Context, req *request, state *requestState, choice *assigner.Assignment) (isDone bool) {
	result := assigner.CallerGone // unless sendAttempt returns
	defer func() {
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

// waitForEndpoints waits a moment for endpoints to recover, such as engines that are loading after a power failure,
// and reports whether to try again. Only callers that retry after a refusal wait, since they do not retry a second
// time. A request does not wait if an endpoint may have run it, or if too little time would be left for a response.
func (g *Gateway) waitForEndpoints(ctx context.Context, req *request, state *requestState) bool {
	if req.earlierTime == 0 || state.mayHaveRun > 0 || time.Until(req.deadline) < maxResponseTime || time.Since(req.arrivedAt) > maxEndpointWait {
		return false
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(endpointWaitInterval):
		return true
	}
}

// assignerQuery returns the query for an endpoint for the next attempt. A stream that has begun stays on its release.
func (g *Gateway) assignerQuery(req *request, state *requestState) assigner.Query {
	query := assigner.Query{
		Pool: req.pool, Model: req.Model, PromptTokens: req.PromptTokens, ResponseTokens: req.ResponseTokens, Excluded: state.tried, BeginDeadline: g.BeginDeadline,
		MayUse: g.zoneFilter(req), Rank: req.rank, IsRepeatable: req.route.MayRepeat(), HasFailed: state.mayHaveRun > 0,
		TimeLeft: req.route.Objective - req.earlierTime - time.Since(req.arrivedAt), ConfirmedAfter: state.refusedAt,
	}
	if req.org != nil {
		query.Organisation = req.org.Name.Key()
	}
	if req.route.MayRepeat() {
		query.OnUnreachable = state.attempt.disconnect
	}
	if req.Model != "" {
		query.Release = g.OldestRelease(req.Model)
	}
	if state.headerSent {
		query.Release, query.ExactRelease = state.release, state.release > 0
	}
	return query
}

// mayRetry reports whether another endpoint may be tried. A retry consumes one token of the retry budget, unless the
// last endpoint could not be reached.
func (g *Gateway) mayRetry(ctx context.Context, req *request, state *requestState) bool {
	if ctx.Err() != nil || state.isFinal {
		return false
	}
	var o *outcome.Error
	if errors.As(state.lastErr, &o) && o.Kind == outcome.NotRun {
		switch o.Reason {
		case outcome.Unreachable:
			return state.unreachable < maxUnreachable
		case outcome.Restricted, outcome.NoPermit:
			return true // no endpoint has received the request
		case outcome.Memory:
			return state.heldUp < maxUnreachable
		}
		return state.refused < maxRefusals && state.mayHaveRun+state.refused < max(req.route.MaxAttempts, 1) && g.RetryBudget.SpendRetry()
	}
	return req.route.MayRepeat() && state.mayHaveRun < req.route.MaxAttempts && g.RetryBudget.SpendRetry()
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

// refusalFields returns the figures behind a refusal as log fields, with times in milliseconds.
func refusalFields(snapshot assigner.Snapshot, timeLeft time.Duration) log.Fields {
	return log.Fields{
		"left": timeLeft.Milliseconds(), "serving": snapshot.ServingEndpoints, "unusable": snapshot.UnusableEndpoints, "soonest": snapshot.EarliestFirstEvent.Milliseconds(),
		"restricted": snapshot.RestrictedEndpoints, "leaving": snapshot.LeavingEndpoints, "paused": snapshot.PausedEndpoints, "limited": snapshot.LimitedEndpoints, "ejected": snapshot.EjectedEndpoints,
		"reports": snapshot.ReportedEndpoints, "oldest": snapshot.OldestReport.Milliseconds(), "reserved": snapshot.ReservedSlots,
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// sendAttempt makes one attempt. It returns the result for the endpoint, and whether the caller has got the complete
// response.
func (g *Gateway) sendAttempt(ctx context.Context, req *request, state *requestState, choice *assigner.Assignment) (assigner.Outcome, bool) {
	endpointReq := headercodec.EndpointRequest{Endpoint: choice.Endpoint.ID, Priority: endpointPriority(req, choice)}
	if req.org != nil {
		endpointReq.Organisation = req.org.Name
	}
	if req.Remaining > 0 {
		endpointReq.Remaining = req.Remaining - time.Since(req.arrivedAt)
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
		Header: g.Codec.EndpointHeader(req.r, endpointReq), Body: req.body,
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
	if req.r.Context().Err() != nil || ctx.Err() != nil {
		return assigner.CallerGone
	}
	if isUnreachable {
		return assigner.Unreachable
	}
	return assigner.Failed
}

// forwardBuffered reads the response in full and then forwards it.
func (g *Gateway) forwardBuffered(ctx context.Context, req *request, state *requestState, resp *sender.Response) (assigner.Outcome, bool) {
	state.mayHaveRun++
	limited, charged := io.LimitReader(resp, maxBufferedBytes+1), 0
	body, err := readCharged(limited, resp.Length, func(n int) bool {
		ok := req.account.GrowResponse(n)
		if ok {
			charged += n
		}
		return ok
	})
	if errors.Is(err, errMemory) && !state.headerSent || err == nil && len(body) > maxBufferedBytes {
		req.account.AddResponse(-charged) // charged again as it is passed on
		return g.forwardLarge(ctx, req, state, resp, body)
	}
	if err != nil {
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: err.Error()}
		if ctx.Err() != nil {
			return assigner.CallerGone, false
		}
		return assigner.Failed, false
	}
	if state.headerSent {
		// The header of a stream has been sent, and this response does not continue the stream.
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: "status " + strconv.Itoa(resp.Status)}
		return assigner.Failed, false
	}
	if resp.Status >= http.StatusInternalServerError {
		state.heldResponse = &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: "status " + strconv.Itoa(resp.Status)}
		return outcomeOfStatus(resp.Status), false
	}
	state.ready = &bufferedResponse{status: resp.Status, header: resp.Header, body: body}
	return assigner.Served, true
}

// forwardLarge forwards a response that is too large to buffer.
func (g *Gateway) forwardLarge(ctx context.Context, req *request, state *requestState, resp *sender.Response, head []byte) (assigner.Outcome, bool) {
	if state.headerSent {
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: "response is not a stream"}
		return assigner.Failed, false
	}
	state.headerSent, state.isFinal, state.relay.isBody = true, true, true
	g.writeHeader(req, resp.Status, resp.Header, resp.Length)
	readErr, writeErr := copyBody(ctx, &state.relay, resp, head)
	switch {
	case readErr != nil:
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: readErr.Error()}
		if ctx.Err() != nil {
			return assigner.CallerGone, false
		}
		return assigner.Failed, false
	case writeErr != nil:
		state.recordWriteError(writeErr)
		return assigner.CallerGone, false
	}
	state.onDelivered = func() { g.recordResponse(req, nil, resp.Status) }
	return outcomeOfStatus(resp.Status), true
}

// recordWriteError records why an attempt's response can no longer be passed on to the caller.
func (s *requestState) recordWriteError(err error) {
	switch {
	case errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded):
		// Only the attempt has ended. All of its events that were read are queued, so another one can continue the stream.
		s.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: err.Error()}
		return
	case errors.Is(err, errSlowCaller):
		s.abortReason = reasonSlowCaller
	}
	s.isFinal = true
}

// deliver writes what is left of a complete response to the caller. The endpoint has been released, so that a caller that
// reads slowly does not occupy it.
func (g *Gateway) deliver(req *request, state *requestState) {
	if state.ready != nil {
		g.writeResponse(req, state.ready.status, state.ready.header, state.ready.body)
		return
	}
	if err := state.relay.finish(req.r.Context()); err != nil {
		g.logIncomplete(req, event.CallerDisconnected, "answer", err)
		panic(http.ErrAbortHandler)
	}
	state.onDelivered()
}

// writeHeader forwards a response header without its hop-by-hop fields. A negative length means that the length of the
// body is unknown.
func (g *Gateway) writeHeader(req *request, status int, h http.Header, length int64) {
	out := req.w.Header()
	for name, values := range h {
		out[name] = values
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding", "Trailer", "Upgrade", "Content-Length"} {
		out.Del(name)
	}
	if g.isShuttingDown.Load() {
		out.Set("Connection", "close")
	}
	if _, ok := h["Content-Type"]; !ok {
		// Prevents net/http from guessing a type.
		out["Content-Type"] = nil
	}
	if length >= 0 {
		out.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	req.w.WriteHeader(status)
}

// writeResponse forwards a buffered response.
func (g *Gateway) writeResponse(req *request, status int, h http.Header, body []byte) {
	g.writeHeader(req, status, h, int64(len(body)))
	if _, err := req.w.Write(body); err != nil {
		g.logIncomplete(req, event.CallerDisconnected, "answer", err)
		return
	}
	g.recordResponse(req, nil, status)
}

// recordResponse counts a complete response, and logs it if it is an error, late or sampled. state is nil unless the
// response was a stream.
func (g *Gateway) recordResponse(req *request, state *requestState, status int) {
	took := time.Since(req.arrivedAt)
	g.Meter.ObserveResponse(status, took)
	isLate := req.earlierTime+took > req.route.Objective
	if state != nil {
		isLate = req.earlierTime+state.timeToFirstEvent > req.route.Objective || state.maxGap > req.route.MaxEventGap && req.route.MaxEventGap > 0
	}
	if status >= http.StatusBadRequest || isLate || isSampled(req) {
		f := g.logFields(req)
		f["status"], f["late"] = status, isLate
		if state != nil {
			f["first"], f["gap"], f["load"], f["predicted"] = state.timeToFirstEvent.Milliseconds(), state.maxGap.Milliseconds(), state.load.Requests, state.predictedFirstEvent.Milliseconds()
			f["unread"] = state.load.PendingPromptTokens
		}
		event.RequestCompleted.Log(g.Logger.WithFields(f), nil)
	}
}

// isSampled selects one in sixteen successful requests for the log, the same ones on each host.
func isSampled(req *request) bool {
	const sampleInterval = 16
	return hashFraction(req.ID) < 1.0/sampleInterval
}

// forwardStream forwards the events of a stream as they arrive.
func (g *Gateway) forwardStream(ctx context.Context, req *request, state *requestState, resp *sender.Response, info headercodec.ResponseInfo) (assigner.Outcome, bool) {
	state.mayHaveRun++
	state.sequencer.DiscardPartial()
	hasEvents := false
	buf := make([]byte, streamBufferBytes)
	for {
		n, err := resp.Read(buf)
		if n > 0 {
			out, seqErr := state.sequencer.Feed(buf[:n])
			g.recordProgress(req, state)
			if len(out) > 0 {
				hasEvents = true
				if writeErr := g.forwardEvents(ctx, req, state, resp, info, out); writeErr != nil {
					state.recordWriteError(writeErr)
					return assigner.CallerGone, false
				}
			}
			if seqErr != nil {
				err = seqErr
			}
			if !state.chargePartial(req.account) {
				state.lastErr = errMemory
				return assigner.CallerGone, false
			}
		}
		switch {
		case errors.Is(err, io.EOF) && !state.sequencer.HasPartial() && (hasEvents || resp.IsFramed):
			if !state.headerSent {
				g.startStream(req, state, resp, info)
			}
			state.onDelivered = func() { g.recordResponse(req, state, resp.Status) }
			return assigner.Served, true
		case errors.Is(err, io.EOF):
			err = io.ErrUnexpectedEOF
		case err == nil:
			continue
		}
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: err.Error()}
		if ctx.Err() != nil {
			return assigner.CallerGone, false
		}
		return assigner.Failed, false
	}
}

// startStream sends the response header when the first event has arrived, or the end of an empty stream.
func (g *Gateway) startStream(req *request, state *requestState, resp *sender.Response, info headercodec.ResponseInfo) {
	state.headerSent = true
	state.release = info.Release
	state.timeToFirstEvent = time.Since(req.arrivedAt)
	g.Meter.ObserveFirstEvent(state.timeToFirstEvent)
	g.writeHeader(req, resp.Status, resp.Header, -1)
}

// forwardEvents sends complete events to the caller.
func (g *Gateway) forwardEvents(ctx context.Context, req *request, state *requestState, resp *sender.Response, info headercodec.ResponseInfo, out []byte) error {
	if !state.headerSent {
		g.startStream(req, state, resp, info)
	}
	now := time.Now()
	state.onEvent()
	if !state.lastEventAt.IsZero() {
		state.maxGap = max(state.maxGap, now.Sub(state.lastEventAt))
	}
	state.lastEventAt = now
	return state.relay.write(ctx, out)
}
