// Package fairqueue queues requests by class of priority, and within a class by weighted fair shares of the organisations.
package fairqueue

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// burst is the number of requests that an organisation may be served at once after it has used less than its share.
const burst = 3

// Class is a rank of work; a lower one goes first.
type Class int

// Classes of work.
const (
	High Class = iota
	Normal
	Batch
	classes
)

// floorEvery is the number of turns after which one turn goes to the organisation served least, whatever its class.
const floorEvery = 20

// Of returns the class of a deployment's priority: positive is high, negative is batch.
func Of(priority int) Class {
	switch {
	case priority > 0:
		return High
	case priority < 0:
		return Batch
	}
	return Normal
}

// patience is the most time that a request of each class waits.
var patience = [classes]time.Duration{
	High:   400 * time.Millisecond,
	Normal: time.Second,
	Batch:  5 * time.Second,
}

// Patience returns the most time that a request of the class waits in a queue.
func (c Class) Patience() time.Duration {
	return patience[c]
}

// Item is one queued request.
type Item struct {
	ID           ident.Request
	Organisation ident.Organisation
	Class        Class
	// Cost is the work that the request asks for, in any unit that is the same for all.
	Cost float64
	// Deadline is when the request must have been handed over.
	Deadline time.Time
}

// Queue is the queue. It is not safe for concurrent use. Set its fields before use.
type Queue struct {
	// Weight returns the share of an organisation relative to the others; less than one counts as one.
	Weight func(ident.Organisation) int
	// Capacity is the most items that wait at once.
	Capacity int

	orgs  map[ident.Organisation]*account
	names []ident.Organisation
	// now is the virtual time of each class.
	now [classes]float64
	// floor is the virtual time of the turns that go to the organisation served least.
	floor float64
	turn  int
	size  int
}

type account struct {
	queues [classes][]*Item
	// served is the virtual time up to which the organisation has been served, for each class and for all.
	served [classes]float64
	total  float64
	size   int
}

// Size returns the number of items that wait.
func (q *Queue) Size() int {
	return q.size
}

// Push queues an item. If the queue is full, the last item of the lowest class of the organisation that is furthest
// over its share is taken out and returned; it may be the new one. The only item of an organisation stays, as long as
// another organisation has more than one.
func (q *Queue) Push(it *Item) *Item {
	a := q.account(it.Organisation)
	if a.size == 0 {
		a.total = max(a.total, q.floor)
	}
	if len(a.queues[it.Class]) == 0 {
		credit := burst * it.Cost / q.weight(it.Organisation)
		a.served[it.Class] = max(a.served[it.Class], q.now[it.Class]-credit)
	}
	a.queues[it.Class] = append(a.queues[it.Class], it)
	a.size++
	q.size++
	if q.size <= q.Capacity {
		return nil
	}
	if it := q.evict(1); it != nil {
		return it
	}
	return q.evict(0)
}

func (q *Queue) account(o ident.Organisation) *account {
	if q.orgs == nil {
		q.orgs = make(map[ident.Organisation]*account)
	}
	a, ok := q.orgs[o]
	if !ok {
		a = &account{}
		q.orgs[o] = a
		i, _ := slices.BinarySearch(q.names, o)
		q.names = slices.Insert(q.names, i, o)
	}
	return a
}

func (q *Queue) weight(o ident.Organisation) float64 {
	return float64(max(1, q.Weight(o)))
}

// evict takes an item from an organisation that has more than spare.
func (q *Queue) evict(spare int) *Item {
	for c := classes - 1; c >= 0; c-- {
		var worst *account
		most := 0.0
		for _, o := range q.names {
			a := q.orgs[o]
			if over := float64(len(a.queues[c])) / q.weight(o); over > most && a.size > spare {
				worst, most = a, over
			}
		}
		if worst != nil {
			items := worst.queues[c]
			last := items[len(items)-1]
			worst.remove(c, len(items)-1)
			q.size--
			return last
		}
	}
	return nil
}

func (a *account) remove(c Class, i int) {
	a.queues[c] = slices.Delete(a.queues[c], i, i+1)
	a.size--
}

// Next takes out the item whose turn it is, among those at the head of their queues that fit. It returns nil if none does.
func (q *Queue) Next(fits func(*Item) bool) *Item {
	if q.size == 0 {
		return nil
	}
	if q.turn+1 >= floorEvery {
		if it := q.least(fits); it != nil {
			q.turn = 0
			return it
		}
	}
	for c := range classes {
		if it := q.fair(c, fits); it != nil {
			q.turn++
			return it
		}
	}
	return nil
}

// fair serves the organisation of a class that has had least of its share.
func (q *Queue) fair(c Class, fits func(*Item) bool) *Item {
	names := q.waiting(func(a *account) bool { return len(a.queues[c]) > 0 })
	slices.SortStableFunc(names, func(x, y ident.Organisation) int {
		return compare(q.orgs[x].served[c], q.orgs[y].served[c])
	})
	for _, o := range names {
		if it := q.orgs[o].queues[c][0]; fits(it) {
			q.serve(it)
			return it
		}
	}
	return nil
}

// least serves the organisation that has had least of its share over all classes.
func (q *Queue) least(fits func(*Item) bool) *Item {
	names := q.waiting(func(a *account) bool { return a.size > 0 })
	slices.SortStableFunc(names, func(x, y ident.Organisation) int {
		return compare(q.orgs[x].total, q.orgs[y].total)
	})
	for _, o := range names {
		for _, items := range q.orgs[o].queues {
			if len(items) == 0 || !fits(items[0]) {
				continue
			}
			it := items[0]
			q.floor = max(q.floor, q.orgs[o].total)
			q.serve(it)
			return it
		}
	}
	return nil
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func (q *Queue) waiting(has func(*account) bool) []ident.Organisation {
	var out []ident.Organisation
	for _, o := range q.names {
		if has(q.orgs[o]) {
			out = append(out, o)
		}
	}
	return out
}

func (q *Queue) serve(it *Item) {
	a := q.orgs[it.Organisation]
	a.remove(it.Class, 0)
	q.size--
	share := it.Cost / q.weight(it.Organisation)
	q.now[it.Class] = max(q.now[it.Class], a.served[it.Class])
	a.served[it.Class] += share
	a.total += share
}
