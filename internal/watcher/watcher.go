// Package watcher follows the newest values of a keyed log, across gaps and outages of the store that holds it.
package watcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// callTimeout limits a call in addition to the time for which it waits for a change. A store that stops
	// responding leaves its connections open, so only a timeout detects it.
	callTimeout = 1100 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the pause after a failed call. The longest pause is a tenth of the time
	// within which a change must be in force.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 400 * time.Millisecond
)

// Epoch counts how often the store has been restored from an older copy. Offsets of different epochs cannot be compared.
// A store that states no epoch has epoch zero.
type Epoch int64

// Position bounds the place of a change in the log of its topic: the change stands before the offset Position. The store
// states the offset after the record of the change. A host states what it was told, or a later offset if it was told none.
// Zero means that the source states nothing; the change then stands before the end of what was read.
type Position int64

// Snapshot is a snapshot of all values. NextOffset is the offset of the first change after it.
type Snapshot struct {
	Values map[string][]byte
	// Positions holds the positions of the newest changes of keys if the source is the store. Hosts state none.
	Positions  map[string]Position
	NextOffset int64
	// EndOffset is later than NextOffset if the values were read one after the other: changes between the two offsets may be among them.
	EndOffset int64
	Epoch     Epoch
	// Age is the time since the values were known to be the newest.
	Age time.Duration
}

// Add applies the changes that follow the snapshot.
func (s *Snapshot) Add(b Batch) {
	for _, c := range b.Changes {
		delete(s.Values, c.Key)
		delete(s.Positions, c.Key)
		if len(c.Value) > 0 {
			s.Values[c.Key] = c.Value
		}
		if c.Position > 0 && len(c.Value) > 0 && s.Positions != nil {
			s.Positions[c.Key] = c.Position
		}
	}
	s.NextOffset = b.NextOffset
}

// Change is a new value of a key. A nil or empty value deletes the key.
type Change struct {
	Key   string
	Value []byte
	// Delay is how long before the change was found it may have been made, beyond the delay of calls that succeed at once.
	Delay time.Duration `json:",omitempty"`
	// Position bounds where the change stands in the log.
	Position Position `json:"at,omitempty"`
}

// Batch is a sequence of changes. NextOffset is the offset that follows it.
type Batch struct {
	Changes    []Change
	NextOffset int64
	// Since is the offset from which on the changes serve a host at any offset. A host between the start of the batch and Since may hold
	// a key that was added and removed in between, which the changes lack. Zero means that they serve all.
	Since int64
	Epoch Epoch
	// IsRelayed says that another host has passed the changes on.
	IsRelayed bool
	// Age is the time since there were no further changes, as far as the source knows.
	Age time.Duration
	// IsPending says that the source is receiving newer changes at the moment.
	IsPending bool
}

// EpochError reports that a response is of an older epoch than one that this host has seen, so that it says nothing
// about the store's state now.
type EpochError struct {
	Topic       string
	Epoch, Seen Epoch
}

// Error names the topic and both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("response for topic %s is of epoch %d of the store, epoch %d was seen before", e.Topic, e.Epoch, e.Seen)
}

// GapError reports that the changes are no longer held, so that a snapshot has to be read.
type GapError struct {
	Topic string
	From  int64
}

// Error names the topic and the offset.
func (e *GapError) Error() string {
	return fmt.Sprintf("changes of topic %s from offset %d are no longer held", e.Topic, e.From)
}

// Watcher follows one topic. Set its fields before Run.
type Watcher struct {
	// Topic names the topic.
	Topic string
	// Wait is how long a call may wait for a change; with zero it does not wait.
	Wait time.Duration
	// Pause is the time between the end of one call and the next. Changes within it are returned by a single call.
	Pause time.Duration
	// CallTimeout limits a call in addition to Wait; zero selects callTimeout. It is longer if ReadSnapshot and ReadChanges limit
	// their calls themselves.
	CallTimeout time.Duration
	// RelayedPause replaces Pause after a call that another host has answered, unless it is zero. Such calls wait for
	// changes, and delays of several hosts add up.
	RelayedPause time.Duration
	// ReadSnapshot reads a snapshot of all values.
	ReadSnapshot func(ctx context.Context, topic string) (Snapshot, error)
	// ReadChanges reads the changes from an offset of an epoch on. If the result is of a later epoch, its changes are not
	// applied and a snapshot is read.
	ReadChanges func(ctx context.Context, topic string, epoch Epoch, from int64, wait time.Duration) (Batch, error)
	// OnNewEpoch is called when the store has been restored from an older copy, before the snapshot of the new epoch is
	// applied. It may be nil.
	OnNewEpoch func(epoch Epoch)
	// ApplySnapshot replaces all values, and ApplyChanges applies changes in their order. Both are called from one
	// goroutine.
	ApplySnapshot func(values map[string][]byte)
	ApplyChanges  func(changes []Change)
	// OnResult receives whether a call succeeded, before its result is applied. It is not called for a gap, and may be
	// nil.
	OnResult func(isSuccess bool)
	// Logger receives the log events of outages and recoveries of the store.
	Logger log.Interface

	nextOffset  int64
	epoch       Epoch
	isInEpoch   bool
	isRelayed   bool
	hasSnapshot bool
	storeDown   bool
	downSince   time.Time
	failures    int
}

// Run follows the topic until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := w.poll(ctx)
		if ctx.Err() != nil {
			break
		}
		w.recordResult(err)
		pause := w.Pause
		if w.isRelayed && w.RelayedPause > 0 {
			pause = w.RelayedPause
		}
		if err != nil {
			pause = min(maxRetryDelay, minRetryDelay<<min(w.failures, 4))
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return nil
}

func (w *Watcher) poll(ctx context.Context) error {
	wait := w.Wait
	if w.storeDown {
		// While the store is down, calls do not wait, so that its recovery is detected immediately.
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, wait+cmp.Or(w.CallTimeout, callTimeout))
	defer cancel()
	if !w.hasSnapshot {
		snapshot, err := w.ReadSnapshot(ctx, w.Topic)
		if err != nil {
			return err
		}
		if snapshot.Epoch < w.epoch {
			return &EpochError{Topic: w.Topic, Epoch: snapshot.Epoch, Seen: w.epoch}
		}
		w.notifyResult(true)
		w.enterEpoch(snapshot.Epoch)
		w.hasSnapshot, w.nextOffset = true, snapshot.NextOffset
		w.ApplySnapshot(snapshot.Values)
		return nil
	}
	batch, err := w.ReadChanges(ctx, w.Topic, w.epoch, w.nextOffset, wait)
	var gap *GapError
	if errors.As(err, &gap) {
		event.ChangesExpired.Log(w.Logger.WithFields(log.Fields{"topic": w.Topic, "offset": w.nextOffset}), nil)
		w.hasSnapshot = false
		return nil
	}
	if err != nil {
		return err
	}
	if batch.Epoch < w.epoch {
		return &EpochError{Topic: w.Topic, Epoch: batch.Epoch, Seen: w.epoch}
	}
	if batch.Epoch > w.epoch {
		w.hasSnapshot = false
		return nil
	}
	w.notifyResult(true)
	w.nextOffset, w.isRelayed = batch.NextOffset, batch.IsRelayed
	if len(batch.Changes) > 0 {
		w.ApplyChanges(batch.Changes)
	}
	return nil
}

// enterEpoch records the epoch of a snapshot. The first snapshot only states it.
func (w *Watcher) enterEpoch(epoch Epoch) {
	isRestored := w.isInEpoch && epoch != w.epoch
	w.isInEpoch = true
	old := w.epoch
	w.epoch = epoch
	if !isRestored {
		return
	}
	event.StoreRestored.Log(w.Logger.WithFields(log.Fields{"topic": w.Topic, "epoch": int64(epoch), "before": int64(old), "offset": w.nextOffset}), nil)
	if w.OnNewEpoch != nil {
		w.OnNewEpoch(epoch)
	}
}

func (w *Watcher) notifyResult(isSuccess bool) {
	if w.OnResult != nil {
		w.OnResult(isSuccess)
	}
}

func (w *Watcher) recordResult(err error) {
	if err != nil {
		w.notifyResult(false)
	}
	l := w.Logger.WithField("topic", w.Topic)
	switch {
	case err != nil && !w.storeDown:
		w.storeDown, w.downSince = true, time.Now()
		event.StoreUnreachable.Log(l.WithError(err), nil)
	case err == nil && w.storeDown:
		w.storeDown = false
		event.StoreReachable.Log(l.WithField("away", time.Since(w.downSince).String()), nil)
	}
	w.failures++
	if err == nil {
		w.failures = 0
	}
}
