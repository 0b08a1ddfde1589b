package gateway_test

import (
	"bufio"
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

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/dialect"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

// wire is a dialect of this test alone.
var wire = dialect.Dialect{
	Read: func(r *http.Request) dialect.Call {
		ms, _ := strconv.Atoi(r.Header.Get("Left"))
		after, err := strconv.ParseInt(r.Header.Get("After"), 10, 64)
		return dialect.Call{
			ID: ident.Request(r.Header.Get("Id")), Remaining: time.Duration(ms) * time.Millisecond, Key: directory.Key(r.Header.Get("Key")),
			Model: directory.Model(r.Header.Get("Model")), After: after, Resumes: err == nil,
		}
	},
	Compose: func(r *http.Request, h dialect.Handover) http.Header {
		out := http.Header{"Id": r.Header["Id"], "Org": {string(h.Organisation)}, "To": {h.Endpoint}}
		if h.Resumes {
			out.Set("After", strconv.FormatInt(h.After, 10))
		}
		if h.Remaining > 0 {
			out.Set("Left", strconv.FormatInt(h.Remaining.Milliseconds(), 10))
		}
		return out
	},
	Matches: func(ident.Request, http.Header) bool { return true },
	Judge: func(status int, h http.Header) dialect.Verdict {
		release, _ := strconv.Atoi(h.Get("Release"))
		return dialect.Verdict{
			NotRun: status == http.StatusServiceUnavailable && h.Get("Not-Run") != "", Release: directory.Release(release),
		}
	},
	Refuse: func(h http.Header, after time.Duration) {
		if after > 0 {
			h.Set("Retry-After", after.String())
		}
	},
}

// fleet is a gateway before endpoints that the test scripts.
type fleet struct {
	*httptest.Server
	gateway   *gateway.Gateway
	endpoints []directory.Endpoint

	// oldest is the oldest release on which a request may begin, and cutoff when waiting ones are taken back.
	oldest atomic.Int64
	cutoff time.Time

	mu     sync.Mutex
	seen   []*http.Request
	script []step
}

type step func(c *net.TCPConn, r *http.Request)

func reply(text string) step {
	return func(c *net.TCPConn, _ *http.Request) { _, _ = io.WriteString(c, text) }
}

func whole(status int, body string) step {
	return reply(fmt.Sprintf("HTTP/1.1 %d X\r\nSigned: s\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body))
}

var (
	notRun = reply("HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
	broken = step(func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) })
	hang   = step(func(c *net.TCPConn, _ *http.Request) { _, _ = c.Read(make([]byte, 1)) })
)

// events returns a stream of the events from and to, which is broken off unless it is said to end.
func events(from, to int, isWhole bool) step {
	return func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for i := from; i <= to; i++ {
			ev := fmt.Sprintf("id: %d\ndata: x\n\n", i)
			_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev)
		}
		if isWhole {
			_, _ = io.WriteString(c, "0\r\n\r\n")
			return
		}
		_, _ = io.WriteString(c, "8\r\nid: 99\nd\r\n")
		time.Sleep(30 * time.Millisecond)
		_ = c.SetLinger(0)
	}
}

func start(t *testing.T, scripts ...[]step) *fleet {
	f := &fleet{}
	f.oldest.Store(1)
	var endpoints []directory.Endpoint
	for i, script := range scripts {
		f.script = append(f.script, script...)
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = ln.Close() })
		endpoints = append(endpoints, directory.Endpoint{ID: fmt.Sprint("e", i), Pool: "p", Address: ln.Addr().String(), Zone: "z", Slots: 2})
		go f.play(ln)
	}
	a := &assigner.Assigner{Zone: "z", Draw: func() float64 { return 0 }}
	a.SetEndpoints(endpoints)
	f.endpoints = endpoints
	f.gateway = &gateway.Gateway{
		Dialect: wire, Assigner: a, Sender: &sender.Sender{Dial: (&dialer.Dialer{}).DialContext}, Budget: &retrybudget.Budget{},
		Release: func(directory.Model) directory.Release { return directory.Release(f.oldest.Load()) },
		Cutoff: func(directory.Model, directory.Release) time.Time {
			if time.Now().After(f.cutoff) {
				return time.Time{}
			}
			return f.cutoff
		},
		Return: func(left time.Duration) time.Duration { return (left / 3).Round(time.Second) },
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel}, Meter: gateway.NewMeter(prometheus.NewRegistry()),
	}
	f.Server = httptest.NewServer(f.gateway)
	t.Cleanup(f.Close)
	return f
}

// play answers with the steps of all scripts in their order, whichever endpoint is asked.
func (f *fleet) play(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go f.answer(c.(*net.TCPConn))
	}
}

func (f *fleet) answer(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	f.mu.Lock()
	f.seen = append(f.seen, r)
	var s step
	if len(f.script) > 0 {
		s, f.script = f.script[0], f.script[1:]
	}
	f.mu.Unlock()
	if s != nil {
		s(c, r)
	}
}

func (f *fleet) requests() []*http.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.seen
}

var routes = []directory.Route{
	{Name: "once", Prefix: "/once/", Kind: directory.Once, Attempts: 3},
	{Name: "read", Prefix: "/read/", Kind: directory.Repeatable, Attempts: 2},
	{Name: "open", Prefix: "/open/", Kind: directory.Repeatable, Attempts: 1, Anonymous: true},
	{Name: "stream", Prefix: "/stream/", Kind: directory.Stream, Resumable: true, Attempts: 3},
	{Name: "fixed", Prefix: "/fixed/", Kind: directory.Stream, Attempts: 3},
	{Name: "brief", Prefix: "/brief/", Kind: directory.Once, Attempts: 1, Timeout: 50 * time.Millisecond},
	{Name: "empty", Prefix: "/empty/", Kind: directory.Once, Attempts: 1, Shares: []directory.Share{{Pool: "none", Weight: 1}}},
}

func (f *fleet) configure(revision directory.Revision) bool {
	d := &directory.Directory{
		Revision: revision, Keys: map[directory.Key]*directory.Organisation{"k": {Name: "o"}},
		Limits: directory.Limits{BodyBytes: 100}, Pools: map[ident.Pool]*directory.Pool{"p": {Name: "p"}},
	}
	list := make([]directory.Route, len(routes))
	for i, r := range routes {
		r.Host = "127.0.0.1"
		if r.Shares == nil {
			r.Shares = []directory.Share{{Pool: "p", Weight: 1}}
		}
		if r.Timeout == 0 {
			r.Timeout = 5 * time.Second
		}
		list[i] = r
	}
	d.SetRoutes(list)
	return f.gateway.SetDirectory(d)
}

func (f *fleet) do(path string, change func(r *http.Request)) (int, string, http.Header, error) {
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

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		name    string
		path    string
		scripts [][]step
		status  int
		body    string
		// sent is the number of requests that reached endpoints.
		sent int
	}{
		{"an answer goes through", "/once/", [][]step{{whole(200, "ok")}}, 200, "ok", 1},
		{"a failure of the endpoint goes through", "/once/", [][]step{{whole(500, "no")}}, 500, "no", 1},
		{"one that was not run is tried elsewhere", "/once/", [][]step{{notRun}, {whole(200, "ok")}}, 200, "ok", 2},
		{"one that may have run is not", "/once/", [][]step{{broken}, {whole(200, "ok")}}, 502, "", 1},
		{"a repeatable one is", "/read/", [][]step{{broken}, {whole(200, "ok")}}, 200, "ok", 2},
		{"a repeatable one after a failure too", "/read/", [][]step{{whole(500, "no")}, {whole(200, "ok")}}, 200, "ok", 2},
		{"the last failure is told", "/read/", [][]step{{whole(500, "no")}, {whole(500, "no")}, {whole(200, "ok")}}, 500, "no", 2},
		{"no more attempts than allowed", "/open/", [][]step{{notRun}, {whole(200, "ok")}}, 503, "", 1},
		{"all refuse", "/once/", [][]step{{notRun}, {notRun}}, 503, "", 2},
		{"no endpoint", "/empty/", nil, 503, "", 0},
		{"a 503 without the word that it has not run is no promise", "/once/", [][]step{{whole(503, "no")}, {whole(200, "ok")}}, 502, "", 1},
		{"nor is a 429", "/once/", [][]step{{whole(429, "no")}}, 502, "", 1},
		{"nor is a 408", "/once/", [][]step{{whole(408, "no")}}, 502, "", 1},
		{"a repeatable one goes on after a 429", "/read/", [][]step{{whole(429, "no")}, {whole(200, "ok")}}, 200, "ok", 2},
		{"a repeatable one that may have run ends without a promise", "/read/", [][]step{{whole(503, "no")}, {notRun}}, 502, "", 2},
		{"deadline of the route", "/brief/", [][]step{{hang}}, 504, "", 1},
		{"no route", "/other/", nil, 404, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, c.scripts...)
			is.True(f.configure(1))
			begun := time.Now()
			status, body, h, err := f.do(c.path, nil)
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(len(f.requests()), c.sent)
			is.True(time.Since(begun) < time.Second) // final answers are given at once
			if c.body != "" {
				is.Equal(body, c.body)
				is.Equal(h.Get("Signed"), "s")
			}
			if status == http.StatusServiceUnavailable {
				is.True(h.Get("Retry-After") != "")
			}
			if status == http.StatusBadGateway {
				is.Equal(h.Get("Signed"), "") // our own failure does not bear the endpoint's signature
				is.Equal(h.Get("Retry-After"), "")
			}
		})
	}
}

func TestRequestsThatAreNotProper(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{whole(200, "ok")})
	status, _, _, err := f.do("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503) // no configuration yet
	is.True(f.configure(2))
	is.True(!f.configure(1)) // never back
	status, _, _, err = f.do("/once/", func(r *http.Request) { r.Header.Set("Key", "other") })
	is.NoErr(err)
	is.Equal(status, 401)
	status, _, _, err = f.do("/once/", func(r *http.Request) {
		r.ContentLength = 1000
		r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", 1000)))
	})
	is.NoErr(err)
	is.Equal(status, 413)
	status, _, _, err = f.do("/open/", func(r *http.Request) { r.Header.Del("Key") })
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(f.requests()), 1)
	is.Equal(f.requests()[0].Header.Get("Org"), "")
}

func TestEndpointIsToldWhatIsLeft(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{notRun}, []step{whole(200, "ok")})
	f.configure(1)
	_, _, _, err := f.do("/once/", nil)
	is.NoErr(err)
	for _, r := range f.requests() {
		left, err := strconv.Atoi(r.Header.Get("Left"))
		is.NoErr(err)
		is.True(left > 2000 && left <= 3000)
		is.Equal(r.Header.Get("Org"), "o")
	}
}

func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

func TestCutStreamGoesOnElsewhere(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{events(1, 3, false)}, []step{events(4, 4, false)}, []step{events(5, 6, true)})
	f.configure(1)
	status, body, _, err := f.do("/stream/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, stream(1, 6))
	is.Equal(f.requests()[1].Header.Get("After"), "3")
	is.Equal(f.requests()[2].Header.Get("After"), "4")
}

// A stream that cannot go on is broken off; it never looks whole.
func TestCutStreamDoesNotLookWhole(t *testing.T) {
	for path, scripts := range map[string][][]step{
		"/fixed/":  {{events(1, 3, false)}, {events(4, 6, true)}},
		"/stream/": {{events(1, 3, false)}, {events(6, 9, true)}, {whole(500, "no")}},
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			f := start(t, scripts...)
			f.configure(1)
			status, body, _, err := f.do(path, nil)
			is.Equal(status, 200)
			is.True(err != nil)
			is.Equal(body, stream(1, 3))
		})
	}
}

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
	is := is.New(t)
	gone := make(chan struct{})
	f := start(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(gone)
	}})
	f.configure(1)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, _, _, err := f.do("/once/", func(r *http.Request) { *r = *r.WithContext(ctx) })
	is.True(err != nil)
	select {
	case <-gone:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the endpoint was still at work half a second after the caller had left")
	}
}

func TestLeavingHostEndsItsConnectionsAndThenRefuses(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{whole(200, "ok"), whole(200, "ok")})
	f.configure(1)
	f.gateway.Leave()
	status, _, _, err := f.do("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200) // it still serves who has not heard
	f.gateway.Close()
	status, _, _, err = f.do("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(len(f.requests()), 1)
}

// Load pattern: all engines lost power and load again. A newcomer is refused at once with a time to come back; a caller
// that came back has no further try, so it waits for engines that serve soon.
func TestCallerThatCameBackWaitsForEndpoints(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{whole(200, "ok")})
	f.configure(1)
	serving := f.endpoints
	f.gateway.Assigner.SetEndpoints(nil)
	begun := time.Now()
	status, _, h, err := f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(h.Get("Retry-After"), "2s")
	is.True(time.Since(begun) < 200*time.Millisecond)
	time.AfterFunc(300*time.Millisecond, func() { f.gateway.Assigner.SetEndpoints(serving) })
	status, _, _, err = f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 200)
	f.gateway.Assigner.SetEndpoints(nil)
	begun = time.Now()
	status, _, _, err = f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "2000") })
	is.NoErr(err)
	is.Equal(status, 503) // there is no time left for an answer
	is.True(time.Since(begun) < 200*time.Millisecond)
}

// Load pattern: all engines lost power, and their entries are still there. A caller that came back and found only such
// waits for engines as well; one whose request may have run does not.
func TestCallerThatCameBackWaitsAfterFailedConnections(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{whole(200, "ok")})
	f.configure(1)
	serving := f.endpoints
	gone := serving[0]
	gone.ID, gone.Address = "gone", "127.0.0.1:1"
	f.gateway.Assigner.SetEndpoints(nil)
	_, _, _, err := f.do("/open/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	f.gateway.Assigner.SetEndpoints([]directory.Endpoint{gone})
	time.AfterFunc(300*time.Millisecond, func() { f.gateway.Assigner.SetEndpoints(serving) })
	status, _, _, err := f.do("/open/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 200)
	f = start(t, []step{broken})
	f.configure(1)
	_, _, _, err = f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") })
	is.NoErr(err)
	begun := time.Now()
	status, _, _, err = f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.True(status >= 502 && time.Since(begun) < 300*time.Millisecond)
}

// Load pattern: overload that lasts. A caller that came back is refused as fast as a newcomer, since waiting for room only
// takes it from those that can still be in time.
func TestCallerThatCameBackDoesNotWaitForRoom(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{hang, hang, hang, hang, hang, hang})
	f.configure(1)
	for range 6 { // two slots and twice as many that wait
		go func() { _, _, _, _ = f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "6000") }) }()
	}
	for end := time.Now().Add(5 * time.Second); f.gateway.Running() < 6 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	status, _, _, err := f.do("/once/", func(r *http.Request) { r.Header.Set("Left", "4000") })
	is.NoErr(err)
	is.Equal(status, 503)
	is.True(time.Since(begun) < 300*time.Millisecond)
}

// model makes a request for a model that all endpoints serve on release 1.
func (f *fleet) model(r *http.Request) { r.Header.Set("Model", "m") }

func (f *fleet) serveModel() {
	for i := range f.endpoints {
		f.endpoints[i].Serves = []directory.Serving{{Model: "m", Release: 1}}
	}
	f.gateway.Assigner.SetEndpoints(f.endpoints)
}

// A request that waits in the queue of an engine on an older release is taken back before that may no longer begin it; one
// that has begun goes on.
func TestWaitingRequestIsTakenBackBeforeTheBound(t *testing.T) {
	is := is.New(t)
	f := start(t, []step{hang}, []step{events(1, 2, true)})
	f.cutoff = time.Now().Add(200 * time.Millisecond)
	f.configure(1)
	f.serveModel()
	status, body, _, err := f.do("/stream/", f.model)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(body, stream(1, 2))
	is.Equal(len(f.requests()), 2)

	f = start(t, []step{func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nid: 1\ndata: x\n\n\n\r\n")
		time.Sleep(300 * time.Millisecond)
		_, _ = io.WriteString(c, "0\r\n\r\n")
	}})
	f.cutoff = time.Now().Add(100 * time.Millisecond)
	f.configure(1)
	f.serveModel()
	status, _, _, err = f.do("/stream/", f.model)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(len(f.requests()), 1)
}

// A cut stream does not go on on a release that may no longer begin requests.
func TestCutStreamDoesNotGoOnOnAReleaseThatIsOver(t *testing.T) {
	is := is.New(t)
	cut := func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRelease: 1\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: x\n\n\r\n")
		time.Sleep(50 * time.Millisecond)
		_ = c.SetLinger(0)
	}
	f := start(t, []step{cut}, []step{events(2, 3, true)})
	f.configure(1)
	f.serveModel()
	time.AfterFunc(20*time.Millisecond, func() { f.oldest.Store(2) })
	_, body, _, err := f.do("/stream/", f.model)
	is.True(err != nil)
	is.Equal(body, stream(1, 1))
	is.Equal(len(f.requests()), 1)
}
