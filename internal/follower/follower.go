// Package follower keeps a process's configuration state up to date with the log.
package follower

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
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
	// smallPageRecords is the limit after a failed read, as a page of large records may be too long to be read.
	smallPageRecords = 16
	pollWait         = 2 * time.Second
	minRetry         = 50 * time.Millisecond
	maxRetry         = 2 * time.Second
)

// GapError reports that the log no longer keeps the records that follow the state.
type GapError struct {
	Offset, First ident.Offset
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("log starts at offset %d, this process is at %d, and neither a peer nor a checkpoint covers the records between; "+
		"start this process where it reaches a host that is ready", e.First, e.Offset)
}

// BehindError reports that the log ends before the state, which it never may.
type BehindError struct {
	Offset, Next ident.Offset
}

// Error names both offsets.
func (e *BehindError) Error() string {
	return fmt.Sprintf("log ends at offset %d, but this process has folded %d records; check that the settings name the right log", e.Next, e.Offset)
}

// Follower holds the configuration state and folds records into it. Set its fields before Run.
type Follower struct {
	// Read returns records of the configuration stream from an offset on, waiting for the first.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// Logger receives the events.
	Logger log.Interface

	published atomic.Pointer[reducer.Reducer]
	failed    atomic.Bool

	mu      sync.Mutex
	state   *reducer.Reducer
	tail    tail
	ready   bool
	changed chan struct{}
}

// Run follows the log until ctx ends, with a poll of its own and no peers.
func (f *Follower) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetry
	retry.MaxInterval = maxRetry
	for ctx.Err() == nil {
		_, err := f.Poll(ctx, pollWait)
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

// Poll reads one page of the log and folds it. Its error is a GapError if records are missing in between.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) (logclient.Page, error) {
	asked := f.Offset()
	limit := pageRecords
	if f.failed.Load() {
		limit = smallPageRecords
	}
	page, err := f.Read(ctx, asked, limit, wait)
	f.failed.Store(err != nil)
	if err != nil {
		return page, err
	}
	if page.Next < asked {
		return page, &BehindError{Offset: asked, Next: page.Next}
	}
	offset := f.Offset()
	if page.First > offset {
		return page, &GapError{Offset: offset, First: page.First}
	}
	for _, rec := range page.Records {
		offset = f.Fold(rec.Offset, [][]byte{rec.Data})
	}
	if offset >= page.Next {
		f.SetReady()
	}
	return page, nil
}

// Fold adds records, the first of which has the offset from. Records that are known are skipped; records that do not
// follow the state are dropped. It returns the offset reached.
func (f *Follower) Fold(from ident.Offset, records [][]byte) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	before := f.state.Offset()
	for i, data := range records {
		if from+ident.Offset(i) != f.state.Offset() {
			continue
		}
		a := f.state.Apply(data)
		f.tail.add(a.Offset, data)
		if a.Verdict == reducer.Malformed {
			event.RecordMalformed.Log(f.Logger, log.Fields{"offset": a.Offset, "reason": a.Reason})
		}
	}
	if f.state.Offset() > before {
		f.publish()
	}
	return f.state.Offset()
}

// Adopt replaces the state by one of a higher offset, and tells whether it did.
// At the same offset it compares the digests instead.
func (f *Follower) Adopt(state *reducer.Reducer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.compare(state.Offset(), state.Digest())
	if state.Offset() <= f.state.Offset() {
		return false
	}
	f.state = state
	f.tail = tail{}
	f.publish()
	event.StateAdopted.Log(f.Logger, log.Fields{"offset": state.Offset()})
	return true
}

// Compare raises an event if the state has the given offset and another digest.
func (f *Follower) Compare(offset ident.Offset, digest ident.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.compare(offset, digest)
}

func (f *Follower) compare(offset ident.Offset, digest ident.Digest) {
	if offset == f.state.Offset() && digest != "" && digest != f.state.Digest() {
		event.StateDiffers.Log(f.Logger, log.Fields{"offset": offset, "own": f.state.Digest(), "other": digest})
	}
}

// SetReady notes that the state has been level with the log.
func (f *Follower) SetReady() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if f.ready {
		return
	}
	f.ready = true
	event.ConfigReady.Log(f.Logger, log.Fields{"offset": f.state.Offset()})
	f.publish()
}

func (f *Follower) publish() {
	f.published.Store(f.state.Clone())
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) init() {
	if f.state == nil {
		f.state = reducer.New()
		f.published.Store(f.state.Clone())
		f.changed = make(chan struct{})
	}
}

// Offset returns the number of records folded.
func (f *Follower) Offset() ident.Offset {
	return f.Snapshot().Offset()
}

// Snapshot returns the current state, which the caller must not apply records to. It takes no lock.
func (f *Follower) Snapshot() *reducer.Reducer {
	if s := f.published.Load(); s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.published.Load()
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

// View calls fn with a snapshot of the state, which fn must not change. It takes no lock.
func (f *Follower) View(fn func(*reducer.Reducer)) {
	fn(f.Snapshot())
}

// Tail returns the records from an offset on, up to a number of bytes. It returns false if they are not held.
func (f *Follower) Tail(from ident.Offset, limit int) ([][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if from == f.state.Offset() {
		return nil, true
	}
	return f.tail.from(from, limit)
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
