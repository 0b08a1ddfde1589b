package engineagent_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// A slow phase lasts 0.6 s. The pace in replies must be new enough to be of use in it, and be absent if the engine states none
// or does not respond.
func TestRepliesStateTheCurrentPace(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	pace, isHanging := 0.0, false
	e := &engine{staged: make(map[int][]byte), startTime: 1, release: 1}
	var responder netip.AddrPort
	b := start(t, e, func(h *engineagent.Agent) {
		responder = h.GateConn.LocalAddr().(*net.UDPAddr).AddrPort()
		h.Engine.Report = func(ctx context.Context) (rolloutplanner.Report, error) {
			mu.Lock()
			value, hangs := pace, isHanging
			mu.Unlock()
			if hangs {
				<-ctx.Done()
				return rolloutplanner.Report{}, ctx.Err()
			}
			r, err := e.report(ctx)
			r.Slowdown = value
			return r, err
		}
	})
	b.publishRelease(1)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	var last *assigner.Pace
	gates := make(chan assigner.GateState, 1000)
	x := &loadexchanger.Exchanger{
		Host: "a", Conn: conn, Responder: func(fleetconfig.Endpoint) netip.AddrPort { return responder }, Logger: discardLogger,
		LocalLoad: func(fleetconfig.Endpoint) assigner.Load { return assigner.Load{} }, LoadedEndpoints: func() []fleetconfig.Endpoint { return nil },
		IsLeaving: func(fleetconfig.Endpoint) bool { return false }, OnGate: func(g assigner.GateState) { gates <- g },
		OnReply: func(_ fleetconfig.Endpoint, r loadexchanger.Reply) {
			mu.Lock()
			defer mu.Unlock()
			last = r.Pace
		},
	}
	x.Init()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.NoErr(<-done)
	})
	set := func(value float64, hangs bool) {
		mu.Lock()
		defer mu.Unlock()
		pace, isHanging = value, hangs
	}
	await := func(want float32, within time.Duration) {
		t.Helper()
		for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			x.Query(ctx, []fleetconfig.Endpoint{{ID: "e"}})
			mu.Lock()
			got := last
			mu.Unlock()
			if got == nil && want == 0 || got != nil && got.Value == want {
				return
			}
		}
		t.Fatalf("no reply states the pace %v", want)
	}
	await(0, time.Second)
	set(1, false)
	await(1, 10*time.Second)
	set(2.5, false)
	await(2.5, 400*time.Millisecond)
	set(1, true)
	await(0, 10*time.Second)
	// A host that has not heard for long that the gate is open asks for it.
	for len(gates) > 0 {
		<-gates
	}
	x.AskGate(fleetconfig.Endpoint{ID: "e", Address: "127.0.0.1:80"})
	select {
	case g := <-gates:
		is.Equal(g, assigner.GateState{Address: "127.0.0.1:80", StartTime: 1, Model: "m", Release: 1})
	case <-time.After(2 * time.Second):
		t.Fatal("the process beside the engine does not state its gate")
	}
}
