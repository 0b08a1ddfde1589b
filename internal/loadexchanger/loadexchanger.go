// Package loadexchanger sends this entry host's load at each endpoint to the other entry hosts over UDP, and
// receives theirs. Each message holds the complete state, so the next one makes up for a lost message.
package loadexchanger

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const (
	// DefaultInterval is the time between two messages to all hosts, if there are few. About one request arrives at
	// an endpoint between two messages.
	DefaultInterval = 100 * time.Millisecond
	// DefaultMinInterval is the shortest time between two messages to the hosts of the same zone, if there are few.
	// They are sent each change.
	DefaultMinInterval = 10 * time.Millisecond
	// maxZoneHostsUnscaled and maxRemoteHostsUnscaled are the numbers of hosts up to which the intervals apply unchanged.
	// With more hosts the intervals grow in proportion, which limits a host to 300 messages a second in its zone and 60
	// to other zones, whatever the number of hosts.
	maxZoneHostsUnscaled, maxRemoteHostsUnscaled = 3, 6
	// maxInterval limits the time between two messages, because a host's load is discarded after a second without a
	// message.
	maxInterval     = 400 * time.Millisecond
	maxMessageBytes = 16 << 10
)

// Message is the load message of one host.
type Message struct {
	Host  ident.Host               `cbor:"host,omitempty"`
	Loads map[string]assigner.Load `cbor:"loads,omitempty"`
	// Gate is sent by the host beside an engine, without the other fields.
	Gate *assigner.GateState `cbor:"gate,omitempty"`
}

// EncodeMessage returns the message in wire format.
func EncodeMessage(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode loads: %w", err)
	}
	return data, nil
}

// Exchanger sends and receives load messages on one socket. Set its fields before Run.
type Exchanger struct {
	// Host names this host.
	Host ident.Host
	// Conn sends and receives the messages.
	Conn net.PacketConn
	// Interval is the time between two messages, and MinInterval the shortest time between two messages that report
	// changes; zero selects the defaults.
	Interval, MinInterval time.Duration
	// ZonePeers returns the addresses of the hosts of the same zone, and RemotePeers those of the other hosts.
	ZonePeers, RemotePeers func() []netip.AddrPort
	// LoadChanged signals that the load has changed.
	LoadChanged <-chan struct{}
	// LocalLoads returns the load of this host by endpoint.
	LocalLoads func() map[string]assigner.Load
	// OnLoads receives the load of another host.
	OnLoads func(h ident.Host, loads map[string]assigner.Load)
	// OnSender receives the sender's address of each message of another host; it may be nil.
	OnSender func(a netip.Addr)
	// OnGate receives the state of an engine from the host beside it.
	OnGate func(g assigner.GateState)
	// Logger receives the log events of messages that cannot be decoded.
	Logger log.Interface
}

// Run sends and receives until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	if x.Interval == 0 {
		x.Interval = DefaultInterval
	}
	if x.MinInterval == 0 {
		x.MinInterval = DefaultMinInterval
	}
	stop := context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return x.sendLoads(ctx) })
	tasks.Go(func() error { return x.receiveLoads(ctx) })
	return tasks.Wait()
}

func (x *Exchanger) sendLoads(ctx context.Context) error {
	ticker := time.NewTicker(x.Interval)
	defer ticker.Stop()
	var lastZoneSend, lastRemoteSend time.Time
	for {
		isRemoteDue := false
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			// The list of hosts may change between ticks, and with it the interval. An error of half a tick does not
			// matter.
			isRemoteDue = time.Since(lastRemoteSend) > min(maxInterval, scaleInterval(x.Interval, len(x.RemotePeers()), maxRemoteHostsUnscaled))-x.Interval/2
			if !isRemoteDue && time.Since(lastZoneSend) < x.Interval {
				continue
			}
		case <-x.LoadChanged:
			if wait := min(maxInterval, scaleInterval(x.MinInterval, len(x.ZonePeers()), maxZoneHostsUnscaled)) - time.Since(lastZoneSend); wait > 0 {
				time.Sleep(wait)
			}
		}
		data, err := EncodeMessage(Message{Host: x.Host, Loads: x.LocalLoads()})
		if err != nil {
			return err
		}
		lastZoneSend = time.Now()
		x.send(data, x.ZonePeers())
		if isRemoteDue {
			lastRemoteSend = lastZoneSend
			x.send(data, x.RemotePeers())
		}
	}
}

// scaleInterval returns an interval that grows with the number of hosts beyond a threshold.
func scaleInterval(d time.Duration, hosts, threshold int) time.Duration {
	return d * time.Duration(max(threshold, hosts)) / time.Duration(threshold)
}

func (x *Exchanger) send(data []byte, addresses []netip.AddrPort) {
	for _, a := range addresses {
		// A message that cannot be sent is handled like a lost one.
		_, _ = x.Conn.WriteTo(data, net.UDPAddrFromAddrPort(a))
	}
}

func (x *Exchanger) receiveLoads(ctx context.Context) error {
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := x.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receive loads: %w", err)
		}
		if err != nil {
			continue
		}
		var m Message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			event.LoadMessageInvalid.Log(x.Logger.WithError(err), nil)
			continue
		}
		if m.Gate != nil {
			x.OnGate(*m.Gate)
			continue
		}
		if m.Host != x.Host {
			x.OnLoads(m.Host, m.Loads)
			if a, ok := from.(*net.UDPAddr); ok && x.OnSender != nil {
				x.OnSender(a.AddrPort().Addr().Unmap())
			}
		}
	}
}
