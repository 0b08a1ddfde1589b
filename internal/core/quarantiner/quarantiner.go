// Package quarantiner records the requests that were in flight when engines crashed, and quarantines those that were in
// flight at two crashes.
package quarantiner

import (
	"sync"
	"time"
)

const (
	// Retention is how long a crash counts against a request, and how long a quarantined request is refused.
	Retention = 10 * time.Minute
	// maxDigests is the maximum number of requests on record.
	maxDigests = 10_000
	// crashThreshold is the number of crashes against a request at which it is quarantined.
	crashThreshold = 2
)

// RequestDigest identifies a request by its deployment, path and body.
type RequestDigest string

// CrashID identifies one crash of one engine.
type CrashID string

// Verdict is how a request may be run.
type Verdict int

// Verdicts.
const (
	// Clean requests run without restrictions.
	Clean Verdict = iota
	// Suspect requests run only if they are repeatable, and never two at a time on one engine.
	Suspect
	// Quarantined requests are refused.
	Quarantined
)

// Quarantiner holds the crashes that count against requests. The zero value is empty.
type Quarantiner struct {
	mu      sync.Mutex
	records map[RequestDigest]*record
}

// record holds the crashes that count against one request.
type record struct {
	crashes map[CrashID]bool
	// clearedCrashes no longer count, because the request was answered after them.
	clearedCrashes map[CrashID]bool
	quarantined    bool
	expiry         time.Time
}

// RecordCrash counts a crash against the requests that were in flight. A crash that is reported twice counts once.
func (q *Quarantiner) RecordCrash(crash CrashID, inFlight []RequestDigest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.records == nil {
		q.records = make(map[RequestDigest]*record)
	}
	q.expire()
	for _, d := range inFlight {
		q.addCrash(crash, d)
	}
}

// addCrash counts a crash against one request, unless it was counted or cleared before. A new request is ignored while
// maxDigests are on record.
func (q *Quarantiner) addCrash(crash CrashID, d RequestDigest) {
	r := q.records[d]
	if r == nil {
		if len(q.records) >= maxDigests {
			return
		}
		r = &record{crashes: make(map[CrashID]bool), clearedCrashes: make(map[CrashID]bool)}
		q.records[d] = r
	}
	if r.crashes[crash] || r.clearedCrashes[crash] || r.quarantined {
		return
	}
	r.crashes[crash] = true
	r.quarantined = len(r.crashes) >= crashThreshold
	r.expiry = time.Now().Add(Retention)
}

// expire deletes expired records.
func (q *Quarantiner) expire() {
	for d, r := range q.records {
		if !time.Now().Before(r.expiry) {
			delete(q.records, d)
		}
	}
}

// ClearCrashes clears the crashes recorded so far against a request that an engine has answered. It does not lift a
// quarantine.
func (q *Quarantiner) ClearCrashes(d RequestDigest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[d]
	if r == nil || r.quarantined {
		return
	}
	for crash := range r.crashes {
		r.clearedCrashes[crash] = true
	}
	clear(r.crashes)
}

// Verdict returns how a request may be run and for how long that verdict is valid.
func (q *Quarantiner) Verdict(d RequestDigest) (Verdict, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[d]
	switch {
	case r == nil || !time.Now().Before(r.expiry):
		return Clean, 0
	case r.quarantined:
		return Quarantined, time.Until(r.expiry)
	case len(r.crashes) > 0:
		return Suspect, time.Until(r.expiry)
	}
	return Clean, 0
}
