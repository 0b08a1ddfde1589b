package uploadlimiter

import (
	"errors"
	"testing"

	"github.com/matryer/is"
)

func TestSameZoneAndOtherZonesHaveSeparateSlots(t *testing.T) {
	is := is.New(t)
	limiter := &Limiter{MaxSameZone: 1, MaxOtherZones: 1}
	release, err := limiter.Acquire(true)
	is.NoErr(err)
	_, err = limiter.Acquire(true)
	var busy *BusyError
	is.True(errors.As(err, &busy))
	is.True(busy.RetryAfter > 0)
	_, err = limiter.Acquire(false)
	is.NoErr(err)
	release()
	release()
	is.Equal(limiter.InUse(), 1)
	_, err = limiter.Acquire(true)
	is.NoErr(err)
}
