// Package fleettracker tracks the fleet state that is read from the configuration store in snapshots and in changes:
// the endpoints, and the releases of the models.
package fleettracker

import (
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

const (
	// rejoinWindow is how long endpoints whose entries expired during an outage of the store have to write them again.
	rejoinWindow = 2 * time.Second
	// minOutage is the shortest time without a successful read after which entries may have expired: two heartbeats of
	// an endpoint.
	minOutage = 2400 * time.Millisecond
	// restoredEntryTime is how long a store that was restored from an older copy may list endpoints that are gone. Their
	// entries expire after three heartbeats of 1.2 s, which they miss once the store answers again.
	restoredEntryTime = 10 * time.Second
	// startupGrace is the time from the read of a snapshot to the end of the rollout of a release in it: it may have been
	// published long ago. Hosts are exempt from RolloutTimeout for the first three seconds after their start.
	startupGrace = 2500 * time.Millisecond
	// maxEngineSilence is the longest time for which a sound engine may stand still. It then continues with the requests
	// that it held before it notices that they have been withdrawn.
	maxEngineSilence = 1500 * time.Millisecond
	// beginMargin is how long before the end of RolloutTimeout a request must be expected to begin on an older release.
	// Besides a silence of the engine it covers the error of the expectation, so that few requests are withdrawn.
	beginMargin = maxEngineSilence + 400*time.Millisecond
	// assignMargin is how long before the end of RolloutTimeout the host stops sending new requests to an older release.
	// Few requests begin in less than the difference to beginMargin.
	assignMargin = maxEngineSilence + 500*time.Millisecond
	// withdrawMargin is how long before the end of RolloutTimeout the host withdraws requests that still wait in the
	// queue of an engine on an older release. Besides a silence of the engine it covers the transfer to the engine and the
	// age of the information about the release.
	withdrawMargin = maxEngineSilence + 200*time.Millisecond
)

type release struct {
	number fleetconfig.Release
	// endsAt is the time from which no request may begin on an older release.
	endsAt time.Time
	// publishedAt is the earliest time at which the release may have been published, as far as this host knows.
	publishedAt time.Time
}

// maxDepartures limits the incarnations that are remembered as draining or gone. It is several times the number of
// endpoints of the largest fleet.
const maxDepartures = 8192

// departure is what was last known of an incarnation that leaves.
type departure struct {
	isDraining bool
	// isGone says that its entry has been removed, and isListed that a store which was restored from an older copy lists it
	// since then.
	isGone, isListed bool
}

type entry struct {
	fleetconfig.Endpoint
	// expiresAt is when an entry that expired during an outage is dropped; zero for an entry that exists in the store.
	expiresAt time.Time
	// isListed says that the store lists it again since it was restored from an older copy.
	isListed bool
}

// Tracker holds the fleet state. Set its fields before use. It is safe for concurrent use.
type Tracker struct {
	// RolloutTimeout is the time after which requests may no longer start on an older release.
	RolloutTimeout time.Duration

	mu          sync.Mutex
	entries     map[string]*entry
	releases    map[fleetconfig.Model][]release
	lastRead    time.Time
	recoveredAt time.Time
	// departures holds the incarnations that are known to be draining or gone.
	departures boundedmap.Map[fleetconfig.Incarnation, departure]
	// isRestored says that the next snapshot is of a store that has been restored from an older copy. Until restoredUntil,
	// such a store may list endpoints that are gone.
	isRestored    bool
	restoredUntil time.Time
	readFailed    bool
	loaded        bool
}

// RecordRead records whether the last read of the store succeeded. It must be called before the contents of a read are
// applied.
func (t *Tracker) RecordRead(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !ok {
		t.readFailed = true
		if now.Before(t.restoredUntil) {
			// No entry expires while the store is away.
			t.restoredUntil = now.Add(restoredEntryTime)
		}
		return
	}
	if t.readFailed && !t.lastRead.IsZero() && now.Sub(t.lastRead) > minOutage {
		t.recoveredAt = now
	}
	t.lastRead, t.readFailed = now, false
}

// RecordRestore records that the store has been restored from an older copy. Endpoints that are missing in the next
// snapshot have a limited time to write their entries again, as after an outage. Those that snapshots list although they
// were gone are used only once they have written their entries again, or if snapshots list them for longer than
// restoredEntryTime.
func (t *Tracker) RecordRestore() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recoveredAt = time.Now()
	t.beginRestored(t.recoveredAt)
}

func (t *Tracker) beginRestored(now time.Time) {
	t.isRestored, t.restoredUntil = true, now.Add(restoredEntryTime)
}

// Replace replaces the endpoints with those of a snapshot. If the store has just recovered from an outage, endpoints
// that are missing in the snapshot are kept for a limited time so that they can write their entries again.
func (t *Tracker) Replace(all []fleetconfig.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := t.listedGone(all)
	old := t.entries
	t.entries = make(map[string]*entry, len(all))
	for _, e := range all {
		key := e.Incarnation()
		if !listed[key] {
			t.put(e)
		} else if kept := old[e.ID]; kept != nil && kept.Incarnation() == key {
			kept.isListed = true
			t.entries[e.ID] = kept
		}
	}
	for id, e := range old {
		if now := t.entries[id]; now != nil && now.Incarnation() != e.Incarnation() || now == nil && !t.retainAfterOutage(id, e) {
			t.recordGone(e)
		}
	}
	t.isRestored, t.loaded = false, true
}

// listedGone returns the incarnations that a snapshot lists only because the store was restored from a copy that is older than
// their departure, or than the removal of an entry that is retained: those that each snapshot since the restore has listed.
// One that was absent meanwhile has written its entry again. The caller must hold t.mu.
func (t *Tracker) listedGone(all []fleetconfig.Endpoint) map[fleetconfig.Incarnation]bool {
	if !t.isRestored && !time.Now().Before(t.restoredUntil) {
		return nil
	}
	listed := make(map[fleetconfig.Incarnation]bool)
	for _, e := range all {
		key := e.Incarnation()
		if d := t.departures.Get(key); d.isGone && (t.isRestored || d.isListed) {
			listed[key] = true
		}
		if kept := t.entries[e.ID]; kept != nil && kept.Incarnation() == key && !kept.expiresAt.IsZero() && (t.isRestored || kept.isListed) {
			listed[key] = true
		}
	}
	for key, d := range t.departures.All() {
		if d.isListed != listed[key] {
			d.isListed = listed[key]
			t.departures.Set(key, d)
		}
	}
	return listed
}

// Put adds or replaces the entry of one endpoint.
func (t *Tracker) Put(e fleetconfig.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	if old := t.entries[e.ID]; old != nil && old.Incarnation() != e.Incarnation() {
		t.recordGone(old) // another incarnation has its place
	}
	t.put(e)
}

// put stores an entry. An incarnation that was draining remains so, whatever its entry says. The caller must hold t.mu.
func (t *Tracker) put(e fleetconfig.Endpoint) {
	key := e.Incarnation()
	d := t.departures.Get(key)
	// Without a start time, incarnations cannot be told apart.
	e.Draining = e.Draining || d.isDraining && e.StartTime != 0
	if e.Draining != d.isDraining || d.isGone {
		t.setDeparture(key, departure{isDraining: e.Draining})
	}
	t.entries[e.ID] = &entry{Endpoint: e}
}

// recordGone remembers that the entry of an incarnation has been removed. The caller must hold t.mu.
func (t *Tracker) recordGone(e *entry) {
	t.setDeparture(e.Incarnation(), departure{isDraining: e.Draining, isGone: true, isListed: e.isListed})
}

// setDeparture stores a departure, or removes it if the incarnation is in use. The caller must hold t.mu.
func (t *Tracker) setDeparture(key fleetconfig.Incarnation, d departure) {
	if !d.isDraining && !d.isGone {
		t.departures.Delete(key)
		return
	}
	t.departures.Limit = maxDepartures
	t.departures.Set(key, d)
}

// Departure is an incarnation of an endpoint that is draining or gone.
type Departure struct {
	ID         string `json:"id"`
	StartTime  int64  `json:"born"`
	IsDraining bool   `json:"draining,omitempty"`
	IsGone     bool   `json:"gone,omitempty"`
}

// Departures returns the incarnations that are known to be draining or gone.
func (t *Tracker) Departures() []Departure {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Departure, 0, t.departures.Len())
	for key, d := range t.departures.All() {
		out = append(out, Departure{ID: key.ID, StartTime: key.StartTime, IsDraining: d.isDraining, IsGone: d.isGone})
	}
	return out
}

// AddDepartures adds incarnations that another host knows to be draining or gone. It must be called before the first
// snapshot is applied. The store may have been restored before this host started, so that snapshots list incarnations that
// are gone.
func (t *Tracker) AddDepartures(all []Departure) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, d := range all {
		t.setDeparture(fleetconfig.Incarnation{ID: d.ID, StartTime: d.StartTime}, departure{isDraining: d.IsDraining, isGone: d.IsGone})
	}
	t.beginRestored(time.Now())
}

// Remove removes the entry of an endpoint. If the store has just recovered from an outage, the endpoint is kept for a
// limited time so that it can write its entry again.
func (t *Tracker) Remove(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	delete(t.entries, id)
	if e.isListed = false; !t.retainAfterOutage(id, e) {
		t.recordGone(e)
	}
}

// retainAfterOutage keeps a removed entry until the rejoin window ends, if the store has just recovered from an outage,
// and reports whether it did. The entry of an endpoint that was leaving is not kept.
func (t *Tracker) retainAfterOutage(id string, e *entry) bool {
	expiresAt := t.recoveredAt.Add(rejoinWindow)
	if !e.expiresAt.IsZero() {
		expiresAt = e.expiresAt // a further outage does not extend it
	}
	if e.Draining || t.recoveredAt.IsZero() || !time.Now().Before(expiresAt) {
		return false
	}
	e.expiresAt = expiresAt
	t.entries[id] = e
	return true
}

// Endpoints returns the endpoints that may be used.
func (t *Tracker) Endpoints() []fleetconfig.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]fleetconfig.Endpoint, 0, len(t.entries))
	for id, e := range t.entries {
		if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
			delete(t.entries, id)
			t.recordGone(e)
			continue
		}
		out = append(out, e.Endpoint)
	}
	return out
}

// Loaded reports whether the endpoints have been read.
func (t *Tracker) Loaded() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded
}

// AddRelease adds a release of a model and reports whether it is newer than those known. fromSnapshot says that the
// release was read in a snapshot, so that it may have been published long ago. Otherwise it was published within delay.
func (t *Tracker) AddRelease(m fleetconfig.Model, n fleetconfig.Release, fromSnapshot bool, delay time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.releases == nil {
		t.releases = make(map[fleetconfig.Model][]release)
	}
	for _, r := range t.releases[m] {
		if r.number >= n {
			return false
		}
	}
	publishedAt := time.Now().Add(-delay)
	endsAt := publishedAt.Add(t.RolloutTimeout)
	if fromSnapshot {
		endsAt = time.Now().Add(startupGrace)
	}
	t.releases[m] = append(t.releases[m], release{number: n, endsAt: endsAt, publishedAt: publishedAt})
	return true
}

// OldestAllowed returns the oldest release of a model on which a request may start now.
func (t *Tracker) OldestAllowed(m fleetconfig.Model) fleetconfig.Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	oldest := fleetconfig.Release(1)
	for _, r := range t.releases[m] {
		if !now.Before(r.endsAt.Add(-assignMargin)) {
			oldest = max(oldest, r.number)
		}
	}
	return oldest
}

// RecordSuspension records that the host was suspended for a time that the runtime's clock does not count. The rollout
// timeouts of the known releases end earlier by that clock.
func (t *Tracker) RecordSuspension(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, all := range t.releases {
		for i := range all {
			all[i].endsAt = all[i].endsAt.Add(-d)
			all[i].publishedAt = all[i].publishedAt.Add(-d)
		}
	}
}

// AssignTime returns how long after the publication of a release requests are still sent to older ones.
func (t *Tracker) AssignTime() time.Duration {
	return max(0, t.RolloutTimeout-assignMargin)
}

// BeginDeadline returns the time by which a request that is sent to release n must be expected to begin; zero if no newer
// release is known.
func (t *Tracker) BeginDeadline(m fleetconfig.Model, n fleetconfig.Release) time.Time {
	return t.beforeEnd(m, n, beginMargin)
}

// WithdrawDeadline returns when a request that has not started on release n must be withdrawn; zero if no newer release
// is known.
func (t *Tracker) WithdrawDeadline(m fleetconfig.Model, n fleetconfig.Release) time.Time {
	return t.beforeEnd(m, n, withdrawMargin)
}

// beforeEnd returns a time before the end of the first rollout of a release after n; zero if there is none.
func (t *Tracker) beforeEnd(m fleetconfig.Model, n fleetconfig.Release, margin time.Duration) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var earliest time.Time
	for _, r := range t.releases[m] {
		if r.number > n && (earliest.IsZero() || r.endsAt.Before(earliest)) {
			earliest = r.endsAt
		}
	}
	if earliest.IsZero() {
		return earliest
	}
	return earliest.Add(-margin)
}

// Newest returns the newest known release of a model; zero if there is none.
func (t *Tracker) Newest(m fleetconfig.Model) fleetconfig.Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest fleetconfig.Release
	for _, r := range t.releases[m] {
		newest = max(newest, r.number)
	}
	return newest
}

// Between returns the newest known release of a model with a number above after and below before; zero if there is none.
func (t *Tracker) Between(m fleetconfig.Model, after, before fleetconfig.Release) fleetconfig.Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	var newest fleetconfig.Release
	for _, r := range t.releases[m] {
		if r.number > after && r.number < before {
			newest = max(newest, r.number)
		}
	}
	return newest
}

// PublishedAt returns the earliest time at which a release with a higher number than after may have been published, as far
// as this host knows; zero if there is none.
func (t *Tracker) PublishedAt(m fleetconfig.Model, after fleetconfig.Release) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var earliest time.Time
	for _, r := range t.releases[m] {
		if r.number > after && (earliest.IsZero() || r.publishedAt.Before(earliest)) {
			earliest = r.publishedAt
		}
	}
	return earliest
}
