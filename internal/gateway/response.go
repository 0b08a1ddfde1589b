package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/chargedreader"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// bufferedResponse is a response that has been read in full.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// forwardBuffered reads the response in full and then forwards it.
func (g *Gateway) forwardBuffered(ctx context.Context, req *request, state *requestState, resp *endpointResponse) (assigner.Outcome, bool) {
	state.mayHaveRun++
	limited, charged := io.LimitReader(resp, maxBufferedBytes+1), 0
	reader := chargedreader.Reader{Size: min(resp.Length, maxBufferedBytes), Limit: maxBufferedBytes, Grow: func(n int) bool {
		if n < 0 {
			req.account.AddResponse(n)
		} else if !req.account.GrowResponse(n) {
			return false
		}
		charged += n
		return true
	}}
	body, err := reader.ReadAll(limited)
	if errors.Is(err, chargedreader.ErrRefused) && !state.headerSent || err == nil && len(body) > maxBufferedBytes {
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
func (g *Gateway) forwardLarge(ctx context.Context, req *request, state *requestState, resp *endpointResponse, head []byte) (assigner.Outcome, bool) {
	if state.headerSent {
		state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: "response is not a stream"}
		return assigner.Failed, false
	}
	state.headerSent, state.isFinal, state.relay.isBody = true, true, true
	state.relocation.keep()
	g.writeHeader(req, resp.Status, resp.Header, resp.Length)
	readErr, writeErr := copyBody(ctx, &state.relay, resp.Response, head)
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
