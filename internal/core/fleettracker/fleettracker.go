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
func (s *Tracker) Heard(ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if !ok {
		s.failed = true
		return
	}
	if s.failed && !s.heard.IsZero() && now.Sub(s.heard) > awayTime {
		s.returned = now
	}
	s.heard, s.failed = now, false
}

// Reset takes a whole image of the endpoints.
func (s *Tracker) Reset(all []directory.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries
	s.entries = make(map[string]*entry, len(all))
	for _, e := range all {
		s.entries[e.ID] = &entry{Endpoint: e}
	}
	for id, e := range old {
		if s.entries[id] == nil {
			s.lapse(id, e)
		}
	}
	s.known = true
}

// Put takes the entry of one endpoint.
func (s *Tracker) Put(e directory.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[string]*entry)
	}
	s.entries[e.ID] = &entry{Endpoint: e}
}

// Drop takes the removal of an entry. If the store has just come back, the endpoint has some time to write it again.
func (s *Tracker) Drop(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil {
		return
	}
	delete(s.entries, id)
	s.lapse(id, e)
}

func (s *Tracker) lapse(id string, e *entry) {
	until := s.returned.Add(returnTime)
	if e.Leaving || s.returned.IsZero() || !time.Now().Before(until) {
		return
	}
	e.until = until
	s.entries[id] = e
}

// Endpoints returns the endpoints that may be used.
func (s *Tracker) Endpoints() []directory.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	out := make([]directory.Endpoint, 0, len(s.entries))
	for id, e := range s.entries {
		if !e.until.IsZero() && now.After(e.until) {
			delete(s.entries, id)
			continue
		}
		out = append(out, e.Endpoint)
	}
	return out
}

// Known tells whether the endpoints have been read.
func (s *Tracker) Known() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known
}

// SetRelease takes the newest release of a model. First says that it was read in a whole image, so that it may have
// been named long ago.
func (s *Tracker) SetRelease(m directory.Model, n directory.Release, first bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.releases == nil {
		s.releases = make(map[directory.Model][]release)
	}
	for _, r := range s.releases[m] {
		if r.number >= n {
			return false
		}
	}
	now := time.Now()
	at := now.Add(s.ReleaseBound - releaseMargin)
	if first {
		// The release may have been named long ago.
		at = now.Add(firstGrace)
	}
	s.releases[m] = append(s.releases[m], release{number: n, enforce: at, seen: now})
	return true
}

// Oldest returns the oldest release of a model on which a request may begin now.
func (s *Tracker) Oldest(m directory.Model) directory.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	oldest := directory.Release(1)
	for _, r := range s.releases[m] {
		if !now.Before(r.enforce) {
			oldest = max(oldest, r.number)
		}
	}
	return oldest
}

// Cutoff returns when a request that has not begun on a release must be taken back; zero if no newer one is named.
func (s *Tracker) Cutoff(m directory.Model, n directory.Release) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, r := range s.releases[m] {
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
func (s *Tracker) Newest(m directory.Model) directory.Release {
	s.mu.Lock()
	defer s.mu.Unlock()
	var n directory.Release
	for _, r := range s.releases[m] {
		n = max(n, r.number)
	}
	return n
}

// Named returns when the first release after the one given was seen here; zero if there is none.
func (s *Tracker) Named(m directory.Model, after directory.Release) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var first time.Time
	for _, r := range s.releases[m] {
		if r.number > after && (first.IsZero() || r.seen.Before(first)) {
			first = r.seen
		}
	}
	return first
}
