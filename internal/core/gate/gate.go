// Package gate admits requests to one endpoint only while it serves the weight set that they name.
package gate

import (
	"fmt"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Reason tells why a gate refused a request.
type Reason string

// Reasons for a refusal.
const (
	Closed  Reason = "closed"
	Leaving Reason = "leaving"
	Other   Reason = "set"
)

// Error is a refusal given before the request was handed over; the request was not run.
type Error struct {
	Reason Reason
	Want   ident.WeightSet
	Have   ident.WeightSet
}

// Error names the reason and both weight sets.
func (e *Error) Error() string {
	return fmt.Sprintf("endpoint refused the request (%s): it serves set %.12q, the request names %.12q", e.Reason, e.Have, e.Want)
}

// Epoch identifies a stretch of time in which the engine kept its weights.
type Epoch struct {
	Birth int64
	Loads int64
	Fence ident.Fence
}

// Gate counts the requests in progress and refuses those for another weight set. The zero value is closed.
type Gate struct {
	mu      sync.Mutex
	open    bool
	leaving bool
	set     ident.WeightSet
	epoch   Epoch
	until   time.Time
	running int
	idle    []chan struct{}
}

// Open lets requests for set pass, without a bound in time.
func (g *Gate) Open(set ident.WeightSet) {
	g.OpenUntil(set, Epoch{}, time.Time{})
}

// OpenUntil lets requests for set pass until a time, after which the engine must have been read again.
// The zero time means no bound.
func (g *Gate) OpenUntil(set ident.WeightSet, e Epoch, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = true
	g.set = set
	g.epoch = e
	g.until = until
}

func (g *Gate) isOpen() bool {
	return g.open && (g.until.IsZero() || time.Now().Before(g.until))
}

// Close refuses new requests and returns a channel that is closed when none is in progress.
func (g *Gate) Close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	return g.wait()
}

// Leave refuses all further requests for good and returns a channel that is closed when none is in progress.
func (g *Gate) Leave() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	return g.wait()
}

func (g *Gate) wait() <-chan struct{} {
	ch := make(chan struct{})
	if g.running == 0 {
		close(ch)
		return ch
	}
	g.idle = append(g.idle, ch)
	return ch
}

// Enter admits one request for set. The caller must call Exit once when it is done.
func (g *Gate) Enter(set ident.WeightSet) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return &Error{Reason: Leaving, Want: set, Have: g.set}
	case !g.isOpen():
		return &Error{Reason: Closed, Want: set, Have: g.set}
	case g.set != set:
		return &Error{Reason: Other, Want: set, Have: g.set}
	}
	g.running++
	return nil
}

// Exit ends one admitted request.
func (g *Gate) Exit() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	if g.running > 0 {
		return
	}
	for _, ch := range g.idle {
		close(ch)
	}
	g.idle = nil
}

// Status is a snapshot of the gate.
type Status struct {
	Open    bool
	Leaving bool
	Set     ident.WeightSet
	Epoch   Epoch
	Running int
}

// Status returns a snapshot of the gate.
func (g *Gate) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return Status{Open: g.isOpen() && !g.leaving, Leaving: g.leaving, Set: g.set, Epoch: g.epoch, Running: g.running}
}
