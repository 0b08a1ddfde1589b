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

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	copyBytes    = 32 << 10
	defaultAfter = time.Second
	maxErrorText = 512
)

// Forwarder sends requests. Set its fields before use.
type Forwarder struct {
	// HTTP sends the requests. It must not follow redirects.
	HTTP *http.Client
}

// Call is one request on one hop.
type Call struct {
	Method string
	URL    string
	Header http.Header
	Body   io.Reader
	Length int64
}

// NewClient returns a client for one hop between hosts by IP number.
func NewClient() *http.Client {
	d := &net.Dialer{Timeout: time.Second}
	t := &http.Transport{
		DialContext:         d.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
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
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, once{body})
	if err != nil {
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, Text: err.Error()}
	}
	req.ContentLength = c.Length
	req.Header = c.Header
	resp, err := f.HTTP.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.Header.Get(headers.Outcome) == headers.NotRun {
		return nil, refusal(resp)
	}
	return resp, nil
}

func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Unreachable, After: defaultAfter, Text: err.Error()}
	}
	reason := outcome.Lost
	if errors.Is(err, context.DeadlineExceeded) {
		reason = outcome.Deadline
	}
	return &outcome.Error{Kind: outcome.Unknown, Reason: reason, Text: err.Error()}
}

func refusal(resp *http.Response) error {
	defer resp.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorText))
	after := defaultAfter
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		after = time.Duration(s) * time.Second
	}
	return &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Reason(resp.Header.Get(headers.Reason)), After: after, Text: string(text)}
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
