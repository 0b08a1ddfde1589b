// Package watcher follows the newest values of a keyed log, through gaps and outages of the store that keeps it.
package watcher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// callTime bounds one call beside the time that it waits for a change. A store that falls silent leaves its
	// connections open, so nothing but this bound shows it.
	callTime = 1100 * time.Millisecond
	// firstRetry and longestRetry are the pauses after failed calls. The longest is a tenth of the time within which a
	// change has to be in force.
	firstRetry   = 100 * time.Millisecond
	longestRetry = 400 * time.Millisecond
)

// Image is all values at one time. Next is the offset of the first change after it.
type Image struct {
	Values map[string][]byte
	Next   int64
}

// Change is one new value. A nil or empty value drops the key.
type Change struct {
	Key   string
	Value []byte
}

// Batch is a run of changes. Next is the offset that follows it.
type Batch struct {
	Changes []Change
	Next    int64
}

// GapError reports that changes are no longer held, so that the whole image has to be read.
type GapError struct {
	Topic string
	From  int64
}

// Error names the topic and the offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes of %s from offset %d are no longer held", e.Topic, e.From)
}

// Watcher follows one topic. Set its fields before Run.
type Watcher struct {
	// Topic names the topic.
	Topic string
	// Wait is how long a call may wait for a change; zero asks without waiting.
	Wait time.Duration
	// Pause is the time between the answer of one call and the next call. Changes that come within it share a call.
	Pause time.Duration
	// Newest reads the whole image.
	Newest func(ctx context.Context, topic string) (Image, error)
	// Changes reads what follows an offset.
	Changes func(ctx context.Context, topic string, from int64, wait time.Duration) (Batch, error)
	// Reset takes a whole image, and Apply changes in their order. They are called by one goroutine.
	Reset func(values map[string][]byte)
	Apply func(changes []Change)
	// Heard is told of each call whether it was answered, before what the answer holds is taken. It may be nil.
	Heard func(ok bool)
	// Logger receives the losses and returns of the store.
	Logger log.Interface

	next   int64
	known  bool
	lost   bool
	since  time.Time
	failed int
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.step(ctx)
		if ctx.Err() != nil {
			break
		}
		w.note(err)
		pause := w.Pause
		if err != nil {
			pause = min(longestRetry, firstRetry<<min(w.failed, 4))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

func (w *Watcher) step(ctx context.Context) error {
	wait := w.Wait
	if w.lost {
		// A store that comes back is noticed at once.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+callTime)
	defer cancel()
	if !w.known {
		img, err := w.Newest(ctx, w.Topic)
		if err != nil {
			return err
		}
		w.hear(true)
		w.known, w.next = true, img.Next
		w.Reset(img.Values)
		return nil
	}
	b, err := w.Changes(ctx, w.Topic, w.next, wait)
	var gap *GapError
	if errors.As(err, &gap) {
		event.ChangesGone.Log(w.Logger.WithFields(log.Fields{"topic": w.Topic, "offset": w.next}), nil)
		w.known = false
		return nil
	}
	if err != nil {
		return err
	}
	w.hear(true)
	w.next = b.Next
	if len(b.Changes) > 0 {
		w.Apply(b.Changes)
	}
	return nil
}

func (w *Watcher) hear(ok bool) {
	if w.Heard != nil {
		w.Heard(ok)
	}
}

func (w *Watcher) note(err error) {
	if err != nil {
		w.hear(false)
	}
	l := w.Logger.WithField("topic", w.Topic)
	switch {
	case err != nil && !w.lost:
		w.lost, w.since = true, time.Now()
		event.StoreLost.Log(l.WithError(err), nil)
	case err == nil && w.lost:
		w.lost = false
		event.StoreRegained.Log(l.WithField("away", time.Since(w.since).String()), nil)
	}
	w.failed++
	if err == nil {
		w.failed = 0
	}
}
