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
	// slowFactor is how many times the median time to the first token marks an endpoint as slow.
	slowFactor = 3
	// probeInterval is how often a slow endpoint is given one request, to see whether it still is.
	probeInterval = 10 * time.Second
	// stallFactor is how many times the median time to the first token without any marks an endpoint as stalled.
	stallFactor = 6
	// lendShare is the part of an endpoint's limit up to which any entry host may use it.
	lendShare = 0.75
	minStall  = time.Second
	maxStall  = 10 * time.Second
	// forget is the age of a report after which an endpoint without requests is forgotten.
	forget = 5 * time.Minute
)

type endpoint struct {
	report messages.Report
	seen   time.Time
	// state is when the full report was made that is known.
	state   int64
	closed  bool
	leaving bool
	// shut is until when the endpoint gets no work since it refused a request.
	shut time.Time
	est  estimator.Estimator
	lim  limiter.Limiter
	brk  breaker.Breaker
}

// put takes a report and returns false if it is older than one that is known.
func (e *endpoint) put(r messages.Report) bool {
	if r.Birth < e.report.Birth || r.Birth == e.report.Birth && r.Time < e.state {
		return false
	}
	if r.Birth > e.report.Birth {
		e.leaving = false
		e.brk.Succeed()
		e.est.Reset()
	}
	late := r.Birth == e.report.Birth && r.Time < e.report.Time
	e.state = r.Time
	if late {
		r.Time, r.Running, r.Slots = e.report.Time, e.report.Running, e.report.Slots
	}
	e.report = r
	e.closed = !r.Open
	e.leaving = e.leaving || r.Leaving
	e.heard()
	return true
}

// load takes a load and returns false if it is older than what is known, or of another birth.
func (e *endpoint) load(l messages.Load) bool {
	if l.Birth != e.report.Birth || l.Time < e.report.Time {
		return false
	}
	e.report.Time, e.report.Running, e.report.Slots = l.Time, l.Running, l.Slots
	e.heard()
	return true
}

func (e *endpoint) heard() {
	e.seen = time.Now()
	e.lim.Resize(e.report.Slots)
	e.est.Report(e.report.Running, time.UnixMilli(e.report.Time))
}

// alive tells whether the endpoint can be expected to take work, now or soon.
func (e *endpoint) alive() bool {
	return !e.closed && !e.leaving && time.Now().After(e.shut) && time.Since(e.seen) < reportcache.Stale(e.report)
}

// gone tells whether nothing is known or owed of the endpoint any more.
func (e *endpoint) gone() bool {
	return e.est.Own() == 0 && time.Since(e.seen) > forget
}

func (e *endpoint) stalled(limit time.Duration) bool {
	return e.est.Idle() > limit
}

// pool is what the endpoints of one weight set have in common at one moment.
type pool struct {
	median time.Duration
	stall  time.Duration
}

// slow tells whether the time to the first token is long, and much longer than at the others.
func (e *endpoint) slow(p pool) bool {
	first := e.est.FirstToken()
	return first > FirstTokenTarget && first > slowFactor*p.median
}

func (e *endpoint) candidate(p pool, limit, part int, running float64) router.Candidate {
	load := (running + 1) / float64(limit)
	first := e.est.FirstToken()
	if first == 0 {
		first = p.median
	}
	// Room beyond the own part is lent as long as it is clear that there is some.
	lent := running+1 <= lendShare*float64(limit)
	room := e.est.Own() < part || lent
	if e.slow(p) {
		room = e.est.Own() == 0 && time.Since(e.est.LastStart()) > probeInterval
	}
	return router.Candidate{
		Host: e.report.Host, Zone: e.report.Zone, Address: e.report.Data, Set: e.report.Set,
		Free: room && e.brk.Allows(e.est.Own()) && !e.stalled(p.stall),
		Load: load,
		Wait: time.Duration(float64(max(first, time.Millisecond)) * max(load, 1/float64(limit))),
	}
}

// measure returns the median time to the first token of the endpoints that have shown any.
func measure(es []*endpoint, set ident.WeightSet) pool {
	var all []time.Duration
	for _, e := range es {
		if first := e.est.FirstToken(); first > 0 && e.report.Set == set {
			all = append(all, first)
		}
	}
	p := pool{stall: minStall}
	if len(all) > 0 {
		slices.Sort(all)
		p.median = all[(len(all)-1)/2]
		p.stall = min(maxStall, max(minStall, stallFactor*p.median))
	}
	return p
}
