// Package limiter adapts the number of requests that one endpoint is given at once to the wait that it shows.
package limiter

import "time"

const (
	cutFactor = 0.8
	// growth is how much of a slot a good answer adds when all are in use.
	growth = 0.5
	// share is the weight of the last wait in the smoothed one.
	share        = 0.3
	defaultLimit = 8
	maxUnknown   = 256
)

// Limiter grows an endpoint's limit with good answers and cuts it by a fifth when the smoothed wait is long (AIMD).
// It is not safe for concurrent use. Set its fields before use.
type Limiter struct {
	// Target is the smoothed time to the first token above which the limit is cut.
	Target time.Duration

	slots int
	limit float64
	wait  time.Duration
	cut   time.Time
}

// Resize takes the number of slots that the endpoint reports, which bounds the limit; zero means that it does not say.
func (l *Limiter) Resize(slots int) {
	if slots == l.slots && l.limit > 0 {
		return
	}
	l.slots = slots
	l.limit = float64(slots)
	if slots <= 0 {
		l.limit = defaultLimit
	}
}

// Limit returns the number of requests that may run at once; it is at least one.
func (l *Limiter) Limit() int {
	if l.limit == 0 {
		l.Resize(0)
	}
	return max(1, int(l.limit))
}

// Observe takes the time to the first token of a request that was handed over at start, when running requests were
// at the endpoint. Requests handed over before the last cut say nothing about the limit after it.
func (l *Limiter) Observe(start time.Time, wait time.Duration, running int) {
	limit := l.Limit()
	if l.wait == 0 {
		l.wait = wait
	}
	l.wait += time.Duration(share * float64(wait-l.wait))
	if wait > l.Target {
		if l.wait > l.Target && start.After(l.cut) {
			l.limit = max(1, l.limit*cutFactor)
			l.cut = start.Add(wait)
		}
		return
	}
	if running < limit {
		return
	}
	top := float64(l.slots)
	if l.slots <= 0 {
		top = maxUnknown
	}
	l.limit = min(top, l.limit+growth)
}
