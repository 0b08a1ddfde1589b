package watcher_test

import (
	"context"
	"errors"
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
	changes []watcher.Change
	first   int64
	down    bool
	silent  bool
	calls   int
}

var errDown = errors.New("down")

func (s *store) reach(ctx context.Context) error {
	s.calls++
	if s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if s.down {
		return errDown
	}
	return nil
}

func (s *store) newest(ctx context.Context, _ string) (watcher.Image, error) {
	if err := s.reach(ctx); err != nil {
		return watcher.Image{}, err
	}
	img := watcher.Image{Values: make(map[string][]byte), Next: int64(len(s.changes))}
	for _, c := range s.changes {
		img.Values[c.Key] = c.Value
	}
	return img, nil
}

func (s *store) read(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	if err := s.reach(ctx); err != nil {
		return watcher.Batch{}, err
	}
	if from < s.first {
		return watcher.Batch{}, &watcher.GapError{Topic: topic, From: from}
	}
	for end := time.Now().Add(wait); from == int64(len(s.changes)) && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
		if s.silent {
			<-ctx.Done()
			return watcher.Batch{}, ctx.Err()
		}
	}
	return watcher.Batch{Changes: s.changes[from:], Next: int64(len(s.changes))}, nil
}

func (s *store) put(key, value string) {
	s.changes = append(s.changes, watcher.Change{Key: key, Value: []byte(value)})
}

// follow runs a watcher on the store in virtual time and returns what it holds.
func follow(t *testing.T, s *store, wait time.Duration, body func(held map[string]string, resets *int)) {
	synctest.Test(t, func(*testing.T) {
		held := make(map[string]string)
		resets := 0
		w := &watcher.Watcher{
			Topic: "t", Wait: wait, Pause: 200 * time.Millisecond, Newest: s.newest, Changes: s.read, Logger: quiet,
			Reset: func(values map[string][]byte) {
				resets++
				clear(held)
				for k, v := range values {
					held[k] = string(v)
				}
			},
			Apply: func(changes []watcher.Change) {
				for _, c := range changes {
					held[c.Key] = string(c.Value)
				}
			},
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			_ = w.Run(ctx)
			close(done)
		}()
		time.Sleep(50 * time.Millisecond)
		body(held, &resets)
		cancel()
		<-done
	})
}

func TestFollowsChanges(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, time.Second, func(held map[string]string, _ *int) {
		is.Equal(held["a"], "1")
		time.Sleep(300 * time.Millisecond)
		s.put("a", "2")
		time.Sleep(20 * time.Millisecond)
		is.Equal(held["a"], "2") // a waiting call hears of it at once
		for range 20 {
			s.put("a", "3")
			time.Sleep(10 * time.Millisecond)
		}
		calls := s.calls
		time.Sleep(200 * time.Millisecond)
		is.True(s.calls-calls <= 2) // a storm shares calls
		is.Equal(held["a"], "3")
	})
}

func TestReadsAllAfterAGap(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, 0, func(held map[string]string, resets *int) {
		s.changes = append(s.changes, watcher.Change{Key: "b", Value: []byte("1")}, watcher.Change{Key: "c", Value: []byte("1")})
		s.first = 2
		time.Sleep(time.Second)
		is.Equal(held["c"], "1")
		is.Equal(*resets, 2)
	})
}

// A store that falls silent with a call waiting must not keep the watcher from a change that comes with its return.
func TestSilentStoreIsNoticed(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, 1200*time.Millisecond, func(held map[string]string, _ *int) {
		s.silent = true
		time.Sleep(10 * time.Second)
		s.silent = false
		s.put("a", "2")
		time.Sleep(1300 * time.Millisecond)
		is.Equal(held["a"], "2")
	})
}

func TestHeldValuesOutliveAnOutage(t *testing.T) {
	is := is.New(t)
	s := &store{}
	s.put("a", "1")
	follow(t, s, time.Second, func(held map[string]string, _ *int) {
		s.down = true
		time.Sleep(time.Minute)
		is.Equal(held["a"], "1")
		s.down = false
		s.put("a", "2")
		time.Sleep(500 * time.Millisecond)
		is.Equal(held["a"], "2")
	})
}
