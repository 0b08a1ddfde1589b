// Package permitsharer decides which part of the permits for a cold plain service an entry host may give. Each entry host
// chooses the responder of an endpoint by the hosts that it takes for live, so that hosts which start, end or are cut
// off from each other may disagree for a while, and those in two parts of a partitioned fleet for as long as it lasts.
//
// A responder therefore gives the part of the permits that its part of the entry hosts makes up, and a larger part only
// once it has been entitled to it for so long that all others have noticed, or if the former responder has ceded its own
// part. The parts of several responders then add up to no more than the whole.
package permitsharer

import (
	"sync"
	"time"
)

const (
	// SettleTime is how long a host must have been entitled to a part before it gives it. It is the longest time after
	// which a host may still take another for live that has been cut off (the time-outs of presencetracker over two hops,
	// 3 s), less the time that others need at least to notice it (1 s), plus two intervals of Observe.
	SettleTime = 2500 * time.Millisecond
	// Interval is the time between two calls of Observe.
	Interval = 250 * time.Millisecond
	// holdTime is how long a host that has noticed its successor still gives permits unless it has ceded them. The successor
	// gives none by itself before SettleTime from its start, and a host notices it within 1.75 s.
	holdTime = SettleTime - 1750*time.Millisecond
	// cedeTime is how long after that notice the host may cede its part. By then the successor has noticed it in turn.
	cedeTime = 2 * time.Second
	// staleFactor is the part that is left to a host that has not read the store of late: it may not know of a host that
	// has started since, which is the responder for all others.
	staleFactor = 0.5
)

// View is what a host sees of the entry hosts at one moment.
type View struct {
	// IsResponder says that the host is the responder of the endpoint.
	IsResponder bool
	// Live and All are the numbers of entry hosts that are live and that are known.
	Live, All int
	// IsCurrent says that the host has read the list of the entry hosts of late.
	IsCurrent bool
}

// observation is a part that applies from a time on.
type observation struct {
	at    time.Time
	share float64
}

// entitlement is what a host has observed for one endpoint.
type entitlement struct {
	observations []observation
	isResponder  bool
	// former is the part that the host gave until it noticed its successor at lostAt. It is zero once it is ceded.
	former float64
	lostAt time.Time
}

// Sharer tracks the parts of one host, by the ids of endpoints. It is safe for concurrent use.
type Sharer struct {
	mu           sync.Mutex
	entitlements map[string]*entitlement
}

// Observe records what the host sees now. It must be called for each endpoint every Interval. excess is the factor by which
// all responders together may exceed the whole; a factor above one makes up for hosts that are listed but gone.
func (s *Sharer) Observe(endpoint string, excess float64, v View) {
	share := 0.0
	if v.IsResponder {
		share = min(1, excess*float64(v.Live)/float64(max(1, v.All)))
	}
	if !v.IsCurrent {
		share *= staleFactor
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entitlements == nil {
		s.entitlements = make(map[string]*entitlement)
	}
	e := s.entitlements[endpoint]
	if e == nil {
		e = &entitlement{}
		s.entitlements[endpoint] = e
	}
	now := time.Now()
	if e.isResponder && !v.IsResponder {
		e.former, e.lostAt = e.share(now), now
	}
	if e.isResponder = v.IsResponder; e.isResponder {
		e.former = 0
	}
	if n := len(e.observations); n == 0 || e.observations[n-1].share != share {
		e.observations = append(e.observations, observation{at: now, share: share})
	}
	// The latest one from before SettleTime still applied at the beginning of it.
	for len(e.observations) > 1 && now.Sub(e.observations[1].at) >= SettleTime {
		e.observations = e.observations[1:]
	}
}

// share returns the least part that the host has been entitled to within SettleTime.
func (e *entitlement) share(now time.Time) float64 {
	if len(e.observations) == 0 || now.Sub(e.observations[0].at) < SettleTime {
		return 0
	}
	least := 1.0
	for i, o := range e.observations {
		if i+1 < len(e.observations) && now.Sub(e.observations[i+1].at) >= SettleTime {
			continue
		}
		least = min(least, o.share)
	}
	return least
}

// Share returns the part of the permits for an endpoint that this host may give now: the least that it has been entitled
// to within SettleTime, or for a moment what it gave before it noticed its successor.
func (s *Sharer) Share(endpoint string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entitlements[endpoint]
	if e == nil {
		return 0
	}
	now := time.Now()
	if e.former > 0 && now.Sub(e.lostAt) < holdTime {
		return e.former
	}
	return e.share(now)
}

// Cede gives up the part of an endpoint's permits that this host has given until it noticed its successor, and returns it.
// The caller must have checked that it is the successor that asks.
func (s *Sharer) Cede(endpoint string) (share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entitlements[endpoint]
	if e == nil || time.Since(e.lostAt) >= cedeTime {
		return 0
	}
	share, e.former = e.former, 0
	return share
}

// Accept takes over the part that the former responder of an endpoint has ceded, as far as this host is entitled to it now.
func (s *Sharer) Accept(endpoint string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entitlements[endpoint]
	if e == nil || !e.isResponder {
		return
	}
	now, entitled := time.Now(), e.observations[len(e.observations)-1].share
	e.observations = []observation{{at: now.Add(-SettleTime), share: min(share, entitled)}, {at: now, share: entitled}}
}

// Retain forgets the endpoints that are not in ids.
func (s *Sharer) Retain(ids map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.entitlements {
		if !ids[id] {
			delete(s.entitlements, id)
		}
	}
}
