// Package idletimer limits the time for which a call makes no progress. A call that receives a large response over a narrow link is
// not ended while bytes arrive, so that it need not be made again from the start.
package idletimer

import (
	"context"
	"sync"
	"time"
)

// Timer ends a context once nothing has been reported for some time.
type Timer struct {
	idle       time.Duration
	onProgress func()

	mu    sync.Mutex
	timer *time.Timer
	// endsAt is when the context ends without a further report, and limit when it ends in any case.
	endsAt, limit time.Time
}

type key struct{}

// New returns a context that ends after first, with context.DeadlineExceeded as its cause, unless progress is reported: then it ends idle
// after the last report if that is later, and limit after its start in any case. onProgress is called at each report; it may
// be nil.
func New(parent context.Context, first, idle, limit time.Duration, onProgress func()) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	now := time.Now()
	t := &Timer{idle: idle, onProgress: onProgress, endsAt: now.Add(min(first, limit)), limit: now.Add(limit)}
	t.timer = time.AfterFunc(time.Until(t.endsAt), func() { cancel(context.DeadlineExceeded) })
	return context.WithValue(ctx, key{}, t), func() {
		t.timer.Stop()
		cancel(context.Canceled)
	}
}

// From returns the timer of ctx, or nil if it has none.
func From(ctx context.Context) *Timer {
	t, _ := ctx.Value(key{}).(*Timer)
	return t
}

// Report reports progress. A timer that has ended the context stays as it is. Without a timer it does nothing.
func (t *Timer) Report() {
	if t == nil {
		return
	}
	if t.onProgress != nil {
		t.onProgress()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	endsAt := time.Now().Add(t.idle)
	if endsAt.After(t.limit) {
		endsAt = t.limit
	}
	if endsAt.After(t.endsAt) && t.timer.Stop() {
		t.endsAt = endsAt
		t.timer.Reset(time.Until(endsAt))
	}
}
