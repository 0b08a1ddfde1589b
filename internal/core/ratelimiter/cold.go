package ratelimiter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// ColdBurst is the number of permits for a cold endpoint that may be kept. One alone would lose the time until the next
// request asks for it.
const ColdBurst = 1.5

// coldSource is the limit of an endpoint while it is cold, or may be. Incarnations of an endpoint share it: hosts may
// still send to the address of one that has been replaced.
type coldSource struct {
	rate ident.Rate
	// until is the time until which the endpoint is known to be cold. Before unsureUntil it may be cold without this
	// process knowing.
	until, unsureUntil time.Time
	permits            float64
	countedAt          time.Time
}

// RecordCold records that the endpoint is cold for a time, in which permits are given at a rate. It replaces the rate that
// was recorded before.
func (l *Limiter) RecordCold(rate ident.Rate, remaining time.Duration) {
	now := time.Now()
	c := l.startCold(rate, now)
	if until := now.Add(remaining); until.After(c.until) {
		c.until = until
	}
}

// RecordUnsure records that the endpoint may be cold for a time from now, since this process has not known it before.
func (l *Limiter) RecordUnsure(rate ident.Rate, d time.Duration) {
	now := time.Now()
	c := l.startCold(rate, now)
	if until := now.Add(d); until.After(c.unsureUntil) {
		c.unsureUntil = until
	}
}

// startCold returns the cold source at a rate. If the endpoint was not cold, there are no permits at first.
func (l *Limiter) startCold(rate ident.Rate, now time.Time) *coldSource {
	if l.cold == nil {
		l.cold = &coldSource{rate: rate, countedAt: now}
	}
	c := l.cold
	if !c.isActive(now) {
		c.rate, c.permits, c.countedAt = rate, 0, now
		return c
	}
	c.count(now)
	c.rate = rate
	return c
}

// ShareCold makes the limiter share the cold limit of another incarnation of its endpoint.
func (l *Limiter) ShareCold(other *Limiter) {
	if other.cold == nil {
		other.cold = &coldSource{}
	}
	l.cold = other.cold
}

// KnowsCold reports whether a cold limit of the endpoint has ever been recorded.
func (l *Limiter) KnowsCold() bool {
	return l.cold != nil && !l.cold.countedAt.IsZero()
}

// ColdRemaining returns how much longer the endpoint is known to be cold, and whether this process has known it for long
// enough to be sure.
func (l *Limiter) ColdRemaining() (remaining time.Duration, isSure bool) {
	if !l.KnowsCold() {
		return 0, false
	}
	now := time.Now()
	return max(0, l.cold.until.Sub(now)), !l.cold.unsureUntil.After(now)
}

// Rates returns the stated limit and the cold limit, zero if they do not hold now, and the name of the lower one.
func (l *Limiter) Rates() (stated, cold ident.Rate, applies string) {
	if l.IsLimited() {
		stated, applies = l.rate(), "stated"
	}
	if l.cold.isActive(time.Now()) {
		cold = l.cold.rate
		if stated == 0 || cold < stated {
			applies = "cold"
		}
	}
	return stated, cold, applies
}

// isActive reports whether permits are limited because the endpoint is cold or may be.
func (c *coldSource) isActive(now time.Time) bool {
	return c != nil && (c.until.After(now) || c.unsureUntil.After(now))
}

func (c *coldSource) count(now time.Time) {
	c.permits = min(ColdBurst, c.permits+float64(c.rate)*now.Sub(c.countedAt).Seconds())
	c.countedAt = now
}
