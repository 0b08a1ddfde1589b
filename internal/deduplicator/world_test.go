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

// unkeyedForwardTimeout is how long after its arrival a request without a key may be forwarded.
const unkeyedForwardTimeout = 10 * time.Second

// longPause is longer than any period in which a request may be forwarded.
const longPause = unkeyedForwardTimeout + 2*permitter.TTL

var errConnectionLost = errors.New("connection lost")

// fakeLog stores streams and can be set to lose the responses of appends or to delay appends.
type fakeLog struct {
	mu            sync.Mutex
	down          bool
	loseResponses int
	delayAppends  int
	appends       int
	streams       map[logclient.Stream][][]byte
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
		return 0, errConnectionLost
	case l.delayAppends > 0:
		l.delayAppends--
		time.AfterFunc(1500*time.Millisecond, func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.add(s, data)
		})
		return 0, errConnectionLost
	case l.loseResponses > 0:
		l.loseResponses--
		l.add(s, data)
		return 0, errConnectionLost
	}
	return l.add(s, data), nil
}

func (l *fakeLog) read(s logclient.Stream, from ident.Offset, limit int) (logclient.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return logclient.Page{}, errConnectionLost
	}
	all := l.streams[s]
	page := logclient.Page{NextOffset: ident.Offset(len(all))}
	for o := from; int(o) < len(all) && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, logclient.Record{Offset: o, Data: all[o]})
	}
	return page, nil
}

// host is a simulated process that can be frozen or killed before and after each of its calls to other processes.
type host struct {
	mu          sync.Mutex
	frozenUntil time.Time
	dead        bool
}

func (h *host) freeze(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.frozenUntil = time.Now().Add(d)
}

func (h *host) kill() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead = true
	h.frozenUntil = time.Time{}
}

// extendDeadline moves a deadline past the end of a freeze, because the timers of a frozen process do not run.
func (h *host) extendDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	h.mu.Lock()
	frozenUntil := h.frozenUntil
	h.mu.Unlock()
	deadline, _ := ctx.Deadline()
	if frozenUntil.After(deadline) {
		deadline = frozenUntil.Add(100 * time.Millisecond)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// awaitRunning waits while the host is frozen, and returns an error if the host was killed.
func (h *host) awaitRunning() error {
	for {
		h.mu.Lock()
		remaining, dead := time.Until(h.frozenUntil), h.dead
		h.mu.Unlock()
		if dead {
			return errConnectionLost
		}
		if remaining <= 0 {
			return nil
		}
		time.Sleep(remaining)
	}
}

type entryHost struct {
	host
	name         string
	admitter     *admitter.Admitter
	claimWriter  *claimwriter.Writer
	claimRelayer *claimrelayer.Relayer
	deduplicator *deduplicator.Deduplicator
	stop         func()
	tasks        sync.WaitGroup
}

type endpointHost struct {
	host
	name    string
	gate    gate.Gate
	handler http.Handler
}

// mechanismSwitches disables mechanisms, to check that the oracle detects the violations that they prevent.
type mechanismSwitches struct {
	noClaims, everyClaimWins, noPermits, noDeadline, retryUnknown, noReadBack bool
}

type world struct {
	begin           time.Time
	disabled        mechanismSwitches
	log             fakeLog
	mu              sync.Mutex
	entries         []*entryHost
	endpoints       []*endpointHost
	hostCount       int
	executions      map[ident.RequestID]int
	executionsByKey map[string]int
	sentAt          map[ident.RequestID]time.Time
	// lateRequest is a request that an endpoint host received after its forward timeout.
	lateRequest ident.RequestID
	// The numbers of the next calls that each fault affects.
	loseResponses, crossResponses, delayResponses, loseBackendResponses, loseRelayResponses int
	// pauseAfterClaims and pauseBeforeForwards freeze the entry host after it won a claim and before it forwards.
	pauseAfterClaims, pauseBeforeForwards int
	removedMembers                        []membership.Member
	previousResponse                      *recordedResponse
}

func newWorld(disabled mechanismSwitches) *world {
	w := &world{disabled: disabled, begin: time.Now(), executions: make(map[ident.RequestID]int), executionsByKey: make(map[string]int), sentAt: make(map[ident.RequestID]time.Time)}
	w.log.streams = make(map[logclient.Stream][][]byte)
	for range 2 {
		w.entries = append(w.entries, w.newEntry())
		w.endpoints = append(w.endpoints, w.newEndpoint())
	}
	w.reportEndpoints()
	return w
}

func (w *world) newName(kind string) string {
	w.hostCount++
	return fmt.Sprintf("%s-%d", kind, w.hostCount)
}

// find returns the current host with a name.
func (w *world) find(name string) (*entryHost, *endpointHost) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		if e.name == name {
			return e, nil
		}
	}
	for _, e := range w.endpoints {
		if e.name == name {
			return nil, e
		}
	}
	return nil, nil
}

func (w *world) newEntry() *entryHost {
	e := &entryHost{name: w.newName("entry"), admitter: newAdmitter(func(n int) int { return n - 1 })}
	ctx, cancel := context.WithCancel(context.Background())
	e.stop = cancel
	logger := &log.Logger{Handler: discard.Default}
	e.claimWriter = &claimwriter.Writer{
		WriterCount: func() int { return 1 }, Logger: logger,
		Append: func(_ context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
			if err := e.awaitRunning(); err != nil {
				return 0, err
			}
			o, err := w.log.append(s, data)
			return o, errors.Join(err, e.awaitRunning())
		},
		Read: func(_ context.Context, s logclient.Stream, from ident.Offset, limit int, _ time.Duration) (logclient.Page, error) {
			if err := e.awaitRunning(); err != nil {
				return logclient.Page{}, err
			}
			p, err := w.log.read(s, from, limit)
			return p, errors.Join(err, e.awaitRunning())
		},
	}
	e.claimRelayer = &claimrelayer.Relayer{LocalHost: ident.Host(e.name), ZoneMembers: w.zoneMembers, LocalWriter: e.claimWriter, Send: w.relayClaims(e)}
	d := &dispatcher.Dispatcher{
		Admit:     e.admitter.Admit,
		Forwarder: &forwarder.Forwarder{HTTP: &http.Client{Transport: &transport{w, e}}}, Quarantiner: &quarantiner.Quarantiner{}, Logger: logger,
	}
	e.deduplicator = &deduplicator.Deduplicator{
		ControlAddress: e.name, ClaimKey: w.claim(e), ReleaseClaim: e.claimRelayer.Release, Results: &resultcache.Cache{MaxBytes: 1 << 20},
		Dispatch: func(ctx context.Context, req dispatcher.Request) (*http.Response, error) {
			if w.disabled.noDeadline {
				req.DispatchDeadline = time.Now().Add(time.Hour)
			}
			return d.Do(ctx, req)
		},
		FetchResult: func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
			return w.fetch(ctx, e, c, wait)
		},
	}
	e.tasks.Go(func() { _ = e.claimWriter.Run(ctx) })
	e.tasks.Go(func() { _ = e.admitter.Run(ctx) })
	return e
}

// newAdmitter returns an entry host's admitter that uses intn as its random number generator.
func newAdmitter(intn func(int) int) *admitter.Admitter {
	return &admitter.Admitter{
		Router: &router.Router{Zone: "z", Intn: intn}, Random: func() float64 { return 0.5 },
		Weight: func(ident.Organisation) int { return 1 }, OrganisationLimit: func(ident.Organisation) int { return 0 },
		EntryHosts: func() int { return 2 }, Quota: func(_ ident.Host, limit int) int { return limit },
		Meter: meter.New(prometheus.NewRegistry()), Logger: &log.Logger{Handler: discard.Default}, Reports: &reportcache.Cache{},
	}
}

func (w *world) claim(e *entryHost) func(context.Context, claimreducer.Claim) (claimwriter.Decision, error) {
	return func(ctx context.Context, c claimreducer.Claim) (claimwriter.Decision, error) {
		if w.disabled.noClaims {
			return claimwriter.Decision{Won: true}, nil
		}
		ctx, cancel := e.extendDeadline(ctx)
		defer cancel()
		decision, err := e.claimRelayer.Claim(ctx, c)
		if decision.Won && w.consumeFault(&w.pauseAfterClaims) {
			e.freeze(longPause)
		}
		if hostErr := e.awaitRunning(); hostErr != nil {
			return decision, claimwriter.LogUnavailable("the host was killed")
		}
		decision.Won = decision.Won || w.disabled.everyClaimWins
		if err != nil && w.disabled.noReadBack {
			decision.Won, err = true, nil
		}
		return decision, err
	}
}

// zoneMembers returns the entry hosts in the membership, which still lists those that were killed recently.
func (w *world) zoneMembers() []membership.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []membership.Member
	for _, e := range w.entries {
		out = append(out, membership.Member{Host: ident.Host(e.name), ControlAddress: e.name})
	}
	return append(out, w.removedMembers...)
}

// relayClaims sends claims to another entry host's claim writer.
func (w *world) relayClaims(from *entryHost) func(context.Context, string, messages.ClaimQuery) (messages.ClaimResponse, error) {
	return func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimResponse, error) {
		if err := from.awaitRunning(); err != nil {
			return messages.ClaimResponse{}, err
		}
		to, _ := w.find(control)
		if to == nil {
			return messages.ClaimResponse{}, errConnectionLost
		}
		out := make(chan messages.ClaimResponse, 1)
		go func() {
			if to.awaitRunning() != nil {
				return
			}
			// The call continues at the other host when its caller cancels it.
			serveCtx, cancel := context.WithTimeout(context.Background(), deduplicator.ForwardTimeout)
			defer cancel()
			if a, err := to.claimRelayer.HandleQuery(serveCtx, q); err == nil && to.awaitRunning() == nil {
				out <- a
			}
		}()
		select {
		case a := <-out:
			if w.consumeFault(&w.loseRelayResponses) {
				return messages.ClaimResponse{}, errConnectionLost
			}
			return a, from.awaitRunning()
		case <-ctx.Done():
			return messages.ClaimResponse{}, ctx.Err()
		}
	}
}

func (w *world) fetch(ctx context.Context, from *entryHost, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
	if err := from.awaitRunning(); err != nil {
		return resultcache.Result{}, err
	}
	to, _ := w.find(c.ControlAddress)
	if to == nil {
		return resultcache.Result{}, errConnectionLost
	}
	out := make(chan resultcache.Result, 1)
	go func() {
		if to.awaitRunning() == nil {
			out <- to.deduplicator.Result(ctx, c, wait)
		}
	}()
	select {
	case r := <-out:
		return r, from.awaitRunning()
	case <-ctx.Done():
		return resultcache.Result{}, ctx.Err()
	}
}

func (w *world) newEndpoint() *endpointHost {
	e := &endpointHost{name: w.newName("endpoint")}
	e.gate.Open("")
	n := 0
	permits := &permitter.Permitter{NewPermit: func() permitter.Permit {
		n++
		return permitter.Permit(fmt.Sprintf("%s/%d", e.name, n))
	}}
	service := &forwarder.Forwarder{HTTP: &http.Client{Transport: &backend{w, e}}, IgnoreOutcome: true}
	proxy := &endpointproxy.Proxy{
		Gate: &e.gate, Backend: "http://service", Forwarder: service, SingleUseForwarder: service, Permitter: permits,
		Tracker: &inflighttracker.Tracker{CrashIDPrefix: e.name}, BackendStartTime: func() int64 { return 0 }, HasCrashed: func(context.Context, int64) bool { return false },
		IsDown: func() bool { return false },
	}
	mux := http.NewServeMux()
	mux.Handle(endpointproxy.RunPrefix+"/", proxy)
	mux.HandleFunc(endpointproxy.PermitPath, proxy.ServePermit)
	e.handler = mux
	return e
}

// reportEndpoints sends the reports of all endpoint hosts to all entry hosts.
func (w *world) reportEndpoints() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		for _, endpoint := range w.endpoints {
			st := endpoint.gate.Status()
			e.admitter.ApplyReport(messages.Report{
				Host: ident.Host(endpoint.name), Zone: "z", Pool: "p", DataAddress: endpoint.name, GateOpen: st.Open, Leaving: st.Leaving, Slots: 8,
				SentMs: time.Since(w.begin).Milliseconds(), MaxIntervalSeconds: 1000,
			})
		}
	}
}

// consumeFault decrements the number of pending faults and reports whether there was one.
func (w *world) consumeFault(n *int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// transport sends requests from an entry host to endpoint hosts.
type transport struct {
	world  *world
	sender *entryHost
}

// RoundTrip sends one request and applies the pending faults.
func (t *transport) RoundTrip(req *http.Request) (*http.Response, error) {
	permit := req.URL.Path == endpointproxy.PermitPath
	if permit && t.world.disabled.noPermits {
		h := http.Header{}
		h.Set(headers.RunPermit, "none")
		h.Set(headers.RequestID, req.Header.Get(headers.RequestID))
		return &http.Response{StatusCode: http.StatusNoContent, Header: h, Body: http.NoBody}, nil
	}
	if !permit && t.world.consumeFault(&t.world.pauseBeforeForwards) {
		t.sender.freeze(longPause)
	}
	if err := t.sender.awaitRunning(); err != nil {
		return nil, err
	}
	_, endpoint := t.world.find(req.URL.Host)
	if endpoint == nil {
		return nil, &net.OpError{Op: "dial", Err: errConnectionLost}
	}
	if t.world.disabled.noPermits {
		req.Header.Del(headers.RunPermit)
	}
	out := make(chan *recordedResponse, 1)
	go func() {
		out <- endpoint.roundTrip(req)
	}()
	select {
	case resp := <-out:
		return t.deliverResponse(resp, permit)
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

func (t *transport) deliverResponse(resp *recordedResponse, permit bool) (*http.Response, error) {
	if err := t.sender.awaitRunning(); err != nil || resp == nil {
		return nil, errConnectionLost
	}
	if permit {
		return resp.httpResponse(), nil
	}
	if t.world.consumeFault(&t.world.delayResponses) {
		time.Sleep(4 * time.Second)
	}
	if t.world.consumeFault(&t.world.loseResponses) {
		return nil, errConnectionLost
	}
	t.world.mu.Lock()
	previous := t.world.previousResponse
	t.world.previousResponse = resp
	t.world.mu.Unlock()
	if previous != nil && t.world.consumeFault(&t.world.crossResponses) {
		return previous.httpResponse(), nil
	}
	return resp.httpResponse(), nil
}

// arrivalKey is the context key of the time at which an endpoint host received a request.
type arrivalKey struct{}

// roundTrip runs one request. It returns nil if the connection is lost.
func (e *endpointHost) roundTrip(req *http.Request) (resp *recordedResponse) {
	defer func() {
		if recover() != nil {
			resp = nil
		}
	}()
	if e.awaitRunning() != nil {
		return nil
	}
	rec := httptest.NewRecorder()
	r := req.Clone(context.WithValue(req.Context(), arrivalKey{}, time.Now()))
	e.handler.ServeHTTP(rec, r)
	if e.awaitRunning() != nil {
		return nil
	}
	return &recordedResponse{status: rec.Code, header: rec.Header(), body: rec.Body.Bytes()}
}

// recordedResponse is a complete response in transit.
type recordedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (r *recordedResponse) httpResponse() *http.Response {
	return &http.Response{StatusCode: r.status, Header: r.header.Clone(), Body: io.NopCloser(bytes.NewReader(r.body))}
}

// backend is the service beside an endpoint host.
type backend struct {
	world *world
	host  *endpointHost
}

// RoundTrip executes one booking. The host may be frozen immediately before, after all its checks.
func (b *backend) RoundTrip(req *http.Request) (*http.Response, error) {
	if err := b.host.awaitRunning(); err != nil {
		return nil, err
	}
	if req.Context().Err() != nil {
		return nil, req.Context().Err()
	}
	key := req.Header.Get(headers.CallerIdempotencyKey)
	id := ident.RequestID(req.Header.Get(headers.RequestID))
	b.world.mu.Lock()
	b.world.executions[id]++
	limit := unkeyedForwardTimeout
	if key != "" {
		b.world.executionsByKey[key]++
		limit = deduplicator.ForwardTimeout
	}
	if arrival, _ := req.Context().Value(arrivalKey{}).(time.Time); arrival.Sub(b.world.sentAt[id]) > limit+permitter.TTL {
		b.world.lateRequest = id
	}
	b.world.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	if b.world.consumeFault(&b.world.loseBackendResponses) {
		return nil, errConnectionLost
	}
	rec := httptest.NewRecorder()
	rec.WriteHeader(http.StatusCreated)
	_, _ = rec.WriteString("booked " + req.URL.Path)
	if err := b.host.awaitRunning(); err != nil {
		return nil, err
	}
	return rec.Result(), nil
}
