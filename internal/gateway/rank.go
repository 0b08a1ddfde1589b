package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// latePriority is sent with a request whose objective has passed, so that engines admit it after all others. It is the
	// least urgent priority that engines know.
	latePriority = 9
	// reservationLogInterval is the time between two log lines about the reservation of slots in a pool.
	reservationLogInterval = 10 * time.Second
)

// endpointPriority returns the priority with which an attempt is sent.
func endpointPriority(req *request, choice *assigner.Assignment) int {
	if choice.IsLate {
		return latePriority
	}
	return int(req.rank)
}

// recordArrival counts a request that can still be served in time.
func (g *Gateway) recordArrival(req *request) {
	if req.earlierTime < req.route.Objective {
		g.Assigner.RecordArrival(req.pool, req.rank)
	}
}

// reservationLog limits the log lines about the reservation of slots.
type reservationLog struct {
	mu       sync.Mutex
	loggedAt map[ident.Pool]time.Time
}

// isDue reports whether a line about a pool may be logged now, and counts it as logged.
func (l *reservationLog) isDue(p ident.Pool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.loggedAt[p]) < reservationLogInterval {
		return false
	}
	if l.loggedAt == nil {
		l.loggedAt = make(map[ident.Pool]time.Time)
	}
	l.loggedAt[p] = now
	return true
}

// recordOverload counts a refusal for overload, and logs that slots are kept free for more urgent requests.
func (g *Gateway) recordOverload(req *request, isLate bool, reserved int) {
	g.Meter.CountOverload(req.rank, isLate, reserved > 0)
	if reserved > 0 && !isLate && g.reservations.isDue(req.pool) {
		event.SlotsReserved.Log(g.Logger.WithFields(g.logFields(req)), log.Fields{"pool": string(req.pool), "rank": int(req.rank), "slots": reserved})
	}
}
