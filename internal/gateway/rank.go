package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/capacityforecaster"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/requestholder"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// latePriority is sent with a request whose objective has passed, so that engines admit it after all others. It is the
	// least urgent priority that engines know.
	latePriority = 9
	// poolLogInterval is the time between two log lines of the same kind about refusals in a pool.
	poolLogInterval = 10 * time.Second
)

// endpointPriority returns the priority with which an attempt is sent.
func endpointPriority(req *request, choice *assigner.Assignment) int {
	if choice.IsLate {
		return latePriority
	}
	return int(req.rank)
}

// recordArrival counts a request.
func (g *Gateway) recordArrival(req *request) {
	g.Assigner.RecordArrival(req.pool, req.rank, req.earlierTime >= req.route.Objective)
}

// poolLog limits the log lines about refusals in each pool.
type poolLog struct {
	mu       sync.Mutex
	loggedAt map[ident.Pool]time.Time
}

// isDue reports whether a line about a pool may be logged now, and counts it as logged.
func (l *poolLog) isDue(p ident.Pool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt[p]) < poolLogInterval {
		return false
	}
	if l.loggedAt == nil {
		l.loggedAt = make(map[ident.Pool]time.Time)
	}
	l.loggedAt[p] = now
	return true
}

// recordAssigned counts an attempt that was assigned to an endpoint.
func (g *Gateway) recordAssigned(req *request, choice *assigner.Assignment) {
	g.Meter.CountAssigned(req.rank, choice.IsLate)
	g.forecasters.of(req.pool).Record(req.rank, choice.IsLate, true)
}

// recordOverload counts a refusal for overload, and sets when its caller should retry. It logs that slots are kept free for
// more urgent requests.
func (g *Gateway) recordOverload(req *request, state *requestState, query assigner.Query, reserved int) {
	isLate := query.TimeLeft <= 0
	g.Meter.CountOverload(req.rank, isLate, reserved > 0)
	if reserved > 0 && !isLate && g.reservations.isDue(req.pool) {
		event.SlotsReserved.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"pool": string(req.pool), "rank": int(req.rank), "slots": reserved})
	}
	if !isLate && g.Assigner.IsAboveShare(query) {
		g.Meter.CountAboveShare(req.rank)
		if g.shareLines.isDue(req.pool) {
			event.OrganisationAboveShare.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"pool": string(req.pool), "organisation": string(req.org.Name)})
		}
	}
	f := g.forecasters.of(req.pool)
	f.Record(req.rank, isLate, false)
	if query.Model == "" {
		return // the forecast is based on engines
	}
	longest := g.RetryAfter(req.Remaining - time.Since(req.arrivedAt))
	state.resumeIn = f.RetryAfter(capacityforecaster.Refused{
		Rank: req.rank, TimeLeft: query.TimeLeft, ServiceTime: g.Assigner.ServiceTime(query), Longest: longest,
	})
	state.noRetry = state.resumeIn == 0
	if state.noRetry {
		g.Meter.CountUnpromising()
	}
}

// hold delays the last round of an attempt that would be refused for overload, by an eighth of the objective at most. The
// most urgent request is let go first when a request of this host ends, and those whose objective has passed last.
func (g *Gateway) hold(ctx context.Context, req *request, query *assigner.Query) {
	rank := req.rank
	if query.TimeLeft <= 0 {
		rank = fleetconfig.MaxRanks
	}
	heldAt := time.Now()
	left := requestholder.Limit(req.route.Objective) - req.heldFor
	if !g.holder.Hold(ctx, rank, left) {
		return
	}
	took := time.Since(heldAt)
	req.heldFor += took
	query.TimeLeft -= took
	g.Meter.ObserveHeld(took)
}

// forecasters holds the forecaster of each pool.
type forecasters struct {
	mu     sync.Mutex
	byPool map[ident.Pool]*capacityforecaster.Forecaster
}

func (f *forecasters) of(p ident.Pool) *capacityforecaster.Forecaster {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byPool == nil {
		f.byPool = make(map[ident.Pool]*capacityforecaster.Forecaster)
	}
	if f.byPool[p] == nil {
		f.byPool[p] = &capacityforecaster.Forecaster{Random: rand.Float64}
	}
	return f.byPool[p]
}
