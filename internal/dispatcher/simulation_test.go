package dispatcher_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/crashnotifier"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

const (
	set           ident.WeightSet = "set"
	poison                        = "poison"
	tokenInterval                 = 5 * time.Millisecond
	restartDelay                  = 2 * time.Second
)

var errConnectionLost = errors.New("connection lost")

// disabledMechanisms selects the mechanisms that are disabled, to show that the test detects the failures that they
// prevent.
type disabledMechanisms struct {
	suspects, resumeTokens, refusalWhenDown bool
}

// simulation is a system of two entry hosts and three endpoint hosts without a network.
type simulation struct {
	disabled  disabledMechanisms
	start     time.Time
	admitters []*admitter.Admitter
	mu        sync.Mutex
	entries   []*dispatcher.Dispatcher
	endpoints []*endpointHost
	crashes   int
	// Numbers of faults that are still to be injected into the next streams and crash notices.
	cutStreams, foreignEvents, stalledStreams, lostNotices int
	stop                                                   func()
	wg                                                     sync.WaitGroup
}

// newAdmitter returns the admitter of an entry host, which draws its random numbers from intn.
func newAdmitter(intn func(int) int) *admitter.Admitter {
	return &admitter.Admitter{
		Router: &router.Router{Zone: "z", Intn: intn}, Random: func() float64 { return 0.5 },
		Weight: func(ident.Organisation) int { return 1 }, OrganisationLimit: func(ident.Organisation) int { return 0 },
		EntryHosts: func() int { return 2 }, Quota: func(_ ident.Host, limit int) int { return limit },
		Meter: meter.New(prometheus.NewRegistry()), Logger: &log.Logger{Handler: discard.Default}, Reports: &reportcache.Cache{},
	}
}

// endpointHost is an endpoint host and its engine. As an http.RoundTripper it stands in for the engine.
type endpointHost struct {
	sim   *simulation
	name  string
	gate  gate.Gate
	proxy *endpointproxy.Proxy

	mu        sync.Mutex
	startTime int64
	upAt      time.Time
	crashed   chan struct{}
	streams   int
	// crashKnown says that the endpoint host has detected the engine's crash.
	crashKnown bool
}

func newSimulation(disabled disabledMechanisms) *simulation {
	s := &simulation{disabled: disabled, start: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	for range 2 {
		adm := newAdmitter(func(n int) int { return (s.nextTick() * 7) % n })
		s.wg.Go(func() { _ = adm.Run(ctx) })
		s.admitters = append(s.admitters, adm)
		s.entries = append(s.entries, &dispatcher.Dispatcher{
			Admit:     adm.Admit,
			Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: endpointTransport{s}}}, Quarantiner: &quarantiner.Quarantiner{},
			Logger: &log.Logger{Handler: discard.Default},
		})
	}
	for i := range 3 {
		s.endpoints = append(s.endpoints, s.newEndpointHost(ctx, fmt.Sprintf("endpoint-%d", i)))
	}
	s.sendReports()
	return s
}

var tickCount int

// nextTick returns increasing numbers, which the routers use in place of random ones.
func (s *simulation) nextTick() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	tickCount++
	return tickCount
}

func (s *simulation) newEndpointHost(ctx context.Context, name string) *endpointHost {
	e := &endpointHost{sim: s, name: name, startTime: 1, crashed: make(chan struct{})}
	e.gate.Open(set)
	n := &crashnotifier.Notifier{
		EntryHosts: func() []membership.Member {
			return []membership.Member{{Host: "0", ControlAddress: "0"}, {Host: "1", ControlAddress: "1"}}
		},
		Send: func(_ context.Context, control string, crash messages.BackendCrash) error {
			time.Sleep(time.Millisecond)
			if s.consumeFault(&s.lostNotices) {
				return errConnectionLost
			}
			if !s.disabled.suspects {
				s.entries[control[0]-'0'].Quarantiner.RecordCrash(crash.ID, crash.InFlight)
			}
			return nil
		},
	}
	s.wg.Go(func() { _ = n.Run(ctx) })
	e.proxy = &endpointproxy.Proxy{
		Gate: &e.gate, Backend: "http://engine", Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: e}, IgnoreOutcome: true},
		Tracker: &inflighttracker.Tracker{CrashIDPrefix: name}, OnCrash: n.Notify,
		BackendStartTime: func() int64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.startTime
		},
		IsDown: func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.crashKnown && time.Now().Before(e.upAt) && !s.disabled.refusalWhenDown
		},
		HasCrashed: func(_ context.Context, startTime int64) bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			down := time.Now().Before(e.upAt)
			e.crashKnown = e.crashKnown || down
			return (e.startTime != startTime || down) && !s.disabled.suspects
		},
	}
	return e
}

func (s *simulation) sendReports() {
	for _, a := range s.admitters {
		for _, e := range s.endpoints {
			a.ApplyReport(messages.Report{
				Host: ident.Host(e.name), Zone: "z", Pool: "p", DataAddress: e.name, GateOpen: true, ServedSet: set, Slots: 8,
				SentMs: time.Since(s.start).Milliseconds(), MaxIntervalSeconds: 1000,
			})
		}
	}
}

// consumeFault reports whether a fault of the kind counted by n is to be injected now, and decrements n.
func (s *simulation) consumeFault(n *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// endpointTransport passes requests from entry hosts to endpoint hosts.
type endpointTransport struct {
	sim *simulation
}

// RoundTrip passes one request to its endpoint host and returns the streamed response.
func (t endpointTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if t.sim.disabled.suspects {
		req.Header.Del(headers.Suspect)
	}
	for _, e := range t.sim.endpoints {
		if e.name == req.URL.Host {
			return e.serve(req)
		}
	}
	return nil, &net.OpError{Op: "dial", Err: errConnectionLost}
}

// pipeWriter is an http.ResponseWriter whose response is read while it is written.
type pipeWriter struct {
	header http.Header
	pipe   *io.PipeWriter
	// head receives the response when its header is written.
	head chan *http.Response
	body *io.PipeReader
	once sync.Once
}

func (p *pipeWriter) Header() http.Header { return p.header }

func (p *pipeWriter) WriteHeader(status int) {
	p.once.Do(func() { p.head <- &http.Response{StatusCode: status, Header: p.header.Clone(), Body: p.body} })
}

func (p *pipeWriter) Write(b []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	return p.pipe.Write(b)
}

func (p *pipeWriter) Flush() {}

func (e *endpointHost) serve(req *http.Request) (*http.Response, error) {
	r, pw := io.Pipe()
	p := &pipeWriter{header: make(http.Header), pipe: pw, body: r, head: make(chan *http.Response, 1)}
	ctx, cancel := context.WithCancel(req.Context())
	stop := context.AfterFunc(req.Context(), func() { _ = r.CloseWithError(req.Context().Err()) })
	handlerDone := make(chan struct{})
	e.sim.wg.Go(func() {
		defer close(handlerDone)
		defer stop()
		defer cancel()
		defer func() {
			if recover() != nil {
				_ = pw.CloseWithError(errConnectionLost)
			}
			_ = pw.Close()
		}()
		e.proxy.ServeHTTP(p, req.Clone(ctx))
	})
	select {
	case resp := <-p.head:
		return resp, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case <-handlerDone:
		select {
		case resp := <-p.head:
			return resp, nil
		default:
			return nil, errConnectionLost
		}
	}
}

// crashEngine ends the current incarnation of the engine. A new one starts after restartDelay.
func (e *endpointHost) crashEngine() {
	e.sim.mu.Lock()
	e.sim.crashes++
	e.sim.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crashed)
	e.crashed = make(chan struct{})
	e.startTime++
	e.crashKnown = false
	e.upAt = time.Now().Add(restartDelay)
}

// RoundTrip simulates the engine: it streams the tokens of one response.
func (e *endpointHost) RoundTrip(req *http.Request) (*http.Response, error) {
	e.mu.Lock()
	down, crashed := time.Now().Before(e.upAt), e.crashed
	e.mu.Unlock()
	if down {
		return nil, errConnectionLost
	}
	var q engineapi.Request
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		return nil, err
	}
	if e.sim.disabled.resumeTokens {
		q.ReceivedTokens = 0
	}
	r, pw := io.Pipe()
	h := http.Header{}
	h.Set("Content-Type", "text/event-stream")
	h.Set(headers.WeightSet, string(set))
	e.sim.wg.Go(func() {
		e.addStreams(1)
		defer e.addStreams(-1)
		_ = pw.CloseWithError(e.stream(req.Context(), crashed, pw, q, req.Header.Get(headers.RequestID)))
	})
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: r}, nil
}

func (e *endpointHost) addStreams(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.streams += n
}

func (e *endpointHost) streamCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streams
}

func (e *endpointHost) stream(ctx context.Context, crashed <-chan struct{}, w io.Writer, q engineapi.Request, id string) error {
	for i := q.ReceivedTokens; i < q.MaxTokens; i++ {
		select {
		case <-crashed:
			return errConnectionLost
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tokenInterval):
		}
		if strings.Contains(q.Prompt, poison) && i > q.ReceivedTokens {
			e.crashEngine()
			return errConnectionLost
		}
		ev := event(id, engine.ExpectedToken(set, q.Prompt, i), nil)
		switch {
		case e.sim.consumeFault(&e.sim.cutStreams):
			_, _ = w.Write(ev[:len(ev)/2])
			return errConnectionLost
		case e.sim.consumeFault(&e.sim.foreignEvents):
			ev = event("request-of-another", "foreign ", nil)
		case e.sim.consumeFault(&e.sim.stalledStreams):
			<-ctx.Done()
			return ctx.Err()
		}
		if _, err := w.Write(ev); err != nil {
			return err
		}
	}
	stop := "stop"
	_, err := w.Write(append(event(id, "", &stop), "data: [DONE]\n\n"...))
	return err
}

func event(id, text string, finish *string) []byte {
	data, err := json.Marshal(engineapi.Completion{ID: id, Choices: []engineapi.Choice{{Text: text, FinishReason: finish}}})
	if err != nil {
		panic(err)
	}
	return bytes.Join([][]byte{[]byte("data: "), data, []byte("\n\n")}, nil)
}
