package gateway_test

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/buffermeter"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// testCodec is a minimal codec for these tests.
var testCodec = headercodec.Codec{
	ReadRequest: func(r *http.Request) headercodec.CallerRequest {
		ms, _ := strconv.Atoi(r.Header.Get("Left"))
		after, err := strconv.ParseInt(r.Header.Get("After"), 10, 64)
		return headercodec.CallerRequest{
			ID: ident.RequestID(r.Header.Get("Id")), Remaining: time.Duration(ms) * time.Millisecond, Key: fleetconfig.Key(r.Header.Get("Key")),
			Model: fleetconfig.Model(r.Header.Get("Model")), After: after, HasAfter: err == nil, PromptParts: strings.Fields(r.Header.Get("Parts")),
		}
	},
	EndpointHeader: func(r *http.Request, h headercodec.EndpointRequest) http.Header {
		out := http.Header{"Id": r.Header["Id"], "Org": {string(h.Organisation)}, "To": {h.Endpoint}, "Priority": {strconv.Itoa(h.Priority)}}
		if h.HasAfter {
			out.Set("After", strconv.FormatInt(h.After, 10))
		}
		if h.Remaining > 0 {
			out.Set("Left", strconv.FormatInt(h.Remaining.Milliseconds(), 10))
		}
		return out
	},
	ReadResponse: func(status int, h http.Header) headercodec.ResponseInfo {
		release, _ := strconv.Atoi(h.Get("Release"))
		pause, _ := time.ParseDuration(h.Get("Pause"))
		limit, err := strconv.ParseFloat(h.Get("Limit"), 64)
		var ids []ident.RequestID
		for _, id := range h["Id"] {
			if id != "" {
				ids = append(ids, ident.RequestID(id))
			}
		}
		return headercodec.ResponseInfo{
			NotRun: status == http.StatusServiceUnavailable && h.Get("Not-Run") != "", IDs: ids, Signed: len(h["Signed"]) == 1 && h.Get("Signed") != "", IsEncoded: h.Get("Encoded") != "", Release: fleetconfig.Release(release),
			IsLeaving: h.Get("Leaving") != "", Pause: pause, IsLimited: err == nil, RateLimit: ident.Rate(limit),
		}
	},
	SetRetryAfter: func(h http.Header, after time.Duration) {
		if after > 0 {
			h.Set("Retry-After", after.String())
		}
	},
}

// testFleet is a gateway with endpoints whose responses are scripted.
type testFleet struct {
	// bodyBytes limits the bodies of requests; zero selects a low limit.
	bodyBytes int64
	*httptest.Server
	gateway   *gateway.Gateway
	endpoints []fleetconfig.Endpoint

	// oldest is the oldest release on which a request may begin, and cutoff the time at which queued requests on release 1
	// are withdrawn; nil means never.
	oldest atomic.Int64
	cutoff atomic.Pointer[time.Time]

	mu       sync.Mutex
	received []*http.Request
	steps    []step
	// listeners and connections are those of each endpoint, by address.
	listeners   map[string]net.Listener
	connections map[string][]net.Conn
}

// step is the response of an endpoint to the request on one connection, which is closed afterwards.
type step func(c *net.TCPConn, r *http.Request)

func rawResponse(text string) step {
	return func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) }
}

func response(status int, body string) step {
	return rawResponse(fmt.Sprintf("HTTP/1.1 %d X\r\nSigned: s\r\nId: id1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
}

var (
	notRun     = rawResponse("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	reset      = step(func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) })
	noResponse = step(func(c *net.TCPConn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) })
)

// streamOf sends the events with the ids from..to. Unless isComplete is set, it then resets the connection in the
// middle of an event.
func streamOf(from, to int, isComplete bool) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := from; i <= to; i++ {
			ev := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		}
		if isComplete {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "8\r\nid: 99\nd\r\n")
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	}
}

func startFleet(t *testing.T, scripts ...[]step) *testFleet {
	f := &testFleet{listeners: make(map[string]net.Listener), connections: make(map[string][]net.Conn)}
	f.oldest.Store(1)
	var endpoints []fleetconfig.Endpoint
	for i, script := range scripts {
		f.mu.Lock() // the endpoints before it serve already
		f.steps = append(f.steps, script...)
		f.mu.Unlock()
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = ln.Close() })
		endpoints = append(endpoints, fleetconfig.Endpoint{ID: fmt.Sprint("e", i), Pool: "p", Address: ln.Addr().String(), Zone: "z", Slots: 2})
		f.listeners[ln.Addr().String()] = ln
		go f.serve(ln)
	}
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	a.SetEndpoints(endpoints)
	f.endpoints = endpoints
	f.gateway = &gateway.Gateway{
		Codec: testCodec, Assigner: a, Sender: &sender.Sender{Dial: (&dialer.Dialer{}).DialContext}, RetryBudget: &retrybudget.Budget{},
		OldestRelease: func(fleetconfig.Model) fleetconfig.Release { return fleetconfig.Release(f.oldest.Load()) },
		WithdrawalTime: func(_ fleetconfig.Model, release fleetconfig.Release) time.Time {
			cutoff := f.cutoff.Load()
			if cutoff == nil || release > 1 {
				return time.Time{}
			}
			return *cutoff
		},
		RetryAfter: func(left time.Duration) time.Duration { return (left / 3).Round(time.Second) },
		Logger:     &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
		Suspector: &crashsuspector.Suspector{}, Buffers: bufferlimiter.New(int(fleetMemory.Load())),
	}
	buffermeter.LogPressure(f.gateway.Buffers, f.gateway.Logger)
	a.OnSuspect = f.gateway.HandleSuspect
	f.gateway.Suspector.OnQuarantine, f.gateway.Suspector.OnLift = f.gateway.HandleQuarantine, f.gateway.HandleLift
	f.Server = httptest.NewServer(f.gateway)
	t.Cleanup(f.Close)
	return f
}

// serve handles each connection with the next step. The endpoints share one sequence of steps, whichever of them is
// chosen.
func (f *testFleet) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		f.mu.Lock()
		f.connections[ln.Addr().String()] = append(f.connections[ln.Addr().String()], c)
		f.mu.Unlock()
		go f.serveConn(c.(*net.TCPConn))
	}
}

func (f *testFleet) serveConn(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	f.mu.Lock()
	f.received = append(f.received, r)
	var next step
	if len(f.steps) > 0 {
		next, f.steps = f.steps[0], f.steps[1:]
	}
	f.mu.Unlock()
	if next != nil {
		next(c, r)
	}
}

func (f *testFleet) setCutoff(at time.Time) {
	f.cutoff.Store(&at)
}

func (f *testFleet) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.received
}

var routes = []fleetconfig.Route{
	{Name: "once", Prefix: "/once/", Kind: fleetconfig.AtMostOnce, MaxAttempts: 3},
	{Name: "read", Prefix: "/read/", Kind: fleetconfig.Repeatable, MaxAttempts: 2},
	{Name: "open", Prefix: "/open/", Kind: fleetconfig.Repeatable, MaxAttempts: 1, Anonymous: true},
	{Name: "stream", Prefix: "/stream/", Kind: fleetconfig.Stream, Resumable: true, MaxAttempts: 3},
	{Name: "fixed", Prefix: "/fixed/", Kind: fleetconfig.Stream, MaxAttempts: 3},
	{Name: "brief", Prefix: "/brief/", Kind: fleetconfig.AtMostOnce, MaxAttempts: 1, Timeout: 50 * time.Millisecond},
	{Name: "empty", Prefix: "/empty/", Kind: fleetconfig.AtMostOnce, MaxAttempts: 1, Pools: []fleetconfig.PoolShare{{Pool: "none", Weight: 1}}},
}

func (f *testFleet) configure(revision fleetconfig.Revision) bool {
	config := &fleetconfig.Config{
		Revision: revision, Keys: map[fleetconfig.Key]*fleetconfig.Organisation{"k": {Name: "o"}},
		Limits: fleetconfig.Limits{BodyBytes: cmp.Or(f.bodyBytes, 100)}, Pools: map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p"}},
	}
	list := make([]fleetconfig.Route, len(routes))
	for i, r := range routes {
		r.Host = "127.0.0.1"
		if r.Pools == nil {
			r.Pools = []fleetconfig.PoolShare{{Pool: "p", Weight: 1}}
		}
		if r.Timeout == 0 {
			r.Timeout = 5 * time.Second
		}
		list[i] = r
	}
	config.SetRoutes(list)
	return f.gateway.SetConfig(config)
}

func (f *testFleet) send(path string, change func(r *http.Request)) (int, string, http.Header, error) {
	r, err := http.NewRequest(http.MethodPost, f.URL+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", nil, err
	}
	for k, v := range map[string]string{"Id": "id1", "Left": "3000", "Key": "k"} {
		r.Header.Set(k, v)
	}
	if change != nil {
		change(r)
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), resp.Header, err
}

func TestResponses(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		scripts [][]step
		status  int
		body    string
		// sent is the number of requests that reached endpoints.
		sent int
	}{
		{"response is forwarded", "/once/", [][]step{{response(200, "ok")}}, 200, "ok", 1},
		{"endpoint error is forwarded", "/once/", [][]step{{response(500, "no")}}, 500, "no", 1},
		{"request that was not run is retried", "/once/", [][]step{{notRun}, {response(200, "ok")}}, 200, "ok", 2},
		{"request that may have run is not retried", "/once/", [][]step{{reset}, {response(200, "ok")}}, 502, "", 1},
		{"repeatable request that may have run is retried", "/read/", [][]step{{reset}, {response(200, "ok")}}, 200, "ok", 2},
		{"repeatable request is retried after an endpoint error", "/read/", [][]step{{response(500, "no")}, {response(200, "ok")}}, 200, "ok", 2},
		{"last endpoint error is forwarded", "/read/", [][]step{{response(500, "no")}, {response(500, "no")}, {response(200, "ok")}}, 500, "no", 2},
		{"attempts of the route are not exceeded", "/open/", [][]step{{notRun}, {response(200, "ok")}}, 503, "", 1},
		{"all endpoints refuse", "/once/", [][]step{{notRun}, {notRun}}, 503, "", 2},
		{"no endpoint", "/empty/", nil, 503, "", 0},
		{"503 that does not confirm that the request was not run becomes 502", "/once/", [][]step{{response(503, "no")}, {response(200, "ok")}}, 502, "", 1},
		{"429 becomes 502", "/once/", [][]step{{response(429, "no")}}, 502, "", 1},
		{"408 becomes 502", "/once/", [][]step{{response(408, "no")}}, 502, "", 1},
		{"repeatable request is retried after a 429", "/read/", [][]step{{response(429, "no")}, {response(200, "ok")}}, 200, "ok", 2},
		{"repeatable request that may have run ends with 502", "/read/", [][]step{{response(503, "no")}, {notRun}}, 502, "", 2},
		{"route deadline expires", "/brief/", [][]step{{noResponse}}, 504, "", 1},
		{"no route", "/other/", nil, 404, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, c.scripts...)
			is.True(f.configure(1))
			startedAt := time.Now()
			status, body, h, err := f.send(c.path, nil)
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(len(f.requests()), c.sent)
			is.True(time.Since(startedAt) < time.Second) // final responses are sent immediately
			if c.body != "" {
				is.Equal(body, c.body)
				is.Equal(h.Get("Signed"), "s")
			}
			if status == http.StatusServiceUnavailable {
				is.True(h.Get("Retry-After") != "")
			}
			if status == http.StatusBadGateway {
				is.Equal(h.Get("Signed"), "") // the gateway's own response does not carry the endpoint's signature
				is.Equal(h.Get("Retry-After"), "")
			}
		})
	}
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503) // no configuration yet
	is.True(f.configure(2))
	is.True(!f.configure(1)) // an older revision is not applied
	status, _, _, err = f.send("/once/", func(r *http.Request) { r.Header.Set("Key", "other") })
	is.NoErr(err)
	is.Equal(status, 401)
	status, _, _, err = f.send("/once/", func(r *http.Request) {
		r.ContentLength = 1000
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1000)))
	})
	is.NoErr(err)
	is.Equal(status, 413)
	status, _, _, err = f.send("/open/", func(r *http.Request) { r.Header.Del("Key") })
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(f.requests()), 1)
	is.Equal(f.requests()[0].Header.Get("Org"), "")
}

func TestEndpointReceivesRemainingTime(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{notRun}, []step{response(200, "ok")})
	f.configure(1)
	_, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	for _, r := range f.requests() {
		left, err := strconv.Atoi(r.Header.Get("Left"))
		is.NoErr(err)
		is.True(left > 2000 && left <= 3000)
		is.Equal(r.Header.Get("Org"), "o")
	}
}

func streamBody(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestInterruptedStreamResumesAtAnotherEndpoint(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{streamOf(1, 3, false)}, []step{streamOf(4, 4, false)}, []step{streamOf(5, 6, true)})
	f.configure(1)
	status, body, _, err := f.send("/stream/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, streamBody(1, 6))
	is.Equal(f.requests()[1].Header.Get("After"), "3")
	is.Equal(f.requests()[2].Header.Get("After"), "4")
}

// A stream that cannot resume is aborted, so that the caller does not take it for complete.
func TestInterruptedStreamIsNotEndedNormally(t *testing.T) {
	for path, scripts := range map[string][][]step{
		"/fixed/":  {{streamOf(1, 3, false)}, {streamOf(4, 6, true)}},
		"/stream/": {{streamOf(1, 3, false)}, {streamOf(6, 9, true)}, {response(500, "no")}},
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, scripts...)
			f.configure(1)
			status, body, _, err := f.send(path, nil)
			is.Equal(status, 200)
			is.True(err != nil)
			is.Equal(body, streamBody(1, 3))
		})
	}
}

func TestCallerDisconnectClosesEndpointConnection(t *testing.T) {
	is := is.New(t)
	closed := make(chan struct{})
	f := startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(closed)
	}})
	f.configure(1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, _, err := f.send("/once/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	is.True(err != nil)
	select {
	case <-closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("endpoint connection still open 500 ms after the caller disconnected")
	}
}

func TestShutdownClosesConnectionsAndThenRefuses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok"), response(200, "ok")})
	f.configure(1)
	f.gateway.BeginShutdown(time.Now().Add(time.Minute))
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200) // a host that is shutting down still serves requests
	f.gateway.RefuseRequests()
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(len(f.requests()), 1)
}

// Guards against a request without descriptors that is sent to an endpoint, or whose connection stays open.
func TestRequestWithoutDescriptorsIsRefused(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.configure(1)
	f.Server.Close()
	f.Server = httptest.NewServer(http.HandlerFunc(f.gateway.RefuseWithoutDescriptors))
	t.Cleanup(f.Close)
	status, body, h, err := f.send("/read/", nil)
	is.NoErr(err)
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"reason":"connections"`))
	is.True(h.Get("Retry-After") != "")
	is.Equal(len(f.requests()), 0)
}

// In a planned stop, requests that came late in the grace period, or were in progress, were cut off without an answer at its end: their own time
// limits were later.
func TestRequestsAreAnsweredBeforePlannedStopEnds(t *testing.T) {
	const untilEnd = 400 * time.Millisecond
	hang := func(c *net.TCPConn, _ *http.Request) { _, _ = io.Copy(io.Discard, c) }
	for name, c := range map[string]struct {
		path      string
		isLate    bool // the request comes after the signal
		script    []step
		wantCode  int
		wantTries int
	}{
		"in progress":                  {"/once/", false, []step{hang}, 504, 1},
		"late":                         {"/once/", true, []step{hang}, 504, 1},
		"late, stream":                 {"/stream/", true, []step{hang}, 504, 1},
		"late, repeatable":             {"/read/", true, []step{hang}, 504, 1},
		"late, and answered in time":   {"/once/", true, []step{response(200, "ok")}, 200, 1},
		"in progress, answered before": {"/once/", false, []step{response(200, "ok")}, 200, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, c.script)
			f.configure(1)
			begin := func() { f.gateway.BeginShutdown(time.Now().Add(untilEnd)) }
			if c.isLate {
				begin()
			} else {
				time.AfterFunc(50*time.Millisecond, begin)
			}
			startedAt := time.Now()
			status, _, _, err := f.send(c.path, func(r *http.Request) { r.Header.Set("Left", "6000") })
			is.NoErr(err) // an answer, and not a closed connection
			is.Equal(status, c.wantCode)
			is.Equal(len(f.requests()), c.wantTries)
			is.True(time.Since(startedAt) < untilEnd+300*time.Millisecond)
		})
	}
}

// A request that cannot be over by the end of a planned stop is refused at once, as not run.
func TestRequestIsRefusedIfPlannedStopEndsBefore(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.configure(1)
	f.gateway.BeginShutdown(time.Now().Add(10 * time.Millisecond))
	status, _, h, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(h.Get("Retry-After") != "")
	is.Equal(len(f.requests()), 0)
}

// All engines have lost power and are loading. The first attempt of a caller is refused immediately with a
// Retry-After. A caller that retries does not retry again, so its request waits for engines that recover soon.
func TestRetryingCallerWaitsForEndpoints(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.configure(1)
	healthy := f.endpoints
	f.gateway.Assigner.SetEndpoints(nil)
	startedAt := time.Now()
	status, _, h, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(h.Get("Retry-After"), "2s")
	is.True(time.Since(startedAt) < 200*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { f.gateway.Assigner.SetEndpoints(healthy) })
	status, _, _, err = f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 200)
	f.gateway.Assigner.SetEndpoints(nil)
	startedAt = time.Now()
	status, _, _, err = f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "2000") })
	is.NoErr(err)
	is.Equal(status, 503) // too little time is left for a response
	is.True(time.Since(startedAt) < 200*time.Millisecond)
}

// All engines have lost power, but their entries are still in the store. A retrying caller that only finds such
// endpoints waits for engines as well, unless its request may have run.
func TestRetryingCallerWaitsAfterFailedConnections(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "ok")})
	f.configure(1)
	healthy := f.endpoints
	unreachable := healthy[0]
	unreachable.ID, unreachable.Address = "gone", "127.0.0.1:1"
	f.gateway.Assigner.SetEndpoints(nil)
	_, _, _, err := f.send("/open/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	f.gateway.Assigner.SetEndpoints([]fleetconfig.Endpoint{unreachable})
	time.AfterFunc(300*time.Millisecond, func() { f.gateway.Assigner.SetEndpoints(healthy) })
	status, _, _, err := f.send("/open/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 200)
	f = startFleet(t, []step{reset})
	f.configure(1)
	_, _, _, err = f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	startedAt := time.Now()
	status, _, _, err = f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.True(status >= 502 && time.Since(startedAt) < 300*time.Millisecond)
}

// startFleetWithRefusingEndpoints returns a fleet whose endpoints refuse the first request each, and to whose gateway a
// caller that states six seconds has sent a first attempt. The gateway has no endpoints yet.
func startFleetWithRefusingEndpoints(t *testing.T, endpoints int) *testFleet {
	scripts := make([][]step, endpoints)
	for i := range scripts {
		scripts[i] = []step{notRun}
	}
	f := startFleet(t, scripts...)
	f.configure(1)
	f.gateway.Assigner.SetEndpoints(nil)
	_, _, _, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.New(t).NoErr(err)
	return f
}

// All engines have lost power and have started again under other ids, and their old entries are still in the store: each
// of them refuses the request. Repeats of callers that wait for endpoints are limited like all others.
func TestRetryingCallerReachesEndpointsBeyondRetryBudget(t *testing.T) {
	is := is.New(t)
	f := startFleetWithRefusingEndpoints(t, 20)
	f.gateway.Assigner.SetEndpoints(f.endpoints)
	status, _, _, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 503)
	repeats := len(f.requests()) - 1
	is.True(repeats <= retrybudget.InitialTokens) // two requests have not added a whole token
}

// As above. The engines' new entries come while the caller waits.
func TestRetryingCallerIsServedByEndpointListedAfterRefusals(t *testing.T) {
	is := is.New(t)
	const outdated = 10
	f := startFleetWithRefusingEndpoints(t, outdated+1)
	f.gateway.Assigner.SetEndpoints(f.endpoints[:outdated])
	time.AfterFunc(300*time.Millisecond, func() {
		f.mu.Lock()
		f.steps = []step{response(200, "ok")}
		f.mu.Unlock()
		f.gateway.Assigner.SetEndpoints(f.endpoints)
	})
	status, _, _, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(f.requests()), 4)              // three refusals, and the endpoint that was listed last
	is.True(f.gateway.RetryBudget.SpendRetry()) // the wait has not used up the budget
}

// Sustained overload: a retrying caller is refused as fast as a first attempt. Waiting for capacity would only take
// it from requests that can still meet their objective.
func TestRetryingCallerDoesNotWaitForCapacity(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{noResponse, noResponse, noResponse, noResponse, noResponse, noResponse})
	f.configure(1)
	for range 6 { // two slots and twice as many queued requests
		go func() { _, _, _, _ = f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") }) }()
	}
	for end := time.Now().Add(5 * time.Second); f.gateway.InFlight() < 6 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	status, _, _, err := f.send("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(time.Since(startedAt) < 300*time.Millisecond)
}

// setModel makes r a request for the model that serveModel adds.
func (f *testFleet) setModel(r *http.Request) { r.Header.Set("Model", "m") }

// serveModel makes all endpoints serve the model "m" on release 1.
func (f *testFleet) serveModel() {
	for i := range f.endpoints {
		f.endpoints[i].Models = []fleetconfig.ServedModel{{Model: "m", Release: 1}}
	}
	f.gateway.Assigner.SetEndpoints(f.endpoints)
}

// serveReleases makes the first endpoint serve release 1, and the second one, in another zone, release 2.
func (f *testFleet) serveReleases() {
	for i := range f.endpoints {
		f.endpoints[i].Models = []fleetconfig.ServedModel{{Model: "m", Release: fleetconfig.Release(i + 1)}}
	}
	f.endpoints[1].Zone = "y"
	f.gateway.Assigner.SetEndpoints(f.endpoints)
}

// A request that is still queued at an engine on an older release is withdrawn at the cutoff and sent elsewhere. One
// that has begun continues.
func TestQueuedRequestIsWithdrawnAtCutoff(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{noResponse}, []step{streamOf(1, 2, true)})
	f.setCutoff(time.Now().Add(200 * time.Millisecond))
	f.configure(1)
	f.serveReleases()
	status, body, _, err := f.send("/stream/", f.setModel)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, streamBody(1, 2))
	is.Equal(len(f.requests()), 2)

	f = startFleet(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\n\r\n")
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}})
	f.setCutoff(time.Now().Add(100 * time.Millisecond))
	f.configure(1)
	f.serveModel()
	status, _, _, err = f.send("/stream/", f.setModel)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(f.requests()), 1)
}

// A request that waited at an engine when a newer release was found was not withdrawn at the cutoff.
func TestRequestThatWaitsWhenReleaseIsFoundIsNotWithdrawn(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{noResponse}, []step{streamOf(1, 2, true)})
	f.configure(1)
	f.serveReleases()
	time.AfterFunc(100*time.Millisecond, func() { f.setCutoff(time.Now().Add(400 * time.Millisecond)) })
	status, body, _, err := f.send("/stream/", f.setModel)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, streamBody(1, 2))
	is.Equal(len(f.requests()), 2)
}

// An interrupted stream does not resume on a release on which no request may begin any more.
func TestInterruptedStreamDoesNotResumeOnExpiredRelease(t *testing.T) {
	is := is.New(t)
	interrupted := func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nRelease: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n")
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	f := startFleet(t, []step{interrupted}, []step{streamOf(2, 3, true)})
	f.configure(1)
	f.serveModel()
	time.AfterFunc(20*time.Millisecond, func() { f.oldest.Store(2) })
	_, body, _, err := f.send("/stream/", f.setModel)
	is.True(err != nil)
	is.Equal(body, streamBody(1, 1))
	is.Equal(len(f.requests()), 1)
}

// An endpoint that says in a response that it is leaving gets no further request from this host, whatever its entry
// says: not by a retry, not after its entry was missing or written again, and no probe. A new incarnation does.
func TestLeavingEndpointGetsNoFurtherRequests(t *testing.T) {
	leavingAnswer := rawResponse("HTTP/1.1 200 X\r\nSigned: s\r\nId: id1\r\nLeaving: 1\r\nContent-Length: 2\r\n\r\nok")
	leavingRefusal := rawResponse("HTTP/1.1 503 X\r\nNot-Run: 1\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n")
	for name, first := range map[string]struct {
		step   step
		status int
	}{"answer": {leavingAnswer, 200}, "refusal": {leavingRefusal, 503}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{first.step, response(200, "ok"), response(200, "ok")})
			f.configure(1)
			status, _, _, err := f.send("/once/", nil)
			is.NoErr(err)
			is.Equal(status, first.status)
			for range 2 {
				status, _, _, err = f.send("/once/", nil)
				is.NoErr(err)
				is.Equal(status, 503)
				f.gateway.Assigner.SetEndpoints(nil)
				f.gateway.Assigner.SetEndpoints(f.endpoints)
			}
			is.Equal(len(f.requests()), 1)
			is.Equal(len(f.gateway.Assigner.DueProbes()), 0)
			f.endpoints[0].StartTime++
			f.gateway.Assigner.SetEndpoints(f.endpoints)
			status, _, _, err = f.send("/once/", nil)
			is.NoErr(err)
			is.Equal(status, 200)
		})
	}
}

// An endpoint asks for a pause. It gets neither requests nor probes until then. While all endpoints have asked for one,
// callers are refused at once, with the time when the first pause ends.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{rawResponse("HTTP/1.1 503 X\r\nNot-Run: 1\r\nPause: 400ms\r\nContent-Length: 0\r\n\r\n"), response(200, "ok")})
	f.configure(1)
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	for range 3 {
		startedAt := time.Now()
		status, body, h, err := f.send("/once/", nil)
		is.NoErr(err)
		is.Equal(status, 503)
		is.True(strings.Contains(body, "paused"))
		after, err := time.ParseDuration(h.Get("Retry-After"))
		is.NoErr(err)
		is.True(after > 0 && after <= 400*time.Millisecond)
		is.True(time.Since(startedAt) < 200*time.Millisecond)
	}
	is.Equal(len(f.requests()), 1)
	is.Equal(len(f.gateway.Assigner.DueProbes()), 0)
	time.Sleep(400 * time.Millisecond)
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
}

// slowStream sends the events from..to with a pause before each, and one byte of a further event now and then until the
// connection is closed.
func slowStream(from, to int, pause time.Duration) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nSigned: s\r\nId: id1\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := from; i <= to; i++ {
			time.Sleep(pause)
			ev := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		}
		for {
			time.Sleep(pause)
			if _, err := io.WriteString(c, "1\r\nx\r\n"); err != nil {
				return
			}
		}
	}
}

// A stream whose events are far apart is not cut, and one that sends only a byte now and then ends at its deadline.
func TestSlowStreamContinuesAndStalledStreamEnds(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{slowStream(1, 3, 700*time.Millisecond)})
	f.configure(1)
	startedAt := time.Now()
	status, body, _, err := f.send("/fixed/", nil)
	is.Equal(status, 200)
	is.True(err != nil) // the stream is not complete
	is.Equal(body, streamBody(1, 3))
	took := time.Since(startedAt)
	is.True(took > 2900*time.Millisecond && took < 3500*time.Millisecond) // the caller waits for three seconds
}
