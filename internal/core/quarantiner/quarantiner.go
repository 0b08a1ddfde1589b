// Package quarantiner remembers the requests that were running when engines died, and condemns those that were running at
// two deaths.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// Memory is how long a death counts against a request, and how long a condemned request is refused.
	Memory = 10 * time.Minute
	// maxDigests bounds the requests that are remembered.
	maxDigests = 10_000
	fatal      = 2
)

// Digest identifies a request by its deployment, path and body.
type Digest string

// Death identifies one death of one engine.
type Death string

// Verdict tells how a request may be run.
type Verdict int

// Verdicts on requests.
const (
	// Clean requests run as usual.
	Clean Verdict = iota
	// Suspect requests run alone among suspects on their engine, and not at all if they are not repeatable.
	Suspect
	// Condemned requests are refused.
	Condemned
)

// Quarantiner holds the deaths that count against requests. The zero value is empty.
type Quarantiner struct {
	mu    sync.Mutex
	files map[Digest]*file
}

type file struct {
	deaths    map[Death]bool
	cleared   map[Death]bool
	condemned bool
	until     time.Time
}

// Blame counts a death against the requests that were running. A death that is told twice counts once.
func (s *Quarantiner) Blame(death Death, running []Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.files == nil {
		s.files = make(map[Digest]*file)
	}
	s.expire()
	for _, d := range running {
		s.blame(death, d)
	}
}

func (s *Quarantiner) blame(death Death, d Digest) {
	f := s.files[d]
	if f == nil {
		if len(s.files) >= maxDigests {
			return
		}
		f = &file{deaths: make(map[Death]bool), cleared: make(map[Death]bool)}
		s.files[d] = f
	}
	if f.deaths[death] || f.cleared[death] || f.condemned {
		return
	}
	f.deaths[death] = true
	f.condemned = len(f.deaths) >= fatal
	f.until = time.Now().Add(Memory)
}

// expire forgets the files whose time has passed.
func (s *Quarantiner) expire() {
	for d, f := range s.files {
		if !time.Now().Before(f.until) {
			delete(s.files, d)
		}
	}
}

// Clear takes the deaths so far from a request that an engine has answered, unless it is condemned.
func (s *Quarantiner) Clear(d Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[d]
	if f == nil || f.condemned {
		return
	}
	for death := range f.deaths {
		f.cleared[death] = true
	}
	clear(f.deaths)
}

// Verdict returns how a request may be run, and for how long that holds.
func (s *Quarantiner) Verdict(d Digest) (Verdict, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.files[d]
	switch {
	case f == nil || !time.Now().Before(f.until):
		return Clean, 0
	case f.condemned:
		return Condemned, time.Until(f.until)
	case len(f.deaths) > 0:
		return Suspect, time.Until(f.until)
	}
	return Clean, 0
}
