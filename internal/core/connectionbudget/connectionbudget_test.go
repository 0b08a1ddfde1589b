package connectionbudget_test

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
)

// model is what the connections of a budget do, and since when.
type model struct {
	idle, opened, reading, serving, refused map[int]time.Duration
}

func (m *model) all() []map[int]time.Duration {
	return []map[int]time.Duration{m.idle, m.opened, m.reading, m.serving, m.refused}
}

func (m *model) remove(k int) {
	for _, set := range m.all() {
		delete(set, k)
	}
}

// pick returns a random connection of a set, or -1.
func pick(rng *rand.Rand, set map[int]time.Duration) int {
	if len(set) == 0 {
		return -1
	}
	keys := slices.Sorted(maps.Keys(set))
	return keys[rng.IntN(len(keys))]
}

// Guards against idle connections that use up the descriptors, against requests in progress that are cut for room, and against
// connections that are closed while others have been idle for longer.
func TestStateBudgetKeepsRequestsInProgress(t *testing.T) {
	const idleTime, headTime = 15 * time.Second, 3 * time.Second
	for seed := range uint64(300) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		b := connectionbudget.Budget[int]{Parts: connectionbudget.Parts{Callers: 2 + rng.IntN(30), Refused: 1 + rng.IntN(3)}}
		b.SetTimes(idleTime, headTime)
		m := &model{}
		for _, set := range []*map[int]time.Duration{&m.idle, &m.opened, &m.reading, &m.serving, &m.refused} {
			*set = make(map[int]time.Duration)
		}
		var now time.Duration
		// checkRoom checks that connections gave way for room in the right order.
		checkRoom := func(closed []int) {
			for _, k := range closed {
				_, isServing := m.serving[k]
				is.True(!isServing) // a request in progress was cut
				since, isIdle := m.idle[k]
				if !isIdle {
					since = max(m.opened[k], m.reading[k])
					is.True(now-since > time.Second)
				}
				for other, otherSince := range m.idle {
					is.True(otherSince >= since || slices.Contains(closed, other)) // the longest idle goes first
				}
			}
			for _, k := range closed {
				m.remove(k)
			}
		}
		for n := range 400 {
			switch rng.IntN(7) {
			case 0, 1:
				verdict, closed := b.Open(n)
				checkRoom(closed)
				switch verdict {
				case connectionbudget.Keep:
					m.opened[n] = now
				case connectionbudget.Refuse:
					m.refused[n] = now
					is.True(len(m.idle) == 0) // refused although there are idle connections
				case connectionbudget.Close:
					is.True(len(m.refused) >= b.Parts.Refused)
					is.True(b.IsFull())
				}
			case 2:
				if k := pick(rng, m.opened); k >= 0 {
					b.BeginHead(k)
					m.remove(k)
					m.reading[k] = now
				}
			case 3:
				for _, set := range []map[int]time.Duration{m.reading, m.idle, m.refused} {
					k := pick(rng, set)
					if k < 0 {
						continue
					}
					_, wasRefused := m.refused[k]
					m.remove(k)
					m.serving[k] = now
					ok, closed := b.BeginRequest(k)
					checkRoom(closed)
					if !ok {
						delete(m.serving, k)
						m.refused[k] = now
						is.True(wasRefused || len(m.idle) == 0) // refused although there are idle connections
					}
					break
				}
			case 4:
				if k := pick(rng, m.serving); k >= 0 {
					b.EndRequest(k)
					m.remove(k)
					m.idle[k] = now
				}
			case 5:
				if k := pick(rng, m.all()[rng.IntN(5)]); k >= 0 {
					b.Remove(k)
					m.remove(k)
				}
			case 6:
				d := time.Duration(rng.Int64N(int64(2 * time.Second)))
				now += d
				for _, k := range b.Advance(d) {
					_, isServing := m.serving[k]
					is.True(!isServing) // a request in progress was cut
					m.remove(k)
				}
				for _, since := range m.idle {
					is.True(now-since < idleTime) // idle for too long
				}
				for _, since := range m.reading {
					is.True(now-since < headTime+time.Second) // a head without end
				}
			}
			u := b.Usage()
			is.Equal(u, connectionbudget.Usage{Idle: len(m.idle) + len(m.opened), Reading: len(m.reading), Serving: len(m.serving), Refused: len(m.refused)})
			is.True(u.Idle+u.Reading+2*u.Serving <= b.Parts.Callers) // more than the part of the callers
		}
	}
}

// Guards against parts that exceed the descriptors, or that leave a class none.
func TestSplitLeavesEachClassAPart(t *testing.T) {
	is := is.New(t)
	is.Equal(connectionbudget.Split(0), connectionbudget.Parts{})
	is.Equal(connectionbudget.Split(-5), connectionbudget.Parts{})
	for _, n := range []int{64, 300, 2048, 2870, 4100, 8192} {
		p := connectionbudget.Split(n)
		is.True(p.Callers >= 2 && p.Refused >= 1 && p.Peers >= 1)
		is.True(p.Callers+p.Refused+p.Peers < n)
	}
}
