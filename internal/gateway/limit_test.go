package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

var (
	limited    = rawResponse("HTTP/1.1 200 X\r\nSigned: s\r\nId: id1\r\nLimit: 0.5\r\nContent-Length: 2\r\n\r\nok")
	notLimited = response(200, "ok")
)

// givePermits makes f give the permits that are allowed, and count what it is asked for.
func (f *testFleet) givePermits(isAllowed *atomic.Bool) (asked *atomic.Int64) {
	asked = new(atomic.Int64)
	f.gateway.TakePermit = func(context.Context, fleetconfig.Endpoint) (bool, time.Duration) {
		asked.Add(1)
		return isAllowed.Load(), 300 * time.Millisecond
	}
	return asked
}

func TestLimitedEndpointGetsNoRequestWithoutPermit(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{limited, limited, notLimited, notLimited})
	f.configure(1)
	var isAllowed atomic.Bool
	asked := f.givePermits(&isAllowed)
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(asked.Load(), int64(0)) // no limit was known
	start := time.Now()
	status, _, h, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(h.Get("Retry-After"), "1s") // a third of the time that the caller has left
	is.True(time.Since(start) < 200*time.Millisecond)
	is.Equal(len(f.requests()), 1)
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(asked.Load(), int64(1)) // not before there may be a permit again
	isAllowed.Store(true)
	time.Sleep(400 * time.Millisecond)
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	status, _, _, err = f.send("/once/", nil) // the response states no limit
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(asked.Load(), int64(3))
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(asked.Load(), int64(3))
}

// Each attempt needs a permit, so also that of a stream that is resumed elsewhere.
func TestRepeatsToLimitedEndpointNeedPermits(t *testing.T) {
	is := is.New(t)
	cut := rawResponse("HTTP/1.1 200 X\r\nSigned: s\r\nId: id1\r\nLimit: 5\r\nTransfer-Encoding: chunked\r\n\r\n")
	f := startFleet(t, []step{cut, cut}, nil)
	f.configure(1)
	isAllowed := new(atomic.Bool)
	isAllowed.Store(true)
	asked := f.givePermits(isAllowed)
	for i, e := range f.endpoints {
		f.gateway.Assigner.RecordLimit(e, fleetconfig.RateLimit{ID: uint64(1 + i), IsLimited: true, Rate: 5, SentAt: time.Now(), ReceivedAt: time.Now()})
	}
	status, _, _, err := f.send("/stream/", nil)
	is.NoErr(err)
	is.Equal(status, 502)
	is.Equal(len(f.requests()), 2)
	is.Equal(asked.Load(), int64(2))
}
