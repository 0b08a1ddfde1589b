// Package ratelimiter hands out permits for requests to one endpoint that limits the requests of all hosts together. It runs
// in one process, which all entry hosts ask before each request to the endpoint, so that the limit holds whatever their
// number and however uneven their traffic. The limit has two sources: what the endpoint states, and what it takes while it
// is cold. A request needs a permit of both, so that the lower one applies.
//
// A request without a permit is not sent. A process that starts has no permits to give at once, so that neither a restart
// nor a change of the process exceeds the limit.
package ratelimiter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// MaxRate is the highest limit that is enforced. No endpoint is sent as many requests.
	MaxRate ident.Rate = 5000
	// burstTime is the time for which permits that nobody asks for are kept.
	burstTime = 500 * time.Millisecond
	// minBurst is the least number of permits that may be kept.
	minBurst = 1
	// trialInterval is the longest time between two permits, whatever the limit: only a response shows that the limit has
	// ended.
	trialInterval = 5 * time.Second
	// noRateWait is the wait while no permits are given at all.
	noRateWait = 100 * time.Millisecond
	minRate    = ident.Rate(1 / (float64(trialInterval) / float64(time.Second)))
)

// Limiter gives permits for one endpoint. The zero value knows of no limit. It is not safe for concurrent use.
type Limiter struct {
	limit   fleetconfig.RateLimit
	permits float64
	// countedAt is when permits was last brought up to date.
	countedAt time.Time
	// cold is the limit while the endpoint is cold; nil if none was recorded.
	cold *coldSource
}

// Record merges what the endpoint has stated.
func (l *Limiter) Record(limit fleetconfig.RateLimit) {
	now := time.Now()
	l.count(now)
	wasLimited := l.IsLimited()
	l.limit = l.limit.Merge(limit)
	if l.IsLimited() && !wasLimited {
		l.permits, l.countedAt = 0, now
	}
}

// Limit returns what the endpoint has stated last, as far as this process knows.
func (l *Limiter) Limit() fleetconfig.RateLimit {
	return l.limit
}

// IsLimited reports whether requests to the endpoint need a permit.
func (l *Limiter) IsLimited() bool {
	return NeedsPermit(l.limit)
}

// NeedsPermit reports whether requests to an endpoint with the given statement need a permit.
func NeedsPermit(limit fleetconfig.RateLimit) bool {
	return limit.IsLimited && limit.Rate < MaxRate
}

// Take takes a permit for one request to be sent now. If there is none, it returns the time until there will be one.
func (l *Limiter) Take() (ok bool, wait time.Duration) {
	now := time.Now()
	l.count(now)
	isLimited, isCold := l.IsLimited(), l.cold.isActive(now)
	hasStated, hasCold := true, true
	if isLimited && l.permits < 1 {
		hasStated, wait = false, timeUntilPermit(l.permits, l.rate())
	}
	if isCold {
		l.cold.count(now)
		if l.cold.permits < 1 {
			hasCold, wait = false, max(wait, timeUntilPermit(l.cold.permits, l.cold.rate))
		}
	}
	if !hasStated || !hasCold {
		return false, wait
	}
	if isLimited {
		l.permits--
	}
	if isCold {
		l.cold.permits--
	}
	return true, 0
}

func timeUntilPermit(permits float64, rate ident.Rate) time.Duration {
	if rate <= 0 {
		return noRateWait
	}
	return time.Duration((1 - permits) / float64(rate) * float64(time.Second))
}

func (l *Limiter) rate() ident.Rate {
	return max(minRate, l.limit.Rate)
}

// count adds the permits that have become available by now.
func (l *Limiter) count(now time.Time) {
	if !l.IsLimited() {
		return
	}
	rate := float64(l.rate())
	l.permits = min(max(minBurst, rate*burstTime.Seconds()), l.permits+rate*now.Sub(l.countedAt).Seconds())
	l.countedAt = now
}
