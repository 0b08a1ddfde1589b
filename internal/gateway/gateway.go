// Package gateway takes callers' requests for any service by host and path, and passes each on to an endpoint.
package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/dialect"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/sender"
)

const (
	// defaultBody bounds a request's body where the configuration states no limit.
	defaultBody = 4 << 20
	// startAfter is when a caller may come back to a host that has no configuration yet.
	startAfter = 300 * time.Millisecond
	// patienceSpread is the part by which the deadlines of first attempts differ. A caller that has less time left than
	// that was here before.
	patienceSpread = 0.16
	// leaveAfter is when a caller may come back that a leaving host refuses: at once, to another host.
	leaveAfter = 10 * time.Millisecond
	// fallbackTimeout bounds a request whose route and caller state no time.
	fallbackTimeout = 30 * time.Second
)

// Gateway is the handler of callers' requests. Set its fields before the first request.
type Gateway struct {
	// Dialect reads and writes headers.
	Dialect dialect.Dialect
	// Assigner places requests.
	Assigner *assigner.Assigner
	// Sender makes attempts.
	Sender *sender.Sender
	// Budget grants repeats.
	Budget *retrybudget.Budget
	// Release returns the oldest release of a model on which a request may begin now.
	Release func(m directory.Model) directory.Release
	// Cutoff returns when a request that has not begun on a release is taken back; zero if it may stay.
	Cutoff func(m directory.Model, n directory.Release) time.Time
	// Return returns when a caller that is refused for overload should come back.
	Return func(left time.Duration) time.Duration
	// Logger receives a line for each decision.
	Logger log.Interface
	// Meter counts requests.
	Meter *Meter

	dir     atomic.Pointer[directory.Directory]
	leaving atomic.Bool
	closed  atomic.Bool
	running atomic.Int64
	mu      sync.Mutex
	// whole is, for each route, the longest time that a caller gave an attempt: that of first attempts.
	whole map[string]time.Duration
}

// SetDirectory puts a configuration in force, unless a newer one is.
func (g *Gateway) SetDirectory(d *directory.Directory) bool {
	for {
		old := g.dir.Load()
		if old != nil && old.Revision >= d.Revision {
			return false
		}
		if g.dir.CompareAndSwap(old, d) {
			return true
		}
	}
}

// Directory returns the configuration in force, or nil.
func (g *Gateway) Directory() *directory.Directory {
	return g.dir.Load()
}

// Leave makes every further answer end its connection.
func (g *Gateway) Leave() {
	g.leaving.Store(true)
}

// Close makes every further request be refused as not run, so that none is cut by the end of the process.
func (g *Gateway) Close() {
	g.closed.Store(true)
}

// Running returns the number of requests in progress.
func (g *Gateway) Running() int {
	return int(g.running.Load())
}

// request is one request in progress.
type request struct {
	dialect.Call
	w       http.ResponseWriter
	r       *http.Request
	route   *directory.Route
	org     *directory.Organisation
	pool    ident.Pool
	dir     *directory.Directory
	body    []byte
	arrived time.Time
	// final is when the answer must be given at the latest.
	final time.Time
	// spent is the time that the caller's earlier attempts took.
	spent time.Duration
}

// ServeHTTP answers one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Call: g.Dialect.Read(r), w: w, r: r, arrived: time.Now(), dir: g.dir.Load()}
	if why := g.admit(q); why != nil {
		g.refuse(q, *why)
		return
	}
	if err := g.readBody(q); err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			g.refuse(q, rejection{status: http.StatusRequestEntityTooLarge, reason: "body-too-large"})
			return
		}
		// The caller broke off.
		g.note(q, event.RequestLeft, "body", err)
		panic(http.ErrAbortHandler)
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.final)
	defer cancel()
	g.run(ctx, q)
}

// rejection is a final answer of our own.
type rejection struct {
	status int
	reason string
	after  time.Duration
	text   string
	// seen is what decided it, for the logs.
	seen log.Fields
}

// admit finds the route and the organisation of a request.
func (g *Gateway) admit(q *request) *rejection {
	if g.closed.Load() {
		return &rejection{status: http.StatusServiceUnavailable, reason: "leaving", after: leaveAfter}
	}
	if q.dir == nil {
		return &rejection{status: http.StatusServiceUnavailable, reason: "no-configuration", after: startAfter}
	}
	q.route = q.dir.Find(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return &rejection{status: http.StatusNotFound, reason: "no-route"}
	}
	if q.dir.Keys != nil {
		q.org = q.dir.Keys[q.Key]
		if q.org == nil && !q.route.Anonymous {
			return &rejection{status: http.StatusUnauthorized, reason: "unknown-key"}
		}
	}
	timeout := q.route.Timeout
	if timeout <= 0 {
		timeout = fallbackTimeout
	}
	if q.Remaining > 0 {
		timeout = min(timeout, q.Remaining)
	}
	q.final = q.arrived.Add(timeout)
	q.pool = q.route.Pick(draw(q.ID))
	q.spent = g.spentBefore(q)
	g.Budget.Earn()
	return nil
}

// draw returns a number from 0 up to 1 that depends on the request alone.
func draw(id ident.Request) float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	const values = 1 << 32
	return float64(h.Sum32()) / values
}

// spentBefore tells a caller that comes back by the time that it has left: first attempts have the most.
func (g *Gateway) spentBefore(q *request) time.Duration {
	if q.Remaining <= 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.whole == nil {
		g.whole = make(map[string]time.Duration)
	}
	most := max(g.whole[q.route.Name], q.Remaining)
	g.whole[q.route.Name] = most
	spent := most - q.Remaining
	if float64(spent) <= patienceSpread*float64(most) {
		return 0
	}
	return spent
}

func (g *Gateway) readBody(q *request) error {
	limit := q.dir.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if q.r.ContentLength == 0 {
		return nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(q.w, q.r.Body, limit))
	q.body = body
	return err
}

// refuse gives a final answer of our own.
func (g *Gateway) refuse(q *request, why rejection) {
	h := q.w.Header()
	g.Dialect.Refuse(h, why.after)
	h.Set("Content-Type", "application/json")
	body, err := json.Marshal(map[string]string{"reason": why.reason, "id": string(q.ID)})
	if err != nil {
		g.Logger.WithError(err).Error("encode refusal")
	}
	q.w.WriteHeader(why.status)
	if _, err := q.w.Write(body); err != nil {
		g.note(q, event.RequestLeft, why.reason, err)
		return
	}
	g.Meter.Refused(why.status, why.reason)
	f := g.fields(q)
	f["status"], f["reason"], f["after"] = why.status, why.reason, why.after.Seconds()
	if why.text != "" {
		f["cause"] = why.text
	}
	event.RequestRefused.Log(g.Logger.WithFields(f), why.seen)
}

func (g *Gateway) fields(q *request) log.Fields {
	f := log.Fields{"id": string(q.ID), "took": time.Since(q.arrived).Milliseconds()}
	if q.dir != nil {
		f["revision"] = int64(q.dir.Revision)
	}
	if q.route != nil {
		f["route"] = q.route.Name
	}
	if q.spent > 0 {
		f["spent"] = q.spent.Milliseconds()
	}
	return f
}

// note logs the end of a request that got no whole answer.
func (g *Gateway) note(q *request, e event.Event, reason string, err error) {
	f := g.fields(q)
	f["reason"] = reason
	if err != nil {
		f["cause"] = err.Error()
	}
	e.Log(g.Logger, f)
}
