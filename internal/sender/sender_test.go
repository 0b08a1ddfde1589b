package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/attributor"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// startEndpoint accepts connections and lets serve handle each of them. It counts the requests whose header was
// received in full.
func startEndpoint(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	var received atomic.Int64
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err == nil {
					received.Add(1)
				}
				serve(c.(*net.TCPConn), r)
			}()
		}
	}()
	return ln.Addr().String(), &received
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func send(ctx context.Context, address string, body []byte) (*sender.Response, error) {
	s := &sender.Sender{Dial: (&dialer.Dialer{}).DialContext}
	return s.Send(ctx, sender.Attempt{
		Address: address, Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h.example", Header: func() http.Header { return http.Header{"Id": {"1"}} }, Body: body,
		Check: checkID,
	})
}

// checkID takes responses to the request with the id 1.
func checkID(status int, h http.Header) error {
	return attributor.Check(attributor.Origin{Status: status, IDs: []ident.RequestID{ident.RequestID(h.Get("Id"))}, Signed: true}, "1")
}

const responseHeader = "HTTP/1.1 200 OK\r\nId: 1\r\n"

// An attempt that may have run is never reported as not run, and is not sent again.
// Guards against endpoints that are taken out of use because this host has no descriptor for a connection to them.
func TestConnectionWithoutDescriptorIsHostLimit(t *testing.T) {
	is := is.New(t)
	for cause, want := range map[error]outcome.Reason{syscall.EMFILE: outcome.HostLimit, syscall.EADDRNOTAVAIL: outcome.HostLimit, syscall.ECONNREFUSED: outcome.Unreachable} {
		s := &sender.Sender{Dial: func(context.Context, string, string) (net.Conn, error) {
			return nil, fmt.Errorf("connect: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", cause)})
		}}
		_, err := s.Send(t.Context(), sender.Attempt{Address: "a", Method: http.MethodGet, Target: "/"})
		var o *outcome.Error
		is.True(errors.As(err, &o))
		is.Equal(o.Kind, outcome.NotRun)
		is.Equal(o.Reason, want)
	}
}

func TestFailureAfterRequestIsUnknown(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(c *net.TCPConn, r *http.Request)
	}{
		{"closed after the request", func(c *net.TCPConn, _ *http.Request) { _ = c.Close() }},
		{"reset after the request", func(c *net.TCPConn, _ *http.Request) { resetConn(c) }},
		{"closed in the response header", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 20") }},
		{"reset in the response header", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, responseHeader); resetConn(c) }},
		{"not an HTTP response", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, "garbage\r\n\r\n") }},
		{"only responses to other requests", func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx", 9))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, received := startEndpoint(t, c.serve)
			_, err := send(context.Background(), address, []byte("body"))
			var o *outcome.Error
			is.True(errors.As(err, &o))
			is.Equal(o.Kind, outcome.Unknown)
			is.Equal(received.Load(), int64(1))
		})
	}
}

func TestUnreachableEndpointIsNotRun(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	_, err = send(context.Background(), ln.Addr().String(), nil)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, outcome.NotRun)
}

func TestWithdrawnRequestIsNotWritten(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, received := startEndpoint(t, func(*net.TCPConn, *http.Request) { close(closed) })
	s := &sender.Sender{Dial: (&dialer.Dialer{}).DialContext}
	_, err := s.Send(context.Background(), sender.Attempt{
		Address: address, Method: http.MethodGet, Target: "/", Host: "h.example", BeforeWrite: func() outcome.Reason { return outcome.Quarantined },
	})
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, outcome.NotRun)
	<-closed
	is.Equal(received.Load(), int64(0))
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	address, _ := startEndpoint(t, func(c *net.TCPConn, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(fmt.Sprint(r.ContentLength)))
		got <- r
		_, _ = io.WriteString(c, responseHeader+"Content-Length: 2\r\n\r\nok")
	})
	resp, err := send(context.Background(), address, []byte("body"))
	is.NoErr(err)
	data, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(data), "ok")
	is.NoErr(resp.Close())
	r := <-got
	is.Equal(r.RequestURI, "/a%2Fb/?q=1")
	is.Equal(r.Host, "h.example")
	is.Equal(r.ContentLength, int64(4))
	is.Equal(r.UserAgent(), "")
}

func TestMismatchedResponseIsSkipped(t *testing.T) {
	is := is.New(t)
	address, _ := startEndpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nold"+responseHeader+"Content-Length: 3\r\n\r\nnew")
	})
	resp, err := send(context.Background(), address, nil)
	is.NoErr(err)
	data, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(data), "new")
}

// A response without a length is complete when its connection is closed, and incomplete when it is reset.
func TestResponseWithoutLength(t *testing.T) {
	is := is.New(t)
	address, _ := startEndpoint(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, responseHeader+"\r\npart")
		if r.ContentLength == 1 {
			time.Sleep(50 * time.Millisecond)
			resetConn(c)
		}
	})
	resp, err := send(context.Background(), address, nil)
	is.NoErr(err)
	is.True(!resp.IsFramed)
	data, err := io.ReadAll(resp)
	is.NoErr(err)
	is.Equal(string(data), "part")
	resp, err = send(context.Background(), address, []byte("x"))
	is.NoErr(err)
	_, err = io.ReadAll(resp)
	is.True(err != nil)
}

func TestResponseBeforeLargeBodyIsRead(t *testing.T) {
	is := is.New(t)
	address, _ := startEndpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	resp, err := send(context.Background(), address, make([]byte, 8<<20))
	is.NoErr(err)
	is.Equal(resp.Status, http.StatusRequestEntityTooLarge)
	is.NoErr(resp.Close())
}

func TestDeadlineClosesConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	address, _ := startEndpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := send(ctx, address, nil)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, outcome.Unknown)
	is.Equal(o.Reason, outcome.Deadline)
	<-closed
}
