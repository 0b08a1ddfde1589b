// Package loadexchanger exchanges datagrams about the load at the endpoints. An entry host reports its load at an
// endpoint to one process, the responder of the endpoint, and queries it for the load of all other hosts. The responder
// of an engine runs on the host beside it; that of a plain service is one of the entry hosts. The number of messages of
// a request is therefore the same whatever the size of the fleet.
package loadexchanger

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
)

const (
	// replyTimeout is how long a query waits for replies: two round trips between the farthest regions.
	replyTimeout = 15 * time.Millisecond
	// silentTimeout is how long replies of a responder that has missed a query are not waited for.
	silentTimeout = time.Second
	// repeatInterval is the time between two reports of a load that does not change: a third of the time for which a
	// responder keeps it.
	repeatInterval = loadtracker.TTL / 3
)

// MaxMessageBytes is the maximum size of an encoded message.
const MaxMessageBytes = 16 << 10

// Exchanger sends and receives the messages of one host on one socket. Set its fields before Run.
type Exchanger struct {
	// Host names this host.
	Host ident.Host
	// Conn sends and receives the messages.
	Conn net.PacketConn
	// Responder returns the address of the responder of an endpoint, or an invalid one if there is none.
	Responder func(e fleetconfig.Endpoint) netip.AddrPort
	// LocalLoad returns the load of this host at an endpoint, and LoadedEndpoints the endpoints where it is not zero.
	LocalLoad       func(e fleetconfig.Endpoint) assigner.Load
	LoadedEndpoints func() []fleetconfig.Endpoint
	// IsLeaving reports whether an endpoint has told this host that it is leaving.
	IsLeaving func(e fleetconfig.Endpoint) bool
	// Outcomes returns the numbers of requests of this host at an endpoint by outcome. It may be nil or return nil.
	Outcomes func(e fleetconfig.Endpoint) *outcometracker.Totals
	// Limit returns what this host knows of the limit that an endpoint has stated, and OnLimit receives what the responder
	// knows. Both are nil on hosts that send no requests.
	Limit   func(e fleetconfig.Endpoint) fleetconfig.RateLimit
	OnLimit func(e fleetconfig.Endpoint, limit fleetconfig.RateLimit)
	// TakeStarted returns the requesters whose requests were sent to an endpoint since the last call, and OnShare receives
	// the share of the requester of a query. Both may be nil.
	TakeStarted func(e fleetconfig.Endpoint) []assigner.Requester
	OnShare     func(e fleetconfig.Endpoint, r assigner.Requester, used, fair float64)
	// Cold returns what this host knows itself about an endpoint that may be cold, and OnCold receives what the responder
	// knows. Both are nil on hosts that send no requests.
	Cold   func(e fleetconfig.Endpoint) fleetconfig.Coldness
	OnCold func(e fleetconfig.Endpoint, c fleetconfig.Coldness)
	// PermitShare returns the part of the permits for a cold endpoint that this process may give. Nil means that it is the
	// only responder that the endpoint ever has.
	PermitShare func(endpoint string) float64
	// Cede gives up this process's part of the permits for a cold endpoint to its successor and returns it; zero if the
	// successor is another. OnHandover receives the part of the former responder. Both are nil where PermitShare is nil.
	Cede       func(endpoint string, successor netip.Addr) float64
	OnHandover func(endpoint string, share float64)
	// OnQuery receives an endpoint whose responder is queried; it may be nil. OnReply receives a reply to a query for an endpoint.
	OnQuery func(e fleetconfig.Endpoint)
	OnReply func(e fleetconfig.Endpoint, r Reply)
	// OnRoundTrip receives the time that a reply for an endpoint has taken, and OnMissedReply an endpoint whose reply was
	// waited for and has not arrived in time. Both may be nil, and must not call the exchanger.
	OnRoundTrip   func(e fleetconfig.Endpoint, took time.Duration)
	OnMissedReply func(e fleetconfig.Endpoint)
	// OnGate receives the state of an engine from the host beside it.
	OnGate func(g assigner.GateState)
	// Presence decides on the beats of an entry host. It is nil on other hosts.
	Presence *presencetracker.Tracker
	// OnBeat is called before the beats are sent. It may be nil.
	OnBeat func()
	// OnFacts receives the facts about crashes that another entry host sends. It is nil on other hosts.
	OnFacts func(m factexchanger.Message, from netip.AddrPort)
	// Gate returns the gate state to send with replies, or nil. It is nil on entry hosts.
	Gate func() *assigner.GateState
	// LastGate returns the last gate state, to answer queries for it, or nil if there is none yet. It is nil on entry hosts.
	LastGate func() *assigner.GateState
	// Pace returns the pace of the engine to state in replies, or nil. It is nil on entry hosts.
	Pace func() *assigner.Pace
	// Logger receives the log events of messages that cannot be decoded.
	Logger log.Interface

	process  uint64
	trackers trackers
	changed  chan struct{}

	// reportMu makes the order of serials that of the reported loads. It is held while the assigner is called, so that mu
	// cannot be used: the assigner calls LoadChanged.
	reportMu sync.Mutex
	serial   uint64

	mu      sync.Mutex
	pending map[string]fleetconfig.Endpoint
	queries map[uint64]*query
	// silentUntil holds the responders whose replies are not waited for.
	silentUntil map[netip.AddrPort]time.Time
}

// query is one query whose reply has not arrived.
type query struct {
	endpoint  fleetconfig.Endpoint
	responder netip.AddrPort
	sentAt    time.Time
	// isUntimed says that the time until the reply is no measure of the network.
	isUntimed bool
	// asker is the request that the query is made for; nil if there is none.
	asker *Asker
	// replied receives a value with the reply if the query is waited for. It never blocks.
	replied chan<- struct{}
	// granted receives the grant of a query for a permit. It never blocks.
	granted chan<- grant
}

// Init prepares the exchanger. It must be called before any other method.
func (x *Exchanger) Init() {
	x.process = rand.Uint64()
	x.changed = make(chan struct{}, 1)
	x.pending, x.queries = make(map[string]fleetconfig.Endpoint), make(map[uint64]*query)
	x.silentUntil = make(map[netip.AddrPort]time.Time)
}

// Run sends and receives until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return x.receive(ctx) })
	if x.LoadedEndpoints != nil {
		tasks.Go(func() error { return x.sendReports(ctx) })
	}
	if x.Presence != nil {
		tasks.Go(func() error { return x.sendBeats(ctx) })
	}
	return tasks.Wait()
}

// LoadChanged schedules a report of the load at an endpoint. It does not block.
func (x *Exchanger) LoadChanged(e fleetconfig.Endpoint, _ assigner.Load) {
	x.mu.Lock()
	x.pending[e.ID] = e
	x.mu.Unlock()
	select {
	case x.changed <- struct{}{}:
	default:
	}
}

func (x *Exchanger) sendReports(ctx context.Context) error {
	ticker := time.NewTicker(repeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			loaded := x.LoadedEndpoints()
			x.mu.Lock()
			for _, e := range loaded {
				x.pending[e.ID] = e
			}
			x.mu.Unlock()
		case <-x.changed:
		}
		x.mu.Lock()
		pending := x.pending
		x.pending = make(map[string]fleetconfig.Endpoint)
		x.mu.Unlock()
		for _, e := range pending {
			x.sendReport(e, 0, nil)
		}
	}
}

func (x *Exchanger) sendReport(e fleetconfig.Endpoint, queryID uint64, asker *Asker) {
	to := x.Responder(e)
	if !to.IsValid() {
		return
	}
	x.reportMu.Lock()
	x.serial++
	r := &Report{
		Endpoint: e.ID, StartTime: e.StartTime, Load: x.LocalLoad(e), Process: x.process, Serial: x.serial, IsLeaving: x.IsLeaving(e), Query: queryID,
		Sharing: x.sharingOf(e, asker),
	}
	if x.Outcomes != nil {
		r.Outcomes = x.Outcomes(e)
	}
	x.reportMu.Unlock()
	m := message{Host: x.Host, Report: r, Limit: x.limitOf(e), Cold: x.coldClaimOf(e)}
	if queryID == 0 && m.Cold != nil && m.Cold.Remaining == 0 {
		m.Cold = nil // only the reply would need it
	}
	x.send(m, to)
}

// Query queries the responders of endpoints for the load of the other hosts there, and returns when all of them have
// replied, after replyTimeout, or when ctx ends. It does not wait for responders that have missed a query a moment ago.
func (x *Exchanger) Query(ctx context.Context, endpoints []fleetconfig.Endpoint) {
	x.query(ctx, endpoints, nil)
}

func (x *Exchanger) query(ctx context.Context, endpoints []fleetconfig.Endpoint, asker *Asker) {
	ids := make([]uint64, 0, len(endpoints))
	replied := make(chan struct{}, len(endpoints))
	awaited := 0
	now := time.Now()
	for _, e := range endpoints {
		to := x.Responder(e)
		if !to.IsValid() {
			continue
		}
		q := &query{endpoint: e, responder: to, sentAt: time.Now(), asker: asker}
		id := rand.Uint64() | 1 // zero means no query
		ids = append(ids, id)
		x.mu.Lock()
		if now.After(x.silentUntil[to]) {
			awaited++
			q.replied = replied
		}
		x.queries[id] = q
		x.mu.Unlock()
		if x.OnQuery != nil {
			x.OnQuery(e)
		}
		x.sendReport(e, id, asker)
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	isOver := false
	for awaited > 0 && !isOver {
		select {
		case <-replied:
			awaited--
		case <-ctx.Done():
			isOver = true
		case <-timer.C:
			isOver = true
		}
	}
	x.endQueries(ids, time.Since(now) >= replyTimeout)
}

// Ask queries the responder of an endpoint and does not wait for the reply.
func (x *Exchanger) Ask(e fleetconfig.Endpoint) {
	to := x.Responder(e)
	if !to.IsValid() {
		return
	}
	id := rand.Uint64() | 1 // zero means no query
	x.mu.Lock()
	x.queries[id] = &query{endpoint: e, responder: to, sentAt: time.Now(), isUntimed: true}
	x.mu.Unlock()
	x.sendReport(e, id, nil)
	x.forgetQuery(id)
}

// AskGate asks the process beside an engine for the engine's gate state, which OnGate receives.
func (x *Exchanger) AskGate(e fleetconfig.Endpoint) {
	if to := x.Responder(e); to.IsValid() {
		x.send(message{Host: x.Host, GateQuery: e.Address}, to)
	}
}

// forgetQuery drops a query without a reply after silentTimeout.
func (x *Exchanger) forgetQuery(id uint64) {
	time.AfterFunc(silentTimeout, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.queries, id)
	})
}

// endQueries gives up the queries that have not been replied to. Their responders count as silent if the time for
// replies has passed. A late reply is still recorded, for as long as its query is kept.
func (x *Exchanger) endQueries(ids []uint64, isTimeout bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, id := range ids {
		q := x.queries[id]
		if q == nil {
			continue
		}
		if isTimeout {
			x.silentUntil[q.responder] = time.Now().Add(silentTimeout)
			if x.OnMissedReply != nil && q.replied != nil {
				x.OnMissedReply(q.endpoint)
			}
		}
		x.forgetQuery(id)
	}
}

func (x *Exchanger) sendBeats(ctx context.Context) error {
	ticker := time.NewTicker(presencetracker.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if x.OnBeat != nil {
			x.OnBeat()
		}
		for _, m := range x.Presence.Due() {
			x.send(message{Host: x.Host, Beat: &m.Beat}, m.To...)
		}
	}
}

// SendFacts sends facts about crashes to other entry hosts.
func (x *Exchanger) SendFacts(m factexchanger.Message, to ...netip.AddrPort) {
	x.send(message{Host: x.Host, Facts: &m}, to...)
}

func (x *Exchanger) send(m message, to ...netip.AddrPort) {
	data, err := encode(m)
	if err != nil {
		x.Logger.WithError(err).Error("encode load message")
		return
	}
	for _, a := range to {
		// A message that cannot be sent is handled like a lost one.
		_, _ = x.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (x *Exchanger) receive(ctx context.Context) error {
	buf := make([]byte, MaxMessageBytes)
	for {
		n, from, err := x.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive load messages: %w", err)
		}
		if err != nil {
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			event.LoadMessageInvalid.Log(x.Logger.WithError(err), nil)
			continue
		}
		if a, ok := from.(*net.UDPAddr); ok {
			x.handle(m, a.AddrPort())
		}
	}
}

func (x *Exchanger) handle(m message, from netip.AddrPort) {
	switch {
	case m.Report != nil:
		others, share, isLeaving, limits := x.trackers.record(m.Host, m.Report, m.Limit.rateLimit(), m.Cold.coldness(), x.permitShare(m.Report.Endpoint, m.Cold))
		outcomes := x.trackers.recordOutcomes(m.Host, m.Report)
		x.logRateChange(limits.change)
		if m.Report.Query == 0 {
			return
		}
		reply := &Reply{Query: m.Report.Query, Load: others, IsLeaving: isLeaving, Share: share, Outcomes: outcomes}
		if x.Gate != nil {
			reply.Gate = x.Gate()
		}
		if x.Pace != nil {
			reply.Pace = x.Pace()
		}
		x.send(message{Host: x.Host, Reply: reply, Limit: newLimitStatement(limits.stated), Cold: newColdStatement(limits.cold)}, from)
	case m.Reply != nil:
		x.handleReply(*m.Reply, m.Limit, m.Cold)
	case m.Permit != nil:
		ok, wait, limits := x.trackers.takePermit(m.Permit, m.Limit.rateLimit(), m.Cold.coldness(), x.permitShare(m.Permit.Endpoint, m.Cold))
		x.logRateChange(limits.change)
		x.send(message{Host: x.Host, Grant: &grant{Query: m.Permit.Query, OK: ok, Wait: wait}, Limit: newLimitStatement(limits.stated), Cold: newColdStatement(limits.cold)}, from)
	case m.Grant != nil:
		x.handleGrant(*m.Grant, m.Limit, m.Cold)
	case m.Handover != nil:
		x.handleHandover(*m.Handover, from)
	case m.GateQuery != "" && x.LastGate != nil:
		if g := x.LastGate(); g != nil && g.Address == m.GateQuery {
			x.send(message{Host: x.Host, Gate: g}, from)
		}
	case m.Gate != nil && x.OnGate != nil:
		x.OnGate(*m.Gate)
	case m.Facts != nil && x.OnFacts != nil:
		x.OnFacts(*m.Facts, from)
	case m.Beat != nil && x.Presence != nil:
		x.Presence.Receive(from.Addr().Unmap(), *m.Beat)
	}
}

// endQuery ends a query that was answered, and returns it, or nil if it is not known.
func (x *Exchanger) endQuery(id uint64) *query {
	x.mu.Lock()
	defer x.mu.Unlock()
	q := x.queries[id]
	delete(x.queries, id)
	if q != nil {
		delete(x.silentUntil, q.responder)
	}
	return q
}

func (x *Exchanger) handleReply(r Reply, limit *limitStatement, cold *coldStatement) {
	q := x.endQuery(r.Query)
	if q == nil {
		return
	}
	x.notifyLimit(q.endpoint, limit)
	x.notifyCold(q.endpoint, cold)
	x.OnReply(q.endpoint, r)
	if x.OnRoundTrip != nil && !q.isUntimed {
		x.OnRoundTrip(q.endpoint, time.Since(q.sentAt))
	}
	x.notifyShare(q, r.Share)
	if r.Gate != nil {
		x.OnGate(*r.Gate)
	}
	if q.replied != nil {
		q.replied <- struct{}{}
	}
}
