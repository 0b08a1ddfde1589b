// Package assigner chooses an endpoint for each request, and refuses requests that no endpoint can serve in time.
//
// It is built for sustained overload seen by many entry hosts at the same time. A model engine processes prompts one
// after the other, so the time to the first event of a request depends on the prompt tokens that are still pending at
// the engine. Each entry host knows the pending tokens of its own requests exactly, and those of the other hosts as of
// their last message. A request is assigned to the endpoint with the earliest predicted first event, and only if the
// prediction is within the rest of its objective. This keeps the queues at the engines short, and a request that cannot
// be served in time is refused immediately. A request whose objective has already passed uses capacity that is left
// over.
package assigner

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/boundedmap"
	"github.com/nutmegdock/nutmegdock/internal/core/breaker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outlierejector"
	"github.com/nutmegdock/nutmegdock/internal/core/slotreserver"
	"github.com/nutmegdock/nutmegdock/internal/core/stalldetector"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
)

const (
	// reportTTL is how long the reported load of the other entry hosts at an endpoint is used. After that, the mean of
	// recent reports of its pool is used.
	reportTTL = time.Second
	// reportSmoothing is the weight of one report in that mean.
	reportSmoothing = 0.05
	// candidatesPerRound is the number of endpoints whose load is queried at a time. More of them find a fast endpoint
	// among slow ones more often, at two messages each.
	candidatesPerRound = 3
	// defaultServiceTime is the assumed duration of a request at a plain service until one has been observed.
	defaultServiceTime = 30 * time.Millisecond
	// maxCostJitter is the largest random part of a cost. It keeps hosts from all choosing the same one of two equal
	// endpoints.
	maxCostJitter = 10 * time.Millisecond
	// plainQueueFactor is the number of requests that may wait at a plain service, as a multiple of its slots.
	plainQueueFactor = 2
	// slowdownWeight is the weight of one observation in the slowdown of an endpoint. slowdownDecayTime is the time
	// after which the slowdown has halved its distance from one if there is no new observation.
	slowdownWeight    = 0.25
	slowdownDecayTime = 3 * time.Second
	minSlowdown       = 0.8
	// slowdownMeanWeight is the weight of one observation in the mean slowdown of a pool, and maxMeanSlowdown the largest
	// value that counts there.
	slowdownMeanWeight = 0.02
	maxMeanSlowdown    = 2
	maxSlowdown        = 20
	// gateStateTTL is how long a closed engine counts as closed without a new message.
	gateStateTTL = time.Second
	// gateAskInterval is the time between two questions for the gate state of an engine that is out of use since its last
	// closed gate state named the release that it holds.
	gateAskInterval = 250 * time.Millisecond
	// overdueGrace is how much later than predicted a first event may be before the endpoint counts as stalled.
	overdueGrace = 250 * time.Millisecond
)

// Query describes a request to assign.
type Query struct {
	Pool ident.Pool
	// Model and Release are what the endpoint must serve: Release or a newer one. An empty model means a plain service.
	Model   fleetconfig.Model
	Release fleetconfig.Release
	// ExactRelease requires exactly Release, not a newer one.
	ExactRelease bool
	// BeginDeadline returns the time by which a request must be expected to begin on a release, or the zero time. Nil means
	// that there is none.
	BeginDeadline func(m fleetconfig.Model, r fleetconfig.Release) time.Time
	// PromptTokens is the number of prompt tokens.
	PromptTokens float64
	// Rank is the priority class of the request; 0 is the most urgent.
	Rank ident.Rank
	// ResponseTokens is the expected number of response tokens; zero if the caller states none.
	ResponseTokens float64
	// Organisation identifies the organisation that shares the capacity with others of the rank; zero means none.
	Organisation ident.OrganisationKey
	// TimeLeft is the rest of the objective; zero or less means that the objective has already passed.
	TimeLeft time.Duration
	// MayUse reports whether the request may run in a zone; nil means that it may run in all.
	MayUse func(z ident.Zone) bool
	// IsRepeatable says that another endpoint may run the request if one fails.
	IsRepeatable bool
	// AvoidsSuspects excludes endpoints whose last requests have failed, and those whose hosts do not reply.
	AvoidsSuspects bool
	// HasFailed says that the request has failed at another endpoint, so that another failure may be its own.
	HasFailed bool
	// Excluded holds the ids of endpoints that must not be chosen again.
	Excluded map[string]bool
	// Among holds the ids of the endpoints to choose from; nil means all.
	Among map[string]bool
	// ConfirmedAfter restricts the choice to endpoints that are known to have had their id after this time, because they
	// were listed or have responded since; the zero time allows all.
	ConfirmedAfter time.Time
}

// Assignment is the endpoint assigned to a request, with the figures behind the decision.
type Assignment struct {
	Endpoint fleetconfig.Endpoint
	// Load is the estimated load of all entry hosts at the endpoint, without this request.
	Load Load
	// PredictedFirstEvent is the predicted time to the first event.
	PredictedFirstEvent time.Duration
	// Release is the release of the weights at the endpoint; zero at a plain service.
	Release fleetconfig.Release
	// IsLate says that the objective of the request had passed.
	IsLate bool
	// PermitAskedAt is when the permit for the request was asked for; zero if it has none.
	PermitAskedAt time.Time

	// state is that of the endpoint, which may have no entry any more.
	state     *endpointState
	hasFailed bool
	// responseTokens is the expected number of response tokens, and firstEventAt when the first event arrived.
	responseTokens float64
	firstEventAt   time.Time
	lastEventAt    time.Time
	promptTokens   int
	class          Class
	sentAt         time.Time
	hasFirstEvent  bool
	// nominalFirstEvent is the predicted time to the first event at a slowdown of one.
	nominalFirstEvent time.Duration
}

// Refusal is the reason why no endpoint was chosen.
type Refusal string

// Reasons of a refusal.
const (
	// NoEndpoint means that no reachable endpoint serves what the query requires.
	NoEndpoint Refusal = "no-endpoint"
	// Overload means that no endpoint could serve the request in time.
	Overload Refusal = "overload"
	// Restricted means that the zones of all endpoints that serve the query must not be used for the request.
	Restricted Refusal = "restricted"
	// Paused means that all endpoints that serve the query have asked this host for a pause.
	Paused Refusal = "paused"
	// Limited means that the endpoints that serve the query limit the requests that they take, and that all hosts together
	// have sent as many. Some of them may have asked for a pause.
	Limited Refusal = "limited"
	// Stalled means that the reachable endpoints that serve the query stand still.
	Stalled Refusal = "stalled"
	// Suspect means that only endpoints whose last requests have failed, or whose hosts do not reply, could serve the request
	// in time, and that the query avoids them.
	Suspect Refusal = "suspect-endpoint"
)

// GateState says whether an engine accepts requests and what it serves, as reported by the host beside it. It arrives
// earlier than the update of the engine's own entry.
type GateState struct {
	// Address, together with the start time, identifies the incarnation of the engine.
	Address   string `cbor:"address" json:"-"`
	StartTime int64  `cbor:"born" json:"born"`
	// Closed says that the engine accepts no requests until it has loaded other weights.
	Closed bool `cbor:"closed,omitempty" json:"closed,omitempty"`
	// Model and Release are what the engine serves, or what it has been commanded to load if Closed is set.
	Model   fleetconfig.Model   `cbor:"model,omitempty" json:"model,omitempty"`
	Release fleetconfig.Release `cbor:"release,omitempty" json:"release,omitempty"`
	// OpenWrites says that writes to the staging area have had no answer, so that they may be carried out later.
	OpenWrites bool `cbor:"writes,omitempty" json:"writes,omitempty"`
}

type endpointState struct {
	fleetconfig.Endpoint
	localLoad          Load
	breaker            breaker.Breaker
	awaitingFirstEvent map[*Assignment]bool
	inFlight           map[*Assignment]bool
	// down says that the endpoint is out of use because it is known or assumed to be unreachable. lastActive is when it
	// last responded.
	down       bool
	lastActive time.Time
	// stall decides whether the endpoint stands still, and isReportedStill is what was last reported of it.
	stall           stalldetector.Detector
	isReportedStill bool
	// confirmedAt is when the endpoint was first listed or last responded to a request, which shows that it has its id.
	confirmedAt time.Time
	// addressReused says that another endpoint responds at its address, so that this one is gone even if its entry
	// still exists.
	addressReused bool
	gateState     GateState
	gateStateAt   time.Time
	// gateAskedAt is when the host beside the engine was last asked for it.
	gateAskedAt time.Time
	// otherIncarnationAt is when the host beside the engine last reported another incarnation at the same address.
	otherIncarnationAt time.Time
	// othersLoad is the load of the other entry hosts, as last reported at reportedAt.
	othersLoad Load
	reportedAt time.Time
	slowdown   float64
	slowdownAt time.Time
	outcomes   outlierejector.Member
	// reservationShift decides whether a fractional number of reserved slots is rounded up at this endpoint.
	reservationShift float64
	pace             statedPace
	// estimated is the number of requests in flight whose response tokens are estimated.
	estimated int
	// started holds the requesters whose requests were sent since the last report.
	started []Requester
	// wasCold says that the slowdown was observed while the endpoint was cold.
	wasCold bool
}

// Assigner assigns requests to the known endpoints. Set its fields before use.
type Assigner struct {
	// Zone is the zone of this host.
	Zone ident.Zone
	// Random returns a random number in [0, 1); nil means the default source.
	Random func() float64
	// OnLoadChange is called when the load of this host at an endpoint changes; it may be nil. It must not call the
	// assigner.
	OnLoadChange func(e fleetconfig.Endpoint, load Load)
	// OnSuspect is called for each request in flight at an endpoint that cannot be reached and is silent. Nil means that nobody
	// is told. It must not call the assigner.
	OnSuspect func(c *Assignment)
	// OnEjection is called when an endpoint that fails far more often than the others of its pool is ejected, and when it is
	// readmitted. Nil means that none is ejected. It must not call the assigner.
	OnEjection func(e Ejection)
	// Balancer decides on the use of other zones. Nil means that their endpoints are queried once those of the own zone
	// cannot serve a request, and chosen at a fixed margin.
	Balancer *zonebalancer.Balancer
	// IsCold reports whether an endpoint is cold; nil means that none is. It must not call the assigner.
	IsCold func(e fleetconfig.Endpoint) bool

	mu          sync.Mutex
	endpoints   map[string]*endpointState
	byAddress   map[string][]*endpointState
	holdoffs    boundedmap.Map[fleetconfig.Incarnation, holdoff]
	pools       map[ident.Pool]*fleetconfig.Pool
	members     map[ident.Pool]*poolMembers
	reportMeans map[ident.Pool]*reportMean
	// slowdownMeans holds the mean slowdown of the endpoints of each pool.
	slowdownMeans map[ident.Pool]*float64
	serviceTimes  map[ident.Pool]time.Duration
	ejectors      map[ident.Pool]*outlierejector.Ejector
	// reservers holds the reservation of slots in each pool.
	reservers map[ident.Pool]*slotreserver.Reserver
	// pacedPools holds the pools whose engines state their pace.
	pacedPools map[ident.Pool]bool
	shares     shares
	// coldSlowdownMeans holds that of its cold endpoints, for pools where one was observed.
	coldSlowdownMeans map[ident.Pool]*float64
	// departed holds endpoints that are no longer listed and have requests in flight.
	departed map[*endpointState]bool
	// nextStallCheck is when the next check for endpoints that stand still is planned.
	nextStallCheck time.Time
	// cutOffChecks holds when each zone was last checked for being cut off.
	cutOffChecks map[ident.Zone]time.Time
}

// SetPools replaces the configured pools.
func (a *Assigner) SetPools(pools map[ident.Pool]*fleetconfig.Pool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pools = pools
}

// SetEndpoints replaces the known endpoints. The state of an incarnation that is still listed is kept.
func (a *Assigner) SetEndpoints(all []fleetconfig.Endpoint) {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.endpoints
	a.endpoints = make(map[string]*endpointState, len(all))
	a.byAddress = make(map[string][]*endpointState, len(all))
	for _, e := range all {
		s := old[e.ID]
		if s == nil || s.StartTime != e.StartTime || s.Address != e.Address {
			s = &endpointState{awaitingFirstEvent: make(map[*Assignment]bool), inFlight: make(map[*Assignment]bool), slowdown: 1, lastActive: time.Now(), confirmedAt: time.Now(), reservationShift: reservationShift(e.ID)}
			s.stall = a.departedStall(e)
		}
		s.Endpoint = e
		a.endpoints[e.ID] = s
		a.byAddress[e.Address] = append(a.byAddress[e.Address], s)
	}
	for id, s := range old {
		if a.endpoints[id] != s && len(s.inFlight) > 0 {
			if a.departed == nil {
				a.departed = make(map[*endpointState]bool)
			}
			a.departed[s] = true
		}
	}
	a.setMembers()
	a.setEjectors()
}

// SetGateState records the gate state that the host beside an engine reports.
func (a *Assigner) SetGateState(r GateState) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.byAddress[r.Address] {
		if s.StartTime == r.StartTime {
			s.gateState, s.gateStateAt = r, time.Now()
			continue
		}
		s.otherIncarnationAt = time.Now()
	}
}

// Assign chooses an endpoint and counts the request as in flight there until Release is called. It returns a refusal if
// no endpoint qualifies.
func (a *Assigner) Assign(q Query) (*Assignment, Refusal) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	best, choice, refusal := a.choose(q, now)
	if best == nil {
		return nil, refusal
	}
	choice.nominalFirstEvent = time.Duration(float64(choice.PredictedFirstEvent) / a.currentSlowdown(best, now))
	if a.Balancer != nil {
		a.Balancer.RecordAssigned(best.Zone)
	}
	best.localLoad.add(choice.class, choice.promptTokens)
	if q.TimeLeft > 0 {
		a.reserver(q.Pool).Admit(q.Rank)
		if q.Organisation != 0 && len(best.started) < maxStarted {
			best.started = append(best.started, q.requester())
		}
	}
	best.awaitingFirstEvent[choice] = true
	best.inFlight[choice] = true
	if choice.responseTokens > 0 {
		best.estimated++
	}
	a.notifyChanged(best)
	return choice, ""
}

// choose returns the endpoint for a query, or nil and a refusal. It changes nothing. The caller must hold a.mu.
func (a *Assigner) choose(q Query, now time.Time) (best *endpointState, choice *Assignment, refusal Refusal) {
	pool := a.pools[q.Pool]
	var bestCost time.Duration
	refusal = NoEndpoint
	// Without queries, there are no reports to rely on.
	isStrict := a.Balancer != nil && q.Among != nil && a.hasOwnAvailable(a.eligible(q), q, now)
	for s := range a.eligible(q) {
		release, state := a.availability(s, q, now)
		switch {
		case state == restricted && (refusal == NoEndpoint || refusal == Stalled):
			refusal = Restricted
		case state == stalled && refusal == NoEndpoint:
			refusal = Stalled
		case state == paused && (refusal == NoEndpoint || refusal == Stalled || refusal == Restricted):
			refusal = Paused
		case state == limited && refusal != Overload && refusal != Suspect:
			refusal = Limited
		}
		if state != available {
			continue
		}
		if refusal != Suspect {
			refusal = Overload
		}
		load := a.totalLoad(s, now)
		var predicted, margin time.Duration
		var ok bool
		if s.Zone == a.Zone {
			predicted, ok = a.predict(pool, s, load, q, now)
		} else {
			predicted, margin, ok = a.predictElsewhere(pool, s, load, q, now, isStrict)
		}
		if !ok || !beginsInTime(q, release, now.Add(predicted)) {
			continue
		}
		cost := predicted + margin + time.Duration(a.random()*float64(maxCostJitter))
		if s.isSuspect(now) {
			if q.AvoidsSuspects {
				refusal = Suspect
				continue
			}
			cost += suspectPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = s, cost
			choice = &Assignment{Endpoint: s.Endpoint, state: s, Load: load, PredictedFirstEvent: predicted, Release: release, promptTokens: int(q.PromptTokens), class: q.class(), IsLate: q.TimeLeft <= 0, sentAt: now, hasFailed: q.HasFailed, responseTokens: q.ResponseTokens}
		}
	}
	if best == nil {
		return nil, nil, refusal
	}
	return best, choice, ""
}

// beginsInTime reports whether a request that is expected to begin at a time may be sent to an engine with the release.
func beginsInTime(q Query, r fleetconfig.Release, beginsAt time.Time) bool {
	if q.BeginDeadline == nil || q.Model == "" {
		return true
	}
	deadline := q.BeginDeadline(q.Model, r)
	return deadline.IsZero() || !beginsAt.After(deadline)
}

func (a *Assigner) notifyChanged(s *endpointState) {
	if a.OnLoadChange != nil {
		a.OnLoadChange(s.Endpoint, s.localLoad)
	}
}

// serves reports whether the endpoint serves what the query requires, and the release that it serves.
func (s *endpointState) serves(q Query, pool *fleetconfig.Pool, now time.Time) (fleetconfig.Release, bool) {
	if s.Pool != q.Pool || s.Draining || s.isClosed(now) || now.Sub(s.otherIncarnationAt) < gateStateTTL {
		return 0, false
	}
	if q.Model == "" {
		return 0, true
	}
	release, ok := s.Endpoint.Release(q.Model)
	if pool != nil && pool.Engine != nil && !s.Layers.CoversAll(pool.Engine.Layers) {
		release, ok = 0, false
	}
	if s.isHeld(now) && s.gateState.Model == q.Model {
		return 0, false
	}
	if !s.gateState.Closed && s.gateState.Model == q.Model {
		// The engine's entry may be older than the reported gate state.
		release, ok = max(release, s.gateState.Release), true
	}
	return release, ok && (release == q.Release || !q.ExactRelease && release > q.Release)
}

// isClosed reports whether the host beside the engine has stated a moment ago that it accepts no requests.
func (s *endpointState) isClosed(now time.Time) bool {
	return s.gateState.Closed && now.Sub(s.gateStateAt) < gateStateTTL
}

// isHeld reports whether the engine holds a release that the host beside it closed the gate for, and that host has been silent
// since: its layers are not proven, whatever the entry of the engine says.
func (s *endpointState) isHeld(now time.Time) bool {
	if !s.gateState.Closed || s.gateState.Release == 0 || s.isClosed(now) {
		return false
	}
	release, ok := s.Endpoint.Release(s.gateState.Model)
	return ok && release == s.gateState.Release
}

// LastGate returns the last gate state of the engine at an address; the zero value if none is known.
func (a *Assigner) LastGate(address string) GateState {
	a.mu.Lock()
	defer a.mu.Unlock()
	var last GateState
	var lastAt time.Time
	for _, s := range a.byAddress[address] {
		if s.gateState.StartTime != 0 && s.gateStateAt.After(lastAt) {
			last, lastAt = s.gateState, s.gateStateAt
		}
	}
	return last
}

// overdueWait returns the age of the oldest request without a first event that is later than predicted by more than
// overdueGrace, or zero if there is none.
func (s *endpointState) overdueWait(now time.Time) time.Duration {
	var longest time.Duration
	for c := range s.awaitingFirstEvent {
		if age := now.Sub(c.sentAt); age > c.PredictedFirstEvent+overdueGrace {
			longest = max(longest, age)
		}
	}
	return longest
}

// currentSlowdown returns how many times longer the endpoint takes than its configured figures predict: as the engine
// states it, or as this host has learned it. What it has learned approaches the mean of its pool as the last
// observation ages: a host of a large fleet sees few requests at each endpoint. The caller must hold a.mu.
func (a *Assigner) currentSlowdown(s *endpointState, now time.Time) float64 {
	if pace, ok := a.freshPace(s, now); ok {
		return pace
	}
	if pace, ok := a.plainPace(s, now); ok {
		return pace
	}
	return a.learnedSlowdown(s, now)
}

// learnedSlowdown returns the slowdown that this host has observed. The caller must hold a.mu.
func (a *Assigner) learnedSlowdown(s *endpointState, now time.Time) float64 {
	isCold := a.isCold(s)
	mean := a.meanSlowdown(s.Pool, isCold)
	if s.slowdownAt.IsZero() || s.wasCold != isCold {
		return mean
	}
	decayTimes := float64(now.Sub(s.slowdownAt)) / float64(slowdownDecayTime)
	return mean + (s.slowdown-mean)/(1+decayTimes)
}

// observeSlowdown records how many times longer than predicted an endpoint took. The caller must hold a.mu.
func (a *Assigner) observeSlowdown(s *endpointState, observed float64, now time.Time) {
	if a.isCold(s) {
		a.observeColdSlowdown(s, observed, now)
		return
	}
	s.slowdown = a.learnedSlowdown(s, now)*(1-slowdownWeight) + observed*slowdownWeight
	s.slowdownAt, s.wasCold = now, false
	if a.slowdownMeans == nil {
		a.slowdownMeans = make(map[ident.Pool]*float64)
	}
	mean := a.slowdownMeans[s.Pool]
	if mean == nil {
		mean = new(float64)
		*mean = 1
		a.slowdownMeans[s.Pool] = mean
	}
	// A few endpoints that are slow must not raise the mean of all others.
	*mean += slowdownMeanWeight * (min(maxMeanSlowdown, observed) - *mean)
}

func (a *Assigner) random() float64 {
	if a.Random != nil {
		return a.Random()
	}
	return rand.Float64()
}

// HasFirstEvent reports whether the request has received an event.
func (a *Assigner) HasFirstEvent(c *Assignment) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.hasFirstEvent
}

// RecordFirstEvent records that the request has received an event.
func (a *Assigner) RecordFirstEvent(c *Assignment) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordFirstEvent(c)
}

func (a *Assigner) recordFirstEvent(c *Assignment) {
	isFirst := !c.hasFirstEvent
	// It counts even if the endpoint has no entry any more.
	c.hasFirstEvent = true
	now := time.Now()
	c.lastEventAt = now
	c.state.stall.RecordHeard(now)
	s := a.endpoints[c.Endpoint.ID]
	if s == nil || s.StartTime != c.Endpoint.StartTime {
		return
	}
	s.lastActive, s.confirmedAt = now, now
	if !isFirst || !s.inFlight[c] {
		return
	}
	s.localLoad.begin(c.class, c.promptTokens)
	delete(s.awaitingFirstEvent, c)
	c.firstEventAt = now
	a.countOutcome(s, c, false)
	if c.nominalFirstEvent > 0 {
		observed := min(maxSlowdown, max(minSlowdown, float64(now.Sub(c.sentAt))/float64(c.nominalFirstEvent)))
		a.observeSlowdown(s, observed, now)
	}
	a.notifyChanged(s)
}

// Outcome is the outcome of a request at an endpoint.
type Outcome int

// Outcomes of requests.
const (
	// Served means that the endpoint sent a response of its own.
	Served Outcome = iota
	// Failed means that the endpoint broke off the request.
	Failed
	// Unreachable means that no connection could be made.
	Unreachable
	// AddressReused means that another endpoint responded at the address.
	AddressReused
	// Refused means that the endpoint refused the request without running it.
	Refused
	// CallerGone means that the caller disconnected, which says nothing about the endpoint.
	CallerGone
	// NotSent means that no connection was tried.
	NotSent
	// Errored means that the endpoint responded with a server error.
	Errored
	// TimedOut means that the time for the request ended before the endpoint responded.
	TimedOut
)

// Release ends the request at its endpoint and records the outcome.
func (a *Assigner) Release(c *Assignment, outcome Outcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if outcome == Served || outcome == Errored || outcome == Refused {
		c.state.stall.RecordHeard(time.Now())
	}
	s := a.endpoints[c.Endpoint.ID]
	if s != c.state {
		delete(c.state.inFlight, c)
	}
	if s == nil || s.StartTime != c.Endpoint.StartTime {
		return
	}
	// A request that was sent before the endpoint's entry went and returned is not counted in its load.
	if s.inFlight[c] {
		if !c.hasFirstEvent {
			s.localLoad.begin(c.class, c.promptTokens)
			delete(s.awaitingFirstEvent, c)
		}
		s.localLoad.remove(c.class)
		delete(s.inFlight, c)
		if c.responseTokens > 0 {
			s.estimated--
		}
	}
	a.recordOutcome(s, c, outcome)
	if outcome == Errored && a.OnEjection == nil {
		outcome = Served
	}
	switch outcome {
	case Unreachable:
		a.markUnreachable(s)
	case AddressReused:
		s.addressReused = true
	case Failed:
		s.breaker.RecordFailure()
	case Served:
		s.lastActive = time.Now()
		s.confirmedAt = s.lastActive
		s.breaker.RecordSuccess()
		a.updateServiceTime(c.Endpoint.Pool, time.Since(c.sentAt))
	case Errored:
		// It neither closes the breaker nor counts in the time that a request takes, which would be short.
		s.lastActive = time.Now()
		s.confirmedAt = s.lastActive
	case Refused, CallerGone, NotSent, TimedOut:
	}
	a.notifyChanged(s)
}

// updateServiceTime maintains a moving average of the duration of requests in a pool.
func (a *Assigner) updateServiceTime(p ident.Pool, duration time.Duration) {
	const smoothingDivisor = 16
	if a.serviceTimes == nil {
		a.serviceTimes = make(map[ident.Pool]time.Duration)
	}
	if a.serviceTimes[p] == 0 {
		a.serviceTimes[p] = duration
		return
	}
	a.serviceTimes[p] += (duration - a.serviceTimes[p]) / smoothingDivisor
}
