package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/limiter"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const target = 500 * time.Millisecond

// TestStateLimit checks that the limit stays between one and the number of slots, and that only a response after the
// target reduces it.
func TestStateLimit(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		slots := rapid.IntRange(1, 64).Draw(rt, "slots")
		l := limiter.Limiter{FirstTokenTarget: target}
		l.SetSlots(slots)
		for range 200 {
			time.Sleep(time.Duration(rapid.IntRange(1, 200).Draw(rt, "sleep")) * time.Millisecond)
			wait := time.Duration(rapid.IntRange(1, 1000).Draw(rt, "wait")) * time.Millisecond
			before := l.Limit()
			l.Observe(time.Now().Add(-wait), wait, rapid.IntRange(0, 2*slots).Draw(rt, "running"))
			after := l.Limit()
			switch {
			case after < 1 || after > slots:
				rt.Fatalf("limit %d of %d slots", after, slots)
			case after < before && wait <= target:
				rt.Fatalf("limit reduced from %d to %d by a response within %s", before, after, wait)
			case after > before && wait > target:
				rt.Fatalf("limit raised from %d to %d by a response after %s", before, after, wait)
			}
		}
	})
}

func TestRequestsSentTogetherReduceTheLimitOnce(t *testing.T) {
	is := is.New(t)
	l := limiter.Limiter{FirstTokenTarget: target}
	l.SetSlots(10)
	start := time.Now()
	for range 10 {
		l.Observe(start, time.Second, 10)
	}
	is.Equal(l.Limit(), 8)
}

func TestLimitRecoversAfterFastResponses(t *testing.T) {
	is := is.New(t)
	l := limiter.Limiter{FirstTokenTarget: target}
	l.SetSlots(10)
	l.Observe(time.Now(), time.Second, 10)
	for range 40 {
		l.Observe(time.Now(), time.Millisecond, l.Limit())
	}
	is.Equal(l.Limit(), 10)
}
