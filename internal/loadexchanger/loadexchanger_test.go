package loadexchanger_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

var endpoint = fleetconfig.Endpoint{ID: "e", StartTime: 7}

// host is an entry host whose load at the endpoint is set by the test.
type host struct {
	*loadexchanger.Exchanger
	mu        sync.Mutex
	load      assigner.Load
	isLeaving bool
	replies   []loadexchanger.Reply
	gates     []assigner.GateState
}

func listen(t *testing.T) (net.PacketConn, netip.AddrPort) {
	return listenAt(t, "127.0.0.1")
}

func listenAt(t *testing.T, ip string) (net.PacketConn, netip.AddrPort) {
	c, err := net.ListenPacket("udp4", ip+":0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func run(t *testing.T, x *loadexchanger.Exchanger) {
	x.Logger = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	x.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- x.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		is.New(t).NoErr(<-done)
	})
}

func startHost(t *testing.T, name ident.Host, responder netip.AddrPort, options ...func(x *loadexchanger.Exchanger)) *host {
	conn, _ := listen(t)
	h := &host{}
	h.Exchanger = &loadexchanger.Exchanger{
		Host: name, Conn: conn, Responder: func(fleetconfig.Endpoint) netip.AddrPort { return responder },
		LocalLoad: func(fleetconfig.Endpoint) assigner.Load {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.load
		},
		LoadedEndpoints: func() []fleetconfig.Endpoint { return nil },
		IsLeaving: func(fleetconfig.Endpoint) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.isLeaving
		},
		OnReply: func(e fleetconfig.Endpoint, r loadexchanger.Reply) {
			h.mu.Lock()
			defer h.mu.Unlock()
			if e.ID != endpoint.ID || e.StartTime != endpoint.StartTime {
				t.Errorf("reply for endpoint %q", e.ID)
			}
			h.replies = append(h.replies, r)
		},
		OnGate: func(g assigner.GateState) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.gates = append(h.gates, g)
		},
	}
	for _, option := range options {
		option(h.Exchanger)
	}
	run(t, h.Exchanger)
	return h
}

func (h *host) query() (last loadexchanger.Reply, replies int, took time.Duration) {
	startedAt := time.Now()
	h.Query(context.Background(), []fleetconfig.Endpoint{endpoint})
	took = time.Since(startedAt)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.replies) > 0 {
		last = h.replies[len(h.replies)-1]
	}
	return last, len(h.replies), took
}

func TestQueryReturnsLoadOfOtherHosts(t *testing.T) {
	is := is.New(t)
	responderConn, responder := listen(t)
	gate := assigner.GateState{Address: "10.0.0.1:80", StartTime: 7, Closed: true}
	run(t, &loadexchanger.Exchanger{Host: "engine", Conn: responderConn, Gate: func() *assigner.GateState { return &gate }})
	a, b := startHost(t, "a", responder), startHost(t, "b", responder)
	reply, n, _ := a.query()
	is.Equal(n, 1)
	is.Equal(reply.Load, assigner.Load{})
	is.Equal(a.gates, []assigner.GateState{gate})
	b.mu.Lock()
	b.load = assigner.Load{Requests: 2, PendingPromptTokens: 1290}
	b.isLeaving = true
	b.mu.Unlock()
	b.LoadChanged(endpoint, b.load)
	for end := time.Now().Add(5 * time.Second); reply.Load != b.load && time.Now().Before(end); {
		reply, _, _ = a.query()
	}
	is.Equal(reply.Load, b.load)
	is.True(reply.IsLeaving) // what the engine has told one host
	reply, _, _ = b.query()
	is.Equal(reply.Load, assigner.Load{}) // without the own load
}

// A responder does not reply, such as one whose process is stopped. It delays one query; in the next second, queries do
// not wait for it.
func TestSilentResponderIsNotWaitedForAgain(t *testing.T) {
	is := is.New(t)
	conn, responder := listen(t)
	a := startHost(t, "a", responder)
	_, n, took := a.query()
	is.Equal(n, 0)
	is.True(took >= 15*time.Millisecond && took < 500*time.Millisecond)
	startedAt := time.Now()
	for range 10 {
		a.query()
	}
	is.True(time.Since(startedAt) < 10*15*time.Millisecond)
	run(t, &loadexchanger.Exchanger{Host: "engine", Conn: conn}) // answers the queries that wait in its socket
	for end := time.Now().Add(5 * time.Second); n == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		_, n, _ = a.query()
	}
	is.True(n > 0) // a late reply is recorded, and the responder is waited for again
}

func TestInvalidMessagesAndBeats(t *testing.T) {
	is := is.New(t)
	conn, address := listenAt(t, "127.0.0.2")
	presence := &presencetracker.Tracker{Self: netip.MustParseAddr("127.0.0.2"), Zone: "z"}
	run(t, &loadexchanger.Exchanger{Host: "x", Conn: conn, Presence: presence})
	sender, senderAddress := listen(t)
	presence.SetHosts([]presencetracker.Host{{Zone: "z", Address: senderAddress}, {Zone: "z", Address: address}})
	_, err := sender.WriteTo([]byte("garbage"), net.UDPAddrFromAddrPort(address)) // does not stop the receiver
	is.NoErr(err)
	other := &presencetracker.Tracker{Self: senderAddress.Addr(), Zone: "z"}
	other.SetHosts([]presencetracker.Host{{Zone: "z", Address: address}})
	run(t, &loadexchanger.Exchanger{Host: "y", Conn: sender, Presence: other})
	for end := time.Now().Add(5 * time.Second); !presence.IsResponsive(senderAddress.Addr()) && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	is.True(presence.IsResponsive(senderAddress.Addr()))
}

func TestFactsAreCarriedUpToTheMaximumSize(t *testing.T) {
	is := is.New(t)
	conn, address := listen(t)
	got := make(chan factexchanger.Message, 1)
	run(t, &loadexchanger.Exchanger{Host: "x", Conn: conn, OnFacts: func(m factexchanger.Message, _ netip.AddrPort) { got <- m }})
	senderConn, _ := listen(t)
	sender := &loadexchanger.Exchanger{Host: "y", Conn: senderConn}
	run(t, sender)
	const suspects = 1800 // of 9 bytes each
	want := factexchanger.Message{Kind: factexchanger.Response, Number: 5, Facts: crashsuspector.Facts{Crashes: []crashsuspector.Crash{{ID: 1, AgeMs: 2}}}}
	for i := range crashsuspector.Feature(suspects) {
		want.Facts.Crashes[0].Suspects = append(want.Facts.Crashes[0].Suspects, ^i)
	}
	sender.SendFacts(want, address)
	select {
	case m := <-got:
		is.Equal(m.Kind, want.Kind)
		is.Equal(m.Number, want.Number)
		is.Equal(m.Facts.Crashes, want.Facts.Crashes)
	case <-time.After(5 * time.Second):
		t.Fatal("facts not received")
	}
}
