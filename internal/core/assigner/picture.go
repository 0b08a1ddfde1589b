package assigner

import (
	"time"
)

// Picture is what decided a refusal, for the logs.
type Picture struct {
	// Serving counts the endpoints that serve what is asked for, and Unusable those of them that cannot be reached or fail.
	Serving, Unusable int
	// Soonest is the least predicted time to the first event at a usable endpoint; zero if there is none.
	Soonest time.Duration
	// Peers counts the other entry hosts whose word is in use, and Oldest is the age of the oldest word.
	Peers  int
	Oldest time.Duration
}

// Picture returns what this host believes of the endpoints for a query. It changes nothing.
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
		first, _ := a.predict(pool, s, a.load(s), q, now)
		if out.Soonest == 0 || first < out.Soonest {
			out.Soonest = first
		}
	}
	for _, p := range a.peers {
		out.Peers++
		out.Oldest = max(out.Oldest, now.Sub(p.heard))
	}
	return out
}

// isUsable tells whether requests may be sent to the endpoint now.
func (s *state) isUsable() bool {
	return !s.down && !s.moved && s.breaker.Allows(s.own.Requests)
}
