package sender_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

const (
	// floodBytes ends a response that would have no end, so that a reader without a limit fails and does not use up the
	// memory.
	floodBytes = 16 << 20
	// maxBodyFlood is the same for a body.
	maxBodyFlood = 1 << 30
	// maxHeadRead is the most that a reader may take of a header without end.
	maxHeadRead = 128 << 10
	// callerTimeout is how long the callers wait.
	callerTimeout = 6 * time.Second
)

// pipeEndpoint is an endpoint whose connections count the bytes that are read of its responses.
type pipeEndpoint struct {
	// serve writes the response. The connection is closed when it returns.
	serve func(c net.Conn)
	// sent counts the bytes that the sender has taken.
	sent atomic.Int64
	// closed is closed when the sender has closed the connection.
	closed chan struct{}
}

func (e *pipeEndpoint) dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	e.closed = make(chan struct{})
	go func() {
		defer close(e.closed)
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err == nil {
			e.serve(&countingConn{Conn: far, count: &e.sent})
		}
	}()
	return near, nil
}

type countingConn struct {
	net.Conn
	count *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

func (e *pipeEndpoint) send(ctx context.Context) (*sender.Response, error) {
	s := &sender.Sender{Dial: e.dial}
	return s.Send(ctx, sender.Attempt{
		Address: "endpoint", Method: http.MethodGet, Target: "/", Host: "h.example",
		Check: checkID,
	})
}

// flood writes head and then repeats unit up to a size, as fast as it is read.
func flood(c net.Conn, head, unit string, size int) {
	text := strings.Repeat(unit, max(1, 4096/len(unit)))
	_, err := io.WriteString(c, head)
	for sent := 0; err == nil && sent < size; sent += len(text) {
		_, err = io.WriteString(c, text)
	}
}

// trickle writes head and then repeats unit, one byte per interval.
func trickle(c net.Conn, head, unit string, interval time.Duration) {
	_, err := io.WriteString(c, head)
	for i := 0; err == nil; i++ {
		time.Sleep(interval)
		_, err = io.WriteString(c, unit[i%len(unit):i%len(unit)+1])
	}
}

var endlessHeads = []struct{ name, head, unit string }{
	{"no response", "", "x"},
	{"status line", "HTTP/1.1 200 ", "x"},
	{"header line", "HTTP/1.1 200 OK\r\nA: ", "x"},
	{"header lines", "HTTP/1.1 200 OK\r\n", "A: x\r\n"},
	{"continued header line", "HTTP/1.1 200 OK\r\nA: x\r\n", " x\r\n"},
	{"informational responses", "", "HTTP/1.1 102 Processing\r\n\r\n"},
	{"header of the response after an informational one", "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nA: ", "x"},
	{"header of the response after one to another request", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nA: ", "x"},
}

// checkLost checks that an attempt failed as one that may have run, for another reason than its caller's deadline.
func checkLost(t *testing.T, e *pipeEndpoint, err error) {
	t.Helper()
	is := is.NewRelaxed(t)
	var o *outcome.Error
	is.True(errors.As(err, &o))
	if o != nil {
		is.Equal(o.Kind, outcome.Unknown)
		is.True(o.Reason != outcome.Deadline)
	}
	<-e.closed
}

func TestHeaderWithoutEndIsBounded(t *testing.T) {
	for _, c := range endlessHeads {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				e := &pipeEndpoint{serve: func(conn net.Conn) { flood(conn, c.head, c.unit, floodBytes) }}
				_, err := e.send(ctx)
				checkLost(t, e, err)
				if sent := e.sent.Load(); sent > maxHeadRead {
					t.Errorf("sender read %d bytes of a header without end", sent)
				}
			})
		})
	}
}

// A header that does not end leaves the caller most of its time, so that a repeatable request can go elsewhere.
func TestSlowHeaderEndsBeforeDeadline(t *testing.T) {
	for _, timeout := range []time.Duration{callerTimeout, 600 * time.Millisecond} {
		for _, c := range endlessHeads {
			t.Run(c.name+" within "+timeout.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					startTime := time.Now()
					e := &pipeEndpoint{serve: func(conn net.Conn) { trickle(conn, c.head, c.unit, 50*time.Millisecond) }}
					_, err := e.send(ctx)
					took := time.Since(startTime)
					checkLost(t, e, err)
					if took > timeout*2/3 {
						t.Errorf("attempt took %s of %s", took, timeout)
					}
				})
			})
		}
	}
}

// Whole informational responses at intervals do not use up the caller's time either.
func TestInformationalResponsesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		startTime := time.Now()
		e := &pipeEndpoint{serve: func(c net.Conn) {
			for _, err := io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n"); err == nil; {
				time.Sleep(500 * time.Millisecond)
				_, err = io.WriteString(c, "HTTP/1.1 102 Processing\r\n\r\n")
			}
		}}
		_, err := e.send(ctx)
		is.New(t).True(time.Since(startTime) <= callerTimeout*2/3)
		checkLost(t, e, err)
	})
}

// An engine that only takes long to begin its response is not given up.
func TestLateHeaderIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
		defer cancel()
		e := &pipeEndpoint{serve: func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n")
			time.Sleep(callerTimeout - time.Second)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nBig: "+strings.Repeat("x", 32<<10)+"\r\nContent-Length: 2\r\n\r\n")
			time.Sleep(900 * time.Millisecond)
			_, _ = io.WriteString(c, "ok")
		}}
		resp, err := e.send(ctx)
		is.NoErr(err)
		data, err := io.ReadAll(resp)
		is.NoErr(err)
		is.Equal(string(data), "ok")
		is.NoErr(resp.Close())
	})
}

var endlessBodies = []struct{ name, head, unit string }{
	{"body without length", responseHeader + "\r\n", "x"},
	{"body with a length", responseHeader + "Content-Length: 999999999999\r\n\r\n", "x"},
	{"chunks", responseHeader + "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 0x400) + "\r\n"},
	{"one chunk", responseHeader + "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n", "x"},
	{"chunk header", responseHeader + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
	{"trailer line", responseHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
	{"trailer lines", responseHeader + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: x\r\n"},
}

func TestBodyWithoutEndIsAnError(t *testing.T) {
	for _, c := range endlessBodies {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				e := &pipeEndpoint{serve: func(conn net.Conn) { flood(conn, c.head, c.unit, maxBodyFlood) }}
				resp, err := e.send(ctx)
				is.NoErr(err)
				n, err := io.Copy(io.Discard, resp)
				is.True(err != nil)
				is.True(n <= 64<<20)
				is.NoErr(resp.Close())
				<-e.closed
			})
		})
	}
}

func TestSlowBodyEndsAtDeadline(t *testing.T) {
	for _, c := range endlessBodies {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				startTime := time.Now()
				e := &pipeEndpoint{serve: func(conn net.Conn) { trickle(conn, c.head, c.unit, 50*time.Millisecond) }}
				resp, err := e.send(ctx)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp)
				is.True(err != nil)
				is.True(time.Since(startTime) <= callerTimeout)
				is.NoErr(resp.Close())
				<-e.closed
			})
		})
	}
}

// The body of a response to another request is skipped within the same bounds as a header.
func TestSkippedBodyWithoutEndIsBounded(t *testing.T) {
	for name, head := range map[string]string{
		"without length": "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "with a length": "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 999999999999\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), callerTimeout)
				defer cancel()
				e := &pipeEndpoint{serve: func(c net.Conn) { flood(c, head, "x", floodBytes) }}
				_, err := e.send(ctx)
				checkLost(t, e, err)
				is.True(e.sent.Load() <= 2<<20)
				startTime := time.Now()
				e = &pipeEndpoint{serve: func(c net.Conn) { trickle(c, head, "x", 50*time.Millisecond) }}
				_, err = e.send(ctx)
				checkLost(t, e, err)
				is.True(time.Since(startTime) <= callerTimeout/2)
			})
		})
	}
}
