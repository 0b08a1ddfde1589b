package dispatcher

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resumer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const readBufferBytes = 32 << 10

// resumableBody is the body of an engine's streamed response. It passes on only complete events, and resumes at another
// endpoint with the same weight set when the connection breaks. It returns io.EOF only after the final "[DONE]" event.
type resumableBody struct {
	ctx        context.Context
	dispatcher *Dispatcher
	state      *requestState
	body       io.ReadCloser
	resumer    *resumer.Resumer
	// ready holds complete events that were not read yet.
	ready []byte
	buf   []byte
	err   error
}

// newResumableBody returns the body of a streamed response. Only the streams of engines can resume; the body of a plain
// service is returned unchanged.
func newResumableBody(ctx context.Context, d *Dispatcher, s *requestState, set ident.WeightSet, resp *http.Response) io.ReadCloser {
	if s.request.Deployment.Spec.Kind != catalog.KindEngine {
		return resp.Body
	}
	s.weightSets, s.isPinned = []ident.WeightSet{set}, true
	r := &resumableBody{
		ctx: ctx, dispatcher: d, state: s, body: resp.Body, resumer: &resumer.Resumer{ID: s.request.ID}, buf: make([]byte, readBufferBytes),
	}
	r.forbidResumeIfUnfenced(resp)
	return r
}

// Read reads from the complete events of the stream.
func (r *resumableBody) Read(p []byte) (int, error) {
	for len(r.ready) == 0 && r.err == nil {
		r.readEvents()
	}
	if len(r.ready) == 0 {
		return 0, r.err
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

func (r *resumableBody) readEvents() {
	n, err := r.body.Read(r.buf)
	if r.resumer.Done() {
		// The response is complete. It was read to the end so that the connection can be reused.
		r.dispatcher.Quarantiner.ClearCrashes(r.state.request.Digest)
		r.err = io.EOF
		return
	}
	events, invalid := r.resumer.Feed(r.buf[:n])
	r.ready = events
	switch {
	case r.resumer.Done():
	case invalid != nil:
		r.resume(invalid)
	case err != nil:
		r.resume(err)
	}
}

// resume continues the response at another endpoint, or sets the error that ends it.
func (r *resumableBody) resume(cause error) {
	_ = r.body.Close()
	d := r.dispatcher
	if crash := r.resumer.Crash(); crash != "" {
		d.Quarantiner.RecordCrash(crash, []quarantiner.RequestDigest{r.state.request.Digest})
	}
	interrupted := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Truncated, Message: "streamed answer was cut: " + cause.Error()}
	if errors.Is(cause, io.EOF) {
		interrupted.Message = "streamed answer ended without its end mark"
	}
	r.err = interrupted
	if r.ctx.Err() != nil || !r.resumer.Resumable() || !r.state.shouldRetry(interrupted) {
		return
	}
	req, err := resumeRequest(r.state.request, r.resumer.Tokens())
	if err != nil {
		return
	}
	resp, err := r.sendRest(req)
	if err != nil {
		return
	}
	event.StreamResumed.Log(d.Logger, log.Fields{"request": req.ID, "token": r.resumer.Tokens(), "cause": cause.Error()})
	r.body = resp.Body
	r.resumer.DiscardPartial()
	r.forbidResumeIfUnfenced(resp)
	r.err = nil
}

// forbidResumeIfUnfenced prevents the response from being resumed elsewhere if its engine does not check fencing
// tokens. Such an engine may have changed its weights during the response.
func (r *resumableBody) forbidResumeIfUnfenced(resp *http.Response) {
	if resp.Header.Get(headers.Unfenced) != "" {
		r.resumer.ForbidResume()
	}
}

// sendRest sends the request for the rest of the response.
func (r *resumableBody) sendRest(req Request) (*http.Response, error) {
	original := r.state.request
	r.state.request = req
	resp, set, err := r.dispatcher.tryEndpoints(r.ctx, r.state)
	r.state.request = original
	if err != nil {
		return nil, err
	}
	if !isStream(resp) || ident.WeightSet(resp.Header.Get(headers.WeightSet)) != set {
		_ = resp.Body.Close()
		return nil, &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Message: "answer cannot go on with another weight set"}
	}
	return resp, nil
}

// Close closes the response of the current endpoint.
func (r *resumableBody) Close() error {
	return r.body.Close()
}

// resumeRequest returns the request for the rest of a response of which the given number of tokens was received.
func resumeRequest(req Request, tokens int) (Request, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(req.Body, &fields); err != nil {
		return req, err
	}
	received, err := json.Marshal(req.ResumeTokens + tokens)
	if err != nil {
		return req, err
	}
	fields["resume"] = received
	req.Body, err = json.Marshal(fields)
	return req, err
}
