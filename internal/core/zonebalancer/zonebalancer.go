// Package zonebalancer decides for each request whether endpoints of other availability zones are candidates, and by how
// much such an endpoint must be better than one in the zone of this host.
//
// It is built for three load patterns: one zone that has more demand than capacity beside zones that have room, a link
// between zones whose bandwidth shrinks, and a zone that was cut off or evacuated and returns. Its inputs are replies to
// queries for load: how many requests the endpoints of each zone have, how long the replies take, and how many are late or
// lost. Nothing else is exchanged. The part of the requests that may be sent to a zone falls by a factor while its replies
// are late or lost, and returns in steps.
package zonebalancer

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// trafficMargin is how much earlier a first event must be in another zone for that zone to be chosen over the own one:
	// traffic between zones costs money.
	trafficMargin = 20 * time.Millisecond
	// FullSpare is the share of spare capacity below which a zone counts as full: less than two slots of an engine.
	FullSpare = 0.1
	// minWeightSpare is the spare capacity that a zone has at least when other zones are weighted, so that a full zone is
	// still queried now and then.
	minWeightSpare = 0.02
	// ownWeight is how much more often the own zone is queried than another one with the same spare capacity.
	ownWeight = 2
	// unknownSpare is the spare capacity that is assumed of a zone without recent replies. spareAgeing is the time in
	// which what is known of a zone approaches it: about the time in which a change of demand fills a zone.
	unknownSpare = 0.3
	spareAgeing  = 2 * time.Second
	// spareSmoothing, lossSmoothing and roundTripSmoothing are the weights of one reply in the means.
	spareSmoothing     = 0.1
	lossSmoothing      = 0.15
	roundTripSmoothing = 0.125
	// baseDrift is the part by which the round trip without congestion approaches a longer observation.
	baseDrift = 0.002
	// maxLoss is the share of late or lost replies, beyond that in the own zone, above which fewer requests are sent to a
	// zone. The three queries of one round exceed it if none is answered in time, the failure of one responder does not.
	maxLoss = 0.3
	// maxQueueing is how much longer than usual round trips to a zone may be, beyond the same delay in the own zone. It is
	// a third of the time for which replies are waited for.
	maxQueueing = 5 * time.Millisecond
	// lossFactor and queueingFactor multiply the share of a zone with late or lost replies, or long round trips, at most
	// once per decreaseInterval. That covers the time until the effect of the last decrease shows.
	lossFactor       = 0.5
	queueingFactor   = 0.8
	decreaseInterval = 100 * time.Millisecond
	// returnStep is the part of its requests that a zone gets back at a time, if a reply has shown that it can be reached,
	// and returnInterval the time between two steps. The hosts of a full zone then take half a second to use all of the
	// room elsewhere, in which replies show what the first of them have sent. If a host sees few replies, a step may be
	// maxSteps times as large.
	returnStep     = 0.25
	returnInterval = 100 * time.Millisecond
	maxSteps       = 2
	// evacuationStep and evacuationInterval are the same after an evacuation. They take 2 s, because the endpoints may have
	// been restarted meanwhile.
	evacuationStep     = 0.125
	evacuationInterval = 250 * time.Millisecond
	// minShare is the share below which a zone gets no requests but those of a probe.
	minShare = 0.05
	// probeInterval is the time between two rounds with queries to a zone that gets no requests. One without a reply delays
	// a request by the time for which replies are waited for.
	probeInterval = 250 * time.Millisecond
	// impairedShare is the share of a zone below which it is reported to OnLinkChange.
	impairedShare = 0.5
	// shareWindow is the time over which Shares weights the assignments.
	shareWindow = 10 * time.Second
	// spillBegin and spillEnd are the shares of requests sent to other zones at which OnSpillChange is called.
	spillBegin, spillEnd = 0.1, 0.02
	// minSpillRequests is the weighted number of requests in shareWindow below which spilling is not judged.
	minSpillRequests = 10
)

// Balancer decides for the requests of one host. Set its fields before use. It is safe for concurrent use.
type Balancer struct {
	// Zone is the zone of this host.
	Zone ident.Zone
	// OnLinkChange is called when a zone gets fewer requests because it was cut off or evacuated or its replies are late
	// or lost, and when it has all of them back. OnSpillChange is called when this host begins or ends to send a
	// considerable part of its requests to other zones. Both may be nil, and must not call the balancer.
	OnLinkChange  func(z ident.Zone, isImpaired bool)
	OnSpillChange func(isSpilling bool)

	mu     sync.Mutex
	links  map[ident.Zone]*link
	spares map[poolZone]*spare

	assigned   map[ident.Zone]float64
	assignedAt time.Time
	isSpilling bool
}

type poolZone struct {
	pool ident.Pool
	zone ident.Zone
}

// spare is the mean spare capacity of the endpoints of a pool in a zone.
type spare struct {
	value float64
	at    time.Time
}

// link is what is known of the way to the endpoints of a zone.
type link struct {
	// share is the part of the requests for which the zone may be a candidate.
	share float64
	// roundTrip is the mean of recent round trips, and base the round trip without congestion. Zero means that there has
	// been no reply.
	roundTrip, base time.Duration
	// loss is the share of recent queries without a reply in time.
	loss                             float64
	decreasedAt, steppedAt, probedAt time.Time
	// isReturning is set while the zone gets its requests back after an evacuation.
	isEvacuated, isReturning, isImpaired bool
}

// RecordRoundTrip records the time that a reply from the responder of an endpoint in a zone has taken.
func (b *Balancer) RecordRoundTrip(z ident.Zone, took time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	now := time.Now()
	l.loss -= lossSmoothing * l.loss
	if l.base == 0 || took < l.base {
		l.base = took
	}
	if l.roundTrip == 0 {
		l.roundTrip = took
	}
	l.roundTrip += time.Duration(roundTripSmoothing * float64(took-l.roundTrip))
	l.base += time.Duration(baseDrift * float64(took-l.base))
	switch {
	case l.isEvacuated:
	case z != b.Zone && l.queueing()-b.ownQueueing() > maxQueueing:
		l.decrease(queueingFactor, now)
	case l.isReturning:
	case l.share < 1 && b.excessLoss(l) <= maxLoss && now.Sub(l.steppedAt) >= returnInterval && now.Sub(l.decreasedAt) >= decreaseInterval:
		steps := min(maxSteps, int(now.Sub(l.steppedAt)/returnInterval))
		l.share, l.steppedAt = min(1, l.share+float64(steps)*returnStep), now
	}
	b.notifyLink(z, l)
}

// RecordMissedReply records that a reply from a zone has not arrived in time.
func (b *Balancer) RecordMissedReply(z ident.Zone) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	l.loss += lossSmoothing * (1 - l.loss)
	if z != b.Zone && b.excessLoss(l) > maxLoss {
		l.decrease(lossFactor, time.Now())
	}
	b.notifyLink(z, l)
}

// RecordCutOff records that no endpoint of a zone can be reached.
func (b *Balancer) RecordCutOff(z ident.Zone) {
	if z == b.Zone {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	l.share, l.loss, l.decreasedAt, l.isReturning = 0, 1, time.Now(), false
	b.notifyLink(z, l)
}

// RecordReachable records that an endpoint of a zone can be reached again.
func (b *Balancer) RecordReachable(z ident.Zone) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	if l.share < returnStep && !l.isEvacuated && !l.isReturning {
		l.share, l.loss, l.steppedAt = returnStep, 0, time.Now()
		b.notifyLink(z, l)
	}
}

// RecordEvacuation records that the evacuation of a zone begins or ends.
func (b *Balancer) RecordEvacuation(z ident.Zone, isEvacuated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	l.isEvacuated, l.isReturning = isEvacuated, !isEvacuated
	l.share, l.steppedAt = 0, time.Now()
	if !isEvacuated {
		l.share = evacuationStep
	}
	b.notifyLink(z, l)
}

// RecordSpare records the spare capacity of one endpoint that a reply has shown, as a share of its slots.
func (b *Balancer) RecordSpare(p ident.Pool, z ident.Zone, value float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	key := poolZone{p, z}
	s := b.spares[key]
	if s == nil {
		if b.spares == nil {
			b.spares = make(map[poolZone]*spare)
		}
		b.spares[key] = &spare{value: value, at: now}
		return
	}
	known := s.current(now)
	s.value, s.at = known+spareSmoothing*(value-known), now
}

// Spare returns the spare capacity of a pool in a zone as a share of its slots, as far as it is known.
func (b *Balancer) Spare(p ident.Pool, z ident.Zone) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spare(p, z)
}

// PrefersOwn reports whether the endpoints of the own zone are queried first in a round of queries for a request. A
// zone that was evacuated gets the part of its requests that draw in [0, 1) falls into. Later rounds query the own zone
// as long as it is not full, but the last one does not.
func (b *Balancer) PrefersOwn(p ident.Pool, round, lastRound int, draw float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if round == 0 {
		l := b.link(b.Zone)
		b.advance(b.Zone, l)
		return draw < l.share
	}
	return round < lastRound && b.spare(p, b.Zone) >= FullSpare
}

// Weight returns how often endpoints of a zone are queried in comparison to the other zones, for each endpoint there, once
// the own zone has not been able to serve a request. Zero means that the zone is not a candidate. draw in [0, 1) decides
// for a zone that gets only a part of its requests.
func (b *Balancer) Weight(p ident.Pool, z ident.Zone, draw float64) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.link(z)
	b.advance(z, l)
	if z == b.Zone {
		return ownWeight * max(minWeightSpare, b.spare(p, z))
	}
	switch {
	case l.isEvacuated:
		return 0
	case l.share >= minShare && draw < l.share:
		return max(minWeightSpare, b.spare(p, z))
	case l.share < minShare:
		now := time.Now()
		if now.Sub(l.probedAt) < probeInterval {
			return 0
		}
		l.probedAt = now
		return 1
	default:
		return 0
	}
}

// Margin returns by how much the first event at an endpoint of another zone must be earlier, and the round trip that is
// to be added to its prediction. The round trip counts twice: once for the request, and once because the load that a
// reply states is older by it.
func (b *Balancer) Margin(z ident.Zone) (margin, roundTrip time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if l := b.links[z]; l != nil {
		roundTrip = l.roundTrip
	}
	return trafficMargin + roundTrip, roundTrip
}

// RecordAssigned counts a request that is sent to a zone.
func (b *Balancer) RecordAssigned(z ident.Zone) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if b.assigned == nil {
		b.assigned = make(map[ident.Zone]float64)
	}
	remaining := math.Exp(-now.Sub(b.assignedAt).Seconds() / shareWindow.Seconds())
	b.assignedAt = now
	total := 1.0
	for known, n := range b.assigned {
		b.assigned[known] = n * remaining
		total += n * remaining
	}
	b.assigned[z]++
	elsewhere := (total - b.assigned[b.Zone]) / total
	if total < minSpillRequests || b.isSpilling && elsewhere > spillEnd || !b.isSpilling && elsewhere < spillBegin {
		return
	}
	b.isSpilling = !b.isSpilling
	if b.OnSpillChange != nil {
		b.OnSpillChange(b.isSpilling)
	}
}

// Status is what the balancer knows of a zone, for operators.
type Status struct {
	// Share is the part of the requests for which the zone may be a candidate, Loss the share of recent queries without a
	// reply in time, and RoundTrip the mean round trip.
	Share, Loss float64
	RoundTrip   time.Duration
	// Assigned is the share of the recent requests of this host that were sent to the zone.
	Assigned float64
}

// Statuses returns what is known of each zone that has had a reply, a request or an evacuation.
func (b *Balancer) Statuses() map[ident.Zone]Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[ident.Zone]Status, len(b.links))
	for z, l := range b.links {
		b.advance(z, l)
		out[z] = Status{Share: l.share, Loss: l.loss, RoundTrip: l.roundTrip}
	}
	total := 0.0
	for _, n := range b.assigned {
		total += n
	}
	for z, n := range b.assigned {
		s, ok := out[z]
		if !ok {
			s.Share = 1
		}
		s.Assigned = n / total
		out[z] = s
	}
	return out
}

// link returns the state of a zone. The caller must hold b.mu.
func (b *Balancer) link(z ident.Zone) *link {
	l := b.links[z]
	if l == nil {
		if b.links == nil {
			b.links = make(map[ident.Zone]*link)
		}
		l = &link{share: 1}
		b.links[z] = l
	}
	return l
}

// spare returns the spare capacity of a pool in a zone. The caller must hold b.mu.
func (b *Balancer) spare(p ident.Pool, z ident.Zone) float64 {
	if s := b.spares[poolZone{p, z}]; s != nil {
		return s.current(time.Now())
	}
	return unknownSpare
}

func (s *spare) current(now time.Time) float64 {
	return unknownSpare + (s.value-unknownSpare)*math.Exp(-now.Sub(s.at).Seconds()/spareAgeing.Seconds())
}

// excessLoss returns how many more replies of a link are late or lost than in the own zone. A host that is short of
// processor time reads the replies of all zones late.
func (b *Balancer) excessLoss(l *link) float64 {
	if own := b.links[b.Zone]; own != nil && own != l {
		return l.loss - own.loss
	}
	return l.loss
}

func (b *Balancer) ownQueueing() time.Duration {
	if own := b.links[b.Zone]; own != nil {
		return own.queueing()
	}
	return 0
}

// queueing returns how much longer than usual round trips are.
func (l *link) queueing() time.Duration {
	return l.roundTrip - l.base
}

// advance takes the steps that are due after an evacuation.
func (b *Balancer) advance(z ident.Zone, l *link) {
	if !l.isReturning {
		return
	}
	steps := time.Since(l.steppedAt) / evacuationInterval
	if steps == 0 {
		return
	}
	l.share = min(1, l.share+float64(steps)*evacuationStep)
	l.steppedAt = l.steppedAt.Add(steps * evacuationInterval)
	l.isReturning = l.share < 1
	b.notifyLink(z, l)
}

func (l *link) decrease(factor float64, now time.Time) {
	if now.Sub(l.decreasedAt) < decreaseInterval {
		return
	}
	l.share *= factor
	l.decreasedAt = now
}

func (b *Balancer) notifyLink(z ident.Zone, l *link) {
	isImpaired := l.share < impairedShare || l.isImpaired && l.share < 1
	if isImpaired == l.isImpaired {
		return
	}
	l.isImpaired = isImpaired
	if b.OnLinkChange != nil {
		b.OnLinkChange(z, isImpaired)
	}
}
