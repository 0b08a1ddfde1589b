package requestholder_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/requestholder"
)

// A less urgent request took the slot that a more urgent one was held for.
func TestMostUrgentRequestIsWokenFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &requestholder.Holder{}
		var mu sync.Mutex
		var order []int
		for i, rank := range []ident.Rank{2, 0, 1, 0} {
			go func() {
				is.True(h.Hold(t.Context(), rank, time.Second))
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			}()
			synctest.Wait()
		}
		for range 5 { // once more than there are
			h.Wake()
			synctest.Wait()
		}
		is.Equal(order, []int{1, 3, 2, 0})
	})
}

// A request must be refused immediately: it is held for its time at most, and not after its caller has gone.
func TestHoldEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &requestholder.Holder{}
		startedAt := time.Now()
		is.True(h.Hold(t.Context(), 0, requestholder.Limit(400*time.Millisecond)))
		is.Equal(time.Since(startedAt), 50*time.Millisecond)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		is.True(h.Hold(ctx, 0, time.Second))
		is.Equal(time.Since(startedAt), 51*time.Millisecond)
		is.True(!h.Hold(t.Context(), 0, 0))
		is.True(!h.Hold(t.Context(), 0, -time.Second))
		h.Wake() // nothing is held any more
	})
}

// Under extreme overload, held requests would take the memory and the time of the host.
func TestFewRequestsAreHeld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := &requestholder.Holder{}
		const most = 64
		var mu sync.Mutex
		held := 0
		for range most + 10 {
			go func() {
				if h.Hold(t.Context(), 1, time.Second) {
					mu.Lock()
					defer mu.Unlock()
					held++
				}
			}()
		}
		synctest.Wait()
		is.True(!h.Hold(t.Context(), 1, time.Second))
		startedAt := time.Now()
		is.True(h.Hold(t.Context(), 0, 100*time.Millisecond)) // a less urgent one is let go instead
		is.Equal(time.Since(startedAt), 100*time.Millisecond)
		mu.Lock()
		is.Equal(held, 1)
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		defer mu.Unlock()
		is.Equal(held, most)
	})
}
