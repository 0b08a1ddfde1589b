package loadexchanger

import (
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadtracker"
)

type endpointTracker struct {
	loadtracker.Tracker
	isLeaving bool
	lastUsed  time.Time
}

// trackers holds the reported loads at the endpoints that this host responds for.
type trackers struct {
	mu  sync.Mutex
	all map[fleetconfig.Incarnation]*endpointTracker
}

// record stores a report, and returns the load of the other hosts at the endpoint and whether one of them knows that it
// is leaving.
func (t *trackers) record(h ident.Host, r *Report) (others assigner.Load, isLeaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all = make(map[fleetconfig.Incarnation]*endpointTracker)
	}
	now := time.Now()
	key := fleetconfig.Incarnation{ID: r.Endpoint, StartTime: r.StartTime}
	e := t.all[key]
	if e == nil {
		for other, unused := range t.all {
			// An endpoint that is leaving is remembered for longer than it may take to leave.
			if now.Sub(unused.lastUsed) > time.Minute {
				delete(t.all, other)
			}
		}
		e = &endpointTracker{}
		t.all[key] = e
	}
	e.lastUsed = now
	e.isLeaving = e.isLeaving || r.IsLeaving
	e.Record(h, r.Load, r.Process, r.Serial)
	return e.Others(h), e.isLeaving
}
