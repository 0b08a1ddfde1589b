package fairqueue

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Ahead returns the number of items that go before a new one of the class and organisation.
func (q *Queue) Ahead(o ident.Organisation, c Class) int {
	n := 0
	for _, a := range q.orgs {
		for above := range c {
			n += len(a.queues[above])
		}
	}
	tag := q.now[c]
	a, ok := q.orgs[o]
	if ok && len(a.queues[c]) == 0 {
		tag = min(tag, a.served[c])
	} else if ok {
		tag = a.served[c]
		for _, it := range a.queues[c] {
			tag += it.Cost / q.weight(o)
		}
	}
	for name, a := range q.orgs {
		if name == o {
			n += len(a.queues[c])
			continue
		}
		at := a.served[c]
		for _, it := range a.queues[c] {
			if at > tag {
				break
			}
			n++
			at += it.Cost / q.weight(name)
		}
	}
	if !ok || a.size == 0 {
		return min(n, q.floorTurns(o))
	}
	return n
}

// floorTurns returns the number of turns until the organisation is served as the one that was served least.
func (q *Queue) floorTurns(o ident.Organisation) int {
	total := q.floor
	if a, ok := q.orgs[o]; ok {
		total = a.total
		if a.size == 0 {
			total = max(total, q.floor)
		}
	}
	before := 0
	for name, a := range q.orgs {
		if name != o && a.size > 0 && a.total <= total {
			before++
		}
	}
	return (before+1)*floorEvery - q.turn
}

// Remove takes out an item whose caller has gone. It returns false if the item does not wait.
func (q *Queue) Remove(it *Item) bool {
	a, ok := q.orgs[it.Organisation]
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

// Late takes out and returns the items that cannot be handed over by their deadlines, when rate items a second are
// served: what they would have to wait, with all items that go before them, ends after their deadline.
func (q *Queue) Late(rate float64) []*Item {
	now := time.Now()
	var out []*Item
	before := 0
	for c := range classes {
		for _, it := range q.order(c) {
			if q.end(it, now, before, rate).Before(it.Deadline) {
				before++
				continue
			}
			q.Remove(it)
			out = append(out, it)
		}
	}
	return out
}

// end estimates when an item is handed over that has a number of items before it.
func (q *Queue) end(it *Item, now time.Time, before int, rate float64) time.Time {
	if q.orgs[it.Organisation].head() == it {
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

// order returns the items of a class in the order of their turns.
func (q *Queue) order(c Class) []*Item {
	type tagged struct {
		item *Item
		tag  float64
	}
	var all []tagged
	for _, o := range q.names {
		a := q.orgs[o]
		tag := a.served[c]
		for _, it := range a.queues[c] {
			all = append(all, tagged{it, tag})
			tag += it.Cost / q.weight(o)
		}
	}
	slices.SortStableFunc(all, func(x, y tagged) int { return compare(x.tag, y.tag) })
	out := make([]*Item, len(all))
	for i, t := range all {
		out[i] = t.item
	}
	return out
}
