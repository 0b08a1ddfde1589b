package gateway_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
)

// floodBytes ends a response that would have no end, so that a gateway without a limit fails the test and does not use
// up the memory.
const floodBytes = 256 << 20

const (
	// floodTimeout is the time of a caller that the gateway must not use up: much more than the largest response takes.
	floodTimeout = 5 * time.Second
	// trickleTimeout is the time of a caller whose response may last until its deadline.
	trickleTimeout = 1200 * time.Millisecond
)

// floodOf sends head and then repeats unit, as fast as it is read. It counts the bytes that were taken.
func floodOf(head, unit string, sent *atomic.Int64) step {
	return func(c *net.TCPConn, _ *http.Request) {
		text := strings.Repeat(unit, max(1, 32<<10/len(unit)))
		n, err := io.WriteString(c, head)
		for sent.Add(int64(n)); err == nil && sent.Load() < floodBytes; sent.Add(int64(n)) {
			n, err = io.WriteString(c, text)
		}
		_, _ = c.Read(make([]byte, 1)) // keeps the connection open
	}
}

// trickleOf sends head and then repeats unit, one byte per interval.
func trickleOf(head, unit string) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, err := io.WriteString(c, head)
		for i := 0; err == nil; i++ {
			time.Sleep(5 * time.Millisecond)
			_, err = io.WriteString(c, unit[i%len(unit):i%len(unit)+1])
		}
	}
}

// Bytes without end get the caller a final response by its deadline, and never one that looks complete.
func TestResponseWithoutEndIsFailure(t *testing.T) {
	ok := response(200, "ok")
	okStream := streamOf(1, 3, true)
	largeEvent := "id: 1\ndata: "
	for _, c := range []struct {
		name, path, head, unit string
		next                   step
		isSlow                 bool
		// status is the status that the caller gets, or zero if its connection must be aborted.
		status int
		body   string
		// sent is the number of requests that reach endpoints.
		sent int
		// maxBytes is the most that the gateway may read.
		maxBytes int64
	}{
		{"header", "/once/", "HTTP/1.1 200 OK\r\nA: ", "x", ok, false, 502, "", 1, 16 << 20},
		{"header of a repeatable request", "/read/", "HTTP/1.1 200 OK\r\nA: ", "x", ok, false, 200, "ok", 2, 16 << 20},
		{"no response", "/read/", "", "x", ok, false, 200, "ok", 2, 16 << 20},
		{"slow header", "/once/", "HTTP/1.1 200 OK\r\nA: ", "x", ok, true, 502, "", 1, 0},
		{"slow header of a repeatable request", "/read/", "HTTP/1.1 200 OK\r\nA: ", "x", ok, true, 200, "ok", 2, 0},
		{"slow header of a stream that can resume", "/stream/", "HTTP/1.1 200 OK\r\nA: ", "x", okStream, true, 200, streamBody(1, 3), 2, 0},
		{"body", "/once/", unframedHeader, "x", ok, false, 0, "", 1, 128 << 20},
		{"body of a repeatable request", "/read/", unframedHeader, "x", ok, false, 0, "", 1, 128 << 20},
		{"chunks", "/read/", chunkedHeader, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n", ok, false, 0, "", 1, 128 << 20},
		{"large error body for a stream", "/stream/", "HTTP/1.1 400 X\r\nId: id1\r\n\r\n", "x", okStream, false, 0, "", 1, 128 << 20},
		{"chunk header", "/read/", chunkedHeader + "1;", "x", ok, false, 200, "ok", 2, 16 << 20},
		{"trailer", "/read/", chunkedHeader + "1\r\nx\r\n0\r\nA: ", "x", ok, false, 200, "ok", 2, 16 << 20},
		{"slow body", "/once/", unframedHeader, "x", ok, true, 504, "", 1, 0},
		{"event", "/fixed/", unframedHeader + largeEvent, "x", okStream, false, 502, "", 1, 16 << 20},
		{"event of a stream that can resume", "/stream/", unframedHeader + largeEvent, "x", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"events without id", "/fixed/", unframedHeader, "data: x\n\n", okStream, false, 0, "", 1, 16 << 20},
		{"comments", "/fixed/", chunkedHeader, "9\r\n: comme\n\n\r\n", okStream, false, 0, "", 1, 16 << 20},
		{"blank lines", "/stream/", unframedHeader, "\n", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"comments before the first event", "/stream/", unframedHeader, ": x\n\n", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"fields before the first event", "/stream/", unframedHeader, "data: x\n\n", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"short lines", "/stream/", unframedHeader, "a:\n", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"chunks of one byte", "/stream/", chunkedHeader, "1\r\n\n\r\n", okStream, false, 200, streamBody(1, 3), 2, 16 << 20},
		{"blank lines after an event", "/stream/", unframedHeader + "id: 1\ndata: x\n\n", "\n", rawResponse(unframedHeader + "id: 2\ndata: x\n\n"), false, 200, "", 2, 16 << 20},
		{"slow event", "/fixed/", unframedHeader + largeEvent, "x", okStream, true, 504, "", 1, 0},
		{"slow comments", "/fixed/", unframedHeader, ": x\n\n", okStream, true, 0, "", 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			var sent atomic.Int64
			first := floodOf(c.head, c.unit, &sent)
			if c.isSlow {
				first = trickleOf(c.head, c.unit)
			}
			f := startFleet(t, []step{first}, []step{c.next})
			f.configure(1)
			timeout := floodTimeout
			if c.isSlow {
				timeout = trickleTimeout
			}
			startTime := time.Now()
			status, body, err := f.sendCounting(c.path, timeout)
			is.True(time.Since(startTime) < timeout+500*time.Millisecond)
			is.Equal(len(f.requests()), c.sent)
			if c.status == 0 {
				is.True(err != nil)
				is.True(time.Since(startTime) < timeout-100*time.Millisecond || c.isSlow)
			} else {
				is.NoErr(err)
				is.Equal(status, c.status)
			}
			if c.body != "" {
				is.Equal(body, c.body)
			}
			if c.maxBytes > 0 {
				is.True(sent.Load() <= c.maxBytes)
			}
		})
	}
}

// sendCounting sends a request of a caller with the given time left. It returns the start of the body.
func (f *testFleet) sendCounting(path string, timeout time.Duration) (int, string, error) {
	r, err := http.NewRequest(http.MethodPost, f.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	for k, v := range map[string]string{"Id": "id1", "Left": strconv.FormatInt(timeout.Milliseconds(), 10), "Key": "k"} {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	var start bytes.Buffer
	if _, err = io.CopyN(&start, resp.Body, 64<<10); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	} else if errors.Is(err, io.EOF) {
		err = nil // the body is complete
	}
	return resp.StatusCode, start.String(), err
}

// A large response that has no end counts as a failure of its endpoint.
func TestLargeResponseWithoutEndIsEndpointFailure(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{floodOf(unframedHeader, "x", new(atomic.Int64))})
	f.configure(1)
	_, _, err := f.sendCounting("/once/", 5*time.Second)
	is.True(err != nil)
	is.Equal(f.gateway.Assigner.Snapshot(assigner.Query{Pool: "p"}).UnusableEndpoints, 1)
}

// A caller that leaves in the middle of a large response says nothing about the endpoint.
func TestCallerThatLeavesInLargeResponseIsNoEndpointFailure(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{floodOf(unframedHeader, "x", new(atomic.Int64))})
	f.configure(1)
	c, err := net.Dial("tcp", f.Listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /once/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id1\r\nKey: k\r\nLeft: 5000\r\n\r\n")
	is.NoErr(err)
	_, err = io.ReadFull(c, make([]byte, 64<<10))
	is.NoErr(err)
	is.NoErr(c.Close())
	for end := time.Now().Add(5 * time.Second); f.gateway.InFlight() > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.gateway.Assigner.Snapshot(assigner.Query{Pool: "p"}).UnusableEndpoints, 0)
}
