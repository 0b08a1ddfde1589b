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
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
	"github.com/nutmegdock/nutmegdock/internal/notifier"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
)

const (
	set       ident.WeightSet = "set"
	poison                    = "poison"
	tokenTime                 = 5 * time.Millisecond
	restart                   = 2 * time.Second
)

var errGone = errors.New("connection lost")

// switches turn mechanisms off, to show that the oracle sees what they prevent.
type switches struct {
	noSuspects, noTokens, noDown bool
}

type world struct {
	off       switches
	begin     time.Time
	admitters []*admitter.Admitter
	mu        sync.Mutex
	entries   []*dispatcher.Dispatcher
	ends      []*endpointHost
	deaths    int
	// faults for the next streams and notices.
	cut, foreign, stall, dropped int
	stop                         func()
	wg                           sync.WaitGroup
}

// newAdmitter returns an entry host's admission, with the random numbers of intn.
func newAdmitter(intn func(int) int) *admitter.Admitter {
	return &admitter.Admitter{
		Router: &router.Router{Zone: "z", Intn: intn}, Float64: func() float64 { return 0.5 },
		Weight: func(ident.Organisation) int { return 1 }, Limit: func(ident.Organisation) int { return 0 },
		EntryHosts: func() int { return 2 }, Part: func(_ ident.Host, limit int) int { return limit },
		Meter: meter.New(prometheus.NewRegistry()), Logger: &log.Logger{Handler: discard.Default}, Reports: &reportcache.Cache{},
	}
}

type endpointHost struct {
	w    *world
	name string
	gate gate.Gate
	run  *endpointproxy.Proxy

	mu    sync.Mutex
	birth int64
	up    time.Time
	crash chan struct{}
	live  int
	// noticed tells that the endpoint host knows of the engine's death.
	noticed bool
}

func newWorld(off switches) *world {
	w := &world{off: off, begin: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	w.stop = cancel
	for range 2 {
		adm := newAdmitter(func(n int) int { return (w.tick() * 7) % n })
		w.wg.Go(func() { _ = adm.Run(ctx) })
		w.admitters = append(w.admitters, adm)
		w.entries = append(w.entries, &dispatcher.Dispatcher{
			Admit:     adm.Admit,
			Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: wire{w}}}, Quarantiner: &quarantiner.Quarantiner{},
			Logger: &log.Logger{Handler: discard.Default},
		})
	}
	for i := range 3 {
		w.ends = append(w.ends, w.newEnd(ctx, fmt.Sprintf("endpoint-%d", i)))
	}
	w.report()
	return w
}

var ticks int

func (w *world) tick() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	ticks++
	return ticks
}

func (w *world) newEnd(ctx context.Context, name string) *endpointHost {
	e := &endpointHost{w: w, name: name, birth: 1, crash: make(chan struct{})}
	e.gate.Open(set)
	n := &notifier.Notifier{
		Entries: func() []membership.Member {
			return []membership.Member{{Host: "0", Control: "0"}, {Host: "1", Control: "1"}}
		},
		Send: func(_ context.Context, control string, d messages.Death) error {
			time.Sleep(time.Millisecond)
			if w.take(&w.dropped) {
				return errGone
			}
			if !w.off.noSuspects {
				w.entries[control[0]-'0'].Quarantiner.Blame(d.ID, d.Running)
			}
			return nil
		},
	}
	w.wg.Go(func() { _ = n.Run(ctx) })
	e.run = &endpointproxy.Proxy{
		Gate: &e.gate, Backend: "http://engine", Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: e}, Backend: true},
		Tracker: &inflighttracker.Tracker{Name: name}, Notify: n.Add,
		Birth: func() int64 {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.birth
		},
		Down: func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.noticed && time.Now().Before(e.up) && !w.off.noDown
		},
		Dead: func(_ context.Context, birth int64) bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			down := time.Now().Before(e.up)
			e.noticed = e.noticed || down
			return (e.birth != birth || down) && !w.off.noSuspects
		},
	}
	return e
}

func (w *world) report() {
	for _, a := range w.admitters {
		for _, end := range w.ends {
			a.Report(messages.Report{
				Host: ident.Host(end.name), Zone: "z", Pool: "p", Data: end.name, Open: true, Set: set, Slots: 8,
				Time: time.Since(w.begin).Milliseconds(), Every: 1000,
			})
		}
	}
}

func (w *world) take(n *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// wire carries requests from entry hosts to endpoint hosts.
type wire struct {
	w *world
}

// RoundTrip streams one answer.
func (c wire) RoundTrip(req *http.Request) (*http.Response, error) {
	if c.w.off.noSuspects {
		req.Header.Del(headers.Suspect)
	}
	for _, e := range c.w.ends {
		if e.name == req.URL.Host {
			return e.serve(req)
		}
	}
	return nil, &net.OpError{Op: "dial", Err: errGone}
}

// pipeWriter is a response that is read while it is written.
type pipeWriter struct {
	header http.Header
	pipe   *io.PipeWriter
	head   chan *http.Response
	body   *io.PipeReader
	once   sync.Once
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
	gone := make(chan struct{})
	e.w.wg.Go(func() {
		defer close(gone)
		defer stop()
		defer cancel()
		defer func() {
			if recover() != nil {
				_ = pw.CloseWithError(errGone)
			}
			_ = pw.Close()
		}()
		e.run.ServeHTTP(p, req.Clone(ctx))
	})
	select {
	case resp := <-p.head:
		return resp, nil
	case <-req.Context().Done():
		return nil, req.Context().Err()
	case <-gone:
		select {
		case resp := <-p.head:
			return resp, nil
		default:
			return nil, errGone
		}
	}
}

// die ends the engine's incarnation.
func (e *endpointHost) die() {
	e.w.mu.Lock()
	e.w.deaths++
	e.w.mu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.crash)
	e.crash = make(chan struct{})
	e.birth++
	e.noticed = false
	e.up = time.Now().Add(restart)
}

// RoundTrip is the engine: it streams the tokens of one answer.
func (e *endpointHost) RoundTrip(req *http.Request) (*http.Response, error) {
	e.mu.Lock()
	down, crash := time.Now().Before(e.up), e.crash
	e.mu.Unlock()
	if down {
		return nil, errGone
	}
	var q engineapi.Request
	if err := json.NewDecoder(req.Body).Decode(&q); err != nil {
		return nil, err
	}
	if e.w.off.noTokens {
		q.Resume = 0
	}
	r, pw := io.Pipe()
	h := http.Header{}
	h.Set("Content-Type", "text/event-stream")
	h.Set(headers.Set, string(set))
	e.w.wg.Go(func() {
		e.add(1)
		defer e.add(-1)
		_ = pw.CloseWithError(e.stream(req.Context(), crash, pw, q, req.Header.Get(headers.Request)))
	})
	return &http.Response{StatusCode: http.StatusOK, Header: h, Body: r}, nil
}

func (e *endpointHost) add(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.live += n
}

func (e *endpointHost) running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.live
}

func (e *endpointHost) stream(ctx context.Context, crash <-chan struct{}, w io.Writer, q engineapi.Request, id string) error {
	for i := q.Resume; i < q.Tokens; i++ {
		select {
		case <-crash:
			return errGone
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(tokenTime):
		}
		if strings.Contains(q.Prompt, poison) && i > q.Resume {
			e.die()
			return errGone
		}
		ev := event(id, engine.Token(set, q.Prompt, i), nil)
		switch {
		case e.w.take(&e.w.cut):
			_, _ = w.Write(ev[:len(ev)/2])
			return errGone
		case e.w.take(&e.w.foreign):
			ev = event("request-of-another", "foreign ", nil)
		case e.w.take(&e.w.stall):
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
	data, err := json.Marshal(engineapi.Answer{ID: id, Choices: []engineapi.Choice{{Text: text, Finish: finish}}})
	if err != nil {
		panic(err)
	}
	return bytes.Join([][]byte{[]byte("data: "), data, []byte("\n\n")}, nil)
}
