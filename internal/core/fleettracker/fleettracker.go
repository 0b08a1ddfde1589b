// Package fleettracker keeps the picture of a fleet: its configuration, its endpoints and the releases of its models, as
// they are read from the store in whole images and in changes.
package fleettracker

import (
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
)

const (
	// returnTime is how long endpoints whose entries lapsed while the store was away have to write them again.
	returnTime = 2 * time.Second
	// awayTime is the shortest time without an answer after which entries may have lapsed: two heartbeats of an endpoint.
	awayTime = 2400 * time.Millisecond
	// firstGrace is the time from the start of a host until a release that it found there is in force. Hosts that have just
	// started are not held to the bound for three seconds.
	firstGrace = 2500 * time.Millisecond
	// releaseMargin is how long before the bound requests stop to begin on an older release: it covers a request's wait
	// in the engine's own queue.
	releaseMargin = 700 * time.Millisecond
	// beginMargin is how long before the bound requests are taken back that still wait in the queue of an engine on an
	// older release: the way there, and the age of the word of a release.
	beginMargin = 300 * time.Millisecond
)

type release struct {
	number  directory.Release
	enforce time.Time
	seen    time.Time
}

type entry struct {
	directory.Endpoint
	// until is when an entry that lapsed is given up; zero for one that stands.
	until time.Time
}

// Tracker holds the picture. Set its fields before use. It is safe for concurrent use.
type Tracker struct {
	// ReleaseBound is the time after which requests may no longer begin on an older release.
	ReleaseBound time.Duration

	mu       sync.Mutex
	entries  map[string]*entry
	releases map[directory.Model][]release
	heard    time.Time
	returned time.Time
	failed   bool
	known    bool
}

// Heard notes that the store answered, or did not. It is called before what an answer holds is taken.
func (t *Tracker) Heard(ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if !ok {
		t.failed = true
		return
	}
	if t.failed && !t.heard.IsZero() && now.Sub(t.heard) > awayTime {
		t.returned = now
	}
	t.heard, t.failed = now, false
}

// Reset takes a whole image of the endpoints.
func (t *Tracker) Reset(all []directory.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.entries
	t.entries = make(map[string]*entry, len(all))
	for _, e := range all {
		t.entries[e.ID] = &entry{Endpoint: e}
	}
	for id, e := range old {
		if t.entries[id] == nil {
			t.lapse(id, e)
		}
	}
	t.known = true
}

// Put takes the entry of one endpoint.
func (t *Tracker) Put(e directory.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.entries == nil {
		t.entries = make(map[string]*entry)
	}
	t.entries[e.ID] = &entry{Endpoint: e}
}

// Drop takes the removal of an entry. If the store has just come back, the endpoint has some time to write it again.
func (t *Tracker) Drop(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return
	}
	delete(t.entries, id)
	t.lapse(id, e)
}

func (t *Tracker) lapse(id string, e *entry) {
	until := t.returned.Add(returnTime)
	if e.Leaving || t.returned.IsZero() || !time.Now().Before(until) {
		return
	}
	e.until = until
	t.entries[id] = e
}

// Endpoints returns the endpoints that may be used.
func (t *Tracker) Endpoints() []directory.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	out := make([]directory.Endpoint, 0, len(t.entries))
	for id, e := range t.entries {
		if !e.until.IsZero() && now.After(e.until) {
			delete(t.entries, id)
			continue
		}
		out = append(out, e.Endpoint)
	}
	return out
}

// Known tells whether the endpoints have been read.
func (t *Tracker) Known() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// SetRelease takes the newest release of a model. First says that it was read in a whole image, so that it may have
// been named long ago.
func (t *Tracker) SetRelease(m directory.Model, n directory.Release, first bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.releases == nil {
		t.releases = make(map[directory.Model][]release)
	}
	for _, r := range t.releases[m] {
		if r.number >= n {
			return false
		}
	}
	now := time.Now()
	at := now.Add(t.ReleaseBound - releaseMargin)
	if first {
		// The release may have been named long ago.
		at = now.Add(firstGrace)
	}
	t.releases[m] = append(t.releases[m], release{number: n, enforce: at, seen: now})
	return true
}

// Oldest returns the oldest release of a model on which a request may begin now.
func (t *Tracker) Oldest(m directory.Model) directory.Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	oldest := directory.Release(1)
	for _, r := range t.releases[m] {
		if !now.Before(r.enforce) {
			oldest = max(oldest, r.number)
		}
	}
	return oldest
}

// Cutoff returns when a request that has not begun on a release must be taken back; zero if no newer one is named.
func (t *Tracker) Cutoff(m directory.Model, n directory.Release) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, r := range t.releases[m] {
		if r.number > n && (first.IsZero() || r.enforce.Before(first)) {
			first = r.enforce
		}
	}
	if first.IsZero() {
		return first
	}
	return first.Add(releaseMargin - beginMargin)
}

// Newest returns the newest release of a model; zero if none was named.
func (t *Tracker) Newest(m directory.Model) directory.Release {
	t.mu.Lock()
	defer t.mu.Unlock()
	var n directory.Release
	for _, r := range t.releases[m] {
		n = max(n, r.number)
	}
	return n
}

// Named returns when the first release after the one given was seen here; zero if there is none.
func (t *Tracker) Named(m directory.Model, after directory.Release) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	var first time.Time
	for _, r := range t.releases[m] {
		if r.number > after && (first.IsZero() || r.seen.Before(first)) {
			first = r.seen
		}
	}
	return first
}
