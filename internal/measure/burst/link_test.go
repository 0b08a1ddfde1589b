package burst

import (
	"container/heap"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// A chunk is transferred in piecesPerChunk pieces, with at most piecesInFlight of them in flight.
const (
	piecesPerChunk = 8
	piecesInFlight = 2
)

// event is a function to run at a given time. Events of the same time run in the order of seq.
type event struct {
	at  time.Time
	seq int
	fn  func()
}

// eventQueue runs events in the order of their times on the goroutine of the test, in the virtual time of synctest.
type eventQueue struct {
	events []event
	seq    int
}

func (q *eventQueue) Len() int { return len(q.events) }

func (q *eventQueue) Less(i, j int) bool {
	a, b := q.events[i], q.events[j]
	if a.at.Equal(b.at) {
		return a.seq < b.seq
	}
	return a.at.Before(b.at)
}

func (q *eventQueue) Swap(i, j int) { q.events[i], q.events[j] = q.events[j], q.events[i] }

func (q *eventQueue) Push(x any) { q.events = append(q.events, x.(event)) }

func (q *eventQueue) Pop() any {
	n := len(q.events) - 1
	e := q.events[n]
	q.events[n] = event{}
	q.events = q.events[:n]
	return e
}

func (q *eventQueue) schedule(d time.Duration, fn func()) {
	q.scheduleAt(time.Now().Add(d), fn)
}

func (q *eventQueue) scheduleAt(t time.Time, fn func()) {
	q.seq++
	heap.Push(q, event{at: t, seq: q.seq, fn: fn})
}

// run runs events until done returns true or the timeout has passed. It reports whether done returned true.
func (q *eventQueue) run(timeout time.Duration, done func() bool) bool {
	end := time.Now().Add(timeout)
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

// link is a network link with a rate limit. It sends one piece at a time.
type link struct {
	queue *eventQueue
	// rate is in bytes per second.
	rate      float64
	busyUntil time.Time
	// bytes is the total of all pieces sent, including the one in flight and those queued.
	bytes ident.Bytes
}

func (l *link) send(n ident.Bytes, onSent func()) {
	l.bytes += n
	l.busyUntil = laterTime(l.busyUntil, time.Now()).Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.queue.scheduleAt(l.busyUntil, onSent)
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// transfer sends one chunk over the links of its path, in pieces. A piece that is due while isOpen returns false is
// lost and not repeated, so that the transfer never finishes.
type transfer struct {
	path     []*link
	size     ident.Bytes
	isOpen   func() bool
	progress func(done ident.Bytes)
	finish   func()

	sentPieces    int
	arrivedPieces int
	stopped       bool
}

// start sends pieces until the maximum is in flight or all pieces are sent.
func (t *transfer) start() {
	for t.sentPieces < piecesPerChunk && t.sentPieces-t.arrivedPieces < piecesInFlight {
		t.sentPieces++
		t.sendPiece(0)
	}
}

// sendPiece sends a piece over the link at index hop of the path and then over the following links.
func (t *transfer) sendPiece(hop int) {
	switch {
	case t.stopped || !t.isOpen():
	case hop < len(t.path):
		t.path[hop].send(t.size/piecesPerChunk, func() { t.sendPiece(hop + 1) })
	default:
		t.receivePiece()
	}
}

func (t *transfer) receivePiece() {
	t.arrivedPieces++
	if t.arrivedPieces == piecesPerChunk {
		t.finish()
		return
	}
	t.progress(t.size / piecesPerChunk * ident.Bytes(t.arrivedPieces))
	t.start()
}
