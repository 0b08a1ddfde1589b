// Package forwarder sends a request over one hop and classifies how it ended.
package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	copyBytes    = 32 << 10
	defaultAfter = time.Second
	maxErrorText = 512
)

// errStalled cancels a request whose answer makes no progress.
var errStalled = errors.New("no progress of the answer in time")

// Forwarder sends requests. Set its fields before use.
type Forwarder struct {
	// HTTP sends the requests. It must not follow redirects.
	HTTP *http.Client
	// Backend marks the last hop: what the other side says of outcomes is not believed.
	Backend bool
}

// Call is one request on one hop.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   io.Reader
	Length int64
	// Wait bounds the time until the head of the answer; zero means no bound.
	Wait time.Duration
	// Stall bounds the time between two parts of the answer's body; zero means no bound.
	Stall time.Duration
}

// NewClient returns a client for one hop between hosts by IP number.
func NewClient() *http.Client {
	return newClient(false)
}

// NewFreshClient returns a client that uses a connection of its own for each request. So no request is lost because
// the other side closed an idle connection meanwhile.
func NewFreshClient() *http.Client {
	return newClient(true)
}

func newClient(fresh bool) *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DisableKeepAlives:   fresh,
	}
	return &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// once hides the type of a body, so that the transport cannot send a request a second time.
type once struct {
	io.Reader
}

// Send hands the request over. The caller must close the body of the answer.
// Every error is an *outcome.Error.
func (f *Forwarder) Send(ctx context.Context, c Call) (*http.Response, error) {
	body := c.Body
	if body == nil {
		body = http.NoBody
	}
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, once{body})
	if err != nil {
		cancel(nil)
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Text: err.Error()}
	}
	req.ContentLength = c.Length
	req.Header = c.Header
	var timer *time.Timer
	if c.Wait > 0 {
		timer = time.AfterFunc(c.Wait, func() { cancel(errStalled) })
	}
	resp, err := f.HTTP.Do(req)
	if timer != nil && !timer.Stop() && err == nil {
		_ = resp.Body.Close()
		err = errStalled
	}
	if err != nil {
		err = classify(ctx, err)
		cancel(nil)
		return nil, err
	}
	if !f.Backend && resp.Header.Get(headers.Outcome) == headers.NotRun {
		defer cancel(nil)
		return nil, refusal(resp)
	}
	resp.Body = &watched{ReadCloser: resp.Body, stall: c.Stall, cancel: cancel}
	return resp, nil
}

func classify(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, After: defaultAfter, Text: err.Error()}
	}
	o := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost, Text: err.Error()}
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		o.Reason = outcome.Stalled
	case ctx.Err() != nil:
		o.Reason = outcome.Deadline
	}
	return o
}

func refusal(resp *http.Response) error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	after := defaultAfter
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		after = time.Duration(s) * time.Second
	}
	offset, _ := strconv.ParseInt(resp.Header.Get(headers.Offset), 10, 64)
	return &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Reason(resp.Header.Get(headers.Reason)), After: after, Text: string(text),
		Serves: ident.WeightSet(resp.Header.Get(headers.Set)), Offset: ident.Offset(offset),
	}
}

// watched cancels the request of a body that makes no progress.
type watched struct {
	io.ReadCloser
	stall  time.Duration
	cancel context.CancelCauseFunc
}

// Read reads the next part.
func (w *watched) Read(p []byte) (int, error) {
	if w.stall == 0 {
		return w.ReadCloser.Read(p)
	}
	timer := time.AfterFunc(w.stall, func() { w.cancel(errStalled) })
	n, err := w.ReadCloser.Read(p)
	timer.Stop()
	return n, err
}

// Close closes the body and ends the request.
func (w *watched) Close() error {
	defer w.cancel(nil)
	return w.ReadCloser.Close()
}

// Copy streams a body to the caller, flushing after each read.
func Copy(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBytes)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			_ = rc.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
