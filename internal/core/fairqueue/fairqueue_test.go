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

func all(*fairqueue.Item) bool { return true }

func org(i int) ident.Organisation {
	return ident.Organisation(fmt.Sprintf("org-%d", i))
}

// TestStateFairShares keeps all organisations backlogged in one class and compares the work served with the weights.
func TestStateFairShares(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), 2, 8).Draw(rt, "weights")
		const maxCost = 10
		s := &fairqueue.Queue{Capacity: 1000, Weight: func(o ident.Organisation) int {
			var i int
			_, _ = fmt.Sscanf(string(o), "org-%d", &i)
			return weights[i]
		}}
		n := 0
		push := func(i int) {
			n++
			cost := rapid.Float64Range(1, maxCost).Draw(rt, "cost")
			s.Push(&fairqueue.Item{ID: ident.Request(fmt.Sprint(n)), Organisation: org(i), Class: fairqueue.Normal, Cost: cost})
		}
		for i := range weights {
			push(i)
			push(i)
		}
		served := make([]float64, len(weights))
		for range 200 {
			it := s.Next(all)
			var i int
			_, _ = fmt.Sscanf(string(it.Organisation), "org-%d", &i)
			served[i] += it.Cost / float64(weights[i])
			push(i)
			for a := range served {
				for b := range served {
					if gap := math.Abs(served[a] - served[b]); gap > 2*maxCost {
						rt.Fatalf("organisations %d and %d are %.1f apart: served by weight %v, weights %v", a, b, gap, served, weights)
					}
				}
			}
		}
	})
}

// TestStateNoStarvation lets organisations with higher classes push without end. One with batch work only is served still.
func TestStateNoStarvation(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		orgs := rapid.IntRange(1, 6).Draw(rt, "organisations")
		s := &fairqueue.Queue{Capacity: 1000, Weight: func(ident.Organisation) int { return 1 }}
		n := 0
		push := func(o ident.Organisation, c fairqueue.Class) {
			n++
			s.Push(&fairqueue.Item{ID: ident.Request(fmt.Sprint(n)), Organisation: o, Class: c, Cost: 1})
		}
		push("small", fairqueue.Batch)
		wait := 0
		for range 400 {
			for i := range orgs {
				push(org(i), fairqueue.Class(rapid.IntRange(0, 1).Draw(rt, "class")))
			}
			if s.Next(all).Organisation != "small" {
				wait++
			} else {
				wait = 0
				push("small", fairqueue.Batch)
			}
			if wait > 20*(orgs+1) {
				rt.Fatalf("the organisation with batch work only was passed over %d times", wait)
			}
		}
	})
}

// TestStatePriority never serves a lower class before a higher one, but for one turn in twenty.
func TestStatePriority(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		s := &fairqueue.Queue{Capacity: 40, Weight: func(ident.Organisation) int { return 1 }}
		waiting := make(map[fairqueue.Class]int)
		ofOrg := make(map[ident.Organisation]int)
		inversions, turns := 0, 0
		for i := range 300 {
			if rapid.IntRange(0, 9).Draw(rt, "operation") < 6 {
				c := fairqueue.Class(rapid.IntRange(0, 2).Draw(rt, "class"))
				waiting[c]++
				ofOrg[org(i%5)]++
				if shed := s.Push(&fairqueue.Item{ID: ident.Request(fmt.Sprint(i)), Organisation: org(i % 5), Class: c, Cost: 1}); shed != nil {
					single := 0
					for _, n := range ofOrg {
						if n == 1 {
							single++
						}
					}
					for lower := shed.Class + 1; lower <= fairqueue.Batch; lower++ {
						if waiting[lower] > single {
							rt.Fatalf("class %d was shed before class %d", shed.Class, lower)
						}
					}
					waiting[shed.Class]--
					ofOrg[shed.Organisation]--
				}
				continue
			}
			it := s.Next(all)
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
			ofOrg[it.Organisation]--
		}
		if inversions > turns/20+1 {
			rt.Fatalf("%d of %d turns served a lower class first", inversions, turns)
		}
	})
}

func TestEvictsTheOneFurthestOverItsShare(t *testing.T) {
	is := is.New(t)
	s := &fairqueue.Queue{Capacity: 4, Weight: func(ident.Organisation) int { return 1 }}
	for i := range 4 {
		is.True(s.Push(&fairqueue.Item{ID: ident.Request(fmt.Sprint(i)), Organisation: "large", Cost: 1}) == nil)
	}
	shed := s.Push(&fairqueue.Item{ID: "new", Organisation: "small", Cost: 1})
	is.Equal(shed.ID, ident.Request("3"))
	is.Equal(s.Size(), 4)
}

func TestLate(t *testing.T) {
	is := is.New(t)
	s := &fairqueue.Queue{Capacity: 10, Weight: func(ident.Organisation) int { return 1 }}
	now := time.Now()
	s.Push(&fairqueue.Item{ID: "a", Organisation: "o", Cost: 1, Deadline: now.Add(time.Second)})
	s.Push(&fairqueue.Item{ID: "b", Organisation: "o", Cost: 1, Deadline: now.Add(time.Second)})
	late := s.Late(0.5)
	is.Equal(len(late), 1)
	is.Equal(late[0].ID, ident.Request("b"))
	is.Equal(s.Size(), 1)
}
