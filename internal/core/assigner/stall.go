package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/stalldetector"
)

const (
	// eventAllowance is the time in which a stream that has begun gets its next event. An engine that reads the prompts of
	// several requests in one pass takes longer.
	eventAllowance = stalldetector.QuestionSilence
	// maxStallWait is the longest time between two checks for endpoints that stand still, and minStallWait the shortest.
	maxStallWait = stalldetector.QuestionSilence
	minStallWait = stalldetector.QuestionInterval
	// maxStallDelay is how much later than planned a check may be. After a longer time, this host itself has stood still.
	maxStallDelay = 75 * time.Millisecond
)

// StalledRequest is a request in flight at an endpoint that stands still.
type StalledRequest struct {
	Assignment *Assignment
	// LastEventAt is when its last event arrived; the zero time if there was none.
	LastEventAt time.Time
	// FirstEvent is the predicted time to the first event at another endpoint of the pool that nothing is ahead at. NextEvent and
	// Completion are the least times to the next event and to the end of the response. All are zero at a plain service.
	FirstEvent, NextEvent, Completion time.Duration
}

// StallChange says that an endpoint stands still, or that it no longer does.
type StallChange struct {
	Endpoint fleetconfig.Endpoint
	IsStill  bool
	// Silence is for how long the endpoint has sent nothing to this host.
	Silence time.Duration
	// Requests is the number of requests of this host that are in flight there.
	Requests int
}

// StallCheck is the result of one check for endpoints that stand still.
type StallCheck struct {
	// Questions lists the endpoints whose hosts should be asked now whether they run.
	Questions []fleetconfig.Endpoint
	// GateQuestions lists the engines whose gate state should be asked for now.
	GateQuestions []fleetconfig.Endpoint
	Requests      []StalledRequest
	Changes       []StallChange
	// Wait is the time until the next check.
	Wait time.Duration
}

// CheckStalls finds the endpoints that stand still, among those that have a request of this host and those that stood still
// before. They get no further requests until they send something or, if their hosts have stood still, until these reply. An
// endpoint whose entry is gone is checked for as long as it has requests.
func (a *Assigner) CheckStalls() StallCheck {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	check := StallCheck{Wait: maxStallWait}
	hasStoodStill := !a.nextStallCheck.IsZero() && now.Sub(a.nextStallCheck) > maxStallDelay
	for _, s := range a.endpoints {
		a.checkStall(s, now, hasStoodStill, &check)
	}
	for s := range a.departed {
		if len(s.inFlight) == 0 {
			delete(a.departed, s)
			continue
		}
		a.checkStall(s, now, hasStoodStill, &check)
	}
	a.nextStallCheck = now.Add(check.Wait)
	return check
}

func (a *Assigner) checkStall(s *endpointState, now time.Time, hasStoodStill bool, check *StallCheck) {
	if hasStoodStill {
		s.stall.Forget(now)
	}
	if s.isHeld(now) {
		if now.Sub(s.gateAskedAt) >= gateAskInterval {
			s.gateAskedAt = now
			check.GateQuestions = append(check.GateQuestions, s.Endpoint)
		}
		check.Wait = min(check.Wait, gateAskInterval)
	}
	if len(s.inFlight) == 0 && !s.stall.IsStill() && !s.isReportedStill && !s.stall.IsDoubtful(now) {
		return
	}
	waitingSince, owedSince := s.expectations()
	pool := a.pools[s.Pool]
	if pool != nil && pool.Engine != nil && s.stall.NeedsQuestion(now, waitingSince) {
		s.stall.RecordQuestion(now)
		check.Questions = append(check.Questions, s.Endpoint)
	}
	isStill := s.stall.Check(now, owedSince, s.isClosed(now))
	if isStill != s.isReportedStill {
		s.isReportedStill = isStill
		check.Changes = append(check.Changes, StallChange{Endpoint: s.Endpoint, IsStill: isStill, Silence: s.stall.Silence(now), Requests: len(s.inFlight)})
	}
	check.Wait = min(check.Wait, max(minStallWait, s.stall.NextCheck(now, waitingSince)))
	if !isStill {
		return
	}
	for c := range s.inFlight {
		r := StalledRequest{Assignment: c, LastEventAt: c.lastEventAt}
		if pool != nil && pool.Engine != nil {
			r.setTimes(pool.Engine)
		}
		check.Requests = append(check.Requests, r)
	}
}

// expectations returns when the first of the requests in flight was sent, and by when the next of the responses should have
// arrived; the zero time if none is in flight.
func (s *endpointState) expectations() (waitingSince, owedSince time.Time) {
	for c := range s.inFlight {
		owed := c.sentAt.Add(c.PredictedFirstEvent)
		if c.hasFirstEvent {
			owed = c.lastEventAt.Add(eventAllowance)
		}
		if waitingSince.IsZero() || c.sentAt.Before(waitingSince) {
			waitingSince = c.sentAt
		}
		if owedSince.IsZero() || owed.Before(owedSince) {
			owedSince = owed
		}
	}
	return waitingSince, owedSince
}

// setTimes sets the times that engines need.
func (r *StalledRequest) setTimes(e *fleetconfig.EngineProfile) {
	c := r.Assignment
	r.FirstEvent = processingTime(e, e.Slots, float64(c.promptTokens)) + objectiveMargin
	r.NextEvent = time.Duration(e.StepsPerPass) * stepTime(e, 1)
	r.Completion = r.NextEvent
	if !c.hasFirstEvent {
		r.NextEvent += prefillTime(e, float64(c.promptTokens))
		r.Completion = r.NextEvent + time.Duration(max(0, c.responseTokens-float64(e.StepsPerPass))*float64(stepTime(e, 1)))
	}
}

// departedStall returns what is known of the incarnation of an endpoint whose entry was gone and is back. The caller must hold
// a.mu.
func (a *Assigner) departedStall(e fleetconfig.Endpoint) stalldetector.Detector {
	for s := range a.departed {
		if s.Incarnation() == e.Incarnation() && s.Address == e.Address {
			return s.stall
		}
	}
	return stalldetector.Detector{}
}

// RecordQuestion records that the process beside an endpoint has been queried. Only the one beside an engine runs on the same
// host.
func (a *Assigner) RecordQuestion(e fleetconfig.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.incarnation(e); s != nil && a.pools[s.Pool] != nil && a.pools[s.Pool].Engine != nil {
		s.stall.RecordQuestion(time.Now())
	}
}

// RecordReply records that the process beside an endpoint has replied.
func (a *Assigner) RecordReply(e fleetconfig.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	if s := a.incarnation(e); s != nil {
		s.stall.RecordReply(now)
	}
	for s := range a.departed {
		if s.Incarnation() == e.Incarnation() {
			s.stall.RecordReply(now)
		}
	}
}

// RecordHealth records that an endpoint has responded to a health check.
func (a *Assigner) RecordHealth(p Probe) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.endpoints[p.ID]; s != nil && s.Address == p.Address {
		s.stall.RecordHeard(time.Now())
	}
}

// StalledEndpoints returns the number of endpoints that stand still.
func (a *Assigner) StalledEndpoints() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, s := range a.endpoints {
		if s.stall.IsStill() {
			n++
		}
	}
	return n
}
