package sharer

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Ahead returns the number of items that go before a new one of the class and organisation.
func (s *Sharer) Ahead(o ident.Organisation, c Class) int {
	n := 0
	own := 0
	if a, ok := s.orgs[o]; ok {
		own = len(a.queues[c])
	}
	for _, name := range s.names {
		a := s.orgs[name]
		for above := range c {
			n += len(a.queues[above])
		}
		if name == o {
			n += own
			continue
		}
		turns := int(float64(own+1) * s.weight(name) / s.weight(o))
		n += min(len(a.queues[c]), turns)
	}
	if a, ok := s.orgs[o]; !ok || a.size == 0 {
		return min(n, s.floorTurns(o))
	}
	return n
}

// floorTurns returns the number of turns until the organisation is served as the one that was served least.
func (s *Sharer) floorTurns(o ident.Organisation) int {
	total := s.floor
	if a, ok := s.orgs[o]; ok {
		total = a.total
		if a.size == 0 {
			total = max(total, s.floor)
		}
	}
	before := 0
	for _, name := range s.names {
		if a := s.orgs[name]; name != o && a.size > 0 && a.total <= total {
			before++
		}
	}
	return (before+1)*floorEvery - s.turn
}

// Remove takes out an item whose caller has gone. It returns false if the item does not wait.
func (s *Sharer) Remove(it *Item) bool {
	a, ok := s.orgs[it.Organisation]
	if !ok {
		return false
	}
	for i, other := range a.queues[it.Class] {
		if other == it {
			a.remove(it.Class, i)
			s.size--
			return true
		}
	}
	return false
}

// Late takes out and returns the items that cannot be handed over by their deadlines, when rate items a second are
// served: what they would have to wait, with all items that go before them, ends after their deadline.
func (s *Sharer) Late(rate float64) []*Item {
	now := time.Now()
	var out []*Item
	before := 0
	for c := range classes {
		n := 0
		weights := 0.0
		for _, o := range s.waiting(func(a *account) bool { return len(a.queues[c]) > 0 }) {
			weights += s.weight(o)
		}
		for _, o := range s.names {
			n += len(s.orgs[o].queues[c])
			out = append(out, s.late(o, c, now, rate, float64(before), weights/s.weight(o))...)
		}
		before += n
	}
	return out
}

func (s *Sharer) late(o ident.Organisation, c Class, now time.Time, rate, before, turns float64) []*Item {
	var out, left []*Item
	a := s.orgs[o]
	higher := 0
	for above := range c {
		higher += len(a.queues[above])
	}
	for _, it := range a.queues[c] {
		end := now
		ahead := before + float64(len(left))*turns
		if higher == 0 && len(left) == 0 {
			ahead = min(ahead, float64(s.floorTurns(o)))
		}
		if rate > 0 && ahead > 0 {
			end = now.Add(time.Duration(ahead / rate * float64(time.Second)))
		}
		if end.Before(it.Deadline) {
			left = append(left, it)
			continue
		}
		out = append(out, it)
	}
	a.queues[c] = left
	a.size -= len(out)
	s.size -= len(out)
	return out
}
