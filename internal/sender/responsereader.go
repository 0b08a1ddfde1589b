package sender

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/headreader"
)

const (
	readBufferBytes = 4 << 10
	// maxHeaderTime bounds the time from the first byte of a response header to its end, with the headers and bodies that are
	// skipped before it. It is longer than a sound engine may
	// stand still, 1.5 s, and shorter if the deadline is near: a headerTimeDivisor-th of the time left.
	maxHeaderTime     = 2 * time.Second
	headerTimeDivisor = 2
	// maxSkippedBytes limits the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxBodyBytes limits the body of a response.
	maxBodyBytes = 64 << 20
)

// HeaderTimeoutError reports a response header that began and did not end in time.
type HeaderTimeoutError struct {
	Timeout time.Duration
}

// Error names the timeout.
func (e *HeaderTimeoutError) Error() string {
	return fmt.Sprintf("response header did not end within %s", e.Timeout)
}

// BodySizeError reports a response body that exceeds the maximum size.
type BodySizeError struct {
	// Limit is the maximum size in bytes.
	Limit int
}

// Error names the maximum size.
func (e *BodySizeError) Error() string {
	return fmt.Sprintf("response body exceeds %d bytes", e.Limit)
}

// responseReader reads the responses on one connection. Use newResponseReader.
type responseReader struct {
	conn net.Conn
	head headreader.Reader
	br   *bufio.Reader
	// headerTime is the time spent on the headers and skipped bodies so far, without the waits for their first bytes.
	headerTime time.Duration
}

func newResponseReader(conn net.Conn) *responseReader {
	r := &responseReader{conn: conn}
	r.head.Source = conn
	r.br = bufio.NewReaderSize(&r.head, readBufferBytes)
	return r
}

// next waits for the next response and reads its header, which has been found to be valid before it is parsed.
func (r *responseReader) next(ctx context.Context, method string) (resp *http.Response, err error) {
	unread, _ := r.br.Peek(r.br.Buffered()) // does not read
	r.head.Unread(unread)
	r.br.Reset(&r.head)
	r.head.Expect()
	if err := r.head.Wait(); err != nil {
		return nil, err
	}
	err = r.limitTime(ctx, func() error {
		resp, err = http.ReadResponse(r.br, &http.Request{Method: method})
		return err
	})
	if refusal := r.head.Refusal(); refusal != nil {
		return nil, refusal
	}
	return resp, err
}

// skip reads the body of a response to another request.
func (r *responseReader) skip(ctx context.Context, resp *http.Response) error {
	return r.limitTime(ctx, func() error {
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
		if err == nil && n == maxSkippedBytes {
			return &BodySizeError{Limit: maxSkippedBytes}
		}
		return headchecker.CheckEnd(resp.Trailer, err)
	})
}

// limitTime calls read and interrupts it when it takes too long.
func (r *responseReader) limitTime(ctx context.Context, read func() error) error {
	startTime := time.Now()
	defer func() { r.headerTime += time.Since(startTime) }()
	timeout := maxHeaderTime - r.headerTime
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline)/headerTimeDivisor)
	}
	timer := time.AfterFunc(timeout, func() { _ = r.conn.SetReadDeadline(time.Unix(1, 0)) })
	err := read()
	if !timer.Stop() && ctx.Err() == nil {
		return &HeaderTimeoutError{Timeout: timeout}
	}
	return err
}
