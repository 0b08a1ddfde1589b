package fairqueue_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fairqueue"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

func fitsAll(*fairqueue.Item) bool { return true }

func org(i int) ident.Organisation {
	return ident.Organisation(fmt.Sprintf("org-%d", i))
}

// TestStateFairShares keeps all organisations backlogged in one class and checks that the cost served to each stays in
// proportion to its weight.
func TestStateFairShares(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 8).Draw(rt, "weights")
		const maxCost = 10
		q := &fairqueue.Queue{Capacity: 1000, Weight: func(o ident.Organisation) int {
			var i int
			_, _ = fmt.Sscanf(string(o), "org-%d", &i)
			return weights[i]
		}}
		pushed := 0
		push := func(i int) {
			pushed++
			cost := rapid.Float64Range(1, maxCost).Draw(rt, "cost")
			q.Push(&fairqueue.Item{ID: ident.RequestID(fmt.Sprint(pushed)), Organisation: org(i), Class: fairqueue.Normal, Cost: cost})
		}
		for i := range weights {
			push(i)
			push(i)
		}
		served := make([]float64, len(weights))
		for range 200 {
			it := q.Next(fitsAll)
			var i int
			_, _ = fmt.Sscanf(string(it.Organisation), "org-%d", &i)
			served[i] += it.Cost / float64(weights[i])
			push(i)
			for a := range served {
				for b := range served {
					if difference := math.Abs(served[a] - served[b]); difference > 2*maxCost {
						rt.Fatalf("served cost per weight of organisations %d and %d differs by %.1f: served %v, weights %v", a, b, difference, served, weights)
					}
				}
			}
		}
	})
}

// TestStateNoStarvation keeps organisations backlogged in the higher classes and checks that one with only batch
// requests is still served.
func TestStateNoStarvation(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		orgs := rapid.IntRange(1, 6).Draw(rt, "organisations")
		q := &fairqueue.Queue{Capacity: 1000, Weight: func(ident.Organisation) int { return 1 }}
		pushed := 0
		push := func(o ident.Organisation, c fairqueue.Class) {
			pushed++
			q.Push(&fairqueue.Item{ID: ident.RequestID(fmt.Sprint(pushed)), Organisation: o, Class: c, Cost: 1})
		}
		push("small", fairqueue.Batch)
		skipped := 0
		for range 400 {
			for i := range orgs {
				push(org(i), fairqueue.Class(rapid.IntRange(0, 1).Draw(rt, "class")))
			}
			if q.Next(fitsAll).Organisation != "small" {
				skipped++
			} else {
				skipped = 0
				push("small", fairqueue.Batch)
			}
			if skipped > 20*(orgs+1) {
				rt.Fatalf("the organisation with only batch requests was passed over %d times in a row", skipped)
			}
		}
	})
}

// TestStatePriority checks that at most one turn in twenty serves a lower class before a higher one, and that eviction
// starts with the lowest class.
func TestStatePriority(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		q := &fairqueue.Queue{Capacity: 40, Weight: func(ident.Organisation) int { return 1 }}
		waiting := make(map[fairqueue.Class]int)
		queuedOf := make(map[ident.Organisation]int)
		inversions, turns := 0, 0
		for i := range 300 {
			if rapid.IntRange(0, 9).Draw(rt, "operation") < 6 {
				c := fairqueue.Class(rapid.IntRange(0, 2).Draw(rt, "class"))
				waiting[c]++
				queuedOf[org(i%5)]++
				if evicted := q.Push(&fairqueue.Item{ID: ident.RequestID(fmt.Sprint(i)), Organisation: org(i % 5), Class: c, Cost: 1}); evicted != nil {
					single := 0
					for _, n := range queuedOf {
						if n == 1 {
							single++
						}
					}
					for lower := evicted.Class + 1; lower <= fairqueue.Batch; lower++ {
						if waiting[lower] > single {
							rt.Fatalf("item of class %d was evicted before one of class %d", evicted.Class, lower)
						}
					}
					waiting[evicted.Class]--
					queuedOf[evicted.Organisation]--
				}
				continue
			}
			it := q.Next(fitsAll)
			if it == nil {
				continue
			}
			turns++
			for c := range it.Class {
				if waiting[c] > 0 {
					inversions++
					break
				}
			}
			waiting[it.Class]--
			queuedOf[it.Organisation]--
		}
		if inversions > turns/20+1 {
			rt.Fatalf("%d of %d turns served a lower class before a higher one", inversions, turns)
		}
	})
}

func TestPushEvictsFromOrganisationFurthestOverItsShare(t *testing.T) {
	is := is.New(t)
	q := &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }}
	for i := range 4 {
		is.True(q.Push(&fairqueue.Item{ID: ident.RequestID(fmt.Sprint(i)), Organisation: "large", Cost: 1}) == nil)
	}
	evicted := q.Push(&fairqueue.Item{ID: "new", Organisation: "small", Cost: 1})
	is.Equal(evicted.ID, ident.RequestID("3"))
	is.Equal(q.Size(), 4)
}

func TestRemoveLateRemovesItemsThatMissTheirDeadline(t *testing.T) {
	is := is.New(t)
	q := &fairqueue.Queue{Capacity: 10, Weight: func(ident.Organisation) int { return 1 }}
	now := time.Now()
	q.Push(&fairqueue.Item{ID: "a", Organisation: "o", Cost: 1, Deadline: now.Add(time.Second)})
	q.Push(&fairqueue.Item{ID: "b", Organisation: "o", Cost: 1, Deadline: now.Add(time.Second)})
	late := q.RemoveLate(0.5)
	is.Equal(len(late), 1)
	is.Equal(late[0].ID, ident.RequestID("b"))
	is.Equal(q.Size(), 1)
}
