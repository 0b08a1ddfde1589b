package watcher_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

// store is a log that may fail or not respond.
type store struct {
	mu      sync.Mutex
	changes []watcher.Change
	first   int64
	down    bool
	silent  bool
	calls   int
}

var errDown = errors.New("down")

func (s *store) state() (changes []watcher.Change, first int64, down, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes, s.first, s.down, s.silent
}

// set changes the state of the store.
func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func (s *store) call(ctx context.Context) error {
	s.set(func() { s.calls++ })
	_, _, down, silent := s.state()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errDown
	}
	return nil
}

func (s *store) newest(ctx context.Context, _ string) (watcher.Snapshot, error) {
	if err := s.call(ctx); err != nil {
		return watcher.Snapshot{}, err
	}
	changes, _, _, _ := s.state()
	snapshot := watcher.Snapshot{Values: make(map[string][]byte), NextOffset: int64(len(changes))}
	for _, c := range changes {
		snapshot.Values[c.Key] = c.Value
	}
	return snapshot, nil
}

func (s *store) read(ctx context.Context, topic string, _ watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error) {
	if err := s.call(ctx); err != nil {
		return watcher.Batch{}, err
	}
	end := time.Now().Add(wait)
	for {
		changes, first, _, silent := s.state()
		switch {
		case silent:
			<-ctx.Done()
			return watcher.Batch{}, ctx.Err()
		case from < first:
			return watcher.Batch{}, &watcher.GapError{Topic: topic, From: from}
		case from < int64(len(changes)) || !time.Now().Before(end):
			return watcher.Batch{Changes: changes[from:], NextOffset: int64(len(changes))}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) put(key, value string) {
	s.set(func() { s.changes = append(s.changes, watcher.Change{Key: key, Value: []byte(value)}) })
}

// heldValues holds the values that a watcher applied.
type heldValues struct {
	mu     sync.Mutex
	values map[string]string
	resets int
}

func (p *heldValues) get(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

func (p *heldValues) reset(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	clear(p.values)
	for k, v := range values {
		p.values[k] = string(v)
	}
}

func (p *heldValues) apply(changes []watcher.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		p.values[c.Key] = string(c.Value)
	}
}

// runWatcher runs a watcher of the store in virtual time and passes body the values that it applies.
func runWatcher(t *testing.T, s *store, wait time.Duration, body func(held *heldValues)) {
	synctest.Test(t, func(*testing.T) {
		held := &heldValues{values: make(map[string]string)}
		w := &watcher.Watcher{
			Topic: "t", Wait: wait, Pause: 200 * time.Millisecond, ReadSnapshot: s.newest, ReadChanges: s.read, Logger: discardLogger,
			ApplySnapshot: held.reset, ApplyChanges: held.apply,
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = w.Run(ctx)
			close(done)
		}()
		time.Sleep(50 * time.Millisecond)
		body(held)
		cancel()
		<-done
	})
}

func TestChangesAreApplied(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	runWatcher(t, s, time.Second, func(held *heldValues) {
		is.Equal(held.get("a"), "1")
		time.Sleep(300 * time.Millisecond)
		s.put("a", "2")
		time.Sleep(20 * time.Millisecond)
		is.Equal(held.get("a"), "2") // a waiting call returns immediately
		for range 20 {
			s.put("a", "3")
			time.Sleep(10 * time.Millisecond)
		}
		var calls, later int
		s.set(func() { calls = s.calls })
		time.Sleep(200 * time.Millisecond)
		s.set(func() { later = s.calls })
		is.True(later-calls <= 2) // changes in quick succession share calls
		is.Equal(held.get("a"), "3")
	})
}

func TestSnapshotIsReadAfterGap(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	runWatcher(t, s, 0, func(held *heldValues) {
		s.put("b", "1")
		s.set(func() {
			s.changes = append(s.changes, watcher.Change{Key: "c", Value: []byte("1")})
			s.first = 2
		})
		time.Sleep(time.Second)
		is.Equal(held.get("c"), "1")
		held.mu.Lock()
		defer held.mu.Unlock()
		is.Equal(held.resets, 2)
	})
}

// A store that stops responding during a waiting call must not keep the watcher from a change that follows the
// recovery.
func TestUnresponsiveStoreIsDetected(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	runWatcher(t, s, 1200*time.Millisecond, func(held *heldValues) {
		s.set(func() { s.silent = true })
		time.Sleep(10 * time.Second)
		s.set(func() { s.silent = false })
		s.put("a", "2")
		time.Sleep(1300 * time.Millisecond)
		is.Equal(held.get("a"), "2")
	})
}

func TestValuesAreKeptDuringOutage(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	runWatcher(t, s, time.Second, func(held *heldValues) {
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		is.Equal(held.get("a"), "1")
		s.set(func() { s.down = false })
		s.put("a", "2")
		time.Sleep(500 * time.Millisecond)
		is.Equal(held.get("a"), "2")
	})
}
