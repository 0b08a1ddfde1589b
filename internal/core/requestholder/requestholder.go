// Package requestholder holds requests for a moment before they are refused for overload, and lets them try again in the
// order of their ranks.
//
// Load pattern: sustained overload. Engines release slots at the ends of passes, so that a request which finds none may find
// one a fraction of a pass later. Requests are held for a small part of their objective only, so that a refused caller
// learns of it immediately.
package requestholder

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// objectiveDivisor is the part of its objective for which a request may be held.
const objectiveDivisor = 8

// maxHeld bounds the held requests, and with them the memory and the work of retries under extreme overload.
const maxHeld = 64

// Holder holds the requests of one host. The zero value is ready to use. It is safe for concurrent use.
type Holder struct {
	mu   sync.Mutex
	held []*entry // in the order in which they are woken
}

type entry struct {
	rank ident.Rank
	wake chan struct{}
}

// Limit returns how long a request with an objective may be held in total.
func Limit(objective time.Duration) time.Duration {
	return objective / objectiveDivisor
}

// Hold blocks until a slot was released, until the end of a time, or until ctx ends. It reports whether the request was
// held. A request is not held if there are too many, unless a less urgent one can be let go instead.
func (h *Holder) Hold(ctx context.Context, rank ident.Rank, d time.Duration) bool {
	e := &entry{rank: rank, wake: make(chan struct{}, 1)}
	if d <= 0 || !h.add(e) {
		return false
	}
	defer h.remove(e)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
	return true
}

func (h *Holder) add(e *entry) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if n := len(h.held); n >= maxHeld {
		last := h.held[n-1]
		if last.rank <= e.rank {
			return false
		}
		h.held = h.held[:n-1]
		last.wake <- struct{}{}
	}
	at, _ := slices.BinarySearchFunc(h.held, e.rank, func(o *entry, rank ident.Rank) int {
		if o.rank <= rank {
			return -1
		}
		return 1
	})
	h.held = slices.Insert(h.held, at, e)
	return true
}

func (h *Holder) remove(e *entry) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at := slices.Index(h.held, e); at >= 0 {
		h.held = slices.Delete(h.held, at, at+1)
	}
}

// Wake lets the most urgent request try again, the one that has been held longest among equals. It is called when a slot
// may have become free.
func (h *Holder) Wake() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.held) == 0 {
		return
	}
	first := h.held[0]
	h.held = h.held[1:]
	first.wake <- struct{}{}
}
