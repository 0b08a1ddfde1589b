package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// The priority of the route had no effect where the organisation states one, and late requests were as urgent as others.
func TestEndpointReceivesRankAsPriority(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, []step{response(200, "a"), response(200, "b"), response(200, "c")})
	config := &fleetconfig.Config{
		Revision: 1, Pools: map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p"}},
		Keys: map[fleetconfig.Key]*fleetconfig.Organisation{"k": {Name: "o", HasPriority: true, Priority: 3}},
	}
	pools := []fleetconfig.PoolShare{{Pool: "p", Weight: 1}}
	config.SetRoutes([]fleetconfig.Route{
		{Name: "urgent", Host: "127.0.0.1", Prefix: "/urgent/", Kind: fleetconfig.Repeatable, MaxAttempts: 1, Pools: pools, Priority: 2, Objective: time.Minute, Timeout: time.Minute},
		{Name: "usual", Host: "127.0.0.1", Prefix: "/usual/", Kind: fleetconfig.Repeatable, MaxAttempts: 1, Pools: pools, Priority: 4, Objective: time.Minute, Timeout: time.Minute},
		{Name: "late", Host: "127.0.0.1", Prefix: "/late/", Kind: fleetconfig.Repeatable, MaxAttempts: 1, Pools: pools, Priority: 2, Objective: time.Nanosecond, Timeout: time.Minute},
	})
	f.gateway.SetConfig(config)
	for _, path := range []string{"/urgent/", "/usual/", "/late/"} {
		status, _, _, err := f.send(path, nil)
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	var got []string
	for _, r := range f.requests() {
		got = append(got, r.Header.Get("Priority"))
	}
	is.Equal(got, []string{"0", "1", "9"})
}
