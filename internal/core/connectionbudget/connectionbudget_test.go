package connectionbudget_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
)

type state int

const (
	idle state = iota
	opened
	reading
	receiving
	serving
	refused
)

// conn is a connection of the model.
type conn struct {
	state
	since time.Duration
}

// Guards against idle connections and bodies without progress that use up the descriptors, against complete requests that are cut
// for room, and against connections that are closed while others have been idle for longer.
func TestStateBudgetKeepsRequestsInProgress(t *testing.T) {
	const idleTime, headTime = 15 * time.Second, 3 * time.Second
	for seed := range uint64(300) {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 1))
		b := connectionbudget.Budget[int]{Parts: connectionbudget.Parts{Callers: 2 + rng.IntN(30), Kept: rng.IntN(30), Refused: 1 + rng.IntN(3)}}
		b.SetTimes(idleTime, headTime)
		conns := make(map[int]*conn)
		var now time.Duration
		count := func(s state) (n int) {
			for _, c := range conns {
				if c.state == s {
					n++
				}
			}
			return n
		}
		checkRoom := func(closed []int) {
			for _, k := range closed {
				c := conns[k]
				is.True(c.state != serving)                           // a request in progress was cut
				is.True(c.state == idle || now-c.since > time.Second) // a head that has just been awaited
				for other, o := range conns {
					is.True(o.state != idle || o.since >= c.since || slices.Contains(closed, other)) // the longest idle goes first
				}
			}
			for _, k := range closed {
				delete(conns, k)
			}
		}
		for n := range 400 {
			k := rng.IntN(n + 1)
			c := conns[k]
			switch action := rng.IntN(6); {
			case action < 2:
				verdict, closed := b.Open(n + 1)
				checkRoom(closed)
				if verdict == connectionbudget.Close {
					is.True(count(refused) >= b.Parts.Refused && b.IsFull())
					continue
				}
				conns[n+1] = &conn{opened, now}
				if verdict == connectionbudget.Refuse {
					is.Equal(count(idle), 0) // refused although there are idle connections
					conns[n+1].state = refused
				}
			case action == 2:
				d := time.Duration(rng.Int64N(int64(2 * time.Second)))
				now += d
				for _, k := range b.Advance(d) {
					is.True(conns[k].state != serving)
					delete(conns, k)
				}
				for _, c := range conns {
					is.True(c.state != idle && c.state != opened || now-c.since < idleTime)
					is.True(c.state != reading && c.state != refused || now-c.since < headTime+time.Second)
				}
			case c == nil:
			case action == 3:
				b.Remove(k)
				delete(conns, k)
			case c.state == opened:
				b.BeginHead(k)
				*c = conn{reading, now}
			case c.state == receiving && rng.IntN(2) == 0:
				b.Progress(k)
				c.since = now
			case c.state == receiving:
				b.EndBody(k)
				*c = conn{serving, now}
			case c.state == serving:
				b.EndRequest(k)
				*c = conn{idle, now}
			default:
				former := c.state
				*c = conn{serving, now}
				ok, closed := b.BeginRequest(k)
				checkRoom(closed)
				if !ok {
					c.state = refused
					is.True(former == refused || count(idle) == 0)
				} else if rng.IntN(2) == 0 {
					b.BeginBody(k)
					c.state = receiving
				}
			}
			is.Equal(b.Usage(), connectionbudget.Usage{Idle: count(idle) + count(opened), Reading: count(reading), Receiving: count(receiving), Serving: count(serving), Refused: count(refused)})
			is.True(b.Parts.Kept == 0 || len(conns)-count(refused) <= b.Parts.Kept)                                  // more than the memory allows
			is.True(count(idle)+count(opened)+count(reading)+2*(count(receiving)+count(serving)) <= b.Parts.Callers) // more than the part of the callers
		}
	}
}

// Guards against parts that exceed the descriptors, or that leave a class none.
func TestSplitLeavesEachClassAPart(t *testing.T) {
	is := is.New(t)
	const memory = 284_000_000
	for _, n := range []int{0, -5, 64, 300, 2048, 2870, 4100, 8192} {
		p := connectionbudget.Split(n, 0)
		is.Equal(n > 0, p.Callers >= 2 && p.Refused >= 1 && p.Peers >= 1 && p.Observers >= 2)
		is.True(p.Callers+p.Refused+p.Peers+2*p.Observers <= max(0, n))
		bounded := connectionbudget.Split(n, memory)
		is.True(bounded.Kept*connectionbudget.ConnectionBytes <= memory/8 && bounded.Kept >= 1 && bounded.Refused >= 1 && bounded.Observers >= 2)
		is.Equal(bounded.Callers, p.Callers)
	}
}
