package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

const (
	// objectiveMargin is the part of the objective reserved for the network and the passes of the engine.
	objectiveMargin = 40 * time.Millisecond
	// waitSafetyFactor multiplies the predicted wait for other requests before it is compared with the objective,
	// because the wait is less certain than the request's own prefill time. In replays of overload, fewer requests
	// start in time with a factor below 1.5 or above 3.
	waitSafetyFactor = 2.0
	// urgentWaitSafetyFactor replaces waitSafetyFactor while less urgent requests arrive: those come after the request in
	// the queue of the engine. In replays of two overloads, a factor of 1.2 let up to 2% of the accepted requests start
	// late, and factors of 1.5 and above needed larger reservations for the same share in time.
	urgentWaitSafetyFactor = 1.3
	// lateSlotShare is the share of the slots up to which an engine receives requests whose objective has already
	// passed.
	lateSlotShare = 0.9
	// maxLateWait is the longest predicted wait at an engine that receives a request whose objective has already
	// passed. It admits about one request from each entry host of a zone until the hosts have received each other's
	// loads.
	maxLateWait = 120 * time.Millisecond
	// maxLateWaiting is the number of requests whose objective has passed and that have had no first event, up to which an
	// engine receives another one.
	maxLateWaiting = 1
	// lateReservationDivisor divides the slots that requests in time need to get those that late ones leave free. In replays
	// of sustained overload, engines were idle more often without it, and 3 let more requests start late.
	lateReservationDivisor = 2
	// aboveShareDivisor divides the mean number of slots that the next rank leaves free to get that for an organisation above
	// its share. In replays of sustained overload, one slot and more at all engines left these idle, and 0.01 fewer of all
	// requests were served.
	aboveShareDivisor = 6.0
	// maxUrgentShare bounds the share of an engine that is taken to be used by more urgent requests that arrive while a
	// request waits, so that its wait is predicted to be at most four times as long.
	maxUrgentShare = 0.75
)

func slotCount(pool *fleetconfig.Pool, s *endpointState) int {
	if pool != nil && pool.Engine != nil && pool.Engine.Slots > 0 {
		return pool.Engine.Slots
	}
	return max(1, s.Slots)
}

func prefillTime(e *fleetconfig.EngineProfile, tokens float64) time.Duration {
	if e.PrefillRate <= 0 {
		return 0
	}
	return time.Duration(tokens / e.PrefillRate * float64(time.Second))
}

// stepTime returns the duration of one step with n requests in the batch.
func stepTime(e *fleetconfig.EngineProfile, n int) time.Duration {
	const perThousand = 1000
	context := (e.PromptTokens + e.ResponseTokens/2) / perThousand * float64(e.StepTimePerThousandTokens)
	return e.StepTime + time.Duration(float64(n)*(float64(e.StepTimePerRequest)+context))
}

// slotReleaseTime returns the mean time until one of n requests in a full batch completes, given the load.
func slotReleaseTime(e *fleetconfig.EngineProfile, n int, load Load) time.Duration {
	return prefillTime(e, e.PromptTokens) + time.Duration(meanRemainingTokens(e, load)/float64(max(1, n))*float64(stepTime(e, n)))
}

// queueAhead is what must happen at an engine before a request is admitted there.
type queueAhead struct {
	// promptTokens is the number of prompt tokens that are processed before, and releases the number of slots that must be
	// released.
	promptTokens float64
	releases     int
	// urgentShare is the share of the slots that more urgent requests use. More of them are expected to arrive meanwhile.
	urgentShare float64
}

// aheadOf returns what is ahead of a new request of a class at an engine, which admits the waiting requests by class. The
// requests that have had a first event hold slots; how many of the waiting ones have been admitted is not reported, but
// they fill the slots that are left.
func aheadOf(l Load, c Class, slots int) queueAhead {
	var waiting, waitingAhead, urgent, tokensAhead int
	for i, class := range l.Classes {
		waiting += class.Waiting
		if Class(i) <= c {
			waitingAhead += class.Waiting
			tokensAhead += class.PendingPromptTokens
		}
		if Class(i) < c {
			urgent += class.Requests
		}
	}
	free := max(0, slots-(l.Requests-waiting))
	if waiting < free {
		return queueAhead{promptTokens: float64(l.PendingPromptTokens)}
	}
	out := queueAhead{
		releases:    max(0, waitingAhead-free) + 1,
		urgentShare: min(maxUrgentShare, float64(urgent)/float64(slots)),
	}
	admitted := 1.0
	if waiting > 0 {
		admitted = float64(free) / float64(waiting)
	}
	out.promptTokens = float64(tokensAhead) + admitted*float64(l.PendingPromptTokens-tokensAhead)
	return out
}

// wait returns the predicted time for which other requests hold up a request, at a slowdown of one.
func (q queueAhead) wait(e *fleetconfig.EngineProfile, slots int, load Load) time.Duration {
	releases := float64(q.releases) / (1 - q.urgentShare)
	return prefillTime(e, q.promptTokens) + time.Duration(releases*float64(slotReleaseTime(e, slots, load)))
}

// predict returns the predicted time to the first event, and whether the request may be assigned to the endpoint.
func (a *Assigner) predict(pool *fleetconfig.Pool, s *endpointState, load Load, q Query, now time.Time) (time.Duration, bool) {
	slots := slotCount(pool, s)
	if pool == nil || pool.Engine == nil {
		serviceTime := a.serviceTimes[s.Pool]
		if serviceTime == 0 {
			serviceTime = defaultServiceTime
		}
		serviceTime = time.Duration(float64(serviceTime) * a.currentSlowdown(s, now))
		wait := serviceTime * time.Duration(max(0, load.Requests+1-slots)) / time.Duration(slots)
		// Each request in flight adds a little to the wait, so that equal endpoints receive equal shares.
		wait += serviceTime * time.Duration(load.Requests) / time.Duration(4*slots)
		return max(wait+serviceTime, s.overdueWait(now)), load.Requests < slots*(1+plainQueueFactor)
	}
	e := pool.Engine
	slowdown := a.currentSlowdown(s, now)
	processing := time.Duration(slowdown * float64(processingTime(e, min(slots, load.Requests+1), q.PromptTokens)))
	wait := aheadOf(load, q.class(), slots).wait(e, slots, load)
	wait = max(time.Duration(slowdown*float64(wait)), s.overdueWait(now)-processing)
	predicted := processing + wait
	if q.TimeLeft <= 0 {
		return predicted, wait <= maxLateWait && a.admitsLate(s, load, slots)
	}
	factor := waitSafetyFactor
	if a.reserver(q.Pool).HasLessUrgent(q.Rank) {
		factor = urgentWaitSafetyFactor
	}
	if processing+time.Duration(factor*float64(wait)) > q.TimeLeft-objectiveMargin {
		return predicted, false
	}
	reserved := a.reservedSlots(q.class(), s)
	if a.isAboveShare(q, now) {
		// The request comes after the others of its rank, but not after those of the next one.
		reserved = max(reserved, int(a.reserver(q.Pool).Mean(q.Rank+1)/aboveShareDivisor+s.reservationShift))
	}
	return predicted, reserved == 0 || load.Requests-load.Classes[lateClass].Requests+1 <= slots-reserved
}

// admitsLate reports whether an engine may receive a request whose objective has passed: it must leave slots free for
// requests that are still in time.
func (a *Assigner) admitsLate(s *endpointState, load Load, slots int) bool {
	if float64(load.Requests) >= lateSlotShare*float64(slots) || load.Classes[lateClass].Waiting > maxLateWaiting {
		return false
	}
	return load.Requests+1 <= slots-a.reservedSlots(lateClass, s)/lateReservationDivisor
}

// ServiceTime returns the predicted time to the first event of a request at an engine of its pool that nothing is ahead at;
// zero for a plain service.
func (a *Assigner) ServiceTime(q Query) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	pool := a.pools[q.Pool]
	if pool == nil || pool.Engine == nil {
		return 0
	}
	return processingTime(pool.Engine, pool.Engine.Slots, q.PromptTokens) + objectiveMargin
}

// processingTime returns the predicted time to the first event of a request that is admitted at once to a batch of n, at a
// slowdown of one: it waits for half a pass on average, and then for its own.
func processingTime(e *fleetconfig.EngineProfile, n int, promptTokens float64) time.Duration {
	passTime := time.Duration(e.StepsPerPass) * stepTime(e, n)
	return passTime/2 + prefillTime(e, promptTokens) + passTime
}
