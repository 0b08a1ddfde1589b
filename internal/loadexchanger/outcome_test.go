package loadexchanger_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// outcomeHost is an entry host whose outcomes at the endpoint are set by the test.
type outcomeHost struct {
	host
	totals   outcometracker.Totals
	totalsMu sync.Mutex
}

func startOutcomeHost(t *testing.T, name ident.Host, zone ident.Zone, responder netip.AddrPort) *outcomeHost {
	conn, _ := listen(t)
	h := &outcomeHost{totals: outcometracker.Totals{Zone: zone}}
	h.Exchanger = &loadexchanger.Exchanger{
		Host: name, Conn: conn, Responder: func(fleetconfig.Endpoint) netip.AddrPort { return responder },
		LocalLoad:       func(fleetconfig.Endpoint) assigner.Load { return assigner.Load{} },
		LoadedEndpoints: func() []fleetconfig.Endpoint { return nil },
		IsLeaving:       func(fleetconfig.Endpoint) bool { return false },
		Outcomes: func(fleetconfig.Endpoint) *outcometracker.Totals {
			h.totalsMu.Lock()
			defer h.totalsMu.Unlock()
			totals := h.totals
			return &totals
		},
		OnReply: func(_ fleetconfig.Endpoint, r loadexchanger.Reply) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.replies = append(h.replies, r)
		},
		OnGate: func(assigner.GateState) {},
	}
	run(t, h.Exchanger)
	return h
}

// A host must learn of the failures that others have seen from the reply to its next query, by zone.
func TestRepliesStateOutcomesOfAllHosts(t *testing.T) {
	is := is.New(t)
	responderConn, responder := listen(t)
	run(t, &loadexchanger.Exchanger{Host: "engine", Conn: responderConn.(net.PacketConn), OnGate: func(assigner.GateState) {}})
	a, b := startOutcomeHost(t, "a", "z1", responder), startOutcomeHost(t, "b", "z2", responder)
	reply, _, _ := a.query()
	is.True(reply.Outcomes == nil) // nothing is known yet
	b.query()
	b.totalsMu.Lock()
	b.totals.Failed = 3
	b.totalsMu.Unlock()
	b.LoadChanged(endpoint, assigner.Load{})
	for end := time.Now().Add(5 * time.Second); reply.Outcomes == nil && time.Now().Before(end); {
		reply, _, _ = a.query()
	}
	is.True(reply.Outcomes != nil)
	is.Equal(reply.Outcomes.All.FailedRun, 3)
	is.Equal(reply.Outcomes.Zone.FailedRun, 0) // another zone's
	reply, _, _ = b.query()
	is.Equal(reply.Outcomes.Zone.FailedRun, 3)
}
