// Package evacuationtracker tracks the availability zones that the operator has evacuated, as read from the
// configuration store in snapshots and in changes.
package evacuationtracker

import (
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// restoreRetention is how long a zone stays evacuated if a snapshot does not list it that may be of a store which has been
// restored from an older copy. It is longer than the operator takes to write its records again.
const restoreRetention = 10 * time.Second

// evacuation is one evacuated zone.
type evacuation struct {
	// endsAt is when the evacuation ends because no record of it is left; zero while there is a record.
	endsAt time.Time
}

// Tracker holds the evacuated zones. Set its fields before use. It is safe for concurrent use.
type Tracker struct {
	// OnChange is called when the evacuation of a zone begins or ends, if it is not nil. It must not call the tracker.
	OnChange func(z ident.Zone, isEvacuated bool)

	mu    sync.Mutex
	zones map[ident.Zone]evacuation
	// isRestored says that the next snapshot may be of a store that has been restored from an older copy.
	isRestored bool
}

// RecordRestore records that the store has been restored from an older copy. Zones that the next snapshot does not list
// stay evacuated for restoreRetention, whatever further snapshots list, since their records may be missing in the copy.
func (t *Tracker) RecordRestore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isRestored = true
}

// Replace replaces the evacuated zones with those of a snapshot. It is authoritative, as the record of an evacuation that
// has ended is absent there, unless the store has been restored.
func (t *Tracker) Replace(listed []ident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, z := range listed {
		t.begin(z)
	}
	for z, e := range t.zones {
		switch {
		case slices.Contains(listed, z):
		case !e.endsAt.IsZero():
			// Its record has been missing since the restore.
		case t.isRestored:
			t.zones[z] = evacuation{endsAt: time.Now().Add(restoreRetention)}
		default:
			t.end(z)
		}
	}
	t.isRestored = false
}

// AddNewest adds zones that another host knows to be evacuated, before the first snapshot is read: that snapshot may be of
// a store that has been restored a moment ago.
func (t *Tracker) AddNewest(zones []ident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, z := range zones {
		t.begin(z)
	}
	t.isRestored = true
}

// Begin records that a zone is evacuated.
func (t *Tracker) Begin(z ident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.begin(z)
}

// End records that the evacuation of a zone has ended.
func (t *Tracker) End(z ident.Zone) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.end(z)
}

// IsEvacuated reports whether a zone is evacuated.
func (t *Tracker) IsEvacuated(z ident.Zone) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	_, ok := t.zones[z]
	return ok
}

// Zones returns the evacuated zones in order.
func (t *Tracker) Zones() []ident.Zone {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire()
	out := make([]ident.Zone, 0, len(t.zones))
	for z := range t.zones {
		out = append(out, z)
	}
	slices.Sort(out)
	return out
}

// begin records an evacuation for which there is a record. The caller must hold t.mu.
func (t *Tracker) begin(z ident.Zone) {
	if t.zones == nil {
		t.zones = make(map[ident.Zone]evacuation)
	}
	_, isKnown := t.zones[z]
	t.zones[z] = evacuation{}
	if !isKnown {
		t.notify(z, true)
	}
}

func (t *Tracker) end(z ident.Zone) {
	if _, ok := t.zones[z]; !ok {
		return
	}
	delete(t.zones, z)
	t.notify(z, false)
}

// expire ends the evacuations without a record whose time has passed. The caller must hold t.mu.
func (t *Tracker) expire() {
	now := time.Now()
	for z, e := range t.zones {
		if !e.endsAt.IsZero() && !now.Before(e.endsAt) {
			t.end(z)
		}
	}
}

func (t *Tracker) notify(z ident.Zone, isEvacuated bool) {
	if t.OnChange != nil {
		t.OnChange(z, isEvacuated)
	}
}
