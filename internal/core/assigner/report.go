package assigner

import (
	"iter"
	"maps"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// MaxRounds is the number of times that candidates are queried for one attempt before it is refused.
const MaxRounds = 3

// poolMembers lists the endpoints of a pool: those of this host's zone, and all.
type poolMembers struct {
	inZone, all []*endpointState
}

// reportMean is the mean of the reported loads of the other hosts at the endpoints of a pool.
type reportMean struct {
	requests, pendingPromptTokens float64
	at                            time.Time
}

// setMembers rebuilds the lists of endpoints. The caller must hold a.mu.
func (a *Assigner) setMembers() {
	a.members = make(map[ident.Pool]*poolMembers)
	for _, s := range a.endpoints {
		m := a.members[s.Pool]
		if m == nil {
			m = &poolMembers{}
			a.members[s.Pool] = m
		}
		m.all = append(m.all, s)
		if s.Zone == a.Zone {
			m.inZone = append(m.inZone, s)
		}
	}
}

// Candidates returns up to candidatesPerRound endpoints that may serve the query, at random and without those of
// queried, and adds them to queried. It prefers endpoints of this host's zone. Once none of them is left, or if anyZone
// is set, it takes those of all zones.
//
// Hosts that see few requests each know the loads at most endpoints only as of long ago. A choice among a few random
// endpoints whose exact load is queried needs neither their knowledge nor a number of messages that grows with the fleet.
func (a *Assigner) Candidates(q Query, queried map[string]bool, anyZone bool) []fleetconfig.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := a.members[q.Pool]
	if m == nil {
		return nil
	}
	now := time.Now()
	var out []fleetconfig.Endpoint
	add := func(list []*endpointState) {
		if len(list) == 0 {
			return
		}
		start := min(len(list)-1, int(a.random()*float64(len(list))))
		// A stride that is coprime to the length visits each endpoint once, in an order that differs between requests.
		stride := coprimeStride(len(list), a.random())
		for i := range list {
			if len(out) >= candidatesPerRound {
				return
			}
			s := list[(start+i*stride)%len(list)]
			if queried[s.ID] {
				continue
			}
			if _, state := a.availability(s, q, now); state != available && state != ejected {
				continue
			}
			if s.outcomes.IsEjected() && !s.outcomes.Offer(now) {
				continue
			}
			queried[s.ID] = true
			out = append(out, s.Endpoint)
		}
	}
	if !anyZone {
		add(m.inZone)
	}
	if anyZone || !a.hasUnsuspected(out, now) {
		add(m.all)
	}
	return out
}

// coprimeStride returns a stride below n that is coprime to n, chosen by draw in [0, 1).
func coprimeStride(n int, draw float64) int {
	stride := 1 + int(draw*float64(n-1))
	for gcd(stride, n) != 1 {
		stride++
	}
	return stride
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// eligible returns the endpoints that a query may choose from.
func (a *Assigner) eligible(q Query) iter.Seq[*endpointState] {
	if q.Among == nil {
		return maps.Values(a.endpoints)
	}
	return func(yield func(*endpointState) bool) {
		for id := range q.Among {
			if s := a.endpoints[id]; s != nil && !yield(s) {
				return
			}
		}
	}
}

// SetReport records the load of the other entry hosts at an incarnation of an endpoint.
func (a *Assigner) SetReport(e fleetconfig.Endpoint, others Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.endpoints[e.ID]
	if s == nil || s.StartTime != e.StartTime {
		return
	}
	s.othersLoad, s.reportedAt = others, time.Now()
	if a.reportMeans == nil {
		a.reportMeans = make(map[ident.Pool]*reportMean)
	}
	mean := a.reportMeans[s.Pool]
	if mean == nil {
		mean = &reportMean{requests: float64(others.Requests), pendingPromptTokens: float64(others.PendingPromptTokens)}
		a.reportMeans[s.Pool] = mean
	}
	mean.requests += reportSmoothing * (float64(others.Requests) - mean.requests)
	mean.pendingPromptTokens += reportSmoothing * (float64(others.PendingPromptTokens) - mean.pendingPromptTokens)
	mean.at = s.reportedAt
}

// LocalLoad returns the load of this host at an incarnation of an endpoint.
func (a *Assigner) LocalLoad(e fleetconfig.Endpoint) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.endpoints[e.ID]; s != nil && s.StartTime == e.StartTime {
		load := s.localLoad
		load.Response = a.responseLoad(s, time.Now())
		return load
	}
	return Load{}
}

// LoadedEndpoints returns the endpoints at which this host has requests.
func (a *Assigner) LoadedEndpoints() []fleetconfig.Endpoint {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []fleetconfig.Endpoint
	for _, s := range a.endpoints {
		if s.localLoad.Requests > 0 {
			out = append(out, s.Endpoint)
		}
	}
	return out
}

// totalLoad returns the load of all hosts at an endpoint. Without a recent report, the load of the others is taken for
// the mean of recent reports. The caller must hold a.mu.
func (a *Assigner) totalLoad(s *endpointState, now time.Time) Load {
	total := s.localLoad
	total.Response = a.responseLoad(s, now)
	if !s.reportedAt.IsZero() && now.Sub(s.reportedAt) <= reportTTL {
		total.Requests += s.othersLoad.Requests
		total.PendingPromptTokens += s.othersLoad.PendingPromptTokens
		total.Response = total.Response.Add(s.othersLoad.Response.After(now.Sub(s.reportedAt)))
		return total
	}
	if mean := a.reportMeans[s.Pool]; mean != nil && now.Sub(mean.at) <= reportTTL {
		total.Requests += int(mean.requests)
		total.PendingPromptTokens += int(mean.pendingPromptTokens)
	}
	return total
}
