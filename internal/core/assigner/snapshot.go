package assigner

import (
	"time"
)

// Picture holds the state that led to a refusal, for the logs.
type Picture struct {
	// Serving is the number of endpoints that serve what the query requires, followed by the number of those that
	// cannot be reached or are failing.
	Serving, Unusable int
	// Soonest is the shortest predicted time to the first event at a usable endpoint; zero if there is none.
	Soonest time.Duration
	// Peers is the number of other entry hosts whose reported load is in use.
	Peers int
	// Oldest is the age of the oldest of these reports.
	Oldest time.Duration
}

// Picture returns what this host knows about the endpoints for a query. It changes nothing.
func (a *Assigner) Picture(q Query) Picture {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	pool := a.pools[q.Pool]
	var out Picture
	for id, s := range a.endpoints {
		if _, ok := s.serves(q, pool, now); !ok || q.Tried[id] {
			continue
		}
		out.Serving++
		if !s.isUsable() {
			out.Unusable++
			continue
		}
		first, _ := a.predict(pool, s, a.totalLoad(s), q, now)
		if out.Soonest == 0 || first < out.Soonest {
			out.Soonest = first
		}
	}
	for _, p := range a.peers {
		out.Peers++
		out.Oldest = max(out.Oldest, now.Sub(p.lastSeen))
	}
	return out
}

// isUsable reports whether requests may be sent to the endpoint now.
func (s *endpointState) isUsable() bool {
	return !s.down && !s.addressReused && s.breaker.Allows(s.localLoad.Requests)
}
