package storerelayer_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/storerelayer"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

var errRefused = errors.New("refused")

// store counts the calls of each host, and may refuse or ignore some hosts.
type store struct {
	mu      sync.Mutex
	changes []watcher.Change
	calls   map[string]int
	refuses map[string]bool
	silent  map[string]bool
}

func (s *store) read(host string) func(ctx context.Context, topic string, from int64, wait time.Duration) (watcher.Batch, error) {
	return func(ctx context.Context, _ string, from int64, wait time.Duration) (watcher.Batch, error) {
		s.count(host)
		for end := time.Now().Add(wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if changes, silent, refuses := s.state(host); from < int64(len(changes)) || silent || refuses {
				break
			}
		}
		changes, silent, refuses := s.state(host)
		switch {
		case silent:
			<-ctx.Done()
			return watcher.Batch{}, ctx.Err()
		case refuses:
			return watcher.Batch{}, errRefused
		}
		return watcher.Batch{Changes: changes[from:], Next: int64(len(changes))}, nil
	}
}

func (s *store) count(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[host]++
}

func (s *store) state(host string) ([]watcher.Change, bool, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changes, s.silent[host], s.refuses[host]
}

// set changes the state of the store and its hosts.
func (s *store) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// zone runs three hosts that follow one topic; the first is the reader. seen holds when each host has how many changes.
func zone(t *testing.T, body func(s *store, have map[string]*atomic.Int64, alive map[string]bool)) {
	synctest.Test(t, func(*testing.T) {
		s := &store{calls: make(map[string]int), refuses: make(map[string]bool), silent: make(map[string]bool)}
		names := []string{"a", "b", "c"}
		alive := map[string]bool{"a": true, "b": true, "c": true}
		hosts := make(map[string]*storerelayer.Relayer)
		have := make(map[string]*atomic.Int64)
		ctx, cancel := context.WithCancel(context.Background())
		for _, name := range names {
			have[name] = new(atomic.Int64)
			hosts[name] = &storerelayer.Relayer{
				Store: s.read(name),
				Reader: func(banned func(string) bool) string {
					for _, n := range names {
						if n == name {
							return ""
						}
						if !banned(n) {
							return n
						}
					}
					return ""
				},
				Ask: func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
					if isDead := func() bool { s.mu.Lock(); defer s.mu.Unlock(); return !alive[address] }; isDead() {
						<-ctx.Done()
						return messages.RecordsAnswer{}, ctx.Err()
					}
					return hosts[address].Answer(ctx, q)
				},
			}
		}
		done := make(chan struct{}, len(names))
		for _, name := range names {
			go func() {
				for ctx.Err() == nil {
					call, stop := context.WithTimeout(ctx, 1800*time.Millisecond)
					b, err := hosts[name].Changes(call, "t", have[name].Load(), 700*time.Millisecond)
					stop()
					if err == nil {
						have[name].Store(b.Next)
						time.Sleep(100 * time.Millisecond)
						continue
					}
					time.Sleep(200 * time.Millisecond)
				}
				done <- struct{}{}
			}()
		}
		time.Sleep(5 * time.Second)
		body(s, have, alive)
		cancel()
		for range names {
			<-done
		}
	})
}

func (s *store) put() {
	s.set(func() { s.changes = append(s.changes, watcher.Change{Key: "k", Value: []byte("v")}) })
}

func TestOneHostReadsForItsZone(t *testing.T) {
	is := is.New(t)
	zone(t, func(s *store, have map[string]*atomic.Int64, _ map[string]bool) {
		s.set(func() { clear(s.calls) })
		for i := range 10 {
			s.put()
			time.Sleep(time.Second)
			is.Equal(have["b"].Load(), int64(i+1))
			is.Equal(have["c"].Load(), int64(i+1))
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		is.True(s.calls["a"] > 10)
		is.Equal(s.calls["b"]+s.calls["c"], 0)
	})
}

// Whatever happens to the reader alone, the others have a change within the time for it to be in force.
func TestReaderInTroubleDelaysNobodyForLong(t *testing.T) {
	for name, trouble := range map[string]func(s *store, alive map[string]bool){
		"refused": func(s *store, _ map[string]bool) { s.refuses["a"] = true },
		"silent":  func(s *store, _ map[string]bool) { s.silent["a"] = true },
		"dead":    func(s *store, alive map[string]bool) { alive["a"] = false; s.silent["a"] = true },
	} {
		for _, after := range []time.Duration{0, 300 * time.Millisecond, 650 * time.Millisecond, 3 * time.Second} {
			t.Run(fmt.Sprint(name, after), func(t *testing.T) {
				zone(t, func(s *store, have map[string]*atomic.Int64, alive map[string]bool) {
					s.set(func() { trouble(s, alive) })
					time.Sleep(after)
					s.put()
					time.Sleep(1700 * time.Millisecond)
					if have["b"].Load() != 1 || have["c"].Load() != 1 {
						t.Errorf("b has %d, c has %d", have["b"].Load(), have["c"].Load())
					}
				})
			})
		}
	}
}

func TestLargeAnswersAreCompressed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		big := watcher.Change{Key: "config", Value: []byte(strings.Repeat("route ", 20000))}
		d := &storerelayer.Relayer{
			Reader: func(func(string) bool) string { return "" },
			Store: func(context.Context, string, int64, time.Duration) (watcher.Batch, error) {
				return watcher.Batch{Changes: []watcher.Change{big}, Next: 1}, nil
			},
		}
		ctx := context.Background()
		_, err := d.Changes(ctx, "t", 0, 0)
		is.NoErr(err)
		a, err := d.Answer(ctx, messages.RecordsQuery{Topic: "t", From: 0})
		is.NoErr(err)
		is.True(a.Packed)
		is.True(len(a.Data) < len(big.Value)/20)
		other := &storerelayer.Relayer{
			Reader: func(func(string) bool) string { return "r" },
			Ask: func(ctx context.Context, _ string, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
				return d.Answer(ctx, q)
			},
		}
		b, err := other.Changes(ctx, "t", 0, 0)
		is.NoErr(err)
		is.Equal(b.Next, int64(1))
		is.Equal(b.Changes, []watcher.Change{big})
		unknown, err := d.Answer(ctx, messages.RecordsQuery{Topic: "t", From: 7})
		is.NoErr(err)
		is.True(unknown.Unknown)
	})
}

// A reader that does not know one topic still reads the others for its zone.
func TestReaderIsPassedOverInOneTopicAlone(t *testing.T) {
	is := is.New(t)
	direct := make(map[string]int)
	d := &storerelayer.Relayer{
		Reader: func(banned func(string) bool) string {
			if banned("r") {
				return ""
			}
			return "r"
		},
		Ask: func(_ context.Context, _ string, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
			return messages.RecordsAnswer{Unknown: q.Topic == "unknown", Next: q.From}, nil
		},
		Store: func(_ context.Context, topic string, from int64, _ time.Duration) (watcher.Batch, error) {
			direct[topic]++
			return watcher.Batch{Next: from}, nil
		},
	}
	for range 3 {
		for _, topic := range []string{"unknown", "known"} {
			_, err := d.Changes(context.Background(), topic, 0, 0)
			is.NoErr(err)
		}
	}
	is.Equal(direct, map[string]int{"unknown": 3})
}
