package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/chargedreader"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

// freshWait is the least time that a read waits for bytes that have just been sent. Others may have been left unread for a slow
// caller.
const freshWait = time.Millisecond

// receivedEvents returns the number of complete events that the current attempt has received.
func (s *requestState) receivedEvents() int {
	return s.sequencer.Received() - s.receivedBefore
}

// forwardStream forwards the events of a stream as they arrive.
func (g *Gateway) forwardStream(ctx context.Context, req *request, state *requestState, resp *endpointResponse) (assigner.Outcome, bool) {
	state.mayHaveRun++
	if state.headerSent {
		if err := state.kind.check(resp); err != nil {
			state.lastErr = &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Message: err.Error()}
			return assigner.Failed, false
		}
	}
	state.sequencer.DiscardPartial()
	hasEvents := false
	forward := func(events []byte) (ok bool) {
		if len(events) == 0 {
			return true
		}
		hasEvents = true
		writeErr := g.forwardEvents(ctx, req, state, resp, events)
		if writeErr != nil {
			state.recordWriteError(writeErr)
		}
		return writeErr == nil
	}
	buf := make([]byte, streamBufferBytes)
	for {
		readAt := time.Now()
		n, err := resp.Read(buf)
		if n > 0 {
			out, seqErr := state.sequencer.Feed(buf[:n])
			g.recordProgress(req, state)
			state.relocation.recordProgress(state, time.Since(readAt) >= freshWait)
			if !forward(out) {
				return assigner.CallerGone, false
			}
			if seqErr != nil {
				err = seqErr
			}
			if !state.chargePartial(req.account) {
				state.lastErr = chargedreader.ErrRefused
				return assigner.CallerGone, false
			}
		}
		isWhole := errors.Is(err, io.EOF) && !state.sequencer.HasPartial()
		if isWhole && !forward(state.sequencer.TakeHeld()) {
			return assigner.CallerGone, false
		}
		switch {
		case isWhole && (hasEvents || resp.IsFramed):
			if !state.headerSent {
				g.startStream(req, state, resp)
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

// DifferentStreamError reports a successful response that does not continue the stream that has begun.
type DifferentStreamError struct {
	Got, Want ContentType
}

// Error names both content types.
func (e *DifferentStreamError) Error() string {
	return fmt.Sprintf("response with content type %q does not continue a stream with %q", e.Got, e.Want)
}

// ContentType is a media type without its parameters, in lower case.
type ContentType string

func contentType(h http.Header) ContentType {
	name, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return ContentType(strings.ToLower(strings.TrimSpace(name)))
}

// streamKind is what all responses that make up one stream have in common.
type streamKind struct {
	contentType ContentType
}

// check returns an error if a response cannot continue a stream of this kind.
func (k streamKind) check(resp *endpointResponse) error {
	if got := contentType(resp.Header); got != k.contentType {
		return &DifferentStreamError{Got: got, Want: k.contentType}
	}
	return nil
}

// startStream sends the response header when the first event has arrived, or the end of an empty stream.
func (g *Gateway) startStream(req *request, state *requestState, resp *endpointResponse) {
	state.headerSent = true
	state.kind = streamKind{contentType: contentType(resp.Header)}
	state.release = resp.info.Release
	state.relocation.setStarted(state)
	state.timeToFirstEvent = time.Since(req.arrivedAt)
	g.Meter.ObserveFirstEvent(state.timeToFirstEvent)
	g.writeHeader(req, resp.Status, resp.Header, -1)
}

// forwardEvents sends complete events to the caller.
func (g *Gateway) forwardEvents(ctx context.Context, req *request, state *requestState, resp *endpointResponse, out []byte) error {
	if !state.headerSent {
		g.startStream(req, state, resp)
	}
	now := time.Now()
	state.onEvent()
	if !state.lastEventAt.IsZero() {
		state.maxGap = max(state.maxGap, now.Sub(state.lastEventAt))
	}
	state.lastEventAt = now
	return state.relay.write(ctx, out)
}
