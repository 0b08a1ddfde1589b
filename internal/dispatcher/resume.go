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

const readBytes = 32 << 10

// resumed is the body of a streamed answer of an engine. It passes on whole events only, and goes on at another
// endpoint with the same weight set when a connection is cut. At its end it returns io.EOF only after the end mark.
type resumed struct {
	ctx        context.Context
	dispatcher *Dispatcher
	pass       *pass
	body       io.ReadCloser
	resumer    *resumer.Resumer
	ready      []byte
	buf        []byte
	err        error
}

func newResumed(ctx context.Context, d *Dispatcher, p *pass, set ident.WeightSet, resp *http.Response) io.ReadCloser {
	if p.job.Deployment.Spec.Kind != catalog.KindEngine {
		return resp.Body
	}
	p.sets = []ident.WeightSet{set}
	r := &resumed{
		ctx: ctx, dispatcher: d, pass: p, body: resp.Body, resumer: &resumer.Resumer{ID: p.job.ID}, buf: make([]byte, readBytes),
	}
	r.seal(resp)
	return r
}

// Read returns whole events.
func (r *resumed) Read(p []byte) (int, error) {
	for len(r.ready) == 0 && r.err == nil {
		r.fill()
	}
	if len(r.ready) == 0 {
		return 0, r.err
	}
	n := copy(p, r.ready)
	r.ready = r.ready[n:]
	return n, nil
}

func (r *resumed) fill() {
	n, err := r.body.Read(r.buf)
	if r.resumer.Done() {
		// The answer is whole. The read to its very end lets the connection be used again.
		r.dispatcher.Quarantiner.Clear(r.pass.job.Digest)
		r.err = io.EOF
		return
	}
	events, bad := r.resumer.Feed(r.buf[:n])
	r.ready = events
	switch {
	case r.resumer.Done():
	case bad != nil:
		r.reopen(bad)
	case err != nil:
		r.reopen(err)
	}
}

// reopen lets the answer go on at another endpoint, or sets the error that breaks it.
func (r *resumed) reopen(cause error) {
	_ = r.body.Close()
	d := r.dispatcher
	if death := r.resumer.Death(); death != "" {
		d.Quarantiner.Blame(death, []quarantiner.Digest{r.pass.job.Digest})
	}
	cut := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Cut, Text: "streamed answer was cut: " + cause.Error()}
	if errors.Is(cause, io.EOF) {
		cut.Text = "streamed answer ended without its end mark"
	}
	r.err = cut
	if r.ctx.Err() != nil || !r.resumer.Resumable() || !r.pass.again(cut) {
		return
	}
	job, err := resumeJob(r.pass.job, r.resumer.Tokens())
	if err != nil {
		return
	}
	resp, err := r.next(job)
	if err != nil {
		return
	}
	event.StreamResumed.Log(d.Logger, log.Fields{"request": job.ID, "token": r.resumer.Tokens(), "cause": cause.Error()})
	r.body = resp.Body
	r.resumer.Restart()
	r.seal(resp)
	r.err = nil
}

// seal keeps an answer of an engine that anyone may order from going on elsewhere.
func (r *resumed) seal(resp *http.Response) {
	if resp.Header.Get(headers.Unfenced) != "" {
		r.resumer.Seal()
	}
}

func (r *resumed) next(j Job) (*http.Response, error) {
	whole := r.pass.job
	r.pass.job = j
	resp, set, err := r.dispatcher.attempt(r.ctx, r.pass)
	r.pass.job = whole
	if err != nil {
		return nil, err
	}
	if !isStream(resp) || ident.WeightSet(resp.Header.Get(headers.Set)) != set {
		_ = resp.Body.Close()
		return nil, &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Mismatch, Text: "answer cannot go on with another weight set"}
	}
	return resp, nil
}

// Close ends the answer.
func (r *resumed) Close() error {
	return r.body.Close()
}

// resumeJob returns the job that asks for the rest of an answer after a number of tokens.
func resumeJob(j Job, tokens int) (Job, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(j.Body, &fields); err != nil {
		return j, err
	}
	at, err := json.Marshal(j.Resume + tokens)
	if err != nil {
		return j, err
	}
	fields["resume"] = at
	j.Body, err = json.Marshal(fields)
	return j, err
}
