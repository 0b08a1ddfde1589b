// Package estimator estimates how many requests run at an endpoint now, from reports that lag and from the entry
// host's own hand-overs.
package estimator

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	ageing     = 2 * time.Second
	keep       = 15 * time.Second
	firstShare = 0.3
	// drift is how much the clocks of two hosts may move apart in a second, in parts of it.
	drift = 1e-3
)

// Estimator follows one endpoint. The zero value knows nothing. It is not safe for concurrent use.
type Estimator struct {
	reported int
	sent     time.Time
	offset   time.Duration
	synced   bool
	heard    time.Time
	changes  []change
	own      int
	pending  map[ident.Request]time.Time
	progress time.Time
	start    time.Time
	first    time.Duration
}

type change struct {
	time  time.Time
	delta int
}

// Reset forgets the reports, because the endpoint has started anew with another clock.
func (e *Estimator) Reset() {
	e.synced = false
	e.sent = time.Time{}
}

// Report takes the endpoint's own count of running requests, and when it was sent by the endpoint's clock. The smallest
// difference of the clocks that was seen stands for a report without lag, so a constant skew does no harm.
func (e *Estimator) Report(running int, sent time.Time) {
	now := time.Now()
	offset := now.Sub(sent)
	allowed := e.offset + time.Duration(drift*float64(now.Sub(e.heard)))
	e.heard = now
	if !e.synced || offset < allowed {
		allowed = offset
		e.synced = true
	}
	e.offset = allowed
	local := sent.Add(e.offset)
	if local.Before(e.sent) {
		return
	}
	e.reported = running
	e.sent = local
	old := 0
	for old < len(e.changes) && !e.changes[old].time.After(local) {
		old++
	}
	e.changes = slices.Delete(e.changes, 0, old)
}

// Lag returns the age of the last report.
func (e *Estimator) Lag() time.Duration {
	return time.Since(e.sent)
}

// Start counts a request that is handed to the endpoint. An answer that comes whole shows no first token.
func (e *Estimator) Start(id ident.Request, whole bool) {
	now := time.Now()
	if e.pending == nil {
		e.pending = make(map[ident.Request]time.Time)
	}
	if !whole {
		e.pending[id] = now
		e.start = now
	}
	e.own++
	e.note(now, 1)
}

// First takes the first token of a request and returns when the request was handed over, and false if that is known
// already or the request is not.
func (e *Estimator) First(id ident.Request) (time.Time, bool) {
	start, ok := e.pending[id]
	if !ok {
		return start, false
	}
	delete(e.pending, id)
	now := time.Now()
	e.progress = now
	wait := now.Sub(start)
	if e.first == 0 {
		e.first = wait
	}
	e.first += time.Duration(firstShare * float64(wait-e.first))
	return start, true
}

// End takes a request off the count.
func (e *Estimator) End(id ident.Request) {
	delete(e.pending, id)
	e.own--
	e.note(time.Now(), -1)
}

func (e *Estimator) note(now time.Time, delta int) {
	old := 0
	for old < len(e.changes) && now.Sub(e.changes[old].time) > keep {
		old++
	}
	e.changes = append(slices.Delete(e.changes, 0, old), change{now, delta})
}

// Own returns the number of this entry host's own requests at the endpoint.
func (e *Estimator) Own() int {
	return e.own
}

// LastStart returns when the last request was handed over that shows a first token.
func (e *Estimator) LastStart() time.Time {
	return e.start
}

// FirstToken returns the smoothed time to the first token, or zero if none was seen.
func (e *Estimator) FirstToken() time.Duration {
	return e.first
}

// Running estimates the requests at the endpoint: the report and the own changes since, and with the age of the report
// more and more the own requests times the number of entry hosts that share the endpoint.
func (e *Estimator) Running(entryHosts int) float64 {
	byOwn := float64(e.own * max(1, entryHosts))
	if !e.synced {
		return byOwn
	}
	since := 0
	for i := len(e.changes) - 1; i >= 0 && e.changes[i].time.After(e.sent); i-- {
		since += e.changes[i].delta
	}
	fresh := math.Exp(-float64(e.Lag()) / float64(ageing))
	byReport := float64(max(0, e.reported+since))
	return max(float64(e.own), fresh*byReport+(1-fresh)*byOwn)
}

// Idle returns how long the endpoint has owed a first token without giving any; zero if it owes none.
func (e *Estimator) Idle() time.Duration {
	var oldest time.Time
	for _, t := range e.pending {
		if oldest.IsZero() || t.Before(oldest) {
			oldest = t
		}
	}
	if oldest.IsZero() {
		return 0
	}
	if e.progress.After(oldest) {
		oldest = e.progress
	}
	return time.Since(oldest)
}

// Pending returns the requests that wait for their first token for longer than limit.
func (e *Estimator) Pending(limit time.Duration) []ident.Request {
	var out []ident.Request
	for id, t := range e.pending {
		if time.Since(t) > limit {
			out = append(out, id)
		}
	}
	return out
}
