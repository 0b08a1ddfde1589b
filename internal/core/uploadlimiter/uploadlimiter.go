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
func (u *Limiter) Start(sameZone bool) (func(), error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	count, limit := &u.outside, orDefault(u.Outside, DefaultOutside)
	if sameZone {
		count, limit = &u.inside, orDefault(u.Inside, DefaultInside)
	}
	if *count >= limit {
		return nil, &BusyError{After: retryAfter}
	}
	*count++
	return sync.OnceFunc(func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		*count--
	}), nil
}

// Running returns the number of uploads in progress.
func (u *Limiter) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.inside + u.outside
}

func orDefault(n, def int) int {
	if n > 0 {
		return n
	}
	return def
}
