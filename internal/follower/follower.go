// Package follower keeps a process's configuration state up to date with the log.
package follower

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cenkalti/backoff/v5"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const (
	pageRecords = 1000
	pollWait    = 2 * time.Second
	minRetry    = 50 * time.Millisecond
	maxRetry    = 2 * time.Second
)

// Follower folds the configuration stream. Set its fields before Run.
type Follower struct {
	// Read returns records of the configuration stream from an offset on, waiting for the first.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// Logger receives the events.
	Logger log.Interface

	mu      sync.Mutex
	state   *reducer.Reducer
	ready   bool
	changed chan struct{}
}

// Run follows the log until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetry
	retry.MaxInterval = maxRetry
	for ctx.Err() == nil {
		err := f.poll(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		if ctx.Err() != nil {
			return nil
		}
		event.LogUnreachable.Log(f.Logger, log.Fields{"error": err.Error()})
		select {
		case <-ctx.Done():
		case <-time.After(retry.NextBackOff()):
		}
	}
	return nil
}

func (f *Follower) poll(ctx context.Context) error {
	page, err := f.Read(ctx, f.Offset(), pageRecords, pollWait)
	if err != nil {
		return err
	}
	f.fold(page)
	return nil
}

func (f *Follower) fold(page logclient.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	for _, rec := range page.Records {
		if rec.Offset != f.state.Offset() {
			continue
		}
		a := f.state.Apply(rec.Data)
		if a.Verdict == reducer.Malformed {
			event.RecordMalformed.Log(f.Logger, log.Fields{"offset": a.Offset, "reason": a.Reason})
		}
	}
	wasReady := f.ready
	f.ready = f.ready || f.state.Offset() >= page.Next
	if len(page.Records) > 0 || f.ready != wasReady {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

func (f *Follower) init() {
	if f.state == nil {
		f.state = reducer.New()
		f.changed = make(chan struct{})
	}
}

// Offset returns the number of records folded.
func (f *Follower) Offset() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.state.Offset()
}

// Ready tells whether the state has once been level with the log.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

// Changed returns a channel that is closed at the next change of the state.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.changed
}

// View calls fn with the state, which fn must neither change nor keep.
func (f *Follower) View(fn func(*reducer.Reducer)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	fn(f.state)
}

// Wait returns when the state has reached offset or ctx ends.
func (f *Follower) Wait(ctx context.Context, offset ident.Offset) error {
	for {
		changed := f.Changed()
		if f.Offset() >= offset {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}
