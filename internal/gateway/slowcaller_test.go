package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
)

const (
	// smallBuffer is the size of the kernel's buffers in these tests, so that little is read ahead outside of the gateway.
	smallBuffer = 4 << 10
	// unreadLimit is the shortest time after which an engine cuts off a response that is unread: "some seconds".
	unreadLimit = 2 * time.Second
	// atOnce is what an event and a close may take through the gateway on a busy machine. It is a part of the 400 ms
	// between two events that callers are promised.
	atOnce = 200 * time.Millisecond
)

func setBuffer(option int) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, smallBuffer) })
	}
}

// dialSlowly connects to the gateway with small buffers on both sides, and sends a request. Nothing is read.
func (f *testFleet) dialSlowly(t *testing.T, path string) *net.TCPConn {
	is := is.New(t)
	lc := net.ListenConfig{Control: setBuffer(syscall.SO_SNDBUF)}
	ln, err := lc.Listen(context.Background(), "tcp4", "127.0.0.1:0")
	is.NoErr(err)
	srv := &http.Server{Handler: f.gateway}
	go func() { _ = srv.Serve(ln) }() // ends with the test
	t.Cleanup(func() { _ = srv.Close() })
	d := net.Dialer{Control: setBuffer(syscall.SO_RCVBUF)}
	c, err := d.Dial("tcp4", ln.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id1\r\nKey: k\r\nLeft: 5000\r\n\r\n", path)
	is.NoErr(err)
	return c.(*net.TCPConn)
}

const eventBytes = 1 << 10

func largeEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", eventBytes))
}

// largeStream sends events, and calls end with the error of the first write that took longer than an engine allows, or
// with that of the last write.
func largeStream(events int, end func(err error)) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_ = c.SetWriteBuffer(smallBuffer)
		_, err := io.WriteString(c, unframedHeader)
		for id := 1; id <= events && err == nil; id++ {
			_ = c.SetWriteDeadline(time.Now().Add(unreadLimit))
			_, err = io.WriteString(c, largeEvent(id))
		}
		end(err)
	}
}

// checkReleased checks that nothing is charged any more.
func (f *testFleet) checkReleased(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(time.Second); time.Now().Before(end) && f.gateway.Buffers.Usage() != (bufferlimiter.Usage{}); {
		time.Sleep(5 * time.Millisecond)
	}
	is.New(t).Equal(f.gateway.Buffers.Usage(), bufferlimiter.Usage{})
}

// readEvents reads a response to its end, and returns the number of events and whether it ended completely. The events must
// have the ids 1, 2 and so on.
func readEvents(t *testing.T, c net.Conn) (events int, isComplete bool) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.New(t).NoErr(err)
	data, err := io.ReadAll(resp.Body)
	for text := string(data); strings.HasPrefix(text, largeEvent(events+1)); {
		events++
		text = text[len(largeEvent(events)):]
		if text == "" {
			break
		}
	}
	return events, err == nil
}

// Guards against a caller that does not read and whose engine then cuts the stream off. The engine sends the stream
// completely and is released, and the caller still gets each event once and in order.
func TestCallerThatDoesNotReadDoesNotHoldUpEngine(t *testing.T) {
	const events = 500
	setMemory(t, hostMemory)
	is := is.New(t)
	ended := make(chan error, 1)
	f := startFleet(t, []step{largeStream(events, func(err error) { ended <- err })})
	f.configure(1)
	c := f.dialSlowly(t, "/fixed/")
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(unreadLimit + time.Second):
		t.Fatal("the engine is not read")
	}
	for end := time.Now().Add(time.Second); f.gateway.Assigner.LocalLoad(f.endpoints[0]).Requests > 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(f.gateway.Assigner.LocalLoad(f.endpoints[0]).Requests, 0) // the engine is free although the caller has not read
	is.Equal(f.gateway.Buffers.Usage().Requests, 1)
	got, isComplete := readEvents(t, c)
	is.Equal(got, events)
	is.True(isComplete)
	f.checkReleased(t)
}

// Guards against unbounded memory for a caller that does not read: no more than the bound of one caller is buffered, then
// the response ends, without looking complete, before the engine would cut it off.
func TestResponseOfCallerThatDoesNotReadIsBounded(t *testing.T) {
	for name, path := range map[string]string{"stream": "/fixed/", "large body": "/once/"} {
		t.Run(name, func(t *testing.T) {
			setMemory(t, hostMemory)
			is := is.New(t)
			ended := make(chan error, 1)
			f := startFleet(t, []step{largeStream(8<<10, func(err error) { ended <- err })})
			f.configure(1)
			bound := f.gateway.Buffers.Caller + bufferlimiter.RequestBytes + bufferlimiter.Headroom
			var most atomic.Int64
			stop := make(chan struct{})
			go func() {
				for {
					select {
					case <-stop:
						return
					case <-time.After(time.Millisecond):
						most.Store(max(most.Load(), int64(f.gateway.Buffers.Usage().Bytes)))
					}
				}
			}()
			c := f.dialSlowly(t, path)
			startTime := time.Now()
			err := <-ended
			close(stop)
			is.True(err != nil && !errors.Is(err, os.ErrDeadlineExceeded)) // ended by the gateway, not cut off by the engine
			is.True(time.Since(startTime) < 2*unreadLimit)
			t.Logf("most buffered %d of %d", most.Load(), bound)
			is.True(most.Load() <= int64(bound))
			is.Equal(f.gateway.Assigner.Snapshot(assigner.Query{Pool: "p"}).UnusableEndpoints, 0) // not the engine's fault
			_, isComplete := readEvents(t, c)
			is.True(!isComplete)
			f.checkReleased(t)
		})
	}
}

// Guards against an engine that works on for a caller that has left while its response is read on.
func TestCloseOfSlowCallerReachesEngineAtOnce(t *testing.T) {
	for name, wait := range map[string]time.Duration{"during backpressure": 300 * time.Millisecond, "while read on": 1200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			setMemory(t, hostMemory)
			is := is.New(t)
			closed := make(chan time.Time, 1)
			f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, unframedHeader) // fails as the writes below
				go func() {
					_, _ = c.Read(make([]byte, 1))
					closed <- time.Now()
				}()
				for id, err := 1, error(nil); err == nil; id++ {
					_, err = io.WriteString(c, largeEvent(id))
					time.Sleep(5 * time.Millisecond)
				}
			}})
			f.configure(1)
			c := f.dialSlowly(t, "/fixed/")
			time.Sleep(wait)
			is.Equal(f.gateway.InFlight(), 1)
			closedAt := time.Now()
			is.NoErr(c.Close())
			select {
			case at := <-closed:
				is.True(at.Sub(closedAt) < atOnce)
			case <-time.After(unreadLimit):
				t.Fatal("the engine's connection is still open")
			}
			f.checkReleased(t)
		})
	}
}

// Guards against events that wait in the gateway for others: each is forwarded before the next one is sent.
func TestEventIsForwardedBeforeTheNext(t *testing.T) {
	const events = 50
	setMemory(t, hostMemory)
	is := is.New(t)
	got := make(chan struct{})
	f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, unframedHeader)
		for id := 1; id <= events; id++ {
			_, _ = io.WriteString(c, largeEvent(id)) // the caller misses the event if it fails
			<-got
		}
	}})
	f.configure(1)
	c := f.dialSlowly(t, "/fixed/")
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	var longest time.Duration
	for id := 1; id <= events; id++ {
		startTime := time.Now()
		buf := make([]byte, len(largeEvent(id)))
		_, err := io.ReadFull(resp.Body, buf)
		is.NoErr(err)
		is.Equal(string(buf), largeEvent(id))
		longest = max(longest, time.Since(startTime))
		got <- struct{}{}
	}
	t.Logf("longest wait for an event %s", longest)
	is.True(longest < atOnce)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
}

// Guards against events that are lost when a stream breaks off while its caller is behind: they are delivered, and the end
// does not look complete.
func TestBrokenStreamOfSlowCallerIsDeliveredAndIncomplete(t *testing.T) {
	const events = 100
	setMemory(t, hostMemory)
	is := is.New(t)
	ended := make(chan struct{})
	f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, chunkedHeader)
		for id := 1; id <= events; id++ {
			_, _ = io.WriteString(c, chunk(largeEvent(id))) // the caller misses the event if it fails
		}
		close(ended)
	}})
	f.configure(1)
	c := f.dialSlowly(t, "/fixed/")
	<-ended
	time.Sleep(atOnce)
	got, isComplete := readEvents(t, c)
	is.Equal(got, events)
	is.True(!isComplete)
	f.checkReleased(t)
}

// Guards against callers that never read and hold their response for ever: it is discarded some seconds after the deadline.
func TestResponseOfCallerThatNeverReadsIsDiscarded(t *testing.T) {
	for name, path := range map[string]string{"stream": "/fixed/", "body": "/once/"} {
		t.Run(name, func(t *testing.T) {
			setMemory(t, hostMemory)
			f := startFleet(t, []step{largeStream(300, func(error) {})})
			f.configure(1)
			f.dialSlowly(t, path)
			const limit = 5*time.Second + 6*time.Second + time.Second // time of the caller, as long again as callers wait, margin
			for startTime := time.Now(); time.Since(startTime) < limit; time.Sleep(10 * time.Millisecond) {
				if time.Since(startTime) > time.Second && f.gateway.InFlight() == 0 {
					break
				}
			}
			is.New(t).Equal(f.gateway.InFlight(), 0)
			f.checkReleased(t)
		})
	}
}

// Guards against a process that runs out of memory because it takes all requests: new ones are refused before the bound
// is reached, with the true reason, and served again once others have ended.
func TestRequestsAreRefusedBeforeBoundOfProcess(t *testing.T) {
	const memory = 9 * bufferlimiter.RequestBytes * 4 // nine requests, of which two thirds may be new
	setMemory(t, memory)
	is := is.New(t)
	end := make(chan struct{})
	wait := step(func(c *net.TCPConn, r *http.Request) {
		<-end
		response(200, "ok")(c, r)
	})
	script := make([]step, 6)
	for i := range script {
		script[i] = wait
	}
	f := startFleet(t, append(script, response(200, "ok")))
	f.endpoints[0].Slots = 10
	f.gateway.Assigner.SetEndpoints(f.endpoints)
	f.configure(1)
	results := make(chan int, len(script))
	for range script {
		go func() {
			status, _, _, _ := f.send("/read/", func(r *http.Request) { r.Body, r.ContentLength = http.NoBody, 0 })
			results <- status
		}()
	}
	for deadline := time.Now().Add(2 * time.Second); len(f.requests()) < len(script) && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(len(f.requests()), len(script))
	startTime := time.Now()
	status, body, h, err := f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"reason":"memory"`))
	is.True(h.Get("Retry-After") != "")
	is.True(time.Since(startTime) < atOnce)
	is.True(f.gateway.Buffers.Usage().Bytes <= f.gateway.Buffers.Process)
	close(end)
	for range script {
		is.Equal(<-results, 200)
	}
	f.checkReleased(t)
	status, _, _, err = f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
}

// Guards against callers that hold memory by sending their bodies slowly: the request ends at its deadline, and has not
// run.
func TestBodyThatArrivesSlowlyEndsAtDeadline(t *testing.T) {
	setMemory(t, hostMemory)
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.configure(1)
	c, err := net.Dial("tcp4", f.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /read/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: id1\r\nKey: k\r\nLeft: 300\r\nContent-Length: 50\r\n\r\nx")
	is.NoErr(err)
	startTime := time.Now()
	_ = c.SetReadDeadline(startTime.Add(2 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusRequestTimeout)
	is.True(time.Since(startTime) < 300*time.Millisecond+atOnce)
	is.Equal(len(f.requests()), 0)
	f.checkReleased(t)
}

// Guards against an endpoint that does not read its requests and so holds up all memory for bodies: once the bound of one
// endpoint is reached, requests go to others, and are refused if there are none.
func TestEndpointThatDoesNotReadIsPassedOver(t *testing.T) {
	const memory = 32 * 2 * 80 // two bodies of 80 bytes for one endpoint
	setMemory(t, hostMemory)
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.gateway.Buffers.Endpoint = memory / 32
	f.configure(1)
	account, ok := f.gateway.Buffers.Open()
	is.True(ok)
	endSend, ok := account.BeginSend(f.endpoints[0].ID, 2*80)
	is.True(ok)
	status, body, _, err := f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"reason":"memory"`))
	is.Equal(len(f.requests()), 0)
	endSend()
	account.Close()
	status, _, _, err = f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	f.checkReleased(t)
}

// Guards against events that are lost or repeated when the endpoint of a stream becomes unreachable while it is left unread
// for a slow caller: the stream resumes after the last event that was read.
func TestStreamOfSlowCallerResumesAtAnotherEndpoint(t *testing.T) {
	const events = 200
	setMemory(t, hostMemory)
	is := is.New(t)
	resumedAfter := make(chan int, 1)
	f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, unframedHeader)
		for id := 1; id <= events/2; id++ {
			_, _ = io.WriteString(c, largeEvent(id)) // the connection may be closed meanwhile
		}
		_, _ = c.Read(make([]byte, 1)) // keeps the connection open
	}}, []step{func(c *net.TCPConn, r *http.Request) {
		after, _ := strconv.Atoi(r.Header.Get("After"))
		resumedAfter <- after
		_, _ = io.WriteString(c, unframedHeader)
		for id := after + 1; id <= events; id++ {
			_, _ = io.WriteString(c, largeEvent(id)) // the caller misses the event if it fails
		}
	}})
	f.configure(1)
	c := f.dialSlowly(t, "/stream/")
	time.Sleep(300 * time.Millisecond) // less than the time for which the endpoint is left unread
	after, tick := 0, time.NewTicker(50*time.Millisecond)
	defer tick.Stop()
	timeout := time.After(2 * time.Second)
	for after == 0 {
		select {
		case after = <-resumedAfter:
		case <-tick.C:
			f.failProbe()
		case <-timeout:
			t.Fatal("the stream was not resumed")
		}
	}
	is.True(after > 0 && after < events/2) // it had been left unread
	got, isComplete := readEvents(t, c)
	is.Equal(got, events)
	is.True(isComplete)
	f.checkReleased(t)
}
