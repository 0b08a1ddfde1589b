// Package gateway receives callers' requests, finds the route of each by its host and path, and forwards it to an
// endpoint.
package gateway

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/requestholder"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/core/zonerestrictor"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

const (
	// defaultMaxBodyBytes limits a request body when the configuration states no limit.
	defaultMaxBodyBytes = 4 << 20
	// startupRetryDelay is the Retry-After of a host that has no configuration yet.
	startupRetryDelay = 300 * time.Millisecond
	// deadlineSpread is the fraction by which the remaining time of a first attempt may be shorter than the longest one
	// of its route. A caller that states a still shorter time is treated as retrying.
	deadlineSpread = 0.16
	// remainingPeriod is the time after which the longest remaining time of a route is determined anew.
	remainingPeriod = 10 * time.Second
	// shutdownRetryDelay is the Retry-After of a host that is shutting down. It is short because another host serves
	// the retry.
	shutdownRetryDelay = 10 * time.Millisecond
	// minServeTime is the least time in which a request is taken to be served.
	minServeTime = 50 * time.Millisecond
	// defaultTimeout limits a request when neither its route nor its caller states a timeout.
	defaultTimeout = 30 * time.Second
)

// Gateway is the HTTP handler of callers' requests. Set its fields before the first request.
type Gateway struct {
	// Codec reads and writes the request and response headers.
	Codec headercodec.Codec
	// Assigner chooses an endpoint for each attempt.
	Assigner *assigner.Assigner
	// QueryLoads queries the load of the other entry hosts at endpoints, and passes the replies to the assigner. It bounds
	// the time that it takes. Nil means that this is the only entry host.
	QueryLoads func(ctx context.Context, endpoints []fleetconfig.Endpoint, asker loadexchanger.Asker)
	// AskHost asks the process beside an endpoint whether its host runs, and passes the reply to the assigner. It does not
	// wait for it. It must be set if CheckStalls is called.
	AskHost func(e fleetconfig.Endpoint)
	// AskGate asks the process beside an engine for its gate state, and passes the answer to the assigner. It does not wait.
	AskGate func(e fleetconfig.Endpoint)
	// TakePermit takes a permit for one request to an endpoint that limits its requests. If there is none, it returns the
	// time until there may be one. Nil means that no endpoint limits them.
	TakePermit func(ctx context.Context, e fleetconfig.Endpoint) (ok bool, wait time.Duration)
	// NeedsPermit reports whether requests to an endpoint need a permit because it is cold or may be. PermitLifetime
	// returns how long after it was asked for such a permit may be used. Nil means that no endpoint is cold.
	NeedsPermit    func(e fleetconfig.Endpoint) bool
	PermitLifetime func(e fleetconfig.Endpoint) time.Duration
	// Restrictor decides in which zones requests may run.
	Restrictor zonerestrictor.Restrictor
	// Sender sends attempts to endpoints.
	Sender *sender.Sender
	// RetryBudget limits retries.
	RetryBudget *retrybudget.Budget
	// OldestRelease returns the oldest release of a model on which a request may begin now.
	OldestRelease func(m fleetconfig.Model) fleetconfig.Release
	// BeginDeadline returns the time by which a request that is sent to a release must be expected to begin, or the zero
	// time if there is none. Nil means that there is none.
	BeginDeadline func(m fleetconfig.Model, release fleetconfig.Release) time.Time
	// WithdrawalTime returns the time at which a request that has not begun on the release is withdrawn, or the zero time
	// if there is none.
	WithdrawalTime func(m fleetconfig.Model, release fleetconfig.Release) time.Time
	// RetryAfter returns the Retry-After of a request that is refused for overload, given the remaining time of its
	// caller.
	RetryAfter func(remaining time.Duration) time.Duration
	// Suspector finds what requests that crash endpoints have in common. Its OnQuarantine and OnLift must be set to
	// HandleQuarantine and HandleLift.
	Suspector *crashsuspector.Suspector
	// Announce sends facts that this host has observed to the other entry hosts. Nil means that this is the only one.
	Announce func(facts crashsuspector.Facts)
	// Buffers bounds what is buffered for callers and endpoints. Nil sets no bounds.
	Buffers *bufferlimiter.Limiter
	// Logger receives the log events of requests.
	Logger log.Interface
	// Meter counts requests.
	Meter *Meter

	config         atomic.Pointer[fleetconfig.Config]
	isShuttingDown atomic.Bool
	isRefusing     atomic.Bool
	// shutdownEnd is when requests in progress are ended; nil before a shutdown.
	shutdownEnd  atomic.Pointer[time.Time]
	endingOnce   sync.Once
	endingCtx    context.Context
	cancelEnding context.CancelFunc

	activeRequests atomic.Int64
	attempts       attemptList
	relocations    relocationList
	reservations   poolLog
	shareLines     poolLog
	holder         requestholder.Holder
	forecasters    forecasters
	checks         crashChecks
	mu             sync.Mutex
	// longestRemaining is the longest remaining time that a caller has stated of late, by route. First attempts state it.
	longestRemaining map[string]recentMaximum
}

// recentMaximum is the longest of some durations within the current period and the one before. A single caller that
// states an unusually long time is forgotten after that.
type recentMaximum struct {
	current, previous time.Duration
	startedAt         time.Time
}

// add adds a duration, and returns the maximum with it.
func (m *recentMaximum) add(d time.Duration) time.Duration {
	now := time.Now()
	switch age := now.Sub(m.startedAt); {
	case age > 2*remainingPeriod:
		*m = recentMaximum{startedAt: now}
	case age > remainingPeriod:
		*m = recentMaximum{previous: m.current, startedAt: now}
	}
	m.current = max(m.current, d)
	return max(m.current, m.previous)
}

// SetConfig replaces the configuration if config is newer, and reports whether it did.
func (g *Gateway) SetConfig(config *fleetconfig.Config) bool {
	for {
		old := g.config.Load()
		if old != nil && old.Revision >= config.Revision {
			return false
		}
		if g.config.CompareAndSwap(old, config) {
			return true
		}
	}
}

// Config returns the current configuration, or nil.
func (g *Gateway) Config() *fleetconfig.Config {
	return g.config.Load()
}

// BeginShutdown makes all later responses close their connections. Requests that would still be in progress at end are ended then with an
// answer, so that the end of the process cuts off none of them.
func (g *Gateway) BeginShutdown(end time.Time) {
	g.shutdownEnd.Store(&end)
	g.isShuttingDown.Store(true)
	time.AfterFunc(time.Until(end), g.endRequests)
}

// ending returns a context that ends when requests in progress are ended.
func (g *Gateway) ending() context.Context {
	g.endingOnce.Do(func() { g.endingCtx, g.cancelEnding = context.WithCancel(context.Background()) })
	return g.endingCtx
}

func (g *Gateway) endRequests() {
	g.ending()
	g.cancelEnding()
}

// limitToShutdown makes a request end before the process does. It returns false if less time is left than the request is meant to take.
func (g *Gateway) limitToShutdown(req *request) bool {
	end := g.shutdownEnd.Load()
	if end == nil || !req.deadline.After(*end) {
		return true
	}
	req.deadline = *end
	return end.Sub(req.arrivedAt) >= max(minServeTime, req.route.Objective)
}

// RefuseRequests makes the gateway refuse all later requests as not run, so that the end of the process interrupts none
// of them.
func (g *Gateway) RefuseRequests() {
	g.isRefusing.Store(true)
}

// InFlight returns the number of requests in progress.
func (g *Gateway) InFlight() int {
	return int(g.activeRequests.Load())
}

// request is one request in progress.
type request struct {
	headercodec.CallerRequest
	w         http.ResponseWriter
	r         *http.Request
	route     *fleetconfig.Route
	org       *fleetconfig.Organisation
	pool      ident.Pool
	rank      ident.Rank
	config    *fleetconfig.Config
	body      []byte
	arrivedAt time.Time
	// deadline is the time by which the response must be complete.
	deadline time.Time
	// earlierTime is the time that the caller has spent on earlier attempts.
	earlierTime time.Duration
	// heldFor is how long the request was held before it was tried again.
	heldFor time.Duration
	// features are what the request has in common with other requests.
	features []crashsuspector.Feature
	// account holds what is buffered for the request; nil without bounds.
	account *bufferlimiter.Account
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	req := g.newRequest(w, r)
	if rej := g.admit(req); rej != nil {
		g.refuse(req, *rej)
		return
	}
	g.limitWrites(req, req.deadline.Add(maxLateWrite))
	var ok bool
	if req.account, ok = g.Buffers.Open(); !ok {
		g.refuseForMemory(req, "")
		return
	}
	defer req.account.Close()
	if err := g.readBody(req); err != nil {
		if g.refuseBody(req, err) {
			return
		}
		// The caller closed the connection.
		g.logIncomplete(req, event.CallerDisconnected, "body", err)
		panic(http.ErrAbortHandler)
	}
	req.setFeatures()
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	defer context.AfterFunc(g.ending(), cancel)()
	g.runAttempts(ctx, req)
}

func (g *Gateway) newRequest(w http.ResponseWriter, r *http.Request) *request {
	if g.isShuttingDown.Load() {
		w.Header().Set("Connection", "close")
	}
	req := &request{CallerRequest: g.Codec.ReadRequest(r), w: w, r: r, arrivedAt: time.Now(), config: g.config.Load()}
	g.limitWrites(req, req.arrivedAt.Add(maxLateWrite))
	return req
}

// RefuseWithoutDescriptors refuses a request that this host has no descriptors for. The caller of it closes the connection.
func (g *Gateway) RefuseWithoutDescriptors(w http.ResponseWriter, r *http.Request) {
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	req := g.newRequest(w, r)
	g.refuse(req, rejection{status: http.StatusServiceUnavailable, reason: "connections", retryAfter: g.RetryAfter(req.Remaining)})
}

// rejection is a final response of the gateway itself.
type rejection struct {
	status     int
	reason     string
	retryAfter time.Duration
	cause      string
	// details holds the figures behind the decision, for the log.
	details log.Fields
}

// admit sets the route, organisation, pool and deadline of a request, and returns a rejection if the request cannot be
// served.
func (g *Gateway) admit(req *request) *rejection {
	if g.isRefusing.Load() {
		return &rejection{status: http.StatusServiceUnavailable, reason: "leaving", retryAfter: shutdownRetryDelay}
	}
	if rej := g.resolve(req); rej != nil {
		return rej
	}
	timeout := req.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if req.Remaining > 0 {
		timeout = min(timeout, req.Remaining)
	}
	req.deadline = req.arrivedAt.Add(timeout)
	if !g.limitToShutdown(req) {
		return &rejection{status: http.StatusServiceUnavailable, reason: "leaving", retryAfter: shutdownRetryDelay}
	}
	req.earlierTime = g.earlierTime(req)
	g.RetryBudget.AddRequest()
	return nil
}

// resolve sets the route, organisation and pool of a request, and returns a rejection if there are none or if it may run in
// no zone. It changes nothing else.
func (g *Gateway) resolve(req *request) *rejection {
	if req.config == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no-configuration", retryAfter: startupRetryDelay}
	}
	req.route = req.config.FindRoute(req.r.Host, req.r.URL.Path)
	if req.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "no-route"}
	}
	if req.config.Keys != nil {
		req.org = req.config.Keys[req.Key]
		if req.org == nil && !req.route.Anonymous {
			return &rejection{status: http.StatusUnauthorized, reason: "unknown-key"}
		}
	}
	if !g.Restrictor.AllowsAny(g.regionLists(req)...) {
		// No configuration that is in force now lets the request run, so the caller is not invited to retry.
		return &rejection{status: http.StatusServiceUnavailable, reason: reasonRestricted}
	}
	req.pool = req.route.PickPool(hashFraction(req.ID))
	req.rank = req.config.Rank(req.route, req.org)
	return nil
}

// hashFraction returns a number in [0, 1) that depends on the request id alone.
func hashFraction(id ident.RequestID) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	const values = 1 << 32
	return float64(h.Sum32()) / values
}

// earlierTime estimates the time that a retrying caller has spent on earlier attempts, from the remaining time that
// it states: first attempts state the longest.
func (g *Gateway) earlierTime(req *request) time.Duration {
	if req.Remaining <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.longestRemaining == nil {
		g.longestRemaining = make(map[string]recentMaximum)
	}
	maximum := g.longestRemaining[req.route.Name]
	longest := maximum.add(req.Remaining)
	g.longestRemaining[req.route.Name] = maximum
	elapsed := longest - req.Remaining
	if float64(elapsed) <= deadlineSpread*float64(longest) {
		return 0
	}
	return elapsed
}

// readBody reads the request body, up to the configured limit.
func (g *Gateway) readBody(req *request) error {
	limit := req.config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if req.r.ContentLength == 0 {
		return nil
	}
	if req.r.ContentLength > limit {
		return &http.MaxBytesError{Limit: limit}
	}
	body := http.MaxBytesReader(req.w, req.r.Body, limit)
	var err error
	req.body, err = g.readBodyCharged(req, body, limit)
	return err
}

// refuse sends a final response of the gateway itself.
func (g *Gateway) refuse(req *request, rej rejection) {
	h := req.w.Header()
	g.Codec.SetRetryAfter(h, rej.retryAfter)
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]string{"reason": rej.reason, "id": string(req.ID)})
	if err != nil {
		g.Logger.WithError(err).Error("encode refusal")
	}
	req.w.WriteHeader(rej.status)
	if _, err := req.w.Write(body); err != nil {
		g.logIncomplete(req, event.CallerDisconnected, rej.reason, err)
		return
	}
	g.Meter.CountRefusal(rej.status, rej.reason)
	f := g.logFields(req)
	f["status"], f["reason"], f["after"] = rej.status, rej.reason, rej.retryAfter.Seconds()
	if rej.cause != "" {
		f["cause"] = rej.cause
	}
	event.RequestRefused.Log(g.Logger.WithFields(f), rej.details)
}

// logFields returns the log fields that identify a request.
func (g *Gateway) logFields(req *request) log.Fields {
	f := log.Fields{"id": string(req.ID), "took": time.Since(req.arrivedAt).Milliseconds()}
	if req.config != nil {
		f["revision"] = int64(req.config.Revision)
	}
	if req.route != nil {
		f["route"], f["rank"] = req.route.Name, int(req.rank)
	}
	if req.earlierTime > 0 {
		f["spent"] = req.earlierTime.Milliseconds()
	}
	return f
}

// logIncomplete logs the end of a request without a complete response.
func (g *Gateway) logIncomplete(req *request, e event.Event, reason string, err error) {
	f := g.logFields(req)
	f["reason"] = reason
	if err != nil {
		f["cause"] = err.Error()
	}
	e.Log(g.Logger, f)
}
