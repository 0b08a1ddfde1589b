package gateway_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
)

const responseHeader = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n"

// startCrashFleet starts a fleet with several endpoints that share one sequence of steps.
func startCrashFleet(t *testing.T, endpoints int, steps func(f *testFleet) []step) *testFleet {
	f := startFleet(t, make([][]step, endpoints)...)
	f.steps = steps(f)
	f.configure(1)
	return f
}

// stopListening closes the port of the endpoint at the other end of a connection.
func (f *testFleet) stopListening(c *net.TCPConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.listeners[c.LocalAddr().String()].Close()
}

// crash ends the endpoint at the other end of a connection.
func (f *testFleet) crash(c *net.TCPConn) {
	f.stopListening(c)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, other := range f.connections[c.LocalAddr().String()] {
		_ = other.Close()
	}
}

// crashAfter returns a step that sends a text and then crashes the endpoint.
func (f *testFleet) crashAfter(text string) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, text)
		time.Sleep(30 * time.Millisecond)
		f.crash(c)
	}
}

func events(from, to int) string {
	var text string
	for i := from; i <= to; i++ {
		ev := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(ev), ev)
	}
	return text
}

// withParts sets the parts of a request's prompt that other requests may share.
func withParts(parts string) func(r *http.Request) {
	return func(r *http.Request) { r.Header.Set("Parts", parts) }
}

// crashesAt returns facts about crashes of given ages that have one suspect.
func crashesAt(f crashsuspector.Feature, ages ...time.Duration) crashsuspector.Facts {
	var facts crashsuspector.Facts
	for i, age := range ages {
		facts.Crashes = append(facts.Crashes, crashsuspector.Crash{ID: crashsuspector.CrashID(i), AgeMs: age.Milliseconds(), Suspects: []crashsuspector.Feature{f}})
	}
	return facts
}

// featuresOf returns the features of a request, which it finds by a crash at a fleet of its own.
func featuresOf(t *testing.T, path string, change func(r *http.Request)) []crashsuspector.Feature {
	f := startCrashFleet(t, 1, func(f *testFleet) []step { return []step{f.crashAfter("")} })
	_, _, _, err := f.send(path, change)
	is.New(t).NoErr(err)
	return f.gateway.Suspector.Facts().Crashes[0].Suspects
}

func TestCrashIsRecorded(t *testing.T) {
	for _, c := range []struct {
		name, path string
		steps      func(f *testFleet) []step
		features   int
	}{
		{"no response", "/once/", func(f *testFleet) []step { return []step{f.crashAfter("")} }, 3},
		{"response header", "/fixed/", func(f *testFleet) []step { return []step{f.crashAfter(responseHeader)} }, 3},
		{"one event", "/fixed/", func(f *testFleet) []step { return []step{f.crashAfter(responseHeader + events(1, 1))} }, 3},
		{"part of a body", "/once/", func(f *testFleet) []step { return []step{f.crashAfter(responseHeader + "4\r\nbo")} }, 3},
		{"two events", "/fixed/", func(f *testFleet) []step { return []step{f.crashAfter(responseHeader + events(1, 2))} }, 0},
		{"reset of the connection", "/once/", func(*testFleet) []step { return []step{reset} }, 0},
		{"reset in the stream", "/fixed/", func(*testFleet) []step { return []step{streamOf(1, 0, false)} }, 0},
		{"error status", "/once/", func(f *testFleet) []step {
			return []step{func(c *net.TCPConn, r *http.Request) {
				f.stopListening(c)
				response(http.StatusInternalServerError, "no")(c, r)
			}}
		}, 0},
		{"refusal", "/once/", func(f *testFleet) []step {
			return []step{func(c *net.TCPConn, r *http.Request) {
				f.stopListening(c)
				notRun(c, r)
			}}
		}, 0},
		{"timeout", "/brief/", func(f *testFleet) []step {
			return []step{func(c *net.TCPConn, r *http.Request) {
				f.stopListening(c)
				noResponse(c, r)
			}}
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startCrashFleet(t, 1, c.steps)
			_, _, _, _ = f.send(c.path, withParts("a b"))
			f.Close() // waits for the handlers
			crashes := f.gateway.Suspector.Facts().Crashes
			if c.features == 0 {
				is.Equal(len(crashes), 0)
				return
			}
			is.Equal(len(crashes), 1)
			is.Equal(len(crashes[0].Suspects), c.features) // two parts and the request itself
		})
	}
}

func TestCallerDisconnectIsNotACrash(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := startCrashFleet(t, 1, func(f *testFleet) []step {
		return []step{func(c *net.TCPConn, r *http.Request) {
			f.stopListening(c)
			cancel()
			noResponse(c, r)
			close(closed)
		}}
	})
	_, _, _, err := f.send("/once/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	is.True(err != nil)
	<-closed
	f.Close()
	is.True(f.gateway.Suspector.Facts().IsEmpty())
}

// A single connection shows what has happened to all requests at an endpoint.
func TestRequestsInFlightAtOneCrashAreOneCrash(t *testing.T) {
	is := is.New(t)
	const n = 5
	var received atomic.Int32
	f := startCrashFleet(t, 1, func(f *testFleet) []step {
		steps := make([]step, n)
		for i := range steps {
			steps[i] = func(c *net.TCPConn, r *http.Request) {
				if received.Add(1) == n {
					f.crash(c)
					return
				}
				noResponse(c, r)
			}
		}
		return steps
	})
	var dials, refusals atomic.Int32
	f.gateway.Sender.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials.Add(1)
		c, err := (&dialer.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			refusals.Add(1)
			time.Sleep(100 * time.Millisecond) // until all requests have been lost
		}
		return c, err
	}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			status, _, _, err := f.send(fmt.Sprint("/once/", i), nil)
			is.NoErr(err)
			is.Equal(status, http.StatusBadGateway)
		})
	}
	wg.Wait()
	crashes := f.gateway.Suspector.Facts().Crashes
	is.Equal(len(crashes), 1)
	is.Equal(len(crashes[0].Suspects), n)
	is.Equal(dials.Load(), int32(n+1))
	is.Equal(refusals.Load(), int32(1))
}

// The connections of an endpoint that has crashed may be lost at different times. A stream with events is no suspect.
func TestWaitingRequestsAreSuspectsBeforeTheyAreLost(t *testing.T) {
	is := is.New(t)
	var waiting sync.WaitGroup
	waiting.Add(2)
	f := startCrashFleet(t, 1, func(f *testFleet) []step {
		serve := func(c *net.TCPConn, r *http.Request) {
			switch r.URL.Path {
			case "/fixed/started":
				_, _ = io.WriteString(c, responseHeader+events(1, 2))
				fallthrough
			case "/fixed/waiting":
				time.Sleep(50 * time.Millisecond) // until the events have arrived
				waiting.Done()
				noResponse(c, r)
			default:
				f.stopListening(c)
			}
		}
		return []step{serve, serve, serve}
	})
	started, request := featuresOf(t, "/fixed/started", nil)[0], featuresOf(t, "/fixed/waiting", nil)[0]
	for _, path := range []string{"/fixed/started", "/fixed/waiting"} {
		go f.send(path, nil)
	}
	waiting.Wait()
	status, _, _, err := f.send("/once/crash", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	crashes := f.gateway.Suspector.Facts().Crashes
	is.Equal(len(crashes), 1)
	is.Equal(len(crashes[0].Suspects), 2)
	is.True(slices.Contains(crashes[0].Suspects, request))
	is.True(!slices.Contains(crashes[0].Suspects, started))
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, connections := range f.connections {
		for _, c := range connections {
			_ = c.Close()
		}
	}
}

func TestFactsAreAnnounced(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 2, func(f *testFleet) []step { return []step{f.crashAfter(""), response(200, "a")} })
	announced := make(chan crashsuspector.Facts, 2)
	f.gateway.Announce = func(facts crashsuspector.Facts) { announced <- facts }
	status, _, _, err := f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK) // a first crash does not prevent a retry
	is.Equal(len((<-announced).Crashes), 1)
	is.Equal(len((<-announced).Clearings), 1)
}

func TestSuspectRequestIsNotRetriedAfterCrash(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 3, func(f *testFleet) []step { return []step{f.crashAfter(""), response(200, "a")} })
	part := featuresOf(t, "/read/", withParts("a"))
	for _, feature := range part {
		f.gateway.Suspector.Merge(crashesAt(feature, 2*time.Second))
	}
	status, body, h, err := f.send("/read/", withParts("a"))
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, `{"id":"id1","reason":"suspect"}`)
	is.Equal(h.Get("Retry-After"), "")
	is.Equal(len(f.requests()), 1)
}

// quarantine makes the features of a request quarantined: the crashes are some time apart and have no other suspect.
func (f *testFleet) quarantine(features []crashsuspector.Feature) {
	f.gateway.Suspector.Merge(crashesAt(features[0], 5*time.Second, 4*time.Second, 3*time.Second))
}

func TestQuarantinedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 2, func(*testFleet) []step { return []step{response(200, "a")} })
	f.quarantine(featuresOf(t, "/once/x", nil))
	status, body, h, err := f.send("/once/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"id":"id1","reason":"quarantined"}`)
	is.Equal(h.Get("Retry-After"), "")
	is.Equal(len(f.requests()), 0)
	status, _, _, err = f.send("/once/y", nil) // another request of the caller
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

// No two requests with a part of a prompt are alike.
func TestRequestsWithQuarantinedPartAreRefused(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 2, func(*testFleet) []step { return []step{response(200, "a"), response(200, "b")} })
	all := featuresOf(t, "/once/x", withParts("bad"))
	request := featuresOf(t, "/once/x", nil)
	for _, feature := range all {
		if feature != request[0] {
			f.quarantine([]crashsuspector.Feature{feature})
		}
	}
	for i, c := range []struct {
		parts  string
		status int
	}{
		{"first bad", http.StatusServiceUnavailable},
		{"first", http.StatusOK},
		{"bad", http.StatusServiceUnavailable},
		{"", http.StatusOK},
	} {
		status, _, _, err := f.send(fmt.Sprint("/once/", i), withParts(c.parts))
		is.NoErr(err)
		is.Equal(status, c.status)
	}
	is.Equal(len(f.requests()), 2)
}

func TestWaitingRequestIsWithdrawnWhenQuarantined(t *testing.T) {
	is := is.New(t)
	received, closed := make(chan struct{}), make(chan struct{})
	f := startCrashFleet(t, 2, func(*testFleet) []step {
		return []step{func(c *net.TCPConn, r *http.Request) {
			close(received)
			noResponse(c, r)
			close(closed)
		}, response(200, "a")}
	})
	features := featuresOf(t, "/read/x", nil)
	go func() {
		<-received
		f.quarantine(features)
	}()
	sentAt := time.Now()
	status, body, h, err := f.send("/read/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusBadGateway)
	is.Equal(body, `{"id":"id1","reason":"quarantined"}`)
	is.Equal(h.Get("Retry-After"), "")
	is.True(time.Since(sentAt) < 2*time.Second) // the caller waits for 3 s
	<-closed
	is.Equal(len(f.requests()), 1)
}

// A stream with events does not crash its endpoint any more, and goes on.
func TestStreamWithEventsIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	quarantined := make(chan struct{})
	f := startCrashFleet(t, 1, func(*testFleet) []step {
		return []step{func(c *net.TCPConn, _ *http.Request) {
			_, _ = io.WriteString(c, responseHeader+events(1, 2))
			<-quarantined
			_, _ = io.WriteString(c, events(3, 4)+"0\r\n\r\n")
		}}
	})
	features := featuresOf(t, "/stream/x", nil)
	time.AfterFunc(100*time.Millisecond, func() {
		f.quarantine(features)
		close(quarantined)
	})
	status, body, _, err := f.send("/stream/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
	is.Equal(body, streamBody(1, 4))
}

// The endpoint is connected, but nothing has been written to it.
func TestRequestQuarantinedDuringDialIsNotSent(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 1, func(*testFleet) []step { return []step{response(200, "a")} })
	features := featuresOf(t, "/read/x", nil)
	f.gateway.Sender.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&dialer.Dialer{}).DialContext(context.WithoutCancel(ctx), network, address)
		f.quarantine(features)
		return c, err
	}
	status, body, _, err := f.send("/read/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(body, `{"id":"id1","reason":"quarantined"}`)
	is.Equal(len(f.requests()), 0)
	status, _, _, err = f.send("/read/y", nil) // the endpoint stays in use
	is.NoErr(err)
	is.Equal(status, http.StatusOK)
}

func TestQuarantinedRequestIsTriedAgainByOneRequest(t *testing.T) {
	is := is.New(t)
	f := startCrashFleet(t, 2, func(*testFleet) []step { return []step{response(200, "a"), response(200, "b")} })
	f.gateway.Suspector.Merge(crashesAt(featuresOf(t, "/once/x", nil)[0], 70*time.Second, 65*time.Second, 61*time.Second))
	status, _, _, err := f.send("/once/x", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable) // another host tries it
	f.gateway.Suspector.MayProbe = func() bool { return true }
	for range 2 { // the success of the first lifts the quarantine
		status, _, _, err = f.send("/once/x", nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
}
