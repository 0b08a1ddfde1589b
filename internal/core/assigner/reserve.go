package assigner

import (
	"hash/fnv"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/slotreserver"
)

// RecordArrival counts a request that has arrived for a pool. isLate says that its objective has passed.
func (a *Assigner) RecordArrival(p ident.Pool, rank ident.Rank, isLate bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if isLate {
		rank = ident.Rank(lateClass)
	}
	a.reserver(p).Arrive(rank)
}

// observeShares records the shares of the slots of an engine that the ranks use. The caller must hold a.mu.
func (a *Assigner) observeShares(s *endpointState) {
	pool := a.pools[s.Pool]
	if pool == nil || pool.Engine == nil {
		return
	}
	slots := float64(slotCount(pool, s))
	load := s.localLoad.Plus(s.othersLoad)
	r := a.reserver(s.Pool)
	for i, c := range load.Classes[:lateClass] {
		r.Observe(ident.Rank(i), float64(c.Requests)/slots)
	}
}

// reserver returns the reservation of slots in a pool. The caller must hold a.mu.
func (a *Assigner) reserver(p ident.Pool) *slotreserver.Reserver {
	r := a.reservers[p]
	if r == nil {
		if a.reservers == nil {
			a.reservers = make(map[ident.Pool]*slotreserver.Reserver)
		}
		r = &slotreserver.Reserver{}
		a.reservers[p] = r
	}
	return r
}

// reservedSlots returns the number of slots of an engine that a request of a class must leave free. The caller must hold
// a.mu.
func (a *Assigner) reservedSlots(c Class, s *endpointState) int {
	r := a.reserver(s.Pool)
	if c != lateClass && r.IsStarved(ident.Rank(c)) {
		return 0
	}
	return r.Slots(ident.Rank(c), s.reservationShift)
}

// reservationShift returns a number in [0, 1) that depends on the id of the endpoint alone, so that all hosts reserve
// slots at the same engines.
func reservationShift(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	const values = 1 << 53
	// The low bits of the sum differ more between short ids than the high ones.
	return float64(h.Sum64()%values) / values
}
