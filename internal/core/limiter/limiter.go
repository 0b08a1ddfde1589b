// Package limiter adapts the in-flight limit of an endpoint to the observed time to the first token.
package limiter

import "time"

const (
	// decreaseFactor multiplies the limit when the smoothed time to the first token exceeds the target.
	decreaseFactor = 0.8
	// increaseStep is the number of slots by which a response within the target raises a limit that is fully used.
	increaseStep = 0.5
	// firstTokenWeight is the weight of the last observation in the smoothed time to the first token.
	firstTokenWeight = 0.3
	// defaultLimit is the initial limit for an endpoint that reports no slots, and maxLimitUnknownSlots its maximum.
	defaultLimit         = 8
	maxLimitUnknownSlots = 256
)

// Limiter adjusts the in-flight limit of an endpoint by additive increase and multiplicative decrease (AIMD): responses
// within the target raise the limit, and a smoothed time to the first token above the target reduces it by a fifth. It
// is not safe for concurrent use. Set its fields before use.
type Limiter struct {
	// FirstTokenTarget is the smoothed time to the first token above which the limit is reduced.
	FirstTokenTarget time.Duration

	slots              int
	limit              float64
	smoothedFirstToken time.Duration
	lastDecrease       time.Time
}

// SetSlots sets the number of slots that the endpoint reports, which is the maximum of the limit; zero means that it
// reports none.
func (l *Limiter) SetSlots(slots int) {
	if slots == l.slots && l.limit > 0 {
		return
	}
	l.slots = slots
	l.limit = float64(slots)
	if slots <= 0 {
		l.limit = defaultLimit
	}
}

// Limit returns the maximum number of requests in flight; it is at least one.
func (l *Limiter) Limit() int {
	if l.limit == 0 {
		l.SetSlots(0)
	}
	return max(1, int(l.limit))
}

// Observe records firstToken, the time to the first token of a request that was sent at start while inFlight requests
// were at the endpoint. Requests sent before the last reduction do not reduce the limit again.
func (l *Limiter) Observe(start time.Time, firstToken time.Duration, inFlight int) {
	limit := l.Limit()
	if l.smoothedFirstToken == 0 {
		l.smoothedFirstToken = firstToken
	}
	l.smoothedFirstToken += time.Duration(firstTokenWeight * float64(firstToken-l.smoothedFirstToken))
	if firstToken > l.FirstTokenTarget {
		if l.smoothedFirstToken > l.FirstTokenTarget && start.After(l.lastDecrease) {
			l.limit = max(1, l.limit*decreaseFactor)
			l.lastDecrease = start.Add(firstToken)
		}
		return
	}
	if inFlight < limit {
		return
	}
	maxLimit := float64(l.slots)
	if l.slots <= 0 {
		maxLimit = maxLimitUnknownSlots
	}
	l.limit = min(maxLimit, l.limit+increaseStep)
}
