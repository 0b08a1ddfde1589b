// Package inflighttracker tracks the requests in flight at one back end, so that a crash can be reported with them.
package inflighttracker

import (
	"fmt"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
)

// maxReportedRequests is the maximum number of requests that are reported with one crash.
const maxReportedRequests = 256

// Crash is a crash of one incarnation of a back end, with the requests that were in flight.
type Crash struct {
	ID quarantiner.CrashID
	// InFlight lists the distinct requests that were in flight.
	InFlight []quarantiner.RequestDigest
}

// Request is one request in flight at the back end.
type Request struct {
	digest      quarantiner.RequestDigest
	incarnation int
}

// Tracker tracks the requests in flight at one back end and counts its incarnations. Set its fields before use.
type Tracker struct {
	// CrashIDPrefix is the prefix that makes crash ids unique: the host and its incarnation.
	CrashIDPrefix string

	mu sync.Mutex
	// incarnation counts the crashes so far.
	incarnation int
	inFlight    map[*Request]bool
	// inFlightSuspect is the suspect request in flight, or nil.
	inFlightSuspect *Request
}

// Start adds a request. It returns nil if the request is a suspect and another suspect is in flight.
func (t *Tracker) Start(digest quarantiner.RequestDigest, suspect bool) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspect && t.inFlightSuspect != nil {
		return nil
	}
	if t.inFlight == nil {
		t.inFlight = make(map[*Request]bool)
	}
	r := &Request{digest: digest, incarnation: t.incarnation}
	t.inFlight[r] = true
	if suspect {
		t.inFlightSuspect = r
	}
	return r
}

// End removes a request.
func (t *Tracker) End(r *Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.inFlight, r)
	if t.inFlightSuspect == r {
		t.inFlightSuspect = nil
	}
}

// RecordCrash records a crash of the incarnation that ran the request. It returns the crash and reports whether this is
// the first call for it; only then are the requests in flight listed.
func (t *Tracker) RecordCrash(r *Request) (Crash, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crash := Crash{ID: quarantiner.CrashID(fmt.Sprintf("%s/%d", t.CrashIDPrefix, r.incarnation))}
	if r.incarnation != t.incarnation {
		return crash, false
	}
	t.incarnation++
	listed := make(map[quarantiner.RequestDigest]bool)
	for other := range t.inFlight {
		if other.incarnation != r.incarnation || listed[other.digest] || len(listed) == maxReportedRequests {
			continue
		}
		listed[other.digest] = true
		crash.InFlight = append(crash.InFlight, other.digest)
	}
	return crash, true
}

// Crashed reports whether the incarnation that ran the request has crashed.
func (t *Tracker) Crashed(r *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return r.incarnation != t.incarnation
}
