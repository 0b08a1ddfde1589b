package fairqueue

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// CountAhead returns the number of items that would be dispatched before a new item of the organisation and class.
func (q *Queue) CountAhead(o ident.Organisation, c Class) int {
	n := 0
	for _, a := range q.accounts {
		for higher := range c {
			n += len(a.queues[higher])
		}
	}
	// tag is the virtual time at which the new item would be served.
	tag := q.virtualTime[c]
	a, ok := q.accounts[o]
	if ok && len(a.queues[c]) == 0 {
		tag = min(tag, a.servedTime[c])
	} else if ok {
		tag = a.servedTime[c]
		for _, it := range a.queues[c] {
			tag += it.Cost / q.weight(o)
		}
	}
	for name, a := range q.accounts {
		if name == o {
			n += len(a.queues[c])
			continue
		}
		itemTag := a.servedTime[c]
		for _, it := range a.queues[c] {
			if itemTag > tag {
				break
			}
			n++
			itemTag += it.Cost / q.weight(name)
		}
	}
	if !ok || a.size == 0 {
		return min(n, q.floorTurns(o))
	}
	return n
}

// floorTurns returns the number of turns until the organisation is served as the least-served one.
func (q *Queue) floorTurns(o ident.Organisation) int {
	total := q.floorTime
	if a, ok := q.accounts[o]; ok {
		total = a.totalServed
		if a.size == 0 {
			total = max(total, q.floorTime)
		}
	}
	before := 0
	for name, a := range q.accounts {
		if name != o && a.size > 0 && a.totalServed <= total {
			before++
		}
	}
	return (before+1)*floorInterval - q.turnsSinceFloor
}

// Remove removes an item, for example because its caller disconnected. It returns false if the item is not queued.
func (q *Queue) Remove(it *Item) bool {
	a, ok := q.accounts[it.Organisation]
	if !ok {
		return false
	}
	i := slices.Index(a.queues[it.Class], it)
	if i < 0 {
		return false
	}
	a.remove(it.Class, i)
	q.size--
	return true
}

// RemoveLate removes and returns the items that cannot be dispatched before their deadlines if rate items per second
// are dispatched in order.
func (q *Queue) RemoveLate(rate float64) []*Item {
	now := time.Now()
	var late []*Item
	before := 0
	for c := range numClasses {
		for _, it := range q.dispatchOrder(c) {
			if q.estimateDispatch(it, now, before, rate).Before(it.Deadline) {
				before++
				continue
			}
			q.Remove(it)
			late = append(late, it)
		}
	}
	return late
}

// estimateDispatch estimates when an item with a number of items before it is dispatched.
func (q *Queue) estimateDispatch(it *Item, now time.Time, before int, rate float64) time.Time {
	if q.accounts[it.Organisation].head() == it {
		before = min(before, q.floorTurns(it.Organisation))
	}
	if rate == 0 {
		return now
	}
	return now.Add(time.Duration(float64(before) / rate * float64(time.Second)))
}

// head returns the organisation's first item of its highest class.
func (a *account) head() *Item {
	for _, q := range a.queues {
		if len(q) > 0 {
			return q[0]
		}
	}
	return nil
}

// dispatchOrder returns the items of a class in the order in which they are dispatched.
func (q *Queue) dispatchOrder(c Class) []*Item {
	type tagged struct {
		item *Item
		tag  float64
	}
	var all []tagged
	for _, o := range q.organisations {
		a := q.accounts[o]
		tag := a.servedTime[c]
		for _, it := range a.queues[c] {
			all = append(all, tagged{it, tag})
			tag += it.Cost / q.weight(o)
		}
	}
	slices.SortStableFunc(all, func(x, y tagged) int { return compare(x.tag, y.tag) })
	items := make([]*Item, len(all))
	for i, t := range all {
		items[i] = t.item
	}
	return items
}
