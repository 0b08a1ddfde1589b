package ratelimiter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
)

var lastID uint64

// stated returns a statement of a limit in a response that has just arrived.
func stated(rate ident.Rate) fleetconfig.RateLimit {
	lastID++
	return fleetconfig.RateLimit{ID: lastID, IsLimited: true, Rate: rate, SentAt: time.Now(), ReceivedAt: time.Now()}
}

// taken asks for permits every 10 ms and returns how many were given.
func taken(l *ratelimiter.Limiter, duration time.Duration) (n int) {
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok, _ := l.Take(); ok {
			n++
		}
	}
	return n
}

func TestPermitsFollowTheLimit(t *testing.T) {
	for _, c := range []struct {
		rate    ident.Rate
		seconds int
		want    int
	}{
		{rate: 1, seconds: 20, want: 19}, // the first one comes after a second
		{rate: 1.7, seconds: 20, want: 33},
		{rate: 20, seconds: 10, want: 199},
		{rate: 0, seconds: 21, want: 4}, // trials, which show that the limit has ended
		{rate: 0.01, seconds: 21, want: 4},
		{rate: ratelimiter.MaxRate, seconds: 1, want: 100},
		{rate: 1e9, seconds: 1, want: 100},
	} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			var l ratelimiter.Limiter
			is.Equal(taken(&l, time.Second), 100) // no limit is known
			l.Record(stated(c.rate))
			is.Equal(taken(&l, time.Duration(c.seconds)*time.Second), c.want)
		})
	}
}

func TestIdleLimiterKeepsFewPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l ratelimiter.Limiter
		l.Record(stated(4))
		time.Sleep(time.Minute)
		kept := 0
		for ok, _ := l.Take(); ok; ok, _ = l.Take() {
			kept++
		}
		is.Equal(kept, 2)
		_, wait := l.Take()
		is.Equal(wait, 250*time.Millisecond)
	})
}

// A process that starts gives no permit before the one that it replaces would have.
func TestRestartGivesNoFurtherPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := 0
		for range 10 {
			var l ratelimiter.Limiter
			l.Record(stated(1))
			n += taken(&l, 900*time.Millisecond)
		}
		is.Equal(n, 0)
	})
}

func TestLowerLimitHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l ratelimiter.Limiter
		l.Record(stated(50))
		time.Sleep(time.Second)
		l.Record(stated(1))
		is.Equal(taken(&l, 5*time.Second), 5) // one that was kept, and those after 1 to 4 s
	})
}
