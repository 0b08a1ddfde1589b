// Package connectionbudget decides which connections of callers a process keeps open, so that those that do nothing never use
// up the descriptors that requests in progress and other hosts need.
//
// A connection is closed once it has been idle for the time that the configuration states, and earlier, the longest idle
// first, when the part of the callers is used up. One that sends the head of a request slowly counts as idle after a second, and
// so does one that sends its body without progress. A request that is complete is never cut for room. What finds no room is answered with a refusal, from a part of its own, and if
// that is used up too, it is closed at once.
//
// Times are those in which the process ran: after a standstill, what callers have sent meanwhile is read before their
// connections count as idle.
package connectionbudget

import (
	"container/list"
	"time"
)

const (
	// minHeadTime is how long a caller may take to send the head of a request, or to send anything on a new connection,
	// whatever else needs room. It is added to the time that SetTimes states, since a head may be late on its way.
	minHeadTime = time.Second
	// fullTime is how long the budget counts as full after a connection was closed for want of room.
	fullTime = time.Second
)

// Verdict says what is done with a new connection.
type Verdict int

const (
	// Keep means that the connection is served.
	Keep Verdict = iota
	// Refuse means that its first request is answered with a refusal, and that it is closed then.
	Refuse
	// Close means that it is closed at once.
	Close
)

type state int

const (
	// idle means that a request was served and the next one has not begun, and opened that none has begun yet.
	idle state = iota
	opened
	// reading means that a part of the head of a request has arrived.
	reading
	// receiving means that the head of a request is complete and its body is not.
	receiving
	serving
	refused
	stateCount
)

type entry[K comparable] struct {
	key   K
	state state
	since time.Duration
}

// Budget keeps account of the connections of callers, each of which has a key. Set Parts before use. It is not safe for
// concurrent use.
type Budget[K comparable] struct {
	Parts Parts

	idleTime, headTime time.Duration
	// now is the time in which the process ran, and fullUntil the time until which the budget counts as full.
	now, fullUntil time.Duration
	// lists holds the entries of each state, the longest in it first.
	lists   [stateCount]list.List
	entries map[K]*list.Element
}

// SetTimes sets how long a connection may be idle, and how long a caller may take to send the head of a request. Zero sets no
// limit.
func (b *Budget[K]) SetTimes(idleTime, headTime time.Duration) {
	b.idleTime, b.headTime = max(0, idleTime), 0
	if headTime > 0 {
		b.headTime = headTime + minHeadTime
	}
}

// Open decides on a new connection. The connections that it returns must be closed; they are no longer in the account.
func (b *Budget[K]) Open(k K) (verdict Verdict, closed []K) {
	closed, ok := b.makeRoom(1)
	switch {
	case ok:
		b.add(k, opened)
		return Keep, closed
	case b.lists[refused].Len() < b.Parts.Refused:
		b.add(k, refused)
		return Refuse, closed
	default:
		b.fullUntil = b.now + fullTime
		return Close, closed
	}
}

// BeginRequest records that the head of a request is complete, and reports whether there is room for it. The connections that
// it returns must be closed.
func (b *Budget[K]) BeginRequest(k K) (ok bool, closed []K) {
	e := b.find(k)
	if e == nil || e.state == refused {
		return false, nil
	}
	b.move(k, serving)
	if closed, ok = b.makeRoom(0); !ok {
		// The connection ends with the refusal.
		b.move(k, refused)
	}
	return ok, closed
}

// BeginBody records that the body of the request that has begun is not complete.
func (b *Budget[K]) BeginBody(k K) {
	if e := b.find(k); e != nil && e.state == serving {
		b.move(k, receiving)
	}
}

// Progress records that the body of the request has made progress.
func (b *Budget[K]) Progress(k K) {
	if e := b.find(k); e != nil && e.state == receiving {
		b.move(k, receiving)
	}
}

// EndBody records that the body of the request is complete.
func (b *Budget[K]) EndBody(k K) {
	if e := b.find(k); e != nil && e.state == receiving {
		b.move(k, serving)
	}
}

// BeginHead records that the head of a further request has begun.
func (b *Budget[K]) BeginHead(k K) {
	if e := b.find(k); e != nil && (e.state == idle || e.state == opened) {
		b.move(k, reading)
	}
}

// EndRequest records that the connection awaits the next request.
func (b *Budget[K]) EndRequest(k K) {
	if e := b.find(k); e != nil && e.state != refused {
		b.move(k, idle)
	}
}

// Remove records that a connection is closed.
func (b *Budget[K]) Remove(k K) {
	if el, ok := b.entries[k]; ok {
		b.lists[b.find(k).state].Remove(el)
		delete(b.entries, k)
	}
}

// Advance records that the process ran for a time. The connections that it returns have been idle, or have sent the head of a
// request, for too long, and must be closed.
func (b *Budget[K]) Advance(d time.Duration) (closed []K) {
	b.now += d
	for s, limit := range [...]time.Duration{idle: b.idleTime, opened: b.idleTime, reading: b.headTime, refused: b.headTime} {
		closed = b.expire(closed, state(s), limit)
	}
	return closed
}

// IsFull reports whether a connection was closed a moment ago for want of room.
func (b *Budget[K]) IsFull() bool {
	return b.now < b.fullUntil
}

// Usage is the number of connections of callers by what they do.
type Usage struct {
	// Idle counts those that await a request, Reading those that have sent a part of its head, Receiving those that have sent a
	// part of its body, and Serving those whose request is complete.
	Idle, Reading, Receiving, Serving, Refused int
}

// Usage returns the numbers of connections now.
func (b *Budget[K]) Usage() Usage {
	return Usage{Idle: b.lists[idle].Len() + b.lists[opened].Len(), Reading: b.lists[reading].Len(), Receiving: b.lists[receiving].Len(), Serving: b.lists[serving].Len(), Refused: b.lists[refused].Len()}
}

func (b *Budget[K]) used() int {
	return b.lists[idle].Len() + b.lists[opened].Len() + b.lists[reading].Len() + servedCost*(b.lists[receiving].Len()+b.lists[serving].Len())
}

// kept returns the number of connections that are not refused.
func (b *Budget[K]) kept() int {
	return len(b.entries) - b.lists[refused].Len()
}

// makeRoom takes connections out of the account until n more fit, and reports whether they do. It takes those that have done
// nothing for the longest time, and of those whose head or body is awaited only the ones for which minHeadTime has passed. If they
// do not suffice, it takes none.
func (b *Budget[K]) makeRoom(n int) (closed []K, ok bool) {
	excess, excessKept := 0, 0
	if b.Parts.Callers > 0 {
		excess = b.used() + n - b.Parts.Callers
	}
	if b.Parts.Kept > 0 {
		excessKept = b.kept() + n - b.Parts.Kept
	}
	next := [...]*list.Element{idle: b.lists[idle].Front(), opened: b.lists[opened].Front(), reading: b.lists[reading].Front(), receiving: b.lists[receiving].Front()}
	for excess > 0 || excessKept > 0 {
		oldest := stateCount
		for s, el := range next {
			if el == nil || state(s) != idle && b.now-since[K](el) <= minHeadTime {
				continue
			}
			if oldest == stateCount || since[K](el) < since[K](next[oldest]) {
				oldest = state(s)
			}
		}
		if oldest == stateCount {
			return nil, false
		}
		closed = append(closed, next[oldest].Value.(*entry[K]).key)
		excess--
		excessKept--
		if oldest == receiving {
			excess -= servedCost - 1
		}
		next[oldest] = next[oldest].Next()
	}
	for _, k := range closed {
		b.Remove(k)
	}
	return closed, true
}

func since[K comparable](el *list.Element) time.Duration {
	return el.Value.(*entry[K]).since
}

func (b *Budget[K]) expire(closed []K, s state, limit time.Duration) []K {
	for el := b.lists[s].Front(); limit > 0 && el != nil; el = b.lists[s].Front() {
		e := el.Value.(*entry[K])
		if b.now-e.since < limit {
			break
		}
		b.Remove(e.key)
		closed = append(closed, e.key)
	}
	return closed
}

func (b *Budget[K]) find(k K) *entry[K] {
	el, ok := b.entries[k]
	if !ok {
		return nil
	}
	return el.Value.(*entry[K])
}

func (b *Budget[K]) add(k K, s state) {
	if b.entries == nil {
		b.entries = make(map[K]*list.Element)
	}
	b.entries[k] = b.lists[s].PushBack(&entry[K]{key: k, state: s, since: b.now})
}

func (b *Budget[K]) move(k K, s state) {
	e := b.find(k)
	b.lists[e.state].Remove(b.entries[k])
	e.state, e.since = s, b.now
	b.entries[k] = b.lists[s].PushBack(e)
}
