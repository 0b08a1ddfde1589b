package assigner

import (
	"time"
)

// Snapshot holds the state that led to a refusal, for the logs.
type Snapshot struct {
	// ServingEndpoints is the number of endpoints that serve what the query requires. UnusableEndpoints is the number of
	// those that cannot be reached or are failing.
	ServingEndpoints, UnusableEndpoints int
	// RestrictedEndpoints is the number of those in zones that must not be used for the request.
	RestrictedEndpoints int
	// LeavingEndpoints, PausedEndpoints and LimitedEndpoints are the numbers of those that have said that they leave, asked
	// for a pause, or limit their requests and have got as many. EarliestResume is the shortest time until one of the latter
	// two may receive a request; zero if there is none.
	LeavingEndpoints, PausedEndpoints, LimitedEndpoints int
	EarliestResume                                      time.Duration
	// StalledEndpoints is the number of those that stand still.
	StalledEndpoints int
	// EjectedEndpoints is the number of those that fail far more often than the others of their pool.
	EjectedEndpoints int
	// EarliestFirstEvent is the shortest predicted time to the first event at a usable endpoint; zero if there is none.
	EarliestFirstEvent time.Duration
	// ReportedEndpoints is the number of endpoints for which a recent report of the other hosts' load is in use, and
	// OldestReport the age of the oldest of these.
	ReportedEndpoints int
	OldestReport      time.Duration
	// ReservedSlots is the largest number of slots that an engine keeps free of the request for more urgent ones.
	ReservedSlots int
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
		case restricted:
			out.RestrictedEndpoints++
		case leaving:
			out.LeavingEndpoints++
		case paused:
			out.PausedEndpoints++
			out.addResume(a.pauseRemaining(s, now))
		case limited:
			out.LimitedEndpoints++
			out.addResume(a.holdoffs.Get(s.Incarnation()).noPermitUntil.Sub(now))
		case stalled:
			out.StalledEndpoints++
		case ejected:
			out.EjectedEndpoints++
		case available, notServing:
		}
		if state != available {
			continue
		}
		if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age <= reportTTL {
			out.ReportedEndpoints++
			out.OldestReport = max(out.OldestReport, age)
		}
		if pool != nil && pool.Engine != nil {
			out.ReservedSlots = max(out.ReservedSlots, a.reservedSlots(q.class(), s))
		}
		predicted, _ := a.predict(pool, s, a.totalLoad(s, now), q, now)
		if out.EarliestFirstEvent == 0 || predicted < out.EarliestFirstEvent {
			out.EarliestFirstEvent = predicted
		}
	}
	return out
}

func (s *Snapshot) addResume(in time.Duration) {
	if s.EarliestResume == 0 || in < s.EarliestResume {
		s.EarliestResume = in
	}
}

// isUsable reports whether requests may be sent to the endpoint now.
func (s *endpointState) isUsable() bool {
	return !s.down && !s.addressReused && s.breaker.Allows(s.localLoad.Requests)
}
