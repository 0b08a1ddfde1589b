package sender_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// endpoint accepts connections and lets serve answer each; it counts the requests whose head was read whole.
func endpoint(t *testing.T, serve func(c *net.TCPConn, r *http.Request)) (string, *atomic.Int64) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = ln.Close() })
	var seen atomic.Int64
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
					seen.Add(1)
				}
				serve(c.(*net.TCPConn), r)
			}()
		}
	}()
	return ln.Addr().String(), &seen
}

func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func send(ctx context.Context, address string, body []byte) (*sender.Answer, error) {
	s := &sender.Sender{Dial: (&dialer.Dialer{}).DialContext}
	return s.Send(ctx, sender.Attempt{
		Address: address, Method: http.MethodPost, Target: "/a%2Fb/?q=1", Host: "h.example", Header: http.Header{"Id": {"1"}}, Body: body,
		Matches: func(h http.Header) bool { return h.Get("Id") == "1" },
	})
}

const head = "HTTP/1.1 200 OK\r\nId: 1\r\n"

// An attempt that may have run is never said not to have, and none is sent a second time by itself.
func TestEachMomentOfClosing(t *testing.T) {
	for _, c := range []struct {
		name  string
		serve func(c *net.TCPConn, r *http.Request)
	}{
		{"closed after the request", func(c *net.TCPConn, _ *http.Request) { _ = c.Close() }},
		{"reset after the request", func(c *net.TCPConn, _ *http.Request) { reset(c) }},
		{"closed in the head", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, "HTTP/1.1 20") }},
		{"reset in the head", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, head); reset(c) }},
		{"no answer at all", func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, "garbage\r\n\r\n") }},
		{"answers of others only", func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 1\r\n\r\nx", 9))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			address, seen := endpoint(t, c.serve)
			_, err := send(context.Background(), address, []byte("body"))
			var o *outcome.Error
			is.True(errors.As(err, &o))
			is.Equal(o.Kind, outcome.Unknown)
			is.Equal(seen.Load(), int64(1))
		})
	}
}

func TestEndpointThatCannotBeReached(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(ln.Close())
	_, err = send(context.Background(), ln.Addr().String(), nil)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, outcome.NotRun)
}

func TestRequestArrivesAsItCame(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	address, _ := endpoint(t, func(c *net.TCPConn, r *http.Request) {
		r.Body = io.NopCloser(strings.NewReader(fmt.Sprint(r.ContentLength)))
		got <- r
		_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nok")
	})
	ans, err := send(context.Background(), address, []byte("body"))
	is.NoErr(err)
	data, err := io.ReadAll(ans)
	is.NoErr(err)
	is.Equal(string(data), "ok")
	is.NoErr(ans.Close())
	r := <-got
	is.Equal(r.RequestURI, "/a%2Fb/?q=1")
	is.Equal(r.Host, "h.example")
	is.Equal(r.ContentLength, int64(4))
	is.Equal(r.UserAgent(), "")
}

func TestAnswerToAnotherRequestIsPassedOver(t *testing.T) {
	is := is.New(t)
	address, _ := endpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 3\r\n\r\nold"+head+"Content-Length: 3\r\n\r\nnew")
	})
	ans, err := send(context.Background(), address, nil)
	is.NoErr(err)
	data, err := io.ReadAll(ans)
	is.NoErr(err)
	is.Equal(string(data), "new")
}

// An answer without a length is whole if its connection ends, and broken if it is reset.
func TestAnswerWithoutLength(t *testing.T) {
	is := is.New(t)
	address, _ := endpoint(t, func(c *net.TCPConn, r *http.Request) {
		_, _ = io.WriteString(c, head+"\r\npart")
		if r.ContentLength == 1 {
			time.Sleep(50 * time.Millisecond)
			reset(c)
		}
	})
	ans, err := send(context.Background(), address, nil)
	is.NoErr(err)
	is.True(!ans.Framed)
	data, err := io.ReadAll(ans)
	is.NoErr(err)
	is.Equal(string(data), "part")
	ans, err = send(context.Background(), address, []byte("x"))
	is.NoErr(err)
	_, err = io.ReadAll(ans)
	is.True(err != nil)
}

func TestAnswerBeforeALongBodyIsRead(t *testing.T) {
	is := is.New(t)
	address, _ := endpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 413 Too Large\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
		time.Sleep(200 * time.Millisecond)
	})
	ans, err := send(context.Background(), address, make([]byte, 8<<20))
	is.NoErr(err)
	is.Equal(ans.Status, http.StatusRequestEntityTooLarge)
	is.NoErr(ans.Close())
}

func TestDeadlineEndsTheConnection(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	address, _ := endpoint(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := send(ctx, address, nil)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	is.Equal(o.Kind, outcome.Unknown)
	is.Equal(o.Reason, outcome.Deadline)
	<-gone
}
