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

// poolMembers lists the endpoints of a pool: those of this host's zone, all, and those of each zone.
type poolMembers struct {
	inZone, all []*endpointState
	zones       []zoneMembers
}

// reportMean is the mean of the reported loads of the other hosts at the endpoints of a pool.
type reportMean struct {
	loadMean
	at time.Time
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
		m.addZone(s)
		if s.Zone == a.Zone {
			m.inZone = append(m.inZone, s)
		}
	}
}

// Candidates returns up to candidatesPerRound endpoints that may serve the query, at random and without those of
// queried, and adds them to queried. It prefers endpoints of this host's zone. Once none of them is left, or if anyZone
// is set, it takes those of all zones, as the balancer decides.
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
	p := &candidatePicker{a: a, q: q, now: time.Now(), queried: queried}
	if a.Balancer != nil {
		p.addByZone(m, anyZone)
		return p.out
	}
	if !anyZone {
		p.add(m.inZone, candidatesPerRound)
	}
	if anyZone || !a.hasUnsuspected(p.out, p.now) {
		p.add(m.all, candidatesPerRound)
	}
	return p.out
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

// incarnation returns the state of an incarnation of an endpoint; nil if another one, or none, is listed. The caller must
// hold a.mu.
func (a *Assigner) incarnation(e fleetconfig.Endpoint) *endpointState {
	if s := a.endpoints[e.ID]; s != nil && s.StartTime == e.StartTime {
		return s
	}
	return nil
}

// SetReport records the load of the other entry hosts at an incarnation of an endpoint.
func (a *Assigner) SetReport(e fleetconfig.Endpoint, others Load) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.incarnation(e)
	if s == nil {
		return
	}
	s.othersLoad, s.reportedAt = others, time.Now()
	a.recordSpare(s)
	a.observeShares(s)
	if a.reportMeans == nil {
		a.reportMeans = make(map[ident.Pool]*reportMean)
	}
	mean := a.reportMeans[s.Pool]
	if mean == nil {
		mean = &reportMean{}
		mean.update(others, 1)
		a.reportMeans[s.Pool] = mean
	}
	mean.update(others, reportSmoothing)
	mean.at = s.reportedAt
}

// LocalLoad returns the load of this host at an incarnation of an endpoint.
func (a *Assigner) LocalLoad(e fleetconfig.Endpoint) Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	if s := a.incarnation(e); s != nil {
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
		others := s.othersLoad
		others.Response = others.Response.After(now.Sub(s.reportedAt))
		return total.Plus(others)
	}
	if mean := a.reportMeans[s.Pool]; mean != nil && now.Sub(mean.at) <= reportTTL {
		return total.Plus(mean.load())
	}
	return total
}
