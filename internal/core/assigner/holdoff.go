package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// maxHoldoffs limits the incarnations that are remembered as leaving or paused. It is several times the number of
// endpoints of the largest fleet.
const maxHoldoffs = 8192

// holdoff is what an incarnation of an endpoint has said itself about further requests. It outlives the endpoint's
// entry, because the entry may disappear and return, or be older than the statement.
type holdoff struct {
	// leaving says that the incarnation ends and takes no further requests.
	leaving bool
	// pausedUntil is the time until which the incarnation takes no requests from this host.
	pausedUntil time.Time
	recordedAt  time.Time
}

// RecordLeaving records that an endpoint has said that it is leaving, and reports whether that is new. The incarnation
// gets no further requests, whatever its entry says.
func (a *Assigner) RecordLeaving(e fleetconfig.Endpoint) (isNew bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs[e.Incarnation()]
	isNew = !h.leaving
	h.leaving = true
	a.setHoldoff(e, h)
	return isNew
}

// Pause records that an endpoint takes no requests from this host for a time.
func (a *Assigner) Pause(e fleetconfig.Endpoint, d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.holdoffs[e.Incarnation()]
	if until := time.Now().Add(d); until.After(h.pausedUntil) {
		h.pausedUntil = until
	}
	a.setHoldoff(e, h)
}

// setHoldoff stores a holdoff, and drops the oldest one if there are too many. The caller must hold a.mu.
func (a *Assigner) setHoldoff(e fleetconfig.Endpoint, h holdoff) {
	if a.holdoffs == nil {
		a.holdoffs = make(map[fleetconfig.Incarnation]holdoff)
	}
	h.recordedAt = time.Now()
	a.holdoffs[e.Incarnation()] = h
	if len(a.holdoffs) <= maxHoldoffs {
		return
	}
	var oldest fleetconfig.Incarnation
	var oldestAt time.Time
	for key, other := range a.holdoffs {
		if oldestAt.IsZero() || other.recordedAt.Before(oldestAt) {
			oldest, oldestAt = key, other.recordedAt
		}
	}
	delete(a.holdoffs, oldest)
}

// pauseRemaining returns how long the endpoint takes no requests from this host; zero if it takes them now. The caller
// must hold a.mu.
func (a *Assigner) pauseRemaining(s *endpointState, now time.Time) time.Duration {
	return max(0, a.holdoffs[s.Incarnation()].pausedUntil.Sub(now))
}

// IsLeaving reports whether the incarnation of an endpoint has said that it is leaving.
func (a *Assigner) IsLeaving(e fleetconfig.Endpoint) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.holdoffs[e.Incarnation()].leaving
}

// isLeaving reports whether the endpoint has said that it is leaving. The caller must hold a.mu.
func (a *Assigner) isLeaving(s *endpointState) bool {
	return a.holdoffs[s.Incarnation()].leaving
}
