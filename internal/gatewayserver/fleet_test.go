package gatewayserver

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Hosts beside engines got no age of a release, and counted the rollout from when they learned of it.
func TestFleetResponseStatesAgeOfRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tracker := &fleettracker.Tracker{}
		tracker.Replace(nil)
		h := &Server{gateway: &gateway.Gateway{}, FleetWatcher: &fleetwatcher.Watcher{Tracker: tracker}, presence: &presencetracker.Tracker{}}
		h.gateway.SetConfig(&fleetconfig.Config{Revision: 1, Pools: map[ident.Pool]*fleetconfig.Pool{
			"p": {Name: "p", Engine: &fleetconfig.EngineProfile{Models: []fleetconfig.Model{"m"}}},
		}})
		query := func(digest uint64) messages.FleetResponse {
			resp, err := h.handleFleet(t.Context(), messages.FleetQuery{Pool: "p", Digest: digest})
			is.NoErr(err)
			return resp
		}
		initial := query(0)
		is.Equal(initial.NewestRelease, int64(1))
		is.Equal(initial.ReleaseAgeMs, int64(0)) // unknown
		tracker.AddRelease("m", 2, false, 300*time.Millisecond)
		time.Sleep(fleetCacheTTL + time.Millisecond)
		found := query(initial.Digest)
		is.Equal(found.NewestRelease, int64(2))
		is.Equal(found.ReleaseAgeMs, (300*time.Millisecond + fleetCacheTTL + time.Millisecond).Milliseconds())
		time.Sleep(fleetCacheTTL) // the response is cached
		is.Equal(query(initial.Digest).ReleaseAgeMs, found.ReleaseAgeMs+fleetCacheTTL.Milliseconds())
		time.Sleep(time.Second)
		later := query(0)
		is.Equal(later.Digest, found.Digest) // the age does not change it
		is.Equal(later.ReleaseAgeMs, found.ReleaseAgeMs+(fleetCacheTTL+time.Second).Milliseconds())
		is.True(query(found.Digest).Unchanged)
	})
}
