// Package estimator estimates how many requests are in flight at an endpoint, from delayed reports of the endpoint and
// from the requests that this entry host has sent.
package estimator

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// reportDecayTime is the age at which the weight of a report has fallen to 1/e.
	reportDecayTime = 2 * time.Second
	// changeRetention is how long changes of the local requests are kept for comparison with reports.
	changeRetention = 15 * time.Second
	// firstTokenWeight is the weight of the last observation in the smoothed time to the first token.
	firstTokenWeight = 0.3
	// maxClockDrift is the maximum rate at which the clocks of two hosts drift apart, in seconds per second.
	maxClockDrift = 1e-3
)

// Estimator tracks one endpoint. The zero value has no information. It is not safe for concurrent use.
type Estimator struct {
	reported    int
	reportTime  time.Time
	clockOffset time.Duration
	// synced says that clockOffset has been measured.
	synced        bool
	lastReport    time.Time
	changes       []change
	localRequests int
	// pending holds the start times of the requests without a first token.
	pending            map[ident.RequestID]time.Time
	lastFirstToken     time.Time
	lastStart          time.Time
	smoothedFirstToken time.Duration
}

type change struct {
	time  time.Time
	delta int
}

// Reset discards the reports after a restart of the endpoint, which then uses another clock.
func (e *Estimator) Reset() {
	e.synced = false
	e.reportTime = time.Time{}
}

// Report records the number of requests in flight that the endpoint reports, and the time of the report by the
// endpoint's clock. The smallest observed difference of the clocks counts as that of a report without delay, so a
// constant clock skew has no effect.
func (e *Estimator) Report(inFlight int, sent time.Time) {
	now := time.Now()
	offset := now.Sub(sent)
	newOffset := e.clockOffset + time.Duration(maxClockDrift*float64(now.Sub(e.lastReport)))
	e.lastReport = now
	if !e.synced || offset < newOffset {
		newOffset = offset
		e.synced = true
	}
	e.clockOffset = newOffset
	localTime := sent.Add(e.clockOffset)
	if localTime.Before(e.reportTime) {
		return
	}
	e.reported = inFlight
	e.reportTime = localTime
	covered := 0
	for covered < len(e.changes) && !e.changes[covered].time.After(localTime) {
		covered++
	}
	e.changes = slices.Delete(e.changes, 0, covered)
}

// ReportAge returns the age of the last report.
func (e *Estimator) ReportAge() time.Duration {
	return time.Since(e.reportTime)
}

// Start counts a request that is sent to the endpoint. nonStreaming says that the response is not streamed, so that it
// has no first token.
func (e *Estimator) Start(id ident.RequestID, nonStreaming bool) {
	now := time.Now()
	if e.pending == nil {
		e.pending = make(map[ident.RequestID]time.Time)
	}
	if !nonStreaming {
		e.pending[id] = now
		e.lastStart = now
	}
	e.localRequests++
	e.recordChange(now, 1)
}

// RecordFirstToken records the first token of a request and returns when the request was sent. It returns false if the
// request is unknown or its first token was already recorded.
func (e *Estimator) RecordFirstToken(id ident.RequestID) (time.Time, bool) {
	start, ok := e.pending[id]
	if !ok {
		return start, false
	}
	delete(e.pending, id)
	now := time.Now()
	e.lastFirstToken = now
	firstToken := now.Sub(start)
	if e.smoothedFirstToken == 0 {
		e.smoothedFirstToken = firstToken
	}
	e.smoothedFirstToken += time.Duration(firstTokenWeight * float64(firstToken-e.smoothedFirstToken))
	return start, true
}

// End removes a request from the count.
func (e *Estimator) End(id ident.RequestID) {
	delete(e.pending, id)
	e.localRequests--
	e.recordChange(time.Now(), -1)
}

func (e *Estimator) recordChange(now time.Time, delta int) {
	expired := 0
	for expired < len(e.changes) && now.Sub(e.changes[expired].time) > changeRetention {
		expired++
	}
	e.changes = append(slices.Delete(e.changes, 0, expired), change{now, delta})
}

// LocalRequests returns the number of requests of this entry host at the endpoint.
func (e *Estimator) LocalRequests() int {
	return e.localRequests
}

// LastStart returns when the last request with a streamed response was sent.
func (e *Estimator) LastStart() time.Time {
	return e.lastStart
}

// TimeToFirstToken returns the smoothed time to the first token; zero if there is no observation.
func (e *Estimator) TimeToFirstToken() time.Duration {
	return e.smoothedFirstToken
}

// InFlight estimates the number of requests in flight at the endpoint: the reported number plus the local changes since
// the report. As the report ages, the estimate shifts to the number of local requests multiplied by the number of entry
// hosts that share the endpoint.
func (e *Estimator) InFlight(entryHosts int) float64 {
	fromLocal := float64(e.localRequests * max(1, entryHosts))
	if !e.synced {
		return fromLocal
	}
	changesSince := 0
	for i := len(e.changes) - 1; i >= 0 && e.changes[i].time.After(e.reportTime); i-- {
		changesSince += e.changes[i].delta
	}
	reportWeight := math.Exp(-float64(e.ReportAge()) / float64(reportDecayTime))
	fromReport := float64(max(0, e.reported+changesSince))
	return max(float64(e.localRequests), reportWeight*fromReport+(1-reportWeight)*fromLocal)
}

// TimeWithoutFirstToken returns how long the endpoint has sent no first token although requests wait for one; zero if
// none waits.
func (e *Estimator) TimeWithoutFirstToken() time.Duration {
	var oldest time.Time
	for _, t := range e.pending {
		if oldest.IsZero() || t.Before(oldest) {
			oldest = t
		}
	}
	if oldest.IsZero() {
		return 0
	}
	if e.lastFirstToken.After(oldest) {
		oldest = e.lastFirstToken
	}
	return time.Since(oldest)
}

// Overdue returns the requests that have waited for their first token for longer than limit.
func (e *Estimator) Overdue(limit time.Duration) []ident.RequestID {
	var out []ident.RequestID
	for id, t := range e.pending {
		if time.Since(t) > limit {
			out = append(out, id)
		}
	}
	return out
}
