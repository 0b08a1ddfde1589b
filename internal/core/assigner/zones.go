package assigner

import (
	"iter"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// fixedMargin is how much earlier the first event must be in another zone if there is no Balancer.
	fixedMargin = 20 * time.Millisecond
	// maxElsewhereAge is the age of the report up to which an endpoint of another zone is chosen while the own zone has
	// endpoints. In a longer time, the hosts of a zone that has 1.6 times its capacity can fill an engine elsewhere.
	maxElsewhereAge = 250 * time.Millisecond
	// elsewhereMargin is the part of the objective that a request at an engine of another zone leaves to the callers of that
	// zone: as its wait counts waitSafetyFactor times, it is half of that time earlier in the queue.
	elsewhereMargin = 20 * time.Millisecond
	// cutOffCheckInterval is the time between two checks whether a zone is cut off. All endpoints of a zone that is are probed
	// at the same time, and each check visits all endpoints of the fleet.
	cutOffCheckInterval = 100 * time.Millisecond
	// plainReserve is the number of requests for which a plain service in another zone must have room.
	plainReserve = 1
)

// zoneMembers lists the endpoints of a pool in one zone.
type zoneMembers struct {
	zone      ident.Zone
	endpoints []*endpointState
}

// addZone adds an endpoint to the list of its zone.
func (m *poolMembers) addZone(s *endpointState) {
	for i := range m.zones {
		if m.zones[i].zone == s.Zone {
			m.zones[i].endpoints = append(m.zones[i].endpoints, s)
			return
		}
	}
	m.zones = append(m.zones, zoneMembers{zone: s.Zone, endpoints: []*endpointState{s}})
}

// candidatePicker picks the candidates of one round.
type candidatePicker struct {
	a       *Assigner
	q       Query
	now     time.Time
	queried map[string]bool
	out     []fleetconfig.Endpoint
}

// add picks up to limit endpoints of a list at random, and returns how many it has picked.
func (p *candidatePicker) add(list []*endpointState, limit int) int {
	if len(list) == 0 || limit <= 0 {
		return 0
	}
	picked := 0
	start := min(len(list)-1, int(p.a.random()*float64(len(list))))
	// A stride that is coprime to the length visits each endpoint once, in an order that differs between requests.
	stride := coprimeStride(len(list), p.a.random())
	for i := range list {
		s := list[(start+i*stride)%len(list)]
		if p.queried[s.ID] {
			continue
		}
		if _, state := p.a.availability(s, p.q, p.now); state != available && state != ejected {
			continue
		}
		if s.outcomes.IsEjected() && !s.outcomes.Offer(p.now) || !s.stall.IsDue(p.now) {
			continue
		}
		p.queried[s.ID] = true
		p.out = append(p.out, s.Endpoint)
		if picked++; picked >= limit {
			break
		}
	}
	return picked
}

// addByZone picks the candidates of one round as the balancer decides. The caller must hold a.mu.
func (p *candidatePicker) addByZone(m *poolMembers, anyZone bool) {
	round := 0
	if anyZone {
		round = max(1, len(p.queried)/candidatesPerRound)
	}
	draw := p.a.random()
	if p.a.Balancer.PrefersOwn(p.q.Pool, round, MaxRounds-1, draw) {
		p.add(m.inZone, candidatesPerRound)
		if round == 0 && p.a.hasUnsuspected(p.out, p.now) {
			return
		}
	}
	p.addByWeight(m, draw, round > 0)
	p.add(m.inZone, candidatesPerRound-len(p.out))
	if len(p.out) == 0 && !p.a.hasOwnAvailable(slices.Values(m.inZone), p.q, p.now) {
		// Endpoints of zones that are to get fewer requests are better than none.
		p.add(m.all, candidatesPerRound)
	}
}

// addByWeight picks endpoints of all zones, each zone by its number of endpoints and its spare capacity. Where all zones
// are full, the own one must not be left out: requests would only change places.
func (p *candidatePicker) addByWeight(m *poolMembers, draw float64, isOwnIncluded bool) {
	weights := make([]float64, len(m.zones))
	total := 0.0
	for i := range m.zones {
		z := m.zones[i].zone
		if p.q.MayUse != nil && !p.q.MayUse(z) || z == p.a.Zone && !isOwnIncluded {
			continue
		}
		weights[i] = p.a.Balancer.Weight(p.q.Pool, z, draw) * float64(len(m.zones[i].endpoints))
		total += weights[i]
	}
	for len(p.out) < candidatesPerRound && total > 0 {
		x := p.a.random() * total
		chosen := -1
		for i, w := range weights {
			if w == 0 {
				continue
			}
			chosen = i
			if x -= w; x < 0 {
				break
			}
		}
		if chosen < 0 {
			return
		}
		if p.add(m.zones[chosen].endpoints, 1) == 0 {
			total -= weights[chosen]
			weights[chosen] = 0
		}
	}
}

// hasOwnAvailable reports whether one of the endpoints is in the own zone and may receive the request. The caller must hold
// a.mu.
func (a *Assigner) hasOwnAvailable(endpoints iter.Seq[*endpointState], q Query, now time.Time) bool {
	for s := range endpoints {
		if s.Zone != a.Zone {
			continue
		}
		if _, state := a.availability(s, q, now); state == available {
			return true
		}
	}
	return false
}

// predictElsewhere returns the prediction for an endpoint of another zone, by how much it must be better than one in the
// own zone, and whether the request may be assigned to it. isStrict says that the own zone has endpoints: then an endpoint
// elsewhere is only used as of a recent report, and must have capacity left for the callers of its own zone.
func (a *Assigner) predictElsewhere(pool *fleetconfig.Pool, s *endpointState, load Load, q Query, now time.Time, isStrict bool) (predicted, margin time.Duration, ok bool) {
	if a.Balancer == nil {
		predicted, ok = a.predict(pool, s, load, q, now)
		return predicted, fixedMargin, ok
	}
	margin, roundTrip := a.Balancer.Margin(s.Zone)
	if q.TimeLeft > 0 {
		q.TimeLeft = max(1, q.TimeLeft-roundTrip)
	}
	predicted, ok = a.predict(pool, s, load, q, now)
	if isStrict && ok {
		if s.reportedAt.IsZero() || now.Sub(s.reportedAt) > maxElsewhereAge {
			return predicted, margin, false
		}
		if pool == nil || pool.Engine == nil {
			load.Requests += plainReserve
		}
		if q.TimeLeft > 0 {
			q.TimeLeft = max(1, q.TimeLeft-elsewhereMargin)
		}
		_, ok = a.predict(pool, s, load, q, now)
	}
	return predicted + roundTrip, margin, ok
}

// recordSpare passes the spare capacity of an endpoint to the balancer. The caller must hold a.mu.
func (a *Assigner) recordSpare(s *endpointState) {
	if a.Balancer == nil {
		return
	}
	slots := float64(slotCount(a.pools[s.Pool], s))
	used := float64(s.localLoad.Requests + s.othersLoad.Requests)
	a.Balancer.RecordSpare(s.Pool, s.Zone, max(0, 1-used/slots))
}

// checkCutOff tells the balancer if no endpoint of a zone can be reached. The caller must hold a.mu.
func (a *Assigner) checkCutOff(z ident.Zone) {
	now := time.Now()
	if a.Balancer == nil || z == a.Zone || now.Sub(a.cutOffChecks[z]) < cutOffCheckInterval {
		return
	}
	if a.cutOffChecks == nil {
		a.cutOffChecks = make(map[ident.Zone]time.Time)
	}
	a.cutOffChecks[z] = now
	for _, s := range a.endpoints {
		if s.Zone == z && !s.down {
			return
		}
	}
	a.Balancer.RecordCutOff(z)
}
