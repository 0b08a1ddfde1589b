package loadexchanger_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

type message struct {
	host  ident.Host
	loads map[string]assigner.Load
}

func TestChangesAndGatesReachOtherHosts(t *testing.T) {
	is := is.New(t)
	listen := func() (net.PacketConn, netip.AddrPort) {
		c, err := net.ListenPacket("udp4", "127.0.0.1:0")
		is.NoErr(err)
		return c, c.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	connA, addressA := listen()
	connB, addressB := listen()
	changes := make(chan struct{}, 1)
	got, gates := make(chan message, 100), make(chan assigner.GateState, 100)
	list := func(a ...netip.AddrPort) func() []netip.AddrPort { return func() []netip.AddrPort { return a } }
	discardLogger := &log.Logger{Handler: discard.New(), Level: log.InfoLevel}
	loads := map[string]assigner.Load{"e": {Requests: 2, PendingPromptTokens: 1290}}
	ctx, cancel := context.WithCancel(context.Background())
	a := &loadexchanger.Exchanger{
		Host: "a", Conn: connA, Interval: time.Hour, MinInterval: time.Millisecond, ZonePeers: list(addressB, addressA), RemotePeers: list(), LoadChanged: changes,
		LocalLoads: func() map[string]assigner.Load { return loads }, Logger: discardLogger,
		OnLoads: func(ident.Host, map[string]assigner.Load) { t.Error("host received its own message") }, OnGate: func(assigner.GateState) {},
	}
	b := &loadexchanger.Exchanger{
		Host: "b", Conn: connB, Interval: time.Hour, ZonePeers: list(), RemotePeers: list(), LocalLoads: func() map[string]assigner.Load { return nil }, Logger: discardLogger,
		OnLoads: func(h ident.Host, l map[string]assigner.Load) { got <- message{h, l} }, OnGate: func(g assigner.GateState) { gates <- g },
	}
	done := make(chan error, 2)
	go func() { done <- a.Run(ctx) }()
	go func() { done <- b.Run(ctx) }()
	changes <- struct{}{}
	is.Equal(<-got, message{"a", loads})
	_, err := connA.WriteTo([]byte("garbage"), net.UDPAddrFromAddrPort(addressB)) // does not stop the receiver
	is.NoErr(err)
	g := assigner.GateState{Address: "10.1.0.4:80", StartTime: 7, Closed: true}
	data, err := loadexchanger.EncodeMessage(loadexchanger.Message{Gate: &g})
	is.NoErr(err)
	_, err = connA.WriteTo(data, net.UDPAddrFromAddrPort(addressB))
	is.NoErr(err)
	is.Equal(<-gates, g)
	cancel()
	is.NoErr(<-done)
	is.NoErr(<-done)
}
