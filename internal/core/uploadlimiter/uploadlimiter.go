// Package uploadlimiter limits the number of chunks that a host uploads at the same time.
package uploadlimiter

import (
	"fmt"
	"sync"
	"time"
)

// Default limits.
const (
	DefaultMaxSameZone   = 3
	DefaultMaxOtherZones = 2
	// retryDelay is the delay after which a rejected host may repeat its request.
	retryDelay = 200 * time.Millisecond
)

// BusyError reports that all upload slots are in use.
type BusyError struct {
	// RetryAfter is the delay before the next request.
	RetryAfter time.Duration
}

// Error implements the error interface.
func (e *BusyError) Error() string {
	return fmt.Sprintf("all upload slots are taken; ask another host, or again after %s", e.RetryAfter)
}

// Limiter counts the uploads in progress. Hosts of other zones have separate slots, so that the first copy of a chunk
// for another zone does not wait for the exchange inside the zone. Set its fields before use.
type Limiter struct {
	// MaxSameZone is the maximum number of concurrent uploads to hosts of the same zone; zero means the default.
	MaxSameZone int
	// MaxOtherZones is the maximum number of concurrent uploads to hosts of other zones; zero means the default.
	MaxOtherZones int

	mu               sync.Mutex
	sameZoneUploads  int
	otherZoneUploads int
}

// Acquire reserves an upload slot and returns the function that releases it. It returns a BusyError if no slot is free.
func (l *Limiter) Acquire(sameZone bool) (func(), error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	count, limit := &l.otherZoneUploads, orDefault(l.MaxOtherZones, DefaultMaxOtherZones)
	if sameZone {
		count, limit = &l.sameZoneUploads, orDefault(l.MaxSameZone, DefaultMaxSameZone)
	}
	if *count >= limit {
		return nil, &BusyError{RetryAfter: retryDelay}
	}
	*count++
	return sync.OnceFunc(func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		*count--
	}), nil
}

// InUse returns the number of upload slots in use.
func (l *Limiter) InUse() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sameZoneUploads + l.otherZoneUploads
}

// orDefault returns n if it is positive, and def otherwise.
func orDefault(n, def int) int {
	if n > 0 {
		return n
	}
	return def
}
