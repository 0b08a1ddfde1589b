// Package forwarder sends a request to the next process on its way and classifies the outcome.
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
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/roundtripper"
)

const (
	copyBufferBytes   = 32 << 10
	defaultRetryAfter = time.Second
	maxErrorTextBytes = 512
)

// errStalled is the cause for cancelling a request whose response makes no progress.
var errStalled = errors.New("no progress of the answer in time")

// Forwarder sends requests. Set its fields before use.
type Forwarder struct {
	// HTTP sends the requests. It must not follow redirects.
	HTTP *http.Client
	// IgnoreOutcome makes Send ignore outcome headers in responses. It is set for requests to a back end, which is not
	// trusted to set them.
	IgnoreOutcome bool
}

// Request is one request to the next process.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   io.Reader
	Length int64
	// HeaderTimeout bounds the time until the response header; zero means no timeout.
	HeaderTimeout time.Duration
	// StallTimeout bounds each read of the response body; zero means no timeout.
	StallTimeout time.Duration
}

// NewClient returns a client for requests to hosts that are addressed by IP address.
func NewClient() *http.Client {
	return newClient(false)
}

// NewSingleUseClient returns a client that opens a new connection for each request. No request is then lost because the
// server closed an idle connection in the meantime.
func NewSingleUseClient() *http.Client {
	return newClient(true)
}

func newClient(disableKeepAlives bool) *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
		DisableKeepAlives:   disableKeepAlives,

		MaxResponseHeaderBytes: dialer.MaxResponseHeaderBytes,
	}
	return &http.Client{Transport: roundtripper.New(t), CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// opaqueReader hides the type of a body. The transport then cannot rewind the body and send the request a second time.
type opaqueReader struct {
	io.Reader
}

// Send sends the request once. The caller must close the body of the response. Every error is an *outcome.Error.
func (f *Forwarder) Send(ctx context.Context, r Request) (*http.Response, error) {
	body := r.Body
	if body == nil {
		body = http.NoBody
	}
	ctx, cancel := context.WithCancelCause(ctx)
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, opaqueReader{body})
	if err != nil {
		cancel(nil)
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Message: err.Error()}
	}
	req.ContentLength = r.Length
	req.Header = r.Header
	var headerTimer *time.Timer
	if r.HeaderTimeout > 0 {
		headerTimer = time.AfterFunc(r.HeaderTimeout, func() { cancel(errStalled) })
	}
	resp, err := f.HTTP.Do(req)
	if headerTimer != nil && !headerTimer.Stop() && err == nil {
		_ = resp.Body.Close()
		err = errStalled
	}
	if err != nil {
		err = classify(ctx, err)
		cancel(nil)
		return nil, err
	}
	if !f.IgnoreOutcome && resp.Header.Get(headers.Outcome) == headers.NotRun {
		defer cancel(nil)
		return nil, parseRefusal(resp)
	}
	resp.Body = &stallGuard{ReadCloser: resp.Body, timeout: r.StallTimeout, cancel: cancel}
	return resp, nil
}

func classify(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter, Message: err.Error()}
	}
	o := &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: err.Error()}
	var headErr *headchecker.Error
	switch {
	case errors.As(err, &headErr):
		o.Reason = outcome.Malformed
	case errors.Is(context.Cause(ctx), errStalled):
		o.Reason = outcome.Stalled
	case ctx.Err() != nil:
		o.Reason = outcome.Deadline
	}
	return o
}

// parseRefusal returns the refusal that a response with the outcome "not-run" describes.
func parseRefusal(resp *http.Response) error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorTextBytes))
	retryAfter := defaultRetryAfter
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		retryAfter = time.Duration(s) * time.Second
	}
	offset, _ := strconv.ParseInt(resp.Header.Get(headers.ConfigOffset), 10, 64)
	return &outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.Reason(resp.Header.Get(headers.Reason)), RetryAfter: retryAfter, Message: string(text),
		ServedSet: ident.WeightSet(resp.Header.Get(headers.WeightSet)), Offset: ident.Offset(offset),
	}
}

// stallGuard is a response body that cancels its request when a read exceeds the timeout.
type stallGuard struct {
	io.ReadCloser
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

// Read reads from the body.
func (g *stallGuard) Read(p []byte) (int, error) {
	if g.timeout == 0 {
		return g.ReadCloser.Read(p)
	}
	timer := time.AfterFunc(g.timeout, func() { g.cancel(errStalled) })
	n, err := g.ReadCloser.Read(p)
	timer.Stop()
	return n, err
}

// Close closes the body and ends the request.
func (g *stallGuard) Close() error {
	defer g.cancel(nil)
	return g.ReadCloser.Close()
}

// StreamBody copies a body to w and flushes after each read.
func StreamBody(w http.ResponseWriter, body io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
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
