// Package breaker pauses new work to an endpoint that refuses or loses requests, for longer with each failure.
package breaker

import "time"

const (
	minPause = 250 * time.Millisecond
	maxPause = 15 * time.Second
)

// Breaker follows one endpoint. The zero value lets everything pass. It is not safe for concurrent use.
type Breaker struct {
	pause time.Duration
	until time.Time
}

// Fail counts a request that the endpoint refused or lost. Failures within a pause do not lengthen it: they belong to
// requests that were handed over before it.
func (b *Breaker) Fail() {
	now := time.Now()
	if now.Before(b.until) {
		return
	}
	b.pause = min(maxPause, max(minPause, 2*b.pause))
	b.until = now.Add(b.pause)
}

// Succeed ends the pause.
func (b *Breaker) Succeed() {
	b.pause = 0
	b.until = time.Time{}
}

// Allows tells whether the endpoint may be given work now, when running of this host's requests are there already.
// After a pause one request at a time is let through, until one succeeds.
func (b *Breaker) Allows(running int) bool {
	if b.pause == 0 {
		return true
	}
	return running == 0 && !time.Now().Before(b.until)
}
