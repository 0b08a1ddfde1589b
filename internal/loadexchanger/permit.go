package loadexchanger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// unansweredWait is how long no permit is asked for after a request for one that was not answered.
const unansweredWait = 200 * time.Millisecond

// TakePermit takes a permit for one request to an endpoint that limits its requests, from the endpoint's responder. If
// there is none, it returns the time until there may be one. While the responder does not answer there is none: other
// hosts may be sending all that the limit allows.
func (x *Exchanger) TakePermit(ctx context.Context, e fleetconfig.Endpoint) (ok bool, wait time.Duration) {
	to := x.Responder(e)
	if !to.IsValid() {
		return false, unansweredWait
	}
	granted := make(chan grant, 1)
	q := &query{endpoint: e, responder: to, granted: granted}
	id := rand.Uint64() | 1 // zero means no query
	x.mu.Lock()
	isSilent := time.Now().Before(x.silentUntil[to])
	if !isSilent {
		x.queries[id] = q
	}
	x.mu.Unlock()
	if isSilent {
		return false, unansweredWait
	}
	x.send(message{Host: x.Host, Permit: &permitRequest{Endpoint: e.ID, StartTime: e.StartTime, Query: id}, Limit: x.limitOf(e), Cold: x.coldClaimOf(e)}, to)
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	select {
	case g := <-granted:
		return g.OK, g.Wait
	case <-ctx.Done():
	case <-timer.C:
	}
	// A grant that arrives later is not used.
	x.mu.Lock()
	delete(x.queries, id)
	x.mu.Unlock()
	return false, unansweredWait
}

func (x *Exchanger) handleGrant(g grant, limit *limitStatement, cold *coldStatement) {
	q := x.endQuery(g.Query)
	if q == nil || q.granted == nil {
		return
	}
	x.notifyLimit(q.endpoint, limit)
	x.notifyCold(q.endpoint, cold)
	q.granted <- g
}

// limitOf returns what this host knows of the limit of an endpoint, or nil if it knows nothing.
func (x *Exchanger) limitOf(e fleetconfig.Endpoint) *limitStatement {
	if x.Limit == nil {
		return nil
	}
	return newLimitStatement(x.Limit(e))
}

func (x *Exchanger) notifyLimit(e fleetconfig.Endpoint, limit *limitStatement) {
	if x.OnLimit != nil && limit != nil {
		x.OnLimit(e, limit.rateLimit())
	}
}
