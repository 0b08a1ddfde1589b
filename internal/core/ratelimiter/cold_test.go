package ratelimiter_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
)

// Guards against permits beyond the lower one of the two limits, and against a cold limit that does not end.
func TestLowerOfStatedAndColdLimitApplies(t *testing.T) {
	for name, c := range map[string]struct {
		stated, cold ident.Rate
		want         int
		applies      string
	}{
		"cold alone":   {stated: -1, cold: 17, want: 33, applies: "cold"},
		"cold lower":   {stated: 50, cold: 17, want: 33, applies: "cold"},
		"stated lower": {stated: 4, cold: 17, want: 7, applies: "stated"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				var l ratelimiter.Limiter
				is.True(!l.KnowsCold())
				if c.stated >= 0 {
					l.Record(stated(c.stated))
				}
				l.RecordCold(c.cold, 2*time.Second)
				_, cold, applies := l.Rates()
				is.Equal(applies, c.applies)
				is.Equal(cold, c.cold)
				n := taken(&l, 2*time.Second)
				is.True(n >= c.want-1 && n <= c.want+1)
				_, cold, _ = l.Rates()
				is.Equal(cold, ident.Rate(0))
				if c.stated < 0 {
					is.Equal(taken(&l, time.Second), 100) // no limit is left
				}
			})
		})
	}
}

// Guards against more permits in a second than ColdBurst above the rate, after a time without requests.
func TestColdLimiterKeepsFewPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l ratelimiter.Limiter
		l.RecordCold(17, 10*time.Second)
		ok, wait := l.Take()
		is.True(!ok) // none at first
		is.True(wait > 50*time.Millisecond && wait < 60*time.Millisecond)
		time.Sleep(5 * time.Second)
		n := taken(&l, time.Second)
		is.True(n >= 17 && n <= 18)
	})
}

// Guards against a responder that vouches for an endpoint before it has known it for long enough.
func TestUnsureLimiterLimitsAndDoesNotVouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l ratelimiter.Limiter
		_, isSure := l.ColdRemaining()
		is.True(!isSure)
		l.RecordUnsure(17, 3*time.Second)
		remaining, isSure := l.ColdRemaining()
		is.Equal(remaining, time.Duration(0))
		is.True(!isSure)
		n := taken(&l, time.Second)
		is.True(n >= 15 && n <= 17)
		time.Sleep(2 * time.Second)
		_, isSure = l.ColdRemaining()
		is.True(isSure)
		is.Equal(taken(&l, time.Second), 100)
	})
}

// Guards against incarnations at one address that each get the whole rate.
func TestIncarnationsShareTheColdLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var a, b ratelimiter.Limiter
		b.ShareCold(&a)
		is.True(!b.KnowsCold())
		b.RecordCold(17, 5*time.Second)
		n := 0
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			for _, l := range []*ratelimiter.Limiter{&a, &b} {
				if ok, _ := l.Take(); ok {
					n++
				}
			}
		}
		is.True(n >= 15 && n <= 17)
	})
}

// Guards against permits of a process that has no part in them.
func TestRateOfZeroGivesNoPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var l ratelimiter.Limiter
		l.RecordCold(0, 10*time.Second)
		is.Equal(taken(&l, 9*time.Second), 0)
	})
}
