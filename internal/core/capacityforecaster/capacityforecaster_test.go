package capacityforecaster_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/capacityforecaster"
)

const longest = 2 * time.Second

var refused = capacityforecaster.Refused{TimeLeft: 350 * time.Millisecond, ServiceTime: 160 * time.Millisecond, Longest: longest}

func newForecaster() *capacityforecaster.Forecaster {
	return &capacityforecaster.Forecaster{Random: func() float64 { return 0.5 }}
}

// A rank that is nearly always served has a gap near: a caller that waits for two seconds is late for nothing.
func TestRetryIsNearWhereGapIsNear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForecaster()
		for range 40 {
			f.Record(0, false, true)
			f.Record(1, false, false)
		}
		f.Record(0, false, false)
		after := f.RetryAfter(refused)
		is.True(after > 0 && after <= refused.TimeLeft-refused.ServiceTime)
		tight := refused
		tight.ServiceTime = 340 * time.Millisecond // a retry would be late anyway
		is.Equal(f.RetryAfter(tight), longest)
		other := refused
		other.Rank = 1
		is.Equal(f.RetryAfter(other), longest)
	})
}

// An overload that has just begun is expected to end while the caller waits. In one that lasts, and in which late requests
// are not served, callers are not invited to be refused again.
func TestRetryWithoutProspectIsNotInvited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newForecaster()
		overload := func(d time.Duration, lateServed bool) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				f.Record(0, false, false)
				f.Record(0, true, lateServed)
			}
		}
		overload(time.Second, false)
		is.Equal(f.RetryAfter(refused), longest)
		overload(4*time.Second, false)
		is.Equal(f.RetryAfter(refused), time.Duration(0))
		overload(time.Second, true)
		is.Equal(f.RetryAfter(refused), longest) // late requests are served
		overload(5*time.Second, false)
		is.Equal(f.RetryAfter(refused), time.Duration(0))
		for range 500 {
			f.Record(0, false, true)
			time.Sleep(10 * time.Millisecond)
		}
		f.Record(0, false, false)
		late := refused
		late.TimeLeft = 0
		is.Equal(f.RetryAfter(late), longest) // another overload
	})
}
