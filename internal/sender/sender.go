// Package sender makes one attempt of a request at one endpoint, on a connection of its own, and tells whether a
// failed attempt may have run.
//
// It does not use the client of net/http, which repeats a request by itself where it takes that to be safe.
package sender

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

const (
	readerBytes = 4 << 10
	// maxStrays bounds the answers to other requests that are passed over on one connection.
	maxStrays = 2
	// strayBytes bounds the body of an answer that is passed over.
	strayBytes = 1 << 20
)

// Sender makes attempts. Set its fields before use.
type Sender struct {
	// Dial makes a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Attempt is one request for one endpoint.
type Attempt struct {
	Address string
	Method  string
	// Target is the path and query as they came.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Matches tells whether the head of an answer belongs to the request.
	Matches func(h http.Header) bool
}

// Answer is the head of an answer and the way to its body. Close ends its connection.
type Answer struct {
	Status int
	Header http.Header
	// Length is that of the body, or -1 if its end is marked by other means.
	Length int64
	// Framed says that the end of the body is marked, by a length or by chunks.
	Framed bool

	body io.Reader
	conn net.Conn
	stop func() bool
}

// Read reads the body.
func (a *Answer) Read(p []byte) (int, error) {
	return a.body.Read(p)
}

// Close ends the connection.
func (a *Answer) Close() error {
	a.stop()
	return a.conn.Close()
}

// Send hands the request over and returns the head of its answer. The connection ends when ctx does. Its error is an
// outcome.Error.
func (s *Sender) Send(ctx context.Context, at Attempt) (*Answer, error) {
	conn, err := s.Dial(ctx, "tcp", at.Address)
	if err != nil {
		return nil, failure(ctx, outcome.NotRun, outcome.Unreachable, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	ans, err := exchange(ctx, conn, at)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	ans.stop = stop
	return ans, nil
}

func failure(ctx context.Context, kind outcome.Kind, reason outcome.Reason, err error) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		reason = outcome.Deadline
	}
	return &outcome.Error{Kind: kind, Reason: reason, Text: err.Error()}
}

func exchange(ctx context.Context, conn net.Conn, at Attempt) (*Answer, error) {
	// The body is written beside the reading, as an endpoint may answer before it has read a long one.
	head, err := compose(at)
	if err != nil {
		return nil, failure(ctx, outcome.NotRun, outcome.Refused, err)
	}
	written := make(chan error, 1)
	if len(head) <= readerBytes {
		_, err := conn.Write(head)
		written <- err
	} else {
		go func() {
			_, err := conn.Write(head)
			written <- err
		}()
	}
	br := bufio.NewReaderSize(conn, readerBytes)
	for range maxStrays + 1 {
		resp, err := http.ReadResponse(br, &http.Request{Method: at.Method})
		if err != nil {
			return nil, failure(ctx, outcome.Unknown, outcome.Lost, err)
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if at.Matches == nil || at.Matches(resp.Header) {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, body: resp.Body, conn: conn,
				Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
			}, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, strayBytes))
		if err != nil || n == strayBytes {
			break
		}
	}
	return nil, failure(ctx, outcome.Unknown, outcome.Mismatch, fmt.Errorf("endpoint %s answered another request", at.Address))
}

func compose(at Attempt) ([]byte, error) {
	if strings.ContainsAny(at.Target, " \r\n") || strings.ContainsAny(at.Host, " \r\n") {
		return nil, fmt.Errorf("request line %q of host %q is not valid", at.Target, at.Host)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", at.Method, at.Target, at.Host)
	if err := at.Header.Write(&b); err != nil {
		return nil, err
	}
	if len(at.Body) > 0 || at.Method != http.MethodGet && at.Method != http.MethodHead {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(at.Body))
	}
	b.WriteString("\r\n")
	b.Write(at.Body)
	return b.Bytes(), nil
}
