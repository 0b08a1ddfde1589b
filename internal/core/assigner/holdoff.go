package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// maxHoldoffs limits the incarnations that are remembered as leaving or paused. It is several times the number of
// endpoints of the largest fleet.
const maxHoldoffs = 8192

// minPermitWait is the least time between two requests of this host for a permit that was refused.
const minPermitWait = 10 * time.Millisecond

// holdoff is what an incarnation of an endpoint has said itself about further requests. It outlives the endpoint's
// entry, because the entry may disappear and return, or be older than the statement.
type holdoff struct {
	// leaving says that the incarnation ends and takes no further requests.
	leaving bool
	// pausedUntil is the time until which the incarnation takes no requests from this host.
	pausedUntil time.Time
	// limit is what the incarnation has stated about the rate of requests from all hosts. While it limits them,
	// noPermitUntil is the time until which there is no permit for another one, as far as this host knows.
	limit         fleetconfig.RateLimit
	noPermitUntil time.Time
}

// RecordLeaving records that an endpoint has said that it is leaving, and reports whether that is new. The incarnation
// gets no further requests, whatever its entry says.
func (a *Assigner) RecordLeaving(e fleetconfig.Endpoint) (isNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs.Get(e.Incarnation())
	isNew = !h.leaving
	h.leaving = true
	a.setHoldoff(e, h)
	return isNew
}

// Pause records that an endpoint takes no requests from this host for a time.
func (a *Assigner) Pause(e fleetconfig.Endpoint, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs.Get(e.Incarnation())
	if until := time.Now().Add(d); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
	a.setHoldoff(e, h)
}

func (a *Assigner) setHoldoff(e fleetconfig.Endpoint, h holdoff) {
	a.holdoffs.Limit = maxHoldoffs
	a.holdoffs.Set(e.Incarnation(), h)
}

// RecordLimit merges what an endpoint has stated about the rate of requests that it takes, and reports whether another
// limit holds now.
func (a *Assigner) RecordLimit(e fleetconfig.Endpoint, limit fleetconfig.RateLimit) (isChanged bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs.Get(e.Incarnation())
	merged := h.limit.Merge(limit)
	if merged.ID == h.limit.ID {
		return false
	}
	isChanged = merged.IsLimited != h.limit.IsLimited || merged.Rate != h.limit.Rate
	h.limit = merged
	if isChanged {
		h.noPermitUntil = time.Time{}
	}
	a.setHoldoff(e, h)
	return isChanged
}

// Limit returns what an endpoint has stated about the rate of requests that it takes.
func (a *Assigner) Limit(e fleetconfig.Endpoint) fleetconfig.RateLimit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdoffs.Get(e.Incarnation()).limit
}

// RecordNoPermit records that there is no permit for a request to an endpoint for a time.
func (a *Assigner) RecordNoPermit(e fleetconfig.Endpoint, wait time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs.Get(e.Incarnation())
	h.noPermitUntil = time.Now().Add(max(minPermitWait, wait))
	a.setHoldoff(e, h)
}

// pauseRemaining returns how long the endpoint takes no requests from this host; zero if it takes them now. The caller
// must hold a.mu.
func (a *Assigner) pauseRemaining(s *endpointState, now time.Time) time.Duration {
	return max(0, a.holdoffs.Get(s.Incarnation()).pausedUntil.Sub(now))
}

// IsLeaving reports whether the incarnation of an endpoint has said that it is leaving.
func (a *Assigner) IsLeaving(e fleetconfig.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdoffs.Get(e.Incarnation()).leaving
}

// availability says whether an endpoint may receive a request.
type availability int

const (
	available availability = iota
	// notServing means that the endpoint does not serve what the query requires, or is excluded by it.
	notServing
	// restricted means that the endpoint serves the query, but that the request must not run in its zone.
	restricted
	// unusable means that the endpoint cannot be reached or fails.
	unusable
	// stalled means that the endpoint stands still.
	stalled
	leaving
	paused
	// limited means that the endpoint limits its requests and that there is no permit for another one now.
	limited
	// ejected means that the endpoint fails far more often than the others of its pool and may not be tried now.
	ejected
)

// availability returns whether an endpoint may receive the request of a query, and the release that it serves. The
// caller must hold a.mu.
func (a *Assigner) availability(s *endpointState, q Query, now time.Time) (fleetconfig.Release, availability) {
	release, ok := s.serves(q, a.pools[q.Pool], now)
	h := a.holdoffs.Get(s.Incarnation())
	switch {
	case !ok || q.Excluded[s.ID] || !q.ConfirmedAfter.IsZero() && !s.confirmedAt.After(q.ConfirmedAfter):
		return release, notServing
	case q.MayUse != nil && !q.MayUse(s.Zone):
		return release, restricted
	case !s.isUsable():
		return release, unusable
	case s.stall.IsStill():
		return release, stalled
	case h.leaving:
		return release, leaving
	case h.pausedUntil.After(now):
		return release, paused
	case h.noPermitUntil.After(now):
		return release, limited
	case s.outcomes.IsEjected() && !s.allowsTrial(q, now):
		return release, ejected
	default:
		return release, available
	}
}
