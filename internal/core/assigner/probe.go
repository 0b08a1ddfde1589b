package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// probeAfterSilence is how long an endpoint with requests of this host may stay silent before it is probed. It
	// covers several passes of a busy engine.
	probeAfterSilence = 400 * time.Millisecond
	// recentActivityWindow is how recently an endpoint must have responded to stay in use when another endpoint of its
	// zone becomes unreachable.
	recentActivityWindow = 300 * time.Millisecond
)

// Probe is an endpoint to open a test connection to, without a request.
type Probe struct {
	ID, Address string
	// Pool is set if the endpoint stands still. Then a health check must follow: the system of a host accepts connections
	// even if its processes do nothing.
	Pool ident.Pool
}

// markUnreachable takes an endpoint out of use after a failed connection. If the endpoint is in another zone, it also
// takes out of use the endpoints of that zone that have not responded recently: otherwise each endpoint of a zone that
// is cut off would cost a failed connection. Successful probes return endpoints to use.
func (a *Assigner) markUnreachable(s *endpointState) {
	now := time.Now()
	s.down = true
	if s.Zone == a.Zone {
		return
	}
	for _, other := range a.endpoints {
		if other.Zone == s.Zone && now.Sub(other.lastActive) > recentActivityWindow {
			other.down = true
		}
	}
	a.checkCutOff(s.Zone)
}

// DueProbes returns the endpoints that should be probed now: those out of use, and those with requests of this host
// that have been silent for probeAfterSilence or stand still. An endpoint that is leaving or has asked for a pause is not probed.
func (a *Assigner) DueProbes() []Probe {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var out []Probe
	for id, s := range a.endpoints {
		if s.addressReused || a.holdoffs.Get(s.Incarnation()).leaving || a.pauseRemaining(s, now) > 0 {
			continue
		}
		if !s.down && s.stall.IsStill() {
			out = append(out, Probe{ID: id, Address: s.Address, Pool: s.Pool})
			continue
		}
		if s.down || s.localLoad.Requests > 0 && now.Sub(s.lastActive) > probeAfterSilence {
			out = append(out, Probe{ID: id, Address: s.Address})
		}
	}
	return out
}

// RecordProbe records the result of a probe and reports whether the reachability of the endpoint changed. It calls OnSuspect
// for the requests in flight at an endpoint that cannot be reached and is silent. Their own connections may be intact: the
// endpoint may take no new ones because it is leaving or full.
func (a *Assigner) RecordProbe(p Probe, ok bool) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.endpoints[p.ID]
	if s == nil || s.Address != p.Address {
		return false
	}
	changed = s.down == ok
	s.down = !ok
	if ok {
		s.lastActive = time.Now()
		if a.Balancer != nil && changed {
			a.Balancer.RecordReachable(s.Zone)
		}
		return changed
	}
	a.checkCutOff(s.Zone)
	if a.OnSuspect != nil && time.Since(s.lastActive) > probeAfterSilence {
		for c := range s.inFlight {
			a.OnSuspect(c)
		}
	}
	return changed
}

// Silence returns for how long the endpoint of a request has sent nothing to this host; zero if it has never sent anything.
func (a *Assigner) Silence(c *Assignment) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return c.state.stall.Silence(time.Now())
}
