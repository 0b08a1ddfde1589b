package fairqueue

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Ahead returns the number of items that go before a new one of the class and organisation.
func (s *Queue) Ahead(o ident.Organisation, c Class) int {
	n := 0
	for _, a := range s.orgs {
		for above := range c {
			n += len(a.queues[above])
		}
	}
	tag := s.now[c]
	a, ok := s.orgs[o]
	if ok && len(a.queues[c]) == 0 {
		tag = min(tag, a.served[c])
	} else if ok {
		tag = a.served[c]
		for _, it := range a.queues[c] {
			tag += it.Cost / s.weight(o)
		}
	}
	for name, a := range s.orgs {
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
			at += it.Cost / s.weight(name)
		}
	}
	if !ok || a.size == 0 {
		return min(n, s.floorTurns(o))
	}
	return n
}

// floorTurns returns the number of turns until the organisation is served as the one that was served least.
func (s *Queue) floorTurns(o ident.Organisation) int {
	total := s.floor
	if a, ok := s.orgs[o]; ok {
		total = a.total
		if a.size == 0 {
			total = max(total, s.floor)
		}
	}
	before := 0
	for name, a := range s.orgs {
		if name != o && a.size > 0 && a.total <= total {
			before++
		}
	}
	return (before+1)*floorEvery - s.turn
}

// Remove takes out an item whose caller has gone. It returns false if the item does not wait.
func (s *Queue) Remove(it *Item) bool {
	a, ok := s.orgs[it.Organisation]
	if !ok {
		return false
	}
	i := slices.Index(a.queues[it.Class], it)
	if i < 0 {
		return false
	}
	a.remove(it.Class, i)
	s.size--
	return true
}

// Late takes out and returns the items that cannot be handed over by their deadlines, when rate items a second are
// served: what they would have to wait, with all items that go before them, ends after their deadline.
func (s *Queue) Late(rate float64) []*Item {
	now := time.Now()
	var out []*Item
	before := 0
	for c := range classes {
		for _, it := range s.order(c) {
			if s.end(it, now, before, rate).Before(it.Deadline) {
				before++
				continue
			}
			s.Remove(it)
			out = append(out, it)
		}
	}
	return out
}

// end estimates when an item is handed over that has a number of items before it.
func (s *Queue) end(it *Item, now time.Time, before int, rate float64) time.Time {
	if s.orgs[it.Organisation].head() == it {
		before = min(before, s.floorTurns(it.Organisation))
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
func (s *Queue) order(c Class) []*Item {
	type tagged struct {
		item *Item
		tag  float64
	}
	var all []tagged
	for _, o := range s.names {
		a := s.orgs[o]
		tag := a.served[c]
		for _, it := range a.queues[c] {
			all = append(all, tagged{it, tag})
			tag += it.Cost / s.weight(o)
		}
	}
	slices.SortStableFunc(all, func(x, y tagged) int { return compare(x.tag, y.tag) })
	out := make([]*Item, len(all))
	for i, t := range all {
		out[i] = t.item
	}
	return out
}
