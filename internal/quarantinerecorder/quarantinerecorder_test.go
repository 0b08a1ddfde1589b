package quarantinerecorder_test

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/quarantinerecorder"
)

const feature = crashsuspector.Feature(0xabc)

// store holds the values of the status topic.
type store struct {
	mu     sync.Mutex
	values map[string][]byte
	calls  int
	err    error
}

func (s *store) put(_ context.Context, values map[string][]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.err != nil {
		return s.err
	}
	for k, v := range values {
		if len(v) == 0 {
			delete(s.values, k)
			continue
		}
		s.values[k] = bytes.Clone(v)
	}
	return nil
}

func (s *store) snapshot() map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.values)
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

type host struct {
	*quarantinerecorder.Recorder
	logged *memory.Handler
	stop   context.CancelFunc
}

// startHost starts a recorder that has read the store.
func startHost(t *testing.T, s *store, isWriter bool) (*host, crashsuspector.Facts) {
	logged := memory.New()
	h := &host{logged: logged, Recorder: &quarantinerecorder.Recorder{
		Suspector: &crashsuspector.Suspector{}, IsWriter: func() bool { return isWriter }, Put: s.put,
		Logger: &log.Logger{Handler: logged, Level: log.InfoLevel},
	}}
	h.Init()
	added := h.SetRecords(s.snapshot())
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	t.Cleanup(cancel)
	go func() { _ = h.Run(ctx) }()
	return h, added
}

// quarantine makes the host quarantine a feature.
func (h *host) quarantine(f crashsuspector.Feature) {
	for i := range 5 {
		time.Sleep(200 * time.Millisecond)
		h.Suspector.RecordCrash(crashsuspector.CrashID(uint64(f)<<8+uint64(i)), []crashsuspector.Feature{f})
	}
	h.Notify()
}

func (h *host) isQuarantined(f crashsuspector.Feature) bool {
	return h.Suspector.Verdict([]crashsuspector.Feature{f}) == crashsuspector.Quarantined
}

func (h *host) count(e event.Event) int {
	n := 0
	for _, entry := range h.logged.Entries {
		if entry.Message == e.Text {
			n++
		}
	}
	return n
}

func TestQuarantineIsKnownAfterLossOfPowerOfAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{values: map[string][]byte{"entry/a": []byte("{}")}}
		writer, _ := startHost(t, s, true)
		other, _ := startHost(t, s, false)
		writer.quarantine(feature)
		other.quarantine(feature)
		synctest.Wait()
		is.Equal(len(s.snapshot()), 2)
		is.Equal(s.callCount(), 1) // one call of one host
		writer.stop()
		other.stop()
		for range 2 {
			// The time between has no influence on the age of the quarantine.
			time.Sleep(24 * time.Hour)
			restarted, added := startHost(t, s, false)
			is.True(!restarted.isQuarantined(feature))
			restarted.Suspector.Merge(added)
			is.True(restarted.isQuarantined(feature))
			time.Sleep(crashsuspector.Retention - time.Second)
			is.True(restarted.isQuarantined(feature))
			time.Sleep(5 * time.Second)
			is.True(!restarted.isQuarantined(feature))
		}
	})
}

// A host that reads a record and holds the facts already does not count the crashes twice, or as newer.
func TestRecordIsMergedWithFactsOfOtherHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{values: make(map[string][]byte)}
		h, _ := startHost(t, s, true)
		h.quarantine(feature)
		time.Sleep(time.Minute)
		before := h.Suspector.Evidence(feature)
		_, added := startHost(t, s, false)
		is.True(len(added.Crashes) > 0)
		h.Suspector.Merge(added)
		is.Equal(h.Suspector.Evidence(feature), before)
	})
}

func TestRecordIsDeletedWhenQuarantineEnds(t *testing.T) {
	for name, end := range map[string]func(h *host){
		"expired": func(*host) { time.Sleep(crashsuspector.Retention) },
		"lifted":  func(h *host) { h.Suspector.RecordSuccess([]crashsuspector.Feature{feature}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := &store{values: make(map[string][]byte)}
				h, _ := startHost(t, s, true)
				h.quarantine(feature)
				time.Sleep(time.Second)
				is.Equal(len(s.snapshot()), 1)
				end(h)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				is.Equal(len(s.snapshot()), 0)
				is.Equal(s.callCount(), 2)
			})
		})
	}
}

// The store is restored from a copy that lacks the record of one feature, and has one of a feature that is no longer
// quarantined.
func TestStoreRestoredFromOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{values: make(map[string][]byte)}
		h, _ := startHost(t, s, true)
		const old = crashsuspector.Feature(0x123)
		h.quarantine(old)
		time.Sleep(time.Second)
		backup := s.snapshot()
		h.Suspector.RecordSuccess([]crashsuspector.Feature{old})
		time.Sleep(10 * time.Second)
		h.quarantine(feature)
		time.Sleep(5 * time.Second)
		want := s.snapshot()
		is.Equal(len(want), 1)
		s.mu.Lock()
		s.values = backup
		s.mu.Unlock()
		time.Sleep(crashsuspector.Retention / 2)
		h.HandleRestore()
		is.True(h.SetRecords(s.snapshot()).IsEmpty())
		time.Sleep(10 * time.Second)
		synctest.Wait()
		got := s.snapshot()
		is.Equal(len(got), 1)
		for key := range want {
			is.True(len(got[key]) > 0)
		}
		is.True(!h.isQuarantined(old))
	})
}

func TestCallsToUnavailableStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{values: make(map[string][]byte), err: errors.New("store is unavailable")}
		h, _ := startHost(t, s, true)
		for f := range crashsuspector.Feature(100) {
			h.quarantine(1 + f)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		is.True(s.callCount() > 0)
		is.True(s.callCount() <= (100+60)/8+4) // one in 8 s after the first few
		is.Equal(h.count(event.QuarantineWriteFailed), s.callCount())
		s.mu.Lock()
		s.err, s.calls = nil, 0
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(s.callCount(), 1)
		is.Equal(len(s.snapshot()), 64)
	})
}

// A feature that becomes quarantined and is cleared again and again.
func TestCallsForUnstableQuarantineAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := &store{values: make(map[string][]byte)}
		h, _ := startHost(t, s, true)
		const rounds = 60
		for i := range crashsuspector.CrashID(rounds) {
			for j := range crashsuspector.CrashID(5) {
				time.Sleep(200 * time.Millisecond)
				h.Suspector.RecordCrash(100*i+j, []crashsuspector.Feature{feature})
				h.Notify()
			}
			time.Sleep(time.Second)
			h.Suspector.RecordSuccess([]crashsuspector.Feature{feature})
			h.Notify()
		}
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(len(s.snapshot()), 0)
		is.True(s.callCount() <= 2*rounds)
	})
}

func TestInvalidRecordsAreSkippedAndLoggedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		invalid := map[string][]byte{
			"quarantine/xyz":              []byte(`{"crashes":[{"id":1,"age":0}]}`),
			"quarantine/1":                []byte(`{"crashes":[{"id":1,"age":0}]}`),
			"quarantine/0000000000000001": []byte(`\xff`),
			"quarantine/0000000000000002": []byte(`{"crashes":"no"}`),
			"quarantine/0000000000000003": []byte(`{}`),
			"quarantine/0000000000000004": []byte(`{"crashes":[{"id":1,"age":-5}]}`),
			"quarantine/0000000000000005": []byte(`{"crashes":[{"id":-1,"age":5}]}`),
			"entry/a":                     []byte("garbage"),
		}
		s := &store{values: maps.Clone(invalid)}
		writer, _ := startHost(t, s, true)
		writer.quarantine(feature)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		is.Equal(len(s.snapshot()), len(invalid)+1) // those of others stay
		h, added := startHost(t, s, false)
		h.Suspector.Merge(added)
		is.Equal(h.Suspector.QuarantinedFeatures(), []crashsuspector.Feature{feature})
		is.True(h.SetRecords(s.snapshot()).IsEmpty())
		is.Equal(h.count(event.QuarantineUnreadable), len(invalid)-1)
	})
}
