package deduplicator_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/claimrelayer"
	"github.com/nutmegdock/nutmegdock/internal/claimwriter"
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/permitter"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/deduplicator"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

// unkeyedTime is how long after its arrival an unkeyed request may be handed over.
const unkeyedTime = 10 * time.Second

// longPause is longer than any time in which a request may be handed over.
const longPause = unkeyedTime + 2*permitter.Life

var errGone = errors.New("connection lost")

// fakeLog keeps streams, and loses or delays appends on request.
type fakeLog struct {
	mu      sync.Mutex
	down    bool
	lose    int
	late    int
	appends int
	streams map[logclient.Stream][][]byte
}

func (l *fakeLog) add(s logclient.Stream, data []byte) ident.Offset {
	l.streams[s] = append(l.streams[s], data)
	return ident.Offset(len(l.streams[s]) - 1)
}

func (l *fakeLog) append(s logclient.Stream, data []byte) (ident.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	switch {
	case l.down:
		return 0, errGone
	case l.late > 0:
		l.late--
		time.AfterFunc(1500*time.Millisecond, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(s, data)
		})
		return 0, errGone
	case l.lose > 0:
		l.lose--
		l.add(s, data)
		return 0, errGone
	}
	return l.add(s, data), nil
}

func (l *fakeLog) read(s logclient.Stream, from ident.Offset, limit int) (logclient.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logclient.Page{}, errGone
	}
	all := l.streams[s]
	page := logclient.Page{Next: ident.Offset(len(all))}
	for o := from; int(o) < len(all) && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, logclient.Record{Offset: o, Data: all[o]})
	}
	return page, nil
}

// host can be frozen and killed at each of its calls to the outside.
type host struct {
	mu     sync.Mutex
	frozen time.Time
	dead   bool
}

func (h *host) freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozen = time.Now().Add(d)
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
	h.frozen = time.Time{}
}

// stretch moves a deadline past the end of a freeze, since the timers of a frozen process do not run.
func (h *host) stretch(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	thaw := h.frozen
	h.mu.Unlock()
	deadline, _ := ctx.Deadline()
	if thaw.After(deadline) {
		deadline = thaw.Add(100 * time.Millisecond)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// point waits while the host is frozen, and fails when it is dead.
func (h *host) point() error {
	for {
		h.mu.Lock()
		left, dead := time.Until(h.frozen), h.dead
		h.mu.Unlock()
		if dead {
			return errGone
		}
		if left <= 0 {
			return nil
		}
		time.Sleep(left)
	}
}

type entryHost struct {
	host
	name string
	adm  *admitter.Admitter
	reg  *claimwriter.Writer
	rel  *claimrelayer.Relayer
	dup  *deduplicator.Deduplicator
	stop func()
	done sync.WaitGroup
}

type endpointHost struct {
	host
	name    string
	gate    gate.Gate
	handler http.Handler
}

// switches turn mechanisms off, to show that the oracle sees what they prevent.
type switches struct {
	noClaims, alwaysWon, noPermits, noDeadline, retryUnknown, noReadBack bool
}

type world struct {
	begin   time.Time
	off     switches
	log     fakeLog
	mu      sync.Mutex
	entries []*entryHost
	ends    []*endpointHost
	born    int
	runs    map[ident.Request]int
	keys    map[string]int
	asked   map[ident.Request]time.Time
	// late names a request that reached the back end by a hand-over after its time.
	late ident.Request
	// faults for the next hand-overs and the next executions.
	lost, crossed, slow, mute, torn int
	// pausedClaims and pausedSends freeze the entry host after it won a claim, and before it hands over.
	pausedClaims, pausedSends int
	gone                      []membership.Member
	previous                  *answer
}

func newWorld(off switches) *world {
	w := &world{off: off, begin: time.Now(), runs: make(map[ident.Request]int), keys: make(map[string]int), asked: make(map[ident.Request]time.Time)}
	w.log.streams = make(map[logclient.Stream][][]byte)
	for range 2 {
		w.entries = append(w.entries, w.newEntry())
		w.ends = append(w.ends, w.newEnd())
	}
	w.report()
	return w
}

func (w *world) name(kind string) string {
	w.born++
	return fmt.Sprintf("%s-%d", kind, w.born)
}

// find returns the living host of a name.
func (w *world) find(name string) (*entryHost, *endpointHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		if e.name == name {
			return e, nil
		}
	}
	for _, e := range w.ends {
		if e.name == name {
			return nil, e
		}
	}
	return nil, nil
}

func (w *world) newEntry() *entryHost {
	e := &entryHost{name: w.name("entry"), adm: newAdmitter(func(n int) int { return n - 1 })}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	logger := &log.Logger{Handler: discard.Default}
	e.reg = &claimwriter.Writer{
		Writers: func() int { return 1 }, Logger: logger,
		Append: func(_ context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
			if err := e.point(); err != nil {
				return 0, err
			}
			o, err := w.log.append(s, data)
			return o, errors.Join(err, e.point())
		},
		Read: func(_ context.Context, s logclient.Stream, from ident.Offset, limit int, _ time.Duration) (logclient.Page, error) {
			if err := e.point(); err != nil {
				return logclient.Page{}, err
			}
			p, err := w.log.read(s, from, limit)
			return p, errors.Join(err, e.point())
		},
	}
	e.rel = &claimrelayer.Relayer{Host: ident.Host(e.name), Zone: w.zone, Writer: e.reg, Send: w.relay(e)}
	d := &dispatcher.Dispatcher{
		Admit:     e.adm.Admit,
		Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: &wire{w, e}}}, Quarantiner: &quarantiner.Quarantiner{}, Logger: logger,
	}
	e.dup = &deduplicator.Deduplicator{
		Control: e.name, Claim: w.claim(e), Release: e.rel.Release, Results: &resultcache.Cache{Limit: 1 << 20},
		Next: func(ctx context.Context, j dispatcher.Job) (*http.Response, error) {
			if w.off.noDeadline {
				j.Before = time.Now().Add(time.Hour)
			}
			return d.Do(ctx, j)
		},
		Fetch: func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
			return w.fetch(ctx, e, c, wait)
		},
	}
	e.done.Go(func() { _ = e.reg.Run(ctx) })
	e.done.Go(func() { _ = e.adm.Run(ctx) })
	return e
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

func (w *world) claim(e *entryHost) func(context.Context, claimreducer.Claim) (claimwriter.Ticket, error) {
	return func(ctx context.Context, c claimreducer.Claim) (claimwriter.Ticket, error) {
		if w.off.noClaims {
			return claimwriter.Ticket{Won: true}, nil
		}
		ctx, cancel := e.stretch(ctx)
		defer cancel()
		t, err := e.rel.Claim(ctx, c)
		if t.Won && w.take(&w.pausedClaims) {
			e.freeze(longPause)
		}
		if perr := e.point(); perr != nil {
			return t, claimwriter.LogDown("the host is dead")
		}
		t.Won = t.Won || w.off.alwaysWon
		if err != nil && w.off.noReadBack {
			t.Won, err = true, nil
		}
		return t, err
	}
}

// zone returns the entry hosts as the membership knows them; those that died lately are still on it.
func (w *world) zone() []membership.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.Member
	for _, e := range w.entries {
		out = append(out, membership.Member{Host: ident.Host(e.name), Control: e.name})
	}
	return append(out, w.gone...)
}

// relay brings claims to another entry host's claim writer.
func (w *world) relay(from *entryHost) func(context.Context, string, messages.ClaimQuery) (messages.ClaimAnswer, error) {
	return func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimAnswer, error) {
		if err := from.point(); err != nil {
			return messages.ClaimAnswer{}, err
		}
		to, _ := w.find(control)
		if to == nil {
			return messages.ClaimAnswer{}, errGone
		}
		out := make(chan messages.ClaimAnswer, 1)
		go func() {
			if to.point() != nil {
				return
			}
			// The call goes on at the other host when its caller gives it up.
			serve, cancel := context.WithTimeout(context.Background(), deduplicator.ClaimTime)
			defer cancel()
			if a, err := to.rel.Serve(serve, q); err == nil && to.point() == nil {
				out <- a
			}
		}()
		select {
		case a := <-out:
			if w.take(&w.torn) {
				return messages.ClaimAnswer{}, errGone
			}
			return a, from.point()
		case <-ctx.Done():
			return messages.ClaimAnswer{}, ctx.Err()
		}
	}
}

func (w *world) fetch(ctx context.Context, from *entryHost, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
	if err := from.point(); err != nil {
		return resultcache.Result{}, err
	}
	to, _ := w.find(c.Control)
	if to == nil {
		return resultcache.Result{}, errGone
	}
	out := make(chan resultcache.Result, 1)
	go func() {
		if to.point() == nil {
			out <- to.dup.Result(ctx, c, wait)
		}
	}()
	select {
	case r := <-out:
		return r, from.point()
	case <-ctx.Done():
		return resultcache.Result{}, ctx.Err()
	}
}

func (w *world) newEnd() *endpointHost {
	e := &endpointHost{name: w.name("endpoint")}
	e.gate.Open("")
	n := 0
	permits := &permitter.Permitter{NewPermit: func() permitter.Permit {
		n++
		return permitter.Permit(fmt.Sprintf("%s/%d", e.name, n))
	}}
	service := &forwarder.Forwarder{HTTP: &http.Client{Transport: &backend{w, e}}, Backend: true}
	u := &endpointproxy.Proxy{
		Gate: &e.gate, Backend: "http://service", Forwarder: service, Fresh: service, Permitter: permits,
		Tracker: &inflighttracker.Tracker{Name: e.name}, Birth: func() int64 { return 0 }, Dead: func(context.Context, int64) bool { return false },
		Down: func() bool { return false },
	}
	mux := http.NewServeMux()
	mux.Handle(endpointproxy.Prefix+"/", u)
	mux.HandleFunc(endpointproxy.PermitPath, u.Permit)
	e.handler = mux
	return e
}

// report brings each entry host's view up to date.
func (w *world) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		for _, end := range w.ends {
			st := end.gate.Status()
			e.adm.Report(messages.Report{
				Host: ident.Host(end.name), Zone: "z", Pool: "p", Data: end.name, Open: st.Open, Leaving: st.Leaving, Slots: 8,
				Time: time.Since(w.begin).Milliseconds(), Every: 1000,
			})
		}
	}
}

// take uses one of a number of faults up.
func (w *world) take(n *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// wire carries requests from an entry host to endpoint hosts.
type wire struct {
	w    *world
	from *entryHost
}

// RoundTrip sends one request, with the faults that wait.
func (c *wire) RoundTrip(req *http.Request) (*http.Response, error) {
	permit := req.URL.Path == endpointproxy.PermitPath
	if permit && c.w.off.noPermits {
		h := http.Header{}
		h.Set(headers.Permit, "none")
		h.Set(headers.Request, req.Header.Get(headers.Request))
		return &http.Response{StatusCode: http.StatusNoContent, Header: h, Body: http.NoBody}, nil
	}
	if !permit && c.w.take(&c.w.pausedSends) {
		c.from.freeze(longPause)
	}
	if err := c.from.point(); err != nil {
		return nil, err
	}
	_, end := c.w.find(req.URL.Host)
	if end == nil {
		return nil, &net.OpError{Op: "dial", Err: errGone}
	}
	if c.w.off.noPermits {
		req.Header.Del(headers.Permit)
	}
	out := make(chan *answer, 1)
	go func() {
		out <- end.serve(req)
	}()
	select {
	case a := <-out:
		return c.deliver(a, permit)
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (c *wire) deliver(a *answer, permit bool) (*http.Response, error) {
	if err := c.from.point(); err != nil || a == nil {
		return nil, errGone
	}
	if permit {
		return a.response(), nil
	}
	if c.w.take(&c.w.slow) {
		time.Sleep(4 * time.Second)
	}
	if c.w.take(&c.w.lost) {
		return nil, errGone
	}
	c.w.mu.Lock()
	previous := c.w.previous
	c.w.previous = a
	c.w.mu.Unlock()
	if previous != nil && c.w.take(&c.w.crossed) {
		return previous.response(), nil
	}
	return a.response(), nil
}

// arrival is the key of the time at which an endpoint host got a request.
type arrival struct{}

// serve runs one request; nil stands for a lost connection.
func (e *endpointHost) serve(req *http.Request) (a *answer) {
	defer func() {
		if recover() != nil {
			a = nil
		}
	}()
	if e.point() != nil {
		return nil
	}
	rec := httptest.NewRecorder()
	r := req.Clone(context.WithValue(req.Context(), arrival{}, time.Now()))
	e.handler.ServeHTTP(rec, r)
	if e.point() != nil {
		return nil
	}
	return &answer{status: rec.Code, header: rec.Header(), body: rec.Body.Bytes()}
}

// answer is a whole answer on its way.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a *answer) response() *http.Response {
	return &http.Response{StatusCode: a.status, Header: a.header.Clone(), Body: io.NopCloser(bytes.NewReader(a.body))}
}

// backend is the plain service beside an endpoint host.
type backend struct {
	w  *world
	at *endpointHost
}

// RoundTrip executes one booking. The host may be frozen just before, after all its checks.
func (b *backend) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := b.at.point(); err != nil {
		return nil, err
	}
	if req.Context().Err() != nil {
		return nil, req.Context().Err()
	}
	key := req.Header.Get(headers.CallerKey)
	id := ident.Request(req.Header.Get(headers.Request))
	b.w.mu.Lock()
	b.w.runs[id]++
	limit := unkeyedTime
	if key != "" {
		b.w.keys[key]++
		limit = deduplicator.ClaimTime
	}
	if at, _ := req.Context().Value(arrival{}).(time.Time); at.Sub(b.w.asked[id]) > limit+permitter.Life {
		b.w.late = id
	}
	b.w.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if b.w.take(&b.w.mute) {
		return nil, errGone
	}
	rec := httptest.NewRecorder()
	rec.WriteHeader(http.StatusCreated)
	_, _ = rec.WriteString("booked " + req.URL.Path)
	if err := b.at.point(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}
