package gateway

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
)

const (
	// backpressureTime is how long the endpoint is left unread while the caller does not read. An engine cuts off a
	// response that is unread for some seconds, so that it is read on well before that.
	backpressureTime = 750 * time.Millisecond
	// maxUnreadTime is the time after which a response that may not be read on is ended. It is still below the seconds
	// that an engine allows, so that no engine spends them on a caller that does not read.
	maxUnreadTime = 1500 * time.Millisecond
	// progressBytes is what must be read for an endpoint not to count as unread any more. TCP announces room to the sender
	// in steps of up to this size, so that an engine does not notice that less has been read.
	progressBytes = 64 << 10
	// idleReadTime is the time after which a read has waited for the endpoint, which then has nothing left that is unread.
	idleReadTime = 5 * time.Millisecond
	// relayPieceBytes is the largest write to a caller. The progress of a slow caller is seen between two writes.
	relayPieceBytes = 4 << 10
)

// errSlowCaller ends a response whose caller does not read, when no more of it may be buffered.
var errSlowCaller = errors.New("caller does not read and no more may be buffered")

// relay takes a response from the goroutine that reads it from endpoints, and writes it to the caller in another one, so
// that a caller that does not read does not keep the endpoint from being read. Without an account it writes at once.
type relay struct {
	w       http.ResponseWriter
	ctl     *http.ResponseController
	account *bufferlimiter.Account
	// isBody is set for a response that is not a stream, whose parts are not flushed one by one.
	isBody bool
	// onSlow is called once, when the response is read on for a caller that does not read.
	onSlow func()

	mu     sync.Mutex
	chunks [][]byte
	// queued is the number of bytes that have not been written, and charged the part of them that is charged.
	queued, charged int
	isEnded         bool
	err             error
	// isSlow is set while the response is read on for a caller that does not read, and wasSlow stays set.
	isSlow, wasSlow bool
	// unreadSince is the time since which the endpoint has been left unread, or zero, and passedBytes the number of bytes
	// that were passed on since. returnedAt is when the endpoint was last allowed to be read on. Only the goroutine that
	// reads uses them.
	unreadSince, returnedAt time.Time
	passedBytes             int
	// added signals a new chunk or the end, and written that bytes were written or the write failed. done is closed when
	// nothing more is written; it is nil before the first chunk.
	added, written, done chan struct{}
}

// write passes on a part of the response, of which it keeps p. It returns once the endpoint may be read on.
func (r *relay) write(ctx context.Context, p []byte) error {
	if r.account == nil {
		_, err := r.w.Write(p)
		if err == nil && !r.isBody {
			err = r.ctl.Flush()
		}
		return err
	}
	r.passedBytes += len(p)
	hasWaited := !r.returnedAt.IsZero() && time.Since(r.returnedAt) > idleReadTime
	isCaughtUp, err := r.add(p)
	if err != nil {
		return err
	}
	if hasWaited || isCaughtUp || r.passedBytes >= progressBytes {
		r.unreadSince, r.passedBytes = time.Time{}, 0
	}
	err = r.waitForRoom(ctx)
	r.returnedAt = time.Now()
	return err
}

// writeCopy is like write, but does not keep p.
func (r *relay) writeCopy(ctx context.Context, p []byte) error {
	if r.account != nil {
		p = bytes.Clone(p)
	}
	return r.write(ctx, p)
}

// add queues a part, and reports whether the caller had taken all others.
func (r *relay) add(p []byte) (isCaughtUp bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return false, r.err
	}
	if isCaughtUp = r.queued == 0; isCaughtUp && r.isSlow {
		r.isSlow = false
		r.account.SetSlow(false)
	}
	if r.done == nil {
		r.added, r.written, r.done = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{})
		go r.run()
	}
	// Small parts share a chunk while they wait, as a slice for each event would take more than the events.
	switch last := len(r.chunks) - 1; {
	case last >= 0 && len(r.chunks[last])+len(p) <= cap(r.chunks[last]):
		r.chunks[last] = append(r.chunks[last], p...)
	case last >= 0 && len(p) < relayPieceBytes/2:
		r.chunks = append(r.chunks, append(make([]byte, 0, relayPieceBytes), p...))
	default:
		r.chunks = append(r.chunks, p)
	}
	r.addQueued(len(p))
	signal(r.added)
	return isCaughtUp, nil
}

// addQueued changes the number of queued bytes, and charges those beyond the headroom.
func (r *relay) addQueued(n int) {
	r.queued += n
	charge := max(0, r.queued-bufferlimiter.Headroom)
	r.account.AddResponse(charge - r.charged)
	r.charged = charge
}

// signal wakes the goroutine that waits for a channel with one place.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// mayRead reports whether the endpoint may be read on now.
func (r *relay) mayRead() (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.err != nil:
		return false, r.err
	case r.queued <= bufferlimiter.Headroom:
		return true, nil
	default:
		return r.isSlow && r.account.MayReadOn(), nil
	}
}

// setSlow records that the endpoint has been left unread for long enough.
func (r *relay) setSlow() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isSlow = true
	r.account.SetSlow(true)
	if !r.wasSlow {
		r.wasSlow = true
		r.onSlow()
	}
}

// waitForRoom waits until the endpoint may be read on.
func (r *relay) waitForRoom(ctx context.Context) error {
	if ok, err := r.mayRead(); ok || err != nil {
		return err
	}
	if r.unreadSince.IsZero() {
		r.unreadSince, r.passedBytes = time.Now(), 0
	}
	backpressure, unread := time.NewTimer(time.Until(r.unreadSince.Add(backpressureTime))), time.NewTimer(time.Until(r.unreadSince.Add(maxUnreadTime)))
	defer backpressure.Stop()
	defer unread.Stop()
	for {
		select {
		case <-r.written:
		case <-backpressure.C:
			r.setSlow()
		case <-unread.C:
			return errSlowCaller
		case <-ctx.Done():
			return ctx.Err()
		}
		if ok, err := r.mayRead(); ok || err != nil {
			return err
		}
	}
}

// run writes the queued parts to the caller.
func (r *relay) run() {
	defer close(r.done)
	for {
		chunk, isEnded := r.next()
		if isEnded {
			return
		}
		for len(chunk) > 0 {
			n := min(len(chunk), relayPieceBytes)
			_, err := r.w.Write(chunk[:n])
			chunk = chunk[n:]
			if err == nil && len(chunk) == 0 && !r.isBody && r.isDrained() {
				err = r.ctl.Flush()
			}
			if r.recordWritten(n, err); err != nil {
				return
			}
		}
	}
}

// next waits for the next chunk, or the end.
func (r *relay) next() (chunk []byte, isEnded bool) {
	for {
		r.mu.Lock()
		if len(r.chunks) > 0 {
			chunk = r.chunks[0]
			r.chunks[0] = nil
			r.chunks = r.chunks[1:]
			r.mu.Unlock()
			return chunk, false
		}
		isEnded = r.isEnded
		r.mu.Unlock()
		if isEnded {
			return nil, true
		}
		<-r.added
	}
}

// isDrained reports whether nothing is queued behind the current chunk.
func (r *relay) isDrained() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.chunks) == 0
}

func (r *relay) recordWritten(n int, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.err, r.chunks = err, nil
		n = r.queued
	}
	r.addQueued(-n)
	signal(r.written)
}

// finish waits until everything has been written. It gives up when ctx, which ends with the caller's connection, does.
func (r *relay) finish(ctx context.Context) error {
	if r.done == nil {
		return nil
	}
	r.end()
	select {
	case <-r.done:
	case <-ctx.Done():
		r.interrupt()
		<-r.done
	}
	return r.err
}

// stop discards what has not been written, and returns when nothing more is written.
func (r *relay) stop() {
	if r.done == nil {
		return
	}
	r.end()
	select {
	case <-r.done:
		return
	default:
	}
	r.mu.Lock()
	r.chunks = nil
	r.mu.Unlock()
	r.interrupt()
	<-r.done
}

func (r *relay) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	signal(r.added)
}

// interrupt ends a write in progress.
func (r *relay) interrupt() {
	_ = r.ctl.SetWriteDeadline(time.Unix(1, 0)) // a writer that does not support it does not block
}
