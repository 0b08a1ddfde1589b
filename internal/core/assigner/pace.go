package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// paceTTL is the age up to which a stated pace is used. Slow phases of known engines last 0.6 s or more.
const paceTTL = 500 * time.Millisecond

// slowPace is the stated pace from which an engine counts as slow in the metrics.
const slowPace = 1.5

// Pace is how many times longer than its configured figures predict an engine takes, as the engine states it.
type Pace struct {
	_     struct{} `cbor:",toarray"`
	Value float32
	// AgeMs is the age of the statement in milliseconds.
	AgeMs uint32
}

// statedPace is the latest pace that an engine has stated.
type statedPace struct {
	value float64
	at    time.Time
}

// SetPace records the pace that an incarnation of an engine states.
func (a *Assigner) SetPace(e fleetconfig.Endpoint, p Pace) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.incarnation(e)
	if s == nil || p.Value <= 0 {
		return
	}
	s.pace = statedPace{value: float64(p.Value), at: time.Now().Add(-time.Duration(p.AgeMs) * time.Millisecond)}
	if p.Value != 1 {
		if a.pacedPools == nil {
			a.pacedPools = make(map[ident.Pool]bool)
		}
		a.pacedPools[s.Pool] = true
	}
}

// plainPace returns how many times longer than the mean of its pool an endpoint of a plain service takes, from what all hosts
// have seen. Without an ejector the outcomes are not reported. The caller must hold a.mu.
func (a *Assigner) plainPace(s *endpointState, now time.Time) (float64, bool) {
	pool := a.pools[s.Pool]
	mean := a.serviceTimes[s.Pool]
	if a.ejectors[s.Pool] == nil || pool != nil && pool.Engine != nil || mean <= 0 {
		return 0, false
	}
	return min(maxSlowdown, float64(s.outcomes.MeanTime(mean, now))/float64(mean)), true
}

// freshPace returns the pace that an engine has stated a moment ago. Engines of some deployments state one whatever their
// speed, so that the pace of a pool is used only once an engine of it has stated another value. The caller must hold a.mu.
func (a *Assigner) freshPace(s *endpointState, now time.Time) (float64, bool) {
	if !a.pacedPools[s.Pool] || now.Sub(s.pace.at) > paceTTL {
		return 0, false
	}
	return min(maxSlowdown, max(minSlowdown, s.pace.value)), true
}

// SlowEngines returns the number of engines that have stated a moment ago that they are slow.
func (a *Assigner) SlowEngines() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, n := time.Now(), 0
	for _, s := range a.endpoints {
		if pace, ok := a.freshPace(s, now); ok && pace >= slowPace {
			n++
		}
	}
	return n
}
