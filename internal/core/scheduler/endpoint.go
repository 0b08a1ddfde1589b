package scheduler

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/breaker"
	"github.com/nutmegdock/nutmegdock/internal/core/estimator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/limiter"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// slowFactor is the multiple of the median time to first token above which an endpoint counts as slow.
	slowFactor = 3
	// probeInterval is how often a slow endpoint receives a single request that tests whether it has recovered.
	probeInterval = 10 * time.Second
	// stallFactor is the multiple of the median time to first token that an endpoint may spend without producing a
	// first token before it counts as stalled.
	stallFactor = 6
	// sharedFraction is the fraction of an endpoint's limit that every entry host may use beyond its own quota.
	sharedFraction  = 0.75
	minStallTimeout = time.Second
	maxStallTimeout = 10 * time.Second
	// endpointTTL is the time without a report or load after which an endpoint that has no requests in flight is removed.
	endpointTTL = 5 * time.Minute
)

// endpoint is the scheduler's state of one endpoint.
type endpoint struct {
	report   messages.Report
	lastSeen time.Time
	// fullReportMs is when the last full report was made, as a Unix time in milliseconds. The time in report may be that
	// of a later load.
	fullReportMs int64
	closed       bool
	leaving      bool
	// closedUntil is the end of the pause that starts when the endpoint refuses a request as closed.
	closedUntil time.Time
	estimator   estimator.Estimator
	limiter     limiter.Limiter
	breaker     breaker.Breaker
}

// applyReport applies a full report and returns false if it is older than the last one applied. If a later load has
// already been applied, that load stays in effect.
func (e *endpoint) applyReport(r messages.Report) bool {
	if r.StartTime < e.report.StartTime || r.StartTime == e.report.StartTime && r.SentMs < e.fullReportMs {
		return false
	}
	if r.StartTime > e.report.StartTime {
		e.leaving = false
		e.breaker.RecordSuccess()
		e.estimator.Reset()
	}
	overtaken := r.StartTime == e.report.StartTime && r.SentMs < e.report.SentMs
	e.fullReportMs = r.SentMs
	if overtaken {
		r.SentMs, r.InFlight, r.Slots = e.report.SentMs, e.report.InFlight, e.report.Slots
	}
	e.report = r
	e.closed = !r.GateOpen
	e.leaving = e.leaving || r.Leaving
	e.recordLoad()
	return true
}

// applyLoad applies a load and returns false if it is older than the last one applied or belongs to another
// incarnation.
func (e *endpoint) applyLoad(l messages.LoadUpdate) bool {
	if l.StartTime != e.report.StartTime || l.SentMs < e.report.SentMs {
		return false
	}
	e.report.SentMs, e.report.InFlight, e.report.Slots = l.SentMs, l.InFlight, l.Slots
	e.recordLoad()
	return true
}

// recordLoad passes the load of the current report on to the limiter and the estimator.
func (e *endpoint) recordLoad() {
	e.lastSeen = time.Now()
	e.limiter.SetSlots(e.report.Slots)
	e.estimator.Report(e.report.InFlight, time.UnixMilli(e.report.SentMs))
}

// available reports whether the endpoint can be expected to accept requests, now or soon.
func (e *endpoint) available() bool {
	return !e.closed && !e.leaving && time.Now().After(e.closedUntil) && time.Since(e.lastSeen) < reportcache.MaxAge(e.report)
}

// expired reports whether the endpoint can be removed: it has no requests of this host in flight and
// sent no report or load for endpointTTL.
func (e *endpoint) expired() bool {
	return e.estimator.LocalRequests() == 0 && time.Since(e.lastSeen) > endpointTTL
}

func (e *endpoint) stalled(timeout time.Duration) bool {
	return e.estimator.TimeWithoutFirstToken() > timeout
}

// latencyStats summarises the latency of all endpoints of one weight set.
type latencyStats struct {
	medianFirstToken time.Duration
	stallTimeout     time.Duration
}

// slow reports whether the time to first token is above the target and far above that of the other endpoints.
func (e *endpoint) slow(stats latencyStats) bool {
	first := e.estimator.TimeToFirstToken()
	return first > FirstTokenTarget && first > slowFactor*stats.medianFirstToken
}

// candidate describes the endpoint to the router. quota is the local host's part of limit, and inFlight is the
// estimated number of requests at the endpoint.
func (e *endpoint) candidate(stats latencyStats, limit, quota int, inFlight float64) router.Candidate {
	load := (inFlight + 1) / float64(limit)
	first := e.estimator.TimeToFirstToken()
	if first == 0 {
		first = stats.medianFirstToken
	}
	// Requests beyond the quota are allowed while the endpoint is clearly below its limit.
	belowSharedFraction := inFlight+1 <= sharedFraction*float64(limit)
	hasCapacity := e.estimator.LocalRequests() < quota || belowSharedFraction
	if e.slow(stats) {
		hasCapacity = e.estimator.LocalRequests() == 0 && time.Since(e.estimator.LastStart()) > probeInterval
	}
	return router.Candidate{
		Host: e.report.Host, Zone: e.report.Zone, Address: e.report.DataAddress, WeightSet: e.report.ServedSet,
		Available:     hasCapacity && e.breaker.Allows(e.estimator.LocalRequests()) && !e.stalled(stats.stallTimeout),
		Load:          load,
		EstimatedWait: time.Duration(float64(max(first, time.Millisecond)) * max(load, 1/float64(limit))),
	}
}

// computeLatencyStats returns the latency of the endpoints that serve set and have produced a first token.
func computeLatencyStats(es []*endpoint, set ident.WeightSet) latencyStats {
	var firstTokens []time.Duration
	for _, e := range es {
		if first := e.estimator.TimeToFirstToken(); first > 0 && e.report.ServedSet == set {
			firstTokens = append(firstTokens, first)
		}
	}
	stats := latencyStats{stallTimeout: minStallTimeout}
	if len(firstTokens) > 0 {
		slices.Sort(firstTokens)
		stats.medianFirstToken = firstTokens[(len(firstTokens)-1)/2]
		stats.stallTimeout = min(maxStallTimeout, max(minStallTimeout, stallFactor*stats.medianFirstToken))
	}
	return stats
}
