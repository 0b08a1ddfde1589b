// Package connectionkeeper keeps the connections of callers within the descriptors and the memory of the process: it tells
// core/connectionbudget what they do, and closes those that it names. What they send before a request is complete is charged to
// core/bufferlimiter, and what costs much work is read at the pace of core/workpacer.
package connectionkeeper

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
	"github.com/nutmegdock/nutmegdock/internal/core/progressmeter"
	"github.com/nutmegdock/nutmegdock/internal/core/workpacer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// checkInterval is the time between two searches for connections that have been idle for too long. A longer time in which
	// the process did not run counts as maxStep.
	checkInterval = 250 * time.Millisecond
	maxStep       = 2 * checkInterval
	// logInterval is the time between two log entries on connections that were closed for want of room.
	logInterval = 5 * time.Second
	// The limits that hold where the configuration states none.
	defaultHeadBytes = 64 << 10
	defaultHeadTime  = 10 * time.Second
	defaultIdleTime  = 2 * time.Minute
)

// Reasons for closing a connection, in metrics.
const (
	reasonTimeout  = "timeout"
	reasonRoom     = "room"
	reasonRejected = "rejected"
	reasonHeadSize = "head-size"
	reasonHeadTime = "head-time"
	reasonMemory   = "memory"
)

// reasons are the reasons of connections that end with a status before their request is complete.
var reasons = map[int]string{
	http.StatusRequestHeaderFieldsTooLarge: reasonHeadSize, http.StatusRequestTimeout: reasonHeadTime, http.StatusServiceUnavailable: reasonMemory,
}

// Keeper keeps the connections of one listener. Use New, and set the exported fields before use.
type Keeper struct {
	// Buffers is charged for the heads of requests. Nil sets no bounds.
	Buffers *bufferlimiter.Limiter
	// Pacer paces what costs much work. Nil means that nothing does.
	Pacer *workpacer.Pacer
	// OnAdvance is called with the time in which the process ran, several times a second. Nil means that nobody is told.
	OnAdvance func(d time.Duration)

	logger log.Interface
	closed *prometheus.CounterVec
	// lingering is the number of connections whose callers are still read from although the response is complete.
	lingering atomic.Int64

	mu       sync.Mutex
	budget   connectionbudget.Budget[*conn]
	loggedAt time.Time
	// closedForRoom is the number of connections that were closed for want of room since loggedAt, and ended that of the
	// connections that ended with a status before their request was complete.
	closedForRoom int
	ended         map[int]int
	endedLoggedAt time.Time
	headBytes     int
}

// New returns a keeper with the given parts, and registers its metrics.
func New(parts connectionbudget.Parts, registry prometheus.Registerer, logger log.Interface) *Keeper {
	k := &Keeper{logger: logger, ended: make(map[int]int), headBytes: defaultHeadBytes}
	k.budget.Parts = parts
	k.budget.SetTimes(defaultIdleTime, defaultHeadTime)
	k.closed = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "nutmegdock_connections_closed_total", Help: "Connections of callers that this host closed while no request was in progress, by reason.",
	}, []string{"reason"})
	registry.MustRegister(k.closed)
	for use, value := range map[string]func(u connectionbudget.Usage) int{
		"idle":      func(u connectionbudget.Usage) int { return u.Idle },
		"reading":   func(u connectionbudget.Usage) int { return u.Reading },
		"receiving": func(u connectionbudget.Usage) int { return u.Receiving },
		"serving":   func(u connectionbudget.Usage) int { return u.Serving },
		"refused":   func(u connectionbudget.Usage) int { return u.Refused },
	} {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "nutmegdock_connections", Help: "Connections of callers, by what they do.", ConstLabels: prometheus.Labels{"use": use},
		}, func() float64 { return float64(value(k.Usage())) }))
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_connections_bound", Help: "Bound of the connections of callers; a request in progress counts twice. Zero means none.",
	}, func() float64 { return float64(parts.Callers) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_connections_kept_bound", Help: "Bound of the connections of callers that follows from the memory; each counts once. Zero means none.",
	}, func() float64 { return float64(parts.Kept) }))
	return k
}

// SetTimes sets how long a connection may be idle, and how long a caller may take to send the head of a request. Zero sets the
// default.
func (k *Keeper) SetTimes(idleTime, headTime time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.budget.SetTimes(cmp.Or(max(0, idleTime), defaultIdleTime), cmp.Or(max(0, headTime), defaultHeadTime))
}

// SetHeadBytes sets the largest head of a request. Zero sets the default.
func (k *Keeper) SetHeadBytes(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.headBytes = defaultHeadBytes
	if n > 0 {
		k.headBytes = n
	}
}

func (k *Keeper) maxHeadBytes() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.headBytes
}

// Usage returns the numbers of connections now.
func (k *Keeper) Usage() connectionbudget.Usage {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.Usage()
}

// IsFull reports whether a new connection was closed a moment ago because there was no room to answer it.
func (k *Keeper) IsFull() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.budget.IsFull()
}

// Run closes connections that are idle for too long until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for last := time.Now(); ; {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := time.Now()
		step := min(now.Sub(last), maxStep)
		k.mu.Lock()
		closed := k.budget.Advance(step)
		k.mu.Unlock()
		k.expire(closed)
		if k.OnAdvance != nil {
			k.OnAdvance(step)
		}
		last = now
	}
}

// Listen returns a listener whose connections are kept. The server must use ConnState, ConnContext
// and Handler.
func (k *Keeper) Listen(ln net.Listener) net.Listener {
	return &listener{Listener: ln, keeper: k}
}

type listener struct {
	net.Listener
	keeper *Keeper
}

// Accept waits for a connection for which there is room, if only for a refusal. It closes the others.
func (l *listener) Accept() (net.Conn, error) {
	for {
		netConn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: netConn, keeper: l.keeper, isInHead: true}
		if l.keeper.open(c) {
			return c, nil
		}
	}
}

func (k *Keeper) open(c *conn) bool {
	k.mu.Lock()
	verdict, closed := k.budget.Open(c)
	k.mu.Unlock()
	k.closeAll(closed, reasonRoom)
	if verdict == connectionbudget.Close {
		k.closeAll([]*conn{c}, reasonRejected)
		return false
	}
	return true
}

type connKey struct{}

// ConnContext returns the context of a connection. See http.Server.
func (k *Keeper) ConnContext(ctx context.Context, c net.Conn) context.Context {
	if kept := find(c); kept != nil {
		return context.WithValue(ctx, connKey{}, kept)
	}
	return ctx
}

// ConnState records what a connection does. See http.Server.
func (k *Keeper) ConnState(c net.Conn, s http.ConnState) {
	kept := find(c)
	if kept == nil {
		return
	}
	switch s {
	case http.StateIdle:
		kept.awaitHead()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.budget.EndRequest(kept)
	case http.StateHijacked, http.StateClosed:
		kept.closeHead()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.budget.Remove(kept)
	case http.StateNew, http.StateActive:
	}
}

// beginRequest records that a request is complete up to its body, and reports whether there is room for it. ctx is that of the
// request.
func (k *Keeper) beginRequest(ctx context.Context) bool {
	c, ok := ctx.Value(connKey{}).(*conn)
	if !ok {
		return true
	}
	isOpen := c.endHead()
	k.mu.Lock()
	ok, closed := k.budget.BeginRequest(c)
	k.mu.Unlock()
	k.closeAll(closed, reasonRoom)
	return ok && isOpen
}

// Handler returns a handler that passes a request on if there is room for it, and has it refused otherwise. The connection is
// closed after a refusal, and after a response to a request whose body was not read to its end.
func (k *Keeper) Handler(next http.Handler, refuse http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		isKept := k.beginRequest(r.Context())
		c, ok := r.Context().Value(connKey{}).(*conn)
		if ok && r.ContentLength != 0 {
			b := &body{ReadCloser: r.Body, ctx: r.Context(), conn: c, received: c.receivedBytes(), progress: progressmeter.Meter{Size: int(r.ContentLength)}}
			b.begin()
			defer b.end()
			r = r.WithContext(r.Context())
			r.Body = b
			w = &responseWriter{ResponseWriter: w, body: b}
		}
		if isKept {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		refuse(w, r)
	})
}

// expire ends connections on which nothing has happened for too long. A caller that has sent a part of a head is told so.
func (k *Keeper) expire(conns []*conn) {
	silent := conns[:0]
	for _, c := range conns {
		if !c.endWith(http.StatusRequestTimeout) {
			silent = append(silent, c)
		}
	}
	k.closeAll(silent, reasonTimeout)
}

// recordEnd records that a connection ends with a status before its request was complete.
func (k *Keeper) recordEnd(status int) {
	k.closed.WithLabelValues(reasons[status]).Inc()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ended[status]++
	if time.Since(k.endedLoggedAt) < logInterval {
		return
	}
	u := k.Buffers.Usage()
	event.CallersCutOff.Log(k.logger, log.Fields{
		"size": k.ended[http.StatusRequestHeaderFieldsTooLarge], "time": k.ended[http.StatusRequestTimeout], "memory": k.ended[http.StatusServiceUnavailable],
		"limit": k.headBytes, "heads": u.Heads, "bodies": u.Bodies,
	})
	k.endedLoggedAt = time.Now()
	clear(k.ended)
}

func (k *Keeper) closeAll(conns []*conn, reason string) {
	for _, c := range conns {
		if !c.cutBody() {
			_ = c.Conn.Close() // it ends with the process at the latest
		}
	}
	if len(conns) == 0 {
		return
	}
	k.closed.WithLabelValues(reason).Add(float64(len(conns)))
	if reason == reasonTimeout {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closedForRoom += len(conns)
	if time.Since(k.loggedAt) < logInterval {
		return
	}
	u := k.budget.Usage()
	event.ConnectionsClosed.Log(k.logger, log.Fields{
		"closed": k.closedForRoom, "bound": k.budget.Parts.Callers, "kept": k.budget.Parts.Kept, "idle": u.Idle, "reading": u.Reading, "receiving": u.Receiving, "serving": u.Serving, "refused": u.Refused,
	})
	k.loggedAt, k.closedForRoom = time.Now(), 0
}

// find returns the kept connection inside c, or nil.
func find(c net.Conn) *conn {
	for c != nil {
		if kept, ok := c.(*conn); ok {
			return kept
		}
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = wrapper.NetConn()
	}
	return nil
}
