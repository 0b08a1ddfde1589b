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
func (q *Quarantiner) Blame(death Death, running []Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.files == nil {
		q.files = make(map[Digest]*file)
	}
	q.expire()
	for _, d := range running {
		q.blame(death, d)
	}
}

func (q *Quarantiner) blame(death Death, d Digest) {
	f := q.files[d]
	if f == nil {
		if len(q.files) >= maxDigests {
			return
		}
		f = &file{deaths: make(map[Death]bool), cleared: make(map[Death]bool)}
		q.files[d] = f
	}
	if f.deaths[death] || f.cleared[death] || f.condemned {
		return
	}
	f.deaths[death] = true
	f.condemned = len(f.deaths) >= fatal
	f.until = time.Now().Add(Memory)
}

// expire forgets the files whose time has passed.
func (q *Quarantiner) expire() {
	for d, f := range q.files {
		if !time.Now().Before(f.until) {
			delete(q.files, d)
		}
	}
}

// Clear takes the deaths so far from a request that an engine has answered, unless it is condemned.
func (q *Quarantiner) Clear(d Digest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.files[d]
	if f == nil || f.condemned {
		return
	}
	for death := range f.deaths {
		f.cleared[death] = true
	}
	clear(f.deaths)
}

// Verdict returns how a request may be run, and for how long that holds.
func (q *Quarantiner) Verdict(d Digest) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f := q.files[d]
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
