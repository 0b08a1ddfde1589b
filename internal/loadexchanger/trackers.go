package loadexchanger

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/sharetracker"
)

type endpointTracker struct {
	loadtracker.Tracker
	isLeaving bool
	limiter   ratelimiter.Limiter
	outcomes  outcometracker.Tracker
	shares    sharetracker.Tracker
	lastUsed  time.Time
	// hasColdClaim says that a host has stated that the endpoint may be cold. applies and coldRate are what was logged last
	// about the limits.
	hasColdClaim bool
	applies      string
	coldRate     ident.Rate
}

// limits is what a responder knows of the limits of an endpoint.
type limits struct {
	stated fleetconfig.RateLimit
	cold   fleetconfig.Coldness
	// change holds the log fields of a change of the rate of permits, or nil.
	change log.Fields
}

// trackers holds the reported loads at the endpoints that this host responds for.
type trackers struct {
	mu  sync.Mutex
	all map[fleetconfig.Incarnation]*endpointTracker
}

// record stores a report and the limits that came with it. It returns the load of the other hosts at the endpoint, the
// share that the report asks for, whether one of them knows that it is leaving, and its limits.
func (t *trackers) record(h ident.Host, r *Report, limit fleetconfig.RateLimit, cold fleetconfig.Coldness, permitShare float64) (others assigner.Load, share *Share, isLeaving bool, merged limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(fleetconfig.Incarnation{ID: r.Endpoint, StartTime: r.StartTime})
	e.isLeaving = e.isLeaving || r.IsLeaving
	merged = e.recordLimits(r.Endpoint, r.StartTime, limit, cold, permitShare)
	e.Record(h, r.Load, r.Process, r.Serial)
	return e.Others(h), recordSharing(&e.shares, r.Sharing), e.isLeaving, merged
}

// recordOutcomes stores the outcomes that came with a report, and returns those of all hosts, or nil if none are known.
func (t *trackers) recordOutcomes(h ident.Host, r *Report) *outcometracker.Sums {
	if r.Outcomes == nil {
		return nil
	}
	t.mu.Lock()
	e := t.get(fleetconfig.Incarnation{ID: r.Endpoint, StartTime: r.StartTime})
	t.mu.Unlock()
	e.outcomes.Record(h, *r.Outcomes, r.Process, r.Serial)
	if r.Query == 0 {
		return nil
	}
	sums, ok := e.outcomes.Sums(r.Outcomes.Zone)
	if !ok {
		return nil
	}
	return &sums
}

// recordLimits merges what a host says about the limits of an endpoint, and returns what is known.
func (e *endpointTracker) recordLimits(id string, startTime int64, limit fleetconfig.RateLimit, cold fleetconfig.Coldness, share float64) limits {
	e.limiter.Record(limit)
	known := e.recordCold(cold, share)
	return limits{stated: e.limiter.Limit(), cold: known, change: e.rateChange(id, startTime)}
}

// takePermit takes a permit for one request to an endpoint, and returns its limits.
func (t *trackers) takePermit(p *permitRequest, limit fleetconfig.RateLimit, cold fleetconfig.Coldness, share float64) (ok bool, wait time.Duration, merged limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.get(fleetconfig.Incarnation{ID: p.Endpoint, StartTime: p.StartTime})
	merged = e.recordLimits(p.Endpoint, p.StartTime, limit, cold, share)
	ok, wait = e.limiter.Take()
	return ok, wait, merged
}

// get returns the tracker of an endpoint, a new one if there is none. The caller must hold t.mu.
func (t *trackers) get(key fleetconfig.Incarnation) *endpointTracker {
	if t.all == nil {
		t.all = make(map[fleetconfig.Incarnation]*endpointTracker)
	}
	now := time.Now()
	e := t.all[key]
	if e == nil {
		for other, unused := range t.all {
			// An endpoint that is leaving is remembered for longer than it may take to leave.
			if now.Sub(unused.lastUsed) > time.Minute {
				delete(t.all, other)
			}
		}
		e = &endpointTracker{}
		for other, known := range t.all {
			if other.ID == key.ID {
				e.limiter.ShareCold(&known.limiter)
				break
			}
		}
		t.all[key] = e
	}
	e.lastUsed = now
	return e
}
