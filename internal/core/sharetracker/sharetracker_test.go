package sharetracker_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/sharetracker"
)

// add counts requests of an organisation.
func add(t *sharetracker.Tracker, name ident.Organisation, demanded, used int) {
	o := name.Key()
	for range demanded {
		t.Demand(0, o, 1)
	}
	for range used {
		t.Use(0, o)
	}
}

// What small organisations do not demand is divided among the large ones.
func TestFairShareIsMaxMin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &sharetracker.Tracker{}
		add(tracker, "small", 2, 2)
		add(tracker, "middle", 10, 7)
		add(tracker, "large", 40, 15)
		used, fair := tracker.Share(0, ident.Organisation("large").Key())
		is.Equal(used, 15.0)
		is.Equal(fair, 12.0) // what is left of 24 by those that demand less than an equal part of the rest
		_, fair = tracker.Share(1, ident.Organisation("large").Key())
		is.True(math.IsInf(fair, 1)) // another rank
	})
}

// Without contention, no organisation is above its share, however large it is.
func TestNoFairShareWithoutContention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &sharetracker.Tracker{}
		add(tracker, "small", 2, 2)
		add(tracker, "large", 40, 39)
		_, fair := tracker.Share(0, ident.Organisation("large").Key())
		is.True(math.IsInf(fair, 1))
	})
}

// A responder keeps nothing about organisations that send no more requests.
func TestPastUseIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &sharetracker.Tracker{}
		add(tracker, "large", 40, 15)
		time.Sleep(5 * time.Second)
		used, _ := tracker.Share(0, ident.Organisation("large").Key())
		is.True(used > 5 && used < 6)
		time.Sleep(time.Minute)
		used, fair := tracker.Share(0, ident.Organisation("large").Key())
		is.Equal(used, 0.0)
		is.True(math.IsInf(fair, 1))
	})
}
