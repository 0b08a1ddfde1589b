// Package fairqueue queues requests by priority class. Within a class, weighted fair queueing divides the turns among
// the organisations.
package fairqueue

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// burstRequests is the number of requests that an organisation may have served in a row after it used less than its
// share.
const burstRequests = 3

// Class is a priority class; a lower value goes first.
type Class int

// Priority classes.
const (
	High Class = iota
	Normal
	Batch
	numClasses // the number of classes
)

// floorInterval is the number of turns of which one goes to the least-served organisation, whatever its class. It
// prevents starvation of the lower classes.
const floorInterval = 20

// ClassOf returns the class of a deployment's priority: positive is high, negative is batch.
func ClassOf(priority int) Class {
	switch {
	case priority > 0:
		return High
	case priority < 0:
		return Batch
	}
	return Normal
}

// maxWait is the maximum time in the queue for each class.
var maxWait = [numClasses]time.Duration{
	High:   400 * time.Millisecond,
	Normal: time.Second,
	Batch:  5 * time.Second,
}

// MaxWait returns the maximum time that a request of the class waits in a queue.
func (c Class) MaxWait() time.Duration {
	return maxWait[c]
}

// Item is one queued request.
type Item struct {
	ID           ident.RequestID
	Organisation ident.Organisation
	Class        Class
	// Cost is the amount of work that the request needs, in a unit that is the same for all items.
	Cost float64
	// Deadline is when the request must have been dispatched.
	Deadline time.Time
}

// Queue is a queue with priority classes and fair shares. It is not safe for concurrent use. Set its fields before use.
type Queue struct {
	// Weight returns the share of an organisation relative to the others; values below one count as one.
	Weight func(ident.Organisation) int
	// Capacity is the maximum number of queued items.
	Capacity int

	accounts map[ident.Organisation]*account
	// organisations are the keys of accounts, sorted.
	organisations []ident.Organisation
	// virtualTime is the fair-queueing virtual time of each class.
	virtualTime [numClasses]float64
	// floorTime is the virtual time of the turns that go to the least-served organisation.
	floorTime       float64
	turnsSinceFloor int
	size            int
}

// account is the state of one organisation.
type account struct {
	queues [numClasses][]*Item
	// servedTime is the virtual time up to which the organisation has been served, for each class. totalServed is the
	// same over all classes.
	servedTime  [numClasses]float64
	totalServed float64
	size        int
}

// Size returns the number of queued items.
func (q *Queue) Size() int {
	return q.size
}

// Push queues an item. If that exceeds the capacity, it evicts and returns an item, which may be the new one: the last
// item of the organisation that is furthest over its share in the lowest class. The only item of an organisation is not
// evicted as long as another organisation has more than one.
func (q *Queue) Push(it *Item) *Item {
	a := q.account(it.Organisation)
	if a.size == 0 {
		a.totalServed = max(a.totalServed, q.floorTime)
	}
	if len(a.queues[it.Class]) == 0 {
		credit := burstRequests * it.Cost / q.weight(it.Organisation)
		a.servedTime[it.Class] = max(a.servedTime[it.Class], q.virtualTime[it.Class]-credit)
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
	if q.accounts == nil {
		q.accounts = make(map[ident.Organisation]*account)
	}
	a, ok := q.accounts[o]
	if !ok {
		a = &account{}
		q.accounts[o] = a
		i, _ := slices.BinarySearch(q.organisations, o)
		q.organisations = slices.Insert(q.organisations, i, o)
	}
	return a
}

func (q *Queue) weight(o ident.Organisation) float64 {
	return float64(max(1, q.Weight(o)))
}

// evict removes an item of an organisation that has more than minKept items.
func (q *Queue) evict(minKept int) *Item {
	for c := numClasses - 1; c >= 0; c-- {
		var worst *account
		maxExcess := 0.0
		for _, o := range q.organisations {
			a := q.accounts[o]
			if excess := float64(len(a.queues[c])) / q.weight(o); excess > maxExcess && a.size > minKept {
				worst, maxExcess = a, excess
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

// Next removes and returns the next item, among those at the head of their queues for which fits returns true. It
// returns nil if there is none.
func (q *Queue) Next(fits func(*Item) bool) *Item {
	if q.size == 0 {
		return nil
	}
	if q.turnsSinceFloor+1 >= floorInterval {
		if it := q.nextLeastServed(fits); it != nil {
			q.turnsSinceFloor = 0
			return it
		}
	}
	for c := range numClasses {
		if it := q.nextFair(c, fits); it != nil {
			q.turnsSinceFloor++
			return it
		}
	}
	return nil
}

// nextFair dequeues from the organisation that has received the least of its share in a class.
func (q *Queue) nextFair(c Class, fits func(*Item) bool) *Item {
	organisations := q.organisationsWith(func(a *account) bool { return len(a.queues[c]) > 0 })
	slices.SortStableFunc(organisations, func(x, y ident.Organisation) int {
		return compare(q.accounts[x].servedTime[c], q.accounts[y].servedTime[c])
	})
	for _, o := range organisations {
		if it := q.accounts[o].queues[c][0]; fits(it) {
			q.dequeue(it)
			return it
		}
	}
	return nil
}

// nextLeastServed dequeues from the organisation that has received the least of its share over all classes.
func (q *Queue) nextLeastServed(fits func(*Item) bool) *Item {
	organisations := q.organisationsWith(func(a *account) bool { return a.size > 0 })
	slices.SortStableFunc(organisations, func(x, y ident.Organisation) int {
		return compare(q.accounts[x].totalServed, q.accounts[y].totalServed)
	})
	for _, o := range organisations {
		for _, items := range q.accounts[o].queues {
			if len(items) == 0 || !fits(items[0]) {
				continue
			}
			it := items[0]
			q.floorTime = max(q.floorTime, q.accounts[o].totalServed)
			q.dequeue(it)
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

// organisationsWith returns the organisations whose accounts satisfy has, in the order of their names.
func (q *Queue) organisationsWith(has func(*account) bool) []ident.Organisation {
	var matching []ident.Organisation
	for _, o := range q.organisations {
		if has(q.accounts[o]) {
			matching = append(matching, o)
		}
	}
	return matching
}

// dequeue removes an item at the head of its queue and charges it to its organisation.
func (q *Queue) dequeue(it *Item) {
	a := q.accounts[it.Organisation]
	a.remove(it.Class, 0)
	q.size--
	share := it.Cost / q.weight(it.Organisation)
	q.virtualTime[it.Class] = max(q.virtualTime[it.Class], a.servedTime[it.Class])
	a.servedTime[it.Class] += share
	a.totalServed += share
}
