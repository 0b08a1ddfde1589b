package burst

import (
	"container/heap"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// pieces is the number of pieces that a chunk travels in, and window how many of them are on the way at a time.
const (
	pieces = 8
	window = 2
)

type event struct {
	at  time.Time
	seq int
	fn  func()
}

// queue runs events in order on the goroutine of the test, in the bubble's virtual time.
type queue struct {
	events []event
	seq    int
}

func (q *queue) Len() int { return len(q.events) }

func (q *queue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

func (q *queue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

func (q *queue) Push(x any) { q.events = append(q.events, x.(event)) }

func (q *queue) Pop() any {
	n := len(q.events) - 1
	e := q.events[n]
	q.events[n] = event{}
	q.events = q.events[:n]
	return e
}

func (q *queue) after(d time.Duration, fn func()) {
	q.at(time.Now().Add(d), fn)
}

func (q *queue) at(t time.Time, fn func()) {
	q.seq++
	heap.Push(q, event{at: t, seq: q.seq, fn: fn})
}

// run handles events until done holds or the limit has passed. It tells whether done holds.
func (q *queue) run(limit time.Duration, done func() bool) bool {
	end := time.Now().Add(limit)
	for !done() {
		if len(q.events) == 0 || q.events[0].at.After(end) {
			return false
		}
		e := heap.Pop(q).(event)
		if d := time.Until(e.at); d > 0 {
			time.Sleep(d)
		}
		e.fn()
	}
	return true
}

// link is a rated link: pieces pass one after another.
type link struct {
	queue *queue
	// rate is in bytes a second.
	rate  float64
	busy  time.Time
	bytes ident.Bytes
}

func (l *link) send(n ident.Bytes, then func()) {
	l.bytes += n
	l.busy = latest(l.busy, time.Now()).Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.queue.at(l.busy, then)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transfer moves one chunk over links, in pieces. It stalls while isOpen does not hold.
type transfer struct {
	path     []*link
	size     ident.Bytes
	isOpen   func() bool
	progress func(done ident.Bytes)
	finish   func()

	entered int
	done    int
	stopped bool
}

func (t *transfer) start() {
	for t.entered < pieces && t.entered-t.done < window {
		t.entered++
		t.hop(0)
	}
}

func (t *transfer) hop(k int) {
	switch {
	case t.stopped || !t.isOpen():
	case k < len(t.path):
		t.path[k].send(t.size/pieces, func() { t.hop(k + 1) })
	default:
		t.arrive()
	}
}

func (t *transfer) arrive() {
	t.done++
	if t.done == pieces {
		t.finish()
		return
	}
	t.progress(t.size / pieces * ident.Bytes(t.done))
	t.start()
}
