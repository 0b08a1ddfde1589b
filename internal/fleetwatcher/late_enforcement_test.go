package fleetwatcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

// maxUncounted is the part of the margins that is left for the age of the information about a release.
const maxUncounted = 300 * time.Millisecond

// enforcementTime returns how long after publishedAt the host sends no more requests to the older release.
func enforcementTime(h *host, publishedAt time.Time) time.Duration {
	for h.tracker.OldestAllowed("m") != 2 {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(publishedAt)
}

// assignTime is the time for which requests are sent to the older release if it is found at once.
const assignTime = rolloutTimeout - 2200*time.Millisecond

// A host that was frozen while a release was published counted the rollout timeout from when it continued. It is in
// touch again three seconds later, before the rollout timeout ends.
func TestReleasePublishedWhileHostIsFrozenIsEnforcedLate(t *testing.T) {
	const freeze = 3 * time.Second
	for name, isInCall := range map[string]bool{"between two calls": false, "during a call": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &testStore{publishedAt: time.Now().Add(5 * time.Second)}
				frozenFrom, frozenUntil := store.publishedAt.Add(-500*time.Millisecond), store.publishedAt.Add(freeze)
				thaw := func() {
					if now := time.Now(); now.After(frozenFrom) && now.Before(frozenUntil) {
						time.Sleep(time.Until(frozenUntil))
					}
				}
				h := newHost("", nil, store)
				h.relayer.ReadStore = func(ctx context.Context, topic string, epoch watcher.Epoch, from int64, wait time.Duration) (watcher.Batch, error) {
					if !isInCall {
						thaw()
					}
					b, err := store.read(context.WithoutCancel(ctx), topic, epoch, from, wait)
					if isInCall {
						thaw() // the response is there when the process continues
					}
					return b, err
				}
				var running sync.WaitGroup
				running.Go(func() { h.run(ctx) })
				time.Sleep(time.Until(store.publishedAt))
				took := enforcementTime(h, store.publishedAt)
				if took > assignTime+maxUncounted {
					t.Errorf("enforced %v after the publication, want %v at most", took, assignTime+maxUncounted)
				}
				is.Equal(h.tracker.OldestAllowed("m"), fleetconfig.Release(2))
				cancel()
				running.Wait()
			})
		})
	}
}

// A reader that answers late, but within the timeout of the call, delays a release by up to 0.7 s, and no delay is counted.
func TestReleaseFromSlowReaderIsEnforcedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &testStore{publishedAt: time.Now().Add(5 * time.Second)}
		reader := newHost("", nil, store)
		second := newHost("reader", func(ctx context.Context, q messages.RecordsQuery) (messages.RecordsResponse, error) {
			askedAt := time.Now()
			resp, err := reader.relayer.ServeRecords(ctx, q)
			if now := time.Now(); now.After(store.publishedAt.Add(-time.Second)) && now.Before(store.publishedAt.Add(time.Second)) {
				sleep(ctx, time.Until(askedAt.Add(690*time.Millisecond))) // 400 ms of wait and 300 ms of margin are allowed
			}
			return resp, err
		}, store)
		go reader.run(ctx)
		go second.run(ctx)
		time.Sleep(time.Until(store.publishedAt))
		if took := enforcementTime(second, store.publishedAt); took > assignTime+maxUncounted {
			t.Errorf("enforced %v after the publication, want %v at most", took, assignTime+maxUncounted)
		}
	})
}

// A release was published after the first snapshot of a host. Its first call for changes failed at a reader that stood
// still, and no delay was counted, as no earlier call for changes had succeeded.
func TestReleaseAfterFirstSnapshotFoundLateIsEnforcedLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		store := &testStore{publishedAt: time.Now().Add(150 * time.Millisecond)}
		h := newHost("reader", func(ctx context.Context, _ messages.RecordsQuery) (messages.RecordsResponse, error) {
			<-ctx.Done()
			return messages.RecordsResponse{}, ctx.Err()
		}, store)
		go h.run(ctx)
		time.Sleep(time.Until(store.publishedAt))
		if took := enforcementTime(h, store.publishedAt); took > assignTime+maxUncounted {
			t.Errorf("enforced %v after the publication, want %v at most", took, assignTime+maxUncounted)
		}
	})
}

// A reader whose own reader stands still answers that there is no news for as long as its cache is valid. If it then
// stands still in turn, the host that reads from it counted the delay from the last such answer.
func TestReleaseFoundLateAfterStaleAnswersIsEnforcedLate(t *testing.T) {
	for phase := time.Duration(0); phase < 600*time.Millisecond; phase += 50 * time.Millisecond {
		t.Run(phase.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				store := &testStore{publishedAt: time.Now().Add(5*time.Second + phase)}
				readerStillFrom := store.publishedAt.Add(-10 * time.Millisecond)
				var secondStillFrom time.Time
				reader := newHost("", nil, store)
				second := newHost("reader", func(ctx context.Context, q messages.RecordsQuery) (messages.RecordsResponse, error) {
					if time.Now().After(readerStillFrom) {
						<-ctx.Done()
						return messages.RecordsResponse{}, ctx.Err()
					}
					resp, err := reader.relayer.ServeRecords(ctx, q)
					if time.Now().After(readerStillFrom) {
						<-ctx.Done()
						// The second host stands still as well, just before it would read the store itself.
						secondStillFrom = time.Now().Add(-time.Millisecond)
						return resp, ctx.Err()
					}
					return resp, err
				}, store)
				third := newHost("second", func(ctx context.Context, q messages.RecordsQuery) (messages.RecordsResponse, error) {
					resp, err := second.relayer.ServeRecords(ctx, q)
					if !secondStillFrom.IsZero() && time.Now().After(secondStillFrom) {
						<-ctx.Done()
						return resp, ctx.Err()
					}
					return resp, err
				}, store)
				for _, h := range []*host{reader, second, third} {
					go h.run(ctx)
				}
				time.Sleep(time.Until(store.publishedAt))
				if took := enforcementTime(third, store.publishedAt); took > assignTime+maxUncounted {
					t.Errorf("enforced %v after the publication, want %v at most", took, assignTime+maxUncounted)
				}
			})
		})
	}
}
