// Package uploadlimiter decides whether a host serves one more chunk.
package uploadlimiter

import (
	"fmt"
	"sync"
	"time"
)

// Defaults of the slots.
const (
	DefaultInside  = 3
	DefaultOutside = 2
	retryAfter     = 200 * time.Millisecond
)

// BusyError reports that all slots are taken.
type BusyError struct {
	// After is the time after which to ask again.
	After time.Duration
}

// Error states when to ask again.
func (e *BusyError) Error() string {
	return fmt.Sprintf("all upload slots are taken; ask another host, or again after %s", e.After)
}

// Limiter counts the uploads in progress. Hosts of other zones have slots of their own, so that the first copy of a
// chunk for another zone does not wait behind the exchange inside the zone. Set its fields before use.
type Limiter struct {
	// Inside is the number of uploads at a time to hosts of the same zone; zero means the default.
	Inside int
	// Outside is the number of uploads at a time to hosts of other zones; zero means the default.
	Outside int

	mu      sync.Mutex
	inside  int
	outside int
}

// Start takes a slot. The returned function gives it back. It returns a BusyError if there is none.
func (l *Limiter) Start(sameZone bool) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, limit := &l.outside, orDefault(l.Outside, DefaultOutside)
	if sameZone {
		count, limit = &l.inside, orDefault(l.Inside, DefaultInside)
	}
	if *count >= limit {
		return nil, &BusyError{After: retryAfter}
	}
	*count++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		*count--
	}), nil
}

// Running returns the number of uploads in progress.
func (l *Limiter) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inside + l.outside
}

func orDefault(n, def int) int {
	if n > 0 {
		return n
	}
	return def
}
