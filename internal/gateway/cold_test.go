package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// Guards against a request to a cold endpoint without a permit, or with one for an endpoint that is not cold.
func TestColdEndpointGetsNoRequestWithoutPermit(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{notLimited, notLimited, notLimited})
	f.configure(1)
	var isAllowed, isCold atomic.Bool
	asked := f.givePermits(&isAllowed)
	f.gateway.NeedsPermit = func(fleetconfig.Endpoint) bool { return isCold.Load() }
	f.gateway.PermitLifetime = func(fleetconfig.Endpoint) time.Duration { return 10 * time.Second }
	status, _, _, err := f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(asked.Load(), int64(0))
	isCold.Store(true)
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 503)
	is.Equal(len(f.requests()), 1)
	isAllowed.Store(true)
	time.Sleep(400 * time.Millisecond)
	status, _, _, err = f.send("/once/", nil)
	is.NoErr(err)
	is.Equal(status, 200)
	is.Equal(asked.Load(), int64(2))
}

// Guards against requests with permits of long ago, which would arrive together with those of new ones, and against an
// endpoint that becomes cold between the choice and the write.
func TestRequestIsNotWrittenWithoutValidPermit(t *testing.T) {
	for name, lifetime := range map[string]time.Duration{"permit has expired": -1, "endpoint became cold": time.Minute} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, []step{notLimited})
			f.configure(1)
			var calls atomic.Int64
			f.gateway.TakePermit = func(context.Context, fleetconfig.Endpoint) (bool, time.Duration) { return true, 0 }
			f.gateway.NeedsPermit = func(fleetconfig.Endpoint) bool { return lifetime < 0 || calls.Add(1) > 1 }
			f.gateway.PermitLifetime = func(fleetconfig.Endpoint) time.Duration { return lifetime }
			status, _, _, err := f.send("/once/", nil)
			is.NoErr(err)
			is.Equal(status, 503)
			is.Equal(len(f.requests()), 0)
		})
	}
}
