// Package sender makes one attempt of a request at one endpoint, on a separate connection, and reports whether a
// failed attempt may have run.
//
// It does not use the client of net/http, which retries requests that it considers safe to repeat.
package sender

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/attributor"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/endverifier"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headreader"
)

// maxSkipped limits the informational responses and those to other requests that are skipped on one connection.
const maxSkipped = 2

// Sender sends attempts to endpoints. Set its fields before use.
type Sender struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnRefusal is told of the responses that are refused because they are not valid.
	OnRefusal headchecker.RefusalFunc
}

// Attempt is one request to one endpoint.
type Attempt struct {
	Address string
	Method  string
	// Target is the path and query as received from the caller, without normalisation.
	Target string
	Host   string
	// Header returns the header. It is called right before the request is written, so that it states the remaining time of
	// that moment. Nil means an empty header.
	Header func() http.Header
	Body   []byte
	// Check returns an attributor.Error for a response that is not that of the endpoint to the request. One to another request
	// is skipped. Nil means that every response is taken.
	Check func(status int, h http.Header) error
	// BeforeWrite is called once the endpoint is connected. It returns the reason for not sending the request, or an empty
	// one. Nil means that the request is sent.
	BeforeWrite func() outcome.Reason
	// OnWritten is called once the endpoint has taken the complete request, or the write has failed. It is not called if
	// nothing was written. Nil means that nobody is told.
	OnWritten func()
}

// Response is a response header with a reader of the body. Close closes its connection.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1 if it is unknown.
	Length int64
	// IsFramed is set if a length or chunked encoding marks the end of the body.
	IsFramed bool

	body io.Reader
	// received is the number of bytes of the body that were read.
	received   int
	conn       net.Conn
	stopCancel func() bool
	// checkEnd is called with the error that ends the body, and returns the one that takes its place.
	checkEnd func(end error) error
}

// Read reads the body. It returns a BodySizeError for a body that exceeds the maximum size, a headchecker.Error at the end
// of one with a trailer that is not valid, and an endverifier.ResetError for one that was to end with its connection and was cut.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	r.received += n
	if r.received > maxBodyBytes {
		return 0, &BodySizeError{Limit: maxBodyBytes}
	}
	if err != nil {
		err = r.checkEnd(err)
	}
	return n, err
}

// Close closes the connection.
func (r *Response) Close() error {
	r.stopCancel()
	return r.conn.Close()
}

// Send sends the request and returns the header of its response. The connection is closed when ctx ends. Its
// error is an outcome.Error.
func (s *Sender) Send(ctx context.Context, attempt Attempt) (*Response, error) {
	netConn, err := s.Dial(ctx, "tcp", attempt.Address)
	if err != nil {
		reason := outcome.Unreachable
		if dialer.IsLocal(err) {
			reason = outcome.HostLimit
		}
		return nil, newError(ctx, outcome.NotRun, reason, err)
	}
	conn := endverifier.New(netConn)
	if attempt.BeforeWrite != nil {
		if reason := attempt.BeforeWrite(); reason != "" {
			_ = conn.Close() // nothing was sent
			return nil, newError(ctx, outcome.NotRun, reason, errors.New("withdrawn before it was sent"))
		}
	}
	// The process may have been suspended since the context was checked, and its timers may not have fired yet.
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		_ = conn.Close() // nothing was sent
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, Message: fmt.Sprintf("deadline passed %s before the request was sent", time.Since(deadline))}
	}
	// The connection is closed at once, since the goroutine that reads it may be blocked in a write to the caller.
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.Close() })
	resp, err := s.exchange(ctx, conn, attempt)
	if err != nil {
		stopCancel()
		_ = conn.Close()
		return nil, err
	}
	resp.stopCancel = stopCancel
	return resp, nil
}

// newError returns an error with the given outcome. Its reason is Deadline if the deadline of ctx has passed, and depends
// on the error for a response header that is not valid or has no end.
func newError(ctx context.Context, kind outcome.Kind, reason outcome.Reason, err error) *outcome.Error {
	var headErr *headchecker.Error
	var sizeErr *headreader.SizeError
	var timeoutErr *HeaderTimeoutError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = outcome.Deadline
	case errors.As(err, &headErr):
		reason = outcome.Malformed
	case errors.As(err, &sizeErr):
		reason = outcome.Mismatch
	case errors.As(err, &timeoutErr):
		reason = outcome.Stalled
	}
	return &outcome.Error{Kind: kind, Reason: reason, Message: err.Error()}
}

// exchange writes the request and reads the header of its response. It skips responses to other requests.
func (s *Sender) exchange(ctx context.Context, conn *endverifier.Conn, attempt Attempt) (*Response, error) {
	// The request is written concurrently with the read, since an endpoint may respond before it has read a long
	// body.
	header, err := encodeHeader(attempt)
	if err != nil {
		return nil, newError(ctx, outcome.NotRun, outcome.Refused, err)
	}
	if len(header)+len(attempt.Body) <= readBufferBytes {
		write(conn, attempt, append(header, attempt.Body...))
	} else {
		// The body is not copied, so that an endpoint that reads it slowly does not hold up a second copy.
		go write(conn, attempt, header, attempt.Body)
	}
	reader := newResponseReader(conn)
	for range maxSkipped + 1 {
		resp, err := reader.next(ctx, attempt.Method)
		if err != nil {
			return nil, newError(ctx, outcome.Unknown, outcome.ConnectionLost, s.OnRefusal.Report(attempt.Address, err))
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational, and without a body
		}
		isSkipped, err := attempt.check(resp)
		if err != nil {
			return nil, newError(ctx, outcome.Unknown, outcome.Mismatch, fmt.Errorf("endpoint %s: %w", attempt.Address, err))
		}
		if !isSkipped {
			return &Response{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: conn,
				IsFramed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
				checkEnd: func(end error) error {
					return s.OnRefusal.Report(attempt.Address, headchecker.CheckEnd(resp.Trailer, end))
				},
			}, nil
		}
		err = reader.skip(ctx, resp)
		var headErr *headchecker.Error
		if errors.As(err, &headErr) {
			return nil, newError(ctx, outcome.Unknown, outcome.Malformed, s.OnRefusal.Report(attempt.Address, err))
		}
		if err != nil {
			break // reported as a mismatch
		}
	}
	return nil, newError(ctx, outcome.Unknown, outcome.Mismatch, fmt.Errorf("endpoint %s responded to a different request", attempt.Address))
}

// check returns an error for a response that is not the endpoint's, unless it is to be skipped because it is to another request.
func (a Attempt) check(resp *http.Response) (isSkipped bool, err error) {
	if a.Check == nil {
		return false, nil
	}
	err = a.Check(resp.StatusCode, resp.Header)
	var refused *attributor.Error
	if errors.As(err, &refused) && refused.Reason == attributor.OtherRequest {
		return true, nil
	}
	return false, err
}

// write writes the parts of a request. If it fails, the read of the response fails as well, unless that had ended before.
func write(conn *endverifier.Conn, attempt Attempt, parts ...[]byte) {
	_, _ = conn.WriteBuffers(parts)
	if attempt.OnWritten != nil {
		attempt.OnWritten()
	}
}

// encodeHeader returns the request line and the header in wire format.
func encodeHeader(attempt Attempt) ([]byte, error) {
	if strings.ContainsAny(attempt.Target, " \r\n") || strings.ContainsAny(attempt.Host, " \r\n") {
		return nil, fmt.Errorf("invalid request target %q for host %q", attempt.Target, attempt.Host)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", attempt.Method, attempt.Target, attempt.Host)
	if attempt.Header != nil {
		if err := attempt.Header().Write(&b); err != nil {
			return nil, err
		}
	}
	if len(attempt.Body) > 0 || attempt.Method != http.MethodGet && attempt.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(attempt.Body))
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}
