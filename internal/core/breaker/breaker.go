// Package breaker implements a circuit breaker: it pauses new requests to an endpoint that refuses or loses requests,
// for longer with each failure.
package breaker

import "time"

const (
	minPause = 250 * time.Millisecond
	maxPause = 15 * time.Second
)

// Breaker tracks one endpoint. The zero value allows all requests. It is not safe for concurrent use.
type Breaker struct {
	pause     time.Duration
	openUntil time.Time
}

// RecordFailure records a request that the endpoint refused or lost. A failure during a pause does not extend the
// pause, because its request was sent before the pause began.
func (b *Breaker) RecordFailure() {
	now := time.Now()
	if now.Before(b.openUntil) {
		return
	}
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	b.openUntil = now.Add(b.pause)
}

// RecordSuccess records a success and ends the pause.
func (b *Breaker) RecordSuccess() {
	b.pause = 0
	b.openUntil = time.Time{}
}

// Allows reports whether a request may be sent to the endpoint while inFlight requests of this host are in flight
// there. After a pause, it allows one request at a time until one succeeds.
func (b *Breaker) Allows(inFlight int) bool {
	if b.pause == 0 {
		return true
	}
	return inFlight == 0 && !time.Now().Before(b.openUntil)
}
