package loadexchanger_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// Guards against a link whose replies are lost or late without the balancer of the zones learning of it, and against
// replies that are not waited for being counted as missed again and again.
func TestRoundTripsAndMissedRepliesAreReported(t *testing.T) {
	is := is.New(t)
	conn, responder := listen(t)
	roundTrips, missed := make(chan time.Duration, 100), make(chan fleetconfig.Endpoint, 100)
	a := startHost(t, "a", responder, func(x *loadexchanger.Exchanger) {
		x.OnRoundTrip = func(_ fleetconfig.Endpoint, took time.Duration) { roundTrips <- took }
		x.OnMissedReply = func(e fleetconfig.Endpoint) { missed <- e }
	})
	a.query()
	is.Equal((<-missed).ID, endpoint.ID)
	for range 5 {
		a.query() // the responder is known to be silent
	}
	is.Equal(len(missed), 0)
	is.Equal(len(roundTrips), 0)
	run(t, &loadexchanger.Exchanger{Host: "engine", Conn: conn}) // answers the queries that wait in its socket
	select {
	case took := <-roundTrips:
		is.True(took >= 15*time.Millisecond) // since the query was sent
	case <-time.After(5 * time.Second):
		t.Fatal("no round trip reported")
	}
}
