package slotreserver_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/slotreserver"
)

// observe reports, many times, that the first rank uses a share of the slots.
func observe(r *slotreserver.Reserver, share float64) {
	for range 500 {
		r.Observe(0, share)
	}
}

// Slots kept free for nobody would leave engines idle.
func TestNothingIsReservedWithoutMoreUrgentArrivals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &slotreserver.Reserver{}
		r.Arrive(1)
		observe(r, 0.9)
		is.Equal(r.Slots(1, 0.99), 0)
		is.True(!r.HasLessUrgent(1))
		r.Arrive(0)
		r.Admit(0)
		r.Admit(1)
		is.True(r.HasLessUrgent(0))
		is.True(r.Slots(1, 0) >= 2)
		is.Equal(r.Slots(0, 0.99), 0) // nothing is more urgent
		time.Sleep(10 * time.Second)
		is.Equal(r.Slots(1, 0.99), 0) // the last urgent request is long ago
		is.True(!r.HasLessUrgent(0))
	})
}

// More demand of the first rank, or refusals of it, reserve more; engines round the same number differently.
func TestReservationGrowsWithDemand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slots := func(share float64, isRefused bool, shift float64) int {
			r := &slotreserver.Reserver{}
			for range 10 {
				r.Arrive(0)
				r.Arrive(2)
				r.Admit(2)
				if !isRefused {
					r.Admit(0)
				}
			}
			observe(r, share)
			return r.Slots(2, shift)
		}
		is.Equal(slots(0.3, false, 0.1), 0)
		is.Equal(slots(0.3, false, 0.9), 1)
		is.Equal(slots(0.8, false, 0.1), 2)
		is.True(slots(0.4, true, 0.1) > slots(0.4, false, 0.1))
	})
}

// The last rank must not starve: a rank that is served less than a quarter as often as all ranks is not held back.
func TestRankThatIsHardlyServedIsNotHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &slotreserver.Reserver{}
		for range 10 {
			r.Arrive(0)
			r.Admit(0)
			r.Arrive(1)
		}
		is.True(r.IsStarved(1))
		is.True(!r.IsStarved(0))
		for range 4 {
			r.Admit(1)
		}
		is.True(!r.IsStarved(1))
	})
}

// Organisations were held back where nearly all requests of the rank are served, after a single refusal.
func TestSingleRefusalIsNoContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := &slotreserver.Reserver{}
		r.Arrive(1)
		is.True(!r.IsContended(1))
		for range 10 {
			r.Arrive(1)
		}
		is.True(r.IsContended(1))
		is.True(!r.IsContended(0))
	})
}
