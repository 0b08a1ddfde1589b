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

var quiet = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

// store is a log that may be down or silent.
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

func (s *store) reach(ctx context.Context) error {
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

func (s *store) newest(ctx context.Context, _ string) (watcher.Image, error) {
	if err := s.reach(ctx); err != nil {
		return watcher.Image{}, err
	}
	changes, _, _, _ := s.state()
	img := watcher.Image{Values: make(map[string][]byte), Next: int64(len(changes))}
	for _, c := range changes {
		img.Values[c.Key] = c.Value
	}
	return img, nil
}

func (s *store) read(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	if err := s.reach(ctx); err != nil {
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
			return watcher.Batch{Changes: changes[from:], Next: int64(len(changes))}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (s *store) put(key, value string) {
	s.set(func() { s.changes = append(s.changes, watcher.Change{Key: key, Value: []byte(value)}) })
}

// picture is what a watcher was told.
type picture struct {
	mu     sync.Mutex
	values map[string]string
	resets int
}

func (p *picture) get(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.values[key]
}

func (p *picture) reset(values map[string][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	clear(p.values)
	for k, v := range values {
		p.values[k] = string(v)
	}
}

func (p *picture) apply(changes []watcher.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		p.values[c.Key] = string(c.Value)
	}
}

// follow runs a watcher on the store in virtual time and returns what it holds.
func follow(t *testing.T, s *store, wait time.Duration, body func(held *picture)) {
	synctest.Test(t, func(*testing.T) {
		held := &picture{values: make(map[string]string)}
		w := &watcher.Watcher{
			Topic: "t", Wait: wait, Pause: 200 * time.Millisecond, Newest: s.newest, Changes: s.read, Logger: quiet,
			Reset: held.reset, Apply: held.apply,
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

func TestFollowsChanges(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, time.Second, func(held *picture) {
		is.Equal(held.get("a"), "1")
		time.Sleep(300 * time.Millisecond)
		s.put("a", "2")
		time.Sleep(20 * time.Millisecond)
		is.Equal(held.get("a"), "2") // a waiting call hears of it at once
		for range 20 {
			s.put("a", "3")
			time.Sleep(10 * time.Millisecond)
		}
		var calls, later int
		s.set(func() { calls = s.calls })
		time.Sleep(200 * time.Millisecond)
		s.set(func() { later = s.calls })
		is.True(later-calls <= 2) // a storm shares calls
		is.Equal(held.get("a"), "3")
	})
}

func TestReadsAllAfterAGap(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, 0, func(held *picture) {
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

// A store that falls silent with a call waiting must not keep the watcher from a change that comes with its return.
func TestSilentStoreIsNoticed(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, 1200*time.Millisecond, func(held *picture) {
		s.set(func() { s.silent = true })
		time.Sleep(10 * time.Second)
		s.set(func() { s.silent = false })
		s.put("a", "2")
		time.Sleep(1300 * time.Millisecond)
		is.Equal(held.get("a"), "2")
	})
}

func TestHeldValuesOutliveAnOutage(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, time.Second, func(held *picture) {
		s.set(func() { s.down = true })
		time.Sleep(time.Minute)
		is.Equal(held.get("a"), "1")
		s.set(func() { s.down = false })
		s.put("a", "2")
		time.Sleep(500 * time.Millisecond)
		is.Equal(held.get("a"), "2")
	})
}
