package assigner

import (
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Candidate is what an explanation says of one endpoint.
type Candidate struct {
	ID   string
	Zone ident.Zone
	// State says whether the endpoint may receive the request, and why not.
	State string
	// Load is the estimated load of all hosts at the endpoint. LoadAge is the age of the report of the others; it is
	// negative if there is none in use, so that the mean of the pool is taken.
	Load    Load
	LoadAge time.Duration
	// Predicted is the predicted time to the first event, Margin by how much it must be earlier than in the own zone, and
	// Fits whether the request may be assigned to the endpoint.
	Predicted, Margin time.Duration
	Fits              bool
}

// Explanation is the decision on a query as of now.
type Explanation struct {
	Candidates []Candidate
	// Endpoint is the id of the endpoint that the request would be assigned to, or empty with a refusal.
	Endpoint string
	Refusal  Refusal
}

func (s availability) String() string {
	switch s {
	case available:
		return "available"
	case notServing:
		return "not-serving"
	case restricted:
		return string(Restricted)
	case unusable:
		return "unusable"
	case leaving:
		return "leaving"
	case paused:
		return string(Paused)
	case limited:
		return string(Limited)
	case stalled:
		return "stalled"
	case ejected:
		return "ejected"
	default:
		return "unknown"
	}
}

// Explain returns the decision on a query without assigning anything. A request queries a few endpoints at random and
// decides on their replies. The explanation covers all endpoints of the pool and the loads that are known without a query:
// first those of the own zone, then those of all zones.
func (a *Assigner) Explain(q Query) Explanation {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	m := a.members[q.Pool]
	if m == nil {
		return Explanation{Refusal: NoEndpoint}
	}
	var out Explanation
	for _, among := range [][]*endpointState{m.inZone, m.all} {
		q.Among = make(map[string]bool, len(among))
		for _, s := range among {
			q.Among[s.ID] = true
		}
		best, _, refusal := a.choose(q, now)
		if out.Refusal = refusal; best != nil {
			out.Endpoint = best.ID
			break
		}
	}
	isStrict := a.Balancer != nil && a.hasOwnAvailable(a.eligible(q), q, now)
	for _, s := range m.all {
		out.Candidates = append(out.Candidates, a.explainCandidate(s, q, now, isStrict))
	}
	slices.SortFunc(out.Candidates, func(x, y Candidate) int {
		if n := strings.Compare(string(x.Zone), string(y.Zone)); n != 0 {
			return n
		}
		return strings.Compare(x.ID, y.ID)
	})
	return out
}

// explainCandidate explains the decision on one endpoint. The caller must hold a.mu.
func (a *Assigner) explainCandidate(s *endpointState, q Query, now time.Time, isStrict bool) Candidate {
	release, state := a.availability(s, q, now)
	out := Candidate{ID: s.ID, Zone: s.Zone, State: state.String(), Load: a.totalLoad(s, now), LoadAge: -1}
	if age := now.Sub(s.reportedAt); !s.reportedAt.IsZero() && age <= reportTTL {
		out.LoadAge = age
	}
	pool := a.pools[q.Pool]
	if s.Zone == a.Zone {
		out.Predicted, out.Fits = a.predict(pool, s, out.Load, q, now)
	} else {
		out.Predicted, out.Margin, out.Fits = a.predictElsewhere(pool, s, out.Load, q, now, isStrict)
	}
	out.Fits = out.Fits && state == available && beginsInTime(q, release, now.Add(out.Predicted))
	return out
}
