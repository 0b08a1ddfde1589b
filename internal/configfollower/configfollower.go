// Package configfollower keeps a process's configuration state up to date with the log.
package configfollower

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
	// smallPageRecords is the limit after a failed read, because a full page of large records may exceed the size that
	// can be read.
	smallPageRecords = 16
	pollTimeout      = 2 * time.Second
	minRetryDelay    = 50 * time.Millisecond
	maxRetryDelay    = 2 * time.Second
)

// GapError reports that the records that follow the state have expired from the log.
type GapError struct {
	Offset, First ident.Offset
}

// Error names both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("log starts at offset %d, this process is at %d, and neither a peer nor a checkpoint covers the records between; "+
		"start this process where it reaches a host that is ready", e.First, e.Offset)
}

// LogBehindError reports that the log ends before the state, which means that it is not the log that the state was
// built from.
type LogBehindError struct {
	Offset, Next ident.Offset
}

// Error names both offsets.
func (e *LogBehindError) Error() string {
	return fmt.Sprintf("log ends at offset %d, but this process has folded %d records; check that the settings name the right log", e.Next, e.Offset)
}

// Follower holds the configuration state and applies records to it. Set its fields before Run.
type Follower struct {
	// Read returns records of the configuration stream from an offset on. It waits for the first one.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
	// Logger receives the events.
	Logger log.Interface

	published      atomic.Pointer[reducer.Reducer]
	lastReadFailed atomic.Bool

	mu      sync.Mutex
	state   *reducer.Reducer
	recent  recentRecords
	ready   bool
	changed chan struct{}
}

// Run polls the log until ctx ends. It is for processes that have no peers.
func (f *Follower) Run(ctx context.Context) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	for ctx.Err() == nil {
		_, err := f.Poll(ctx, pollTimeout)
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

// Poll reads one page of the log and applies its records. Its error is a GapError if records that follow the state have
// expired.
func (f *Follower) Poll(ctx context.Context, wait time.Duration) (logclient.Page, error) {
	from := f.Offset()
	limit := pageRecords
	if f.lastReadFailed.Load() {
		limit = smallPageRecords
	}
	page, err := f.Read(ctx, from, limit, wait)
	f.lastReadFailed.Store(err != nil)
	if err != nil {
		return page, err
	}
	if page.NextOffset < from {
		return page, &LogBehindError{Offset: from, Next: page.NextOffset}
	}
	offset := f.Offset()
	if page.FirstOffset > offset {
		return page, &GapError{Offset: offset, First: page.FirstOffset}
	}
	for _, rec := range page.Records {
		offset = f.Apply(rec.Offset, [][]byte{rec.Data})
	}
	if offset >= page.NextOffset {
		f.MarkReady()
	}
	return page, nil
}

// Apply applies consecutive records, the first of which has the offset from. It skips records that are already applied
// and records that do not follow the state. It returns the offset reached.
func (f *Follower) Apply(from ident.Offset, records [][]byte) ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	before := f.state.Offset()
	for i, data := range records {
		if from+ident.Offset(i) != f.state.Offset() {
			continue
		}
		a := f.state.Apply(data)
		f.recent.add(a.Offset, data)
		if a.Verdict == reducer.Malformed {
			event.RecordMalformed.Log(f.Logger, log.Fields{"offset": a.Offset, "reason": a.Reason})
		}
	}
	if f.state.Offset() > before {
		f.publish()
	}
	return f.state.Offset()
}

// ReplaceState replaces the state by one of a higher offset, and reports whether it did. At the same offset it compares
// the digests instead.
func (f *Follower) ReplaceState(state *reducer.Reducer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.checkDigestLocked(state.Offset(), state.Digest())
	if state.Offset() <= f.state.Offset() {
		return false
	}
	f.state = state
	f.recent = recentRecords{}
	f.publish()
	event.StateReplaced.Log(f.Logger, log.Fields{"offset": state.Offset()})
	return true
}

// CheckDigest logs an event if the state has the given offset but another digest.
func (f *Follower) CheckDigest(offset ident.Offset, digest ident.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	f.checkDigestLocked(offset, digest)
}

func (f *Follower) checkDigestLocked(offset ident.Offset, digest ident.Digest) {
	if offset == f.state.Offset() && digest != "" && digest != f.state.Digest() {
		event.StateDiffers.Log(f.Logger, log.Fields{"offset": offset, "own": f.state.Digest(), "other": digest})
	}
}

// MarkReady records that the state has been up to date with the log.
func (f *Follower) MarkReady() {
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

// publish makes a copy of the state available to readers and notifies those that wait for a change. The caller must
// hold mu.
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

// Offset returns the number of records that the state has applied.
func (f *Follower) Offset() ident.Offset {
	return f.Snapshot().Offset()
}

// Snapshot returns the current state, which the caller must not change. It acquires no lock once the state exists.
func (f *Follower) Snapshot() *reducer.Reducer {
	if s := f.published.Load(); s != nil {
		return s
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	return f.published.Load()
}

// Ready reports whether the state has been up to date with the log at least once.
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

// View calls fn with a snapshot of the state, which fn must not change. It holds no lock while fn runs.
func (f *Follower) View(fn func(*reducer.Reducer)) {
	fn(f.Snapshot())
}

// RecentRecords returns the records from an offset on, up to limit bytes but at least one. It returns false if they are
// no longer held.
func (f *Follower) RecentRecords(from ident.Offset, limit int) ([][]byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.init()
	if from == f.state.Offset() {
		return nil, true
	}
	return f.recent.from(from, limit)
}

// WaitForOffset returns when the state has reached offset or ctx ends.
func (f *Follower) WaitForOffset(ctx context.Context, offset ident.Offset) error {
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
