// Package coldtracker decides which endpoints count as cold for one entry host. A cold endpoint crashes if all hosts
// together send it well above the rate that its pool states, so that each request to it needs a permit.
//
// It is built for the moment at which all hosts see an empty endpoint, which each of them rates as the best: after a start
// of endpoints under traffic, and after the evacuation of a zone. It also covers hosts that do not know enough: one that
// has just started, or has not read the store of late, needs a permit for each endpoint that its responder does not
// vouch for.
package coldtracker

import (
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
)

const (
	// maxRemembered limits the incarnations that are remembered. It is several times the number of endpoints of the
	// largest fleet.
	maxRemembered = 8192
	// sureTTL is how long the word of a responder that an endpoint is not cold is relied on. It covers the rounds of
	// queries before one assignment.
	sureTTL = 250 * time.Millisecond
	// minPermitLifetime and maxPermitLifetime bound the time from asking for a permit to writing its request. The lower
	// one covers the wait for the grant and a connection between the farthest regions.
	minPermitLifetime = 30 * time.Millisecond
	maxPermitLifetime = 250 * time.Millisecond
	// plainResponders is the number of responders of a plain service that may give permits at the same time: one in each
	// zone of a fleet that is partitioned, and a few hosts that are cut off from all others.
	plainResponders = 6
	// minRate is the least rate of permits, for a bound that leaves no room for a permit that is kept.
	minRate ident.Rate = 0.2
)

// Reason says how a host knows that an endpoint is cold.
type Reason string

// Reasons.
const (
	// Entry means that the endpoint's entry says so.
	Entry Reason = "entry"
	// Start means that the incarnation has been listed only since this host's first snapshot.
	Start Reason = "start"
	// Evacuation means that the evacuation of its zone has ended.
	Evacuation Reason = "evacuation"
	// Responder means that the endpoint's responder says so.
	Responder Reason = "responder"
)

// sighting is when an incarnation was first listed; zero if that was in the first snapshot.
type sighting struct {
	isSeen bool
	at     time.Time
}

// word is what the responder of an endpoint has said. sureAt is when it last said that the endpoint is not cold.
type word struct {
	coldUntil, sureAt time.Time
}

// Tracker knows the cold endpoints. Set its fields before use. It is safe for concurrent use.
type Tracker struct {
	// Overshoot and Slack bound the requests that a cold endpoint gets in one second: Overshoot times the rate of its pool,
	// plus Slack. Zero values allow the rate alone.
	Overshoot, Slack float64
	// IsCurrent reports whether this host has read the state of the fleet a moment ago; nil means that it always has. It
	// must not call the tracker.
	IsCurrent func() bool
	// OnChange is called when a listed endpoint has become cold, with the reason and the remaining time, or is no longer
	// cold. It may be nil and must not call the tracker.
	OnChange func(e fleetconfig.Endpoint, isCold bool, reason Reason, remaining time.Duration)

	mu    sync.Mutex
	pools map[ident.Pool]*fleetconfig.Pool
	// learnedAt is when this host began to see all that happens: at its first snapshot, or at the end of a suspension.
	learnedAt time.Time
	hasList   bool
	sightings boundedmap.Map[fleetconfig.Incarnation, sighting]
	// words holds what responders have said, by the ids of their endpoints.
	words          boundedmap.Map[string, word]
	evacuationEnds map[ident.Zone]time.Time
	listed         []fleetconfig.Endpoint
	// announced holds the ids of the cold endpoints that OnChange was called for.
	announced map[string]bool
}

// SetPools replaces the configured pools.
func (t *Tracker) SetPools(pools map[ident.Pool]*fleetconfig.Pool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pools = pools
}

// SetEndpoints replaces the listed endpoints. The first call must list those of the first snapshot. Later calls also
// announce the endpoints that have become cold or are no longer cold.
func (t *Tracker) SetEndpoints(all []fleetconfig.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	first := now
	if !t.hasList {
		t.hasList, t.learnedAt, first = true, now, time.Time{}
	}
	t.sightings.Limit, t.words.Limit = maxRemembered, maxRemembered
	for _, e := range all {
		if !t.sightings.Get(e.Incarnation()).isSeen {
			t.sightings.Set(e.Incarnation(), sighting{isSeen: true, at: first})
		}
	}
	t.listed = all
	t.announce(now)
}

// announce announces the listed endpoints that have become cold or are no longer cold. The caller must hold t.mu.
func (t *Tracker) announce(now time.Time) {
	cold := make(map[string]bool, len(t.announced))
	for _, e := range t.listed {
		until, reason := t.coldUntil(e, now, true)
		isCold := until.After(now)
		if isCold {
			cold[e.ID] = true
		}
		if isCold != t.announced[e.ID] && t.OnChange != nil {
			t.OnChange(e, isCold, reason, max(0, until.Sub(now)))
		}
	}
	t.announced = cold
}

// RecordEvacuationEnd records that the evacuation of a zone has ended, and announces its endpoints as cold: they may have
// become so shortly before.
func (t *Tracker) RecordEvacuationEnd(z ident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.evacuationEnds == nil {
		t.evacuationEnds = make(map[ident.Zone]time.Time)
	}
	now := time.Now()
	t.evacuationEnds[z] = now
	t.announce(now)
}

// RecordSuspension records that the host was suspended: endpoints may have become cold meanwhile, and what it knows seems
// more recent than it is.
func (t *Tracker) RecordSuspension() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.learnedAt = time.Now()
}

// RecordResponder records what the responder of an endpoint says.
func (t *Tracker) RecordResponder(e fleetconfig.Endpoint, c fleetconfig.Coldness) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	w := t.words.Get(e.ID)
	if until := now.Add(c.Remaining); c.Remaining > 0 && until.After(w.coldUntil) {
		w.coldUntil = until
	}
	if c.IsSure && c.Remaining <= 0 {
		w.sureAt = now
	}
	t.words.Limit = maxRemembered
	t.words.Set(e.ID, w)
}

// IsCold reports whether an endpoint is known to be cold.
func (t *Tracker) IsCold(e fleetconfig.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	until, _ := t.coldUntil(e, now, true)
	return until.After(now)
}

// NeedsPermit reports whether requests to an endpoint need a permit: it is cold, or it may be and this host would not know.
func (t *Tracker) NeedsPermit(e fleetconfig.Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pools[e.Pool]
	if !pool.HasColdEndpoints() {
		return false
	}
	now := time.Now()
	if until, _ := t.coldUntil(e, now, true); until.After(now) {
		return true
	}
	knowsAll := t.hasList && now.Sub(t.learnedAt) >= pool.ColdStart && (t.IsCurrent == nil || t.IsCurrent())
	return !knowsAll && now.Sub(t.words.Get(e.ID).sureAt) > sureTTL
}

// Claim returns what this host tells the responder of an endpoint. It leaves out what it knows from responders, so that
// no process hears its own word again.
func (t *Tracker) Claim(e fleetconfig.Endpoint) fleetconfig.Coldness {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pools[e.Pool]
	if !pool.HasColdEndpoints() {
		return fleetconfig.Coldness{}
	}
	now := time.Now()
	until, _ := t.coldUntil(e, now, false)
	rate, _ := t.permitPolicy(pool)
	return fleetconfig.Coldness{Rate: rate, Remaining: max(0, until.Sub(now)), Start: pool.ColdStart}
}

// PermitLifetime returns how long after it was asked for a permit for an endpoint may be used.
func (t *Tracker) PermitLifetime(e fleetconfig.Endpoint) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pools[e.Pool]
	if !pool.HasColdEndpoints() {
		return maxPermitLifetime
	}
	_, lifetime := t.permitPolicy(pool)
	return lifetime
}

// ColdEndpoints returns the number of listed endpoints that are cold, as last announced.
func (t *Tracker) ColdEndpoints() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.announced)
}

// coldUntil returns the time until which an endpoint is cold, and how this host knows it. With hearsay it includes what
// the responder has said. The caller must hold t.mu.
func (t *Tracker) coldUntil(e fleetconfig.Endpoint, now time.Time, hearsay bool) (until time.Time, reason Reason) {
	pool := t.pools[e.Pool]
	if !pool.HasColdEndpoints() {
		return time.Time{}, ""
	}
	latest := func(other time.Time, r Reason) {
		if other.After(until) {
			until, reason = other, r
		}
	}
	if e.WarmupRemaining > 0 {
		latest(e.ReadAt.Add(e.WarmupRemaining), Entry)
	}
	if s := t.sightings.Get(e.Incarnation()); !s.isSeen {
		latest(now.Add(pool.ColdStart), Start)
	} else if !s.at.IsZero() {
		latest(s.at.Add(pool.ColdStart), Start)
	}
	if end, ok := t.evacuationEnds[e.Zone]; ok {
		latest(end.Add(pool.ColdStart), Evacuation)
	}
	if hearsay {
		latest(t.words.Get(e.ID).coldUntil, Responder)
	}
	return until, reason
}

// Excess returns by which factor the responders of a plain service together may exceed the rate of its pool, so that the
// requests in a second stay within the bound. They come from the permits of that second and of a lifetime before, and
// each responder may have kept ratelimiter.ColdBurst permits.
func (t *Tracker) Excess(p ident.Pool) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	pool := t.pools[p]
	if !pool.HasColdEndpoints() {
		return 1
	}
	return max(0, t.bound(pool)-plainResponders*ratelimiter.ColdBurst) / (float64(pool.ColdRate) * (1 + minPermitLifetime.Seconds()))
}

// bound returns how many requests all hosts together may send to a cold endpoint of the pool in one second.
func (t *Tracker) bound(pool *fleetconfig.Pool) float64 {
	return max(1, t.Overshoot)*float64(pool.ColdRate) + max(0, t.Slack)
}

// permitPolicy returns the rate at which the permits for a cold endpoint of the pool are given, and the lifetime of a
// permit. The caller must hold t.mu.
func (t *Tracker) permitPolicy(pool *fleetconfig.Pool) (rate ident.Rate, lifetime time.Duration) {
	lifetime = minPermitLifetime
	permits := t.bound(pool) - ratelimiter.ColdBurst
	if pool.Engine != nil {
		// There is one responder, so that permits may live for as long as the bound allows.
		fitting := time.Duration((permits/float64(pool.ColdRate) - 1) * float64(time.Second))
		lifetime = min(maxPermitLifetime, max(minPermitLifetime, fitting))
	}
	return max(minRate, min(pool.ColdRate, ident.Rate(permits/(1+lifetime.Seconds())))), lifetime
}
