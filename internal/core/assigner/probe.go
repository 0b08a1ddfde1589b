package assigner

import "time"

const (
	// silence is how long an endpoint with requests of this host may give no sign before it is probed: some passes of a
	// busy engine.
	silence = 400 * time.Millisecond
	// fresh is how recent a sign must be for an endpoint to stay in use when others of its zone cannot be reached.
	fresh = 300 * time.Millisecond
)

// Probe is an endpoint to make a connection to, without a request.
type Probe struct {
	ID, Address string
}

// suspect takes an endpoint out of use that could not be reached. With it go the endpoints of the same zone, if that is
// another one, that gave no sign just now: a zone that is cut off would cost a failed connection for each of them. Probes
// bring back those that can be reached.
func (a *Assigner) suspect(s *state) {
	now := time.Now()
	s.down = true
	if s.Zone == a.Zone {
		return
	}
	for _, other := range a.endpoints {
		if other.Zone == s.Zone && now.Sub(other.alive) > fresh {
			other.down = true
		}
	}
}

// Probes returns the endpoints that should be probed now: those out of use, and those with requests of this host that
// gave no sign for a while.
func (a *Assigner) Probes() []Probe {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	var out []Probe
	for id, s := range a.endpoints {
		if s.moved {
			continue
		}
		if s.down || s.own.Requests > 0 && now.Sub(s.alive) > silence {
			out = append(out, Probe{ID: id, Address: s.Address})
		}
	}
	return out
}

// Probed takes the result of a probe. Requests at an endpoint that cannot be reached are told.
func (a *Assigner) Probed(p Probe, ok bool) (changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.endpoints[p.ID]
	if s == nil || s.Address != p.Address {
		return false
	}
	changed = s.down == ok
	s.down = !ok
	if ok {
		s.alive = time.Now()
		return changed
	}
	for c := range s.running {
		if c.lost != nil {
			c.lost()
		}
	}
	return changed
}
