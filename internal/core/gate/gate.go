// Package gate admits requests to one endpoint only while it serves the weight set that they require.
package gate

import (
	"fmt"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Reason is the reason why a gate refused a request.
type Reason string

// Reasons for refusals.
const (
	// Closed means that the gate is closed.
	Closed Reason = "closed"
	// Leaving means that the gate is permanently closed, because the host is shutting down.
	Leaving Reason = "leaving"
	// OtherWeightSet means that the endpoint serves a different weight set.
	OtherWeightSet Reason = "set"
)

// Error is a refusal of a request before it was forwarded to the back end; the request was not run.
type Error struct {
	Reason Reason
	// Requested is the weight set that the request requires.
	Requested ident.WeightSet
	// Served is the weight set that the endpoint serves.
	Served ident.WeightSet
}

// Error names the reason and both weight sets.
func (e *Error) Error() string {
	return fmt.Sprintf("endpoint refused the request (%s): it serves set %.12q, the request names %.12q", e.Reason, e.Served, e.Requested)
}

// WeightsEpoch identifies a period in which the engine did not change its weights.
type WeightsEpoch struct {
	// StartTime identifies the engine's incarnation.
	StartTime int64
	// LoadCount is the number of load commands that the engine has accepted since it started.
	LoadCount int64
	// FencingToken is the engine's fencing token.
	FencingToken ident.FencingToken
}

// Gate counts the requests in flight and refuses those for another weight set. The zero value is closed.
type Gate struct {
	mu      sync.Mutex
	open    bool
	leaving bool
	set     ident.WeightSet
	epoch   WeightsEpoch
	// openUntil is when an open gate closes by itself; zero means never.
	openUntil time.Time
	inFlight  int
	// idleWaiters are closed when no request is in flight any more.
	idleWaiters []chan struct{}
}

// Open admits requests for set until the gate is closed.
func (g *Gate) Open(set ident.WeightSet) {
	g.OpenUntil(set, WeightsEpoch{}, time.Time{})
}

// OpenUntil admits requests for set until the given time; zero means no limit. The caller must query the engine's state
// again before it extends that time.
func (g *Gate) OpenUntil(set ident.WeightSet, epoch WeightsEpoch, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
	g.set = set
	g.epoch = epoch
	g.openUntil = until
}

// isOpen reports whether the gate is open and openUntil has not passed.
func (g *Gate) isOpen() bool {
	return g.open && (g.openUntil.IsZero() || time.Now().Before(g.openUntil))
}

// Close refuses new requests. It returns a channel that is closed when no request is in flight.
func (g *Gate) Close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	return g.idleChannel()
}

// Drain refuses all further requests, even if the gate is opened again. It returns a channel that is closed when no
// request is in flight.
func (g *Gate) Drain() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	return g.idleChannel()
}

// idleChannel returns a channel that is closed when no request is in flight.
func (g *Gate) idleChannel() <-chan struct{} {
	idle := make(chan struct{})
	if g.inFlight == 0 {
		close(idle)
		return idle
	}
	g.idleWaiters = append(g.idleWaiters, idle)
	return idle
}

// Enter admits one request for set or returns an *Error. After an admission the caller must call Exit once when the
// request is done.
func (g *Gate) Enter(set ident.WeightSet) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return &Error{Reason: Leaving, Requested: set, Served: g.set}
	case !g.isOpen():
		return &Error{Reason: Closed, Requested: set, Served: g.set}
	case g.set != set:
		return &Error{Reason: OtherWeightSet, Requested: set, Served: g.set}
	}
	g.inFlight++
	return nil
}

// Exit ends one admitted request.
func (g *Gate) Exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	if g.inFlight > 0 {
		return
	}
	for _, idle := range g.idleWaiters {
		close(idle)
	}
	g.idleWaiters = nil
}

// Status is a snapshot of a gate.
type Status struct {
	Open     bool
	Leaving  bool
	Set      ident.WeightSet
	Epoch    WeightsEpoch
	InFlight int
}

// Status returns a snapshot of the gate.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Open: g.isOpen() && !g.leaving, Leaving: g.leaving, Set: g.set, Epoch: g.epoch, InFlight: g.inFlight}
}
