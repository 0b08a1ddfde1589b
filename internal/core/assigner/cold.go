package assigner

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// coldSlowdownWeight is the weight of one observation in the mean slowdown of the cold endpoints of a pool. It is larger
// than slowdownMeanWeight, since a host sees few requests of the seconds for which endpoints are cold.
const coldSlowdownWeight = 0.1

// isCold reports whether an endpoint is cold, and therefore may be slower.
func (a *Assigner) isCold(s *endpointState) bool {
	return a.IsCold != nil && a.IsCold(s.Endpoint)
}

// meanSlowdown returns the mean slowdown observed at the endpoints of a pool that are cold, or at those that are not. For
// cold ones it is that of the others until one has been observed. The caller must hold a.mu.
func (a *Assigner) meanSlowdown(p ident.Pool, isCold bool) float64 {
	if m := a.coldSlowdownMeans[p]; isCold && m != nil {
		return *m
	}
	if m := a.slowdownMeans[p]; m != nil {
		return *m
	}
	return 1
}

// observeColdSlowdown records how many times longer than predicted a cold endpoint took. It does not count towards the mean
// of the endpoints that are not cold. The caller must hold a.mu.
func (a *Assigner) observeColdSlowdown(s *endpointState, observed float64, now time.Time) {
	s.slowdown = a.learnedSlowdown(s, now)*(1-slowdownWeight) + observed*slowdownWeight
	s.slowdownAt, s.wasCold = now, true
	if a.coldSlowdownMeans == nil {
		a.coldSlowdownMeans = make(map[ident.Pool]*float64)
	}
	mean := a.coldSlowdownMeans[s.Pool]
	if mean == nil {
		first := observed
		a.coldSlowdownMeans[s.Pool] = &first
		return
	}
	*mean += coldSlowdownWeight * (observed - *mean)
}
