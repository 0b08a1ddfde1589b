package assigner

import (
	"time"
)

// Snapshot holds the state that led to a refusal, for the logs.
type Snapshot struct {
	// ServingEndpoints is the number of endpoints that serve what the query requires. UnusableEndpoints is the number of
	// those that cannot be reached or are failing.
	ServingEndpoints, UnusableEndpoints int
	// LeavingEndpoints and PausedEndpoints are the numbers of those that have said that they leave or asked for a pause,
	// and EarliestResume is the shortest rest of such a pause; zero if there is none.
	LeavingEndpoints, PausedEndpoints int
	EarliestResume                    time.Duration
	// EarliestFirstEvent is the shortest predicted time to the first event at a usable endpoint; zero if there is none.
	EarliestFirstEvent time.Duration
	// ReportedEndpoints is the number of endpoints for which a recent report of the other hosts' load is in use, and
	// OldestReport the age of the oldest of these.
	ReportedEndpoints int
	OldestReport      time.Duration
}

// Snapshot returns what this host knows about the endpoints for a query. It changes nothing.
func (a *Assigner) Snapshot(q Query) Snapshot {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	pool := a.pools[q.Pool]
	var out Snapshot
	for s := range a.eligible(q) {
		_, state := a.availability(s, q, now)
		if state != notServing {
			out.ServingEndpoints++
		}
		switch state {
		case unusable:
			out.UnusableEndpoints++
		case leaving:
			out.LeavingEndpoints++
		case paused:
			out.PausedEndpoints++
			if rest := a.pauseRemaining(s, now); out.EarliestResume == 0 || rest < out.EarliestResume {
				out.EarliestResume = rest
			}
		case available, notServing:
		}
		if state != available {
			continue
		}
		if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age <= reportTTL {
			out.ReportedEndpoints++
			out.OldestReport = max(out.OldestReport, age)
		}
		predicted, _ := a.predict(pool, s, a.totalLoad(s, now), q, now)
		if out.EarliestFirstEvent == 0 || predicted < out.EarliestFirstEvent {
			out.EarliestFirstEvent = predicted
		}
	}
	return out
}

// isUsable reports whether requests may be sent to the endpoint now.
func (s *endpointState) isUsable() bool {
	return !s.down && !s.addressReused && s.breaker.Allows(s.localLoad.Requests)
}
