// Package loadexchanger tells the other entry hosts what this one has at each endpoint, and hears the same of them, over
// UDP. Each message is whole, so that a lost one is made good by the next.
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
	// DefaultEvery is how often all hosts are told, where there are few: about one arrival at an endpoint falls between two
	// messages.
	DefaultEvery = 100 * time.Millisecond
	// DefaultSpacing is the shortest time between two messages to the hosts of the same zone, which hear of each change,
	// where there are few.
	DefaultSpacing = 10 * time.Millisecond
	// fewNear and fewFar are the numbers of hosts up to which the times hold. With more of them the times grow in
	// proportion, so that a host sends 300 messages a second in its zone and 60 to others at most, whatever their number.
	fewNear, fewFar = 3, 6
	// rarest bounds the time between two messages, as hosts that are not heard of for a second are forgotten.
	rarest   = 400 * time.Millisecond
	maxBytes = 16 << 10
)

// Message is what one entry host tells.
type Message struct {
	Host  ident.Host               `cbor:"host,omitempty"`
	Loads map[string]assigner.Load `cbor:"loads,omitempty"`
	// Gate comes from the host beside an engine, which says nothing else.
	Gate *assigner.Gate `cbor:"gate,omitempty"`
}

// Encode returns the message as it is sent.
func Encode(m Message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode loads: %w", err)
	}
	return data, nil
}

// Exchanger runs on one socket. Set its fields before Run.
type Exchanger struct {
	// Host names this host.
	Host ident.Host
	// Conn sends and receives.
	Conn net.PacketConn
	// Every and Spacing are the times between two messages; zero means the defaults.
	Every, Spacing time.Duration
	// Near returns the addresses of the hosts of the same zone, and Far those of the others.
	Near, Far func() []netip.AddrPort
	// Changes says that there is news for the hosts nearby.
	Changes <-chan struct{}
	// Own returns what to tell.
	Own func() map[string]assigner.Load
	// Heard takes what another host tells.
	Heard func(h ident.Host, loads map[string]assigner.Load)
	// From is told of each message of another host; it may be nil.
	From func(a netip.Addr)
	// Gated takes what the host beside an engine tells.
	Gated func(g assigner.Gate)
	// Logger receives messages that cannot be decoded.
	Logger log.Interface
}

// Run tells and hears until ctx ends.
func (x *Exchanger) Run(ctx context.Context) error {
	if x.Every == 0 {
		x.Every = DefaultEvery
	}
	if x.Spacing == 0 {
		x.Spacing = DefaultSpacing
	}
	stop := context.AfterFunc(ctx, func() { _ = x.Conn.Close() })
	defer stop()
	var tasks errgroup.Group
	tasks.Go(func() error { return x.tell(ctx) })
	tasks.Go(func() error { return x.hear(ctx) })
	return tasks.Wait()
}

func (x *Exchanger) tell(ctx context.Context) error {
	tick := time.NewTicker(x.Every)
	defer tick.Stop()
	var near, far time.Time
	for {
		isFar := false
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			// The list of hosts grows and shrinks meanwhile. Half a tick more or less does not matter.
			isFar = time.Since(far) > min(rarest, scaled(x.Every, len(x.Far()), fewFar))-x.Every/2
			if !isFar && time.Since(near) < x.Every {
				continue
			}
		case <-x.Changes:
			if wait := min(rarest, scaled(x.Spacing, len(x.Near()), fewNear)) - time.Since(near); wait > 0 {
				time.Sleep(wait)
			}
		}
		data, err := Encode(Message{Host: x.Host, Loads: x.Own()})
		if err != nil {
			return err
		}
		near = time.Now()
		x.send(data, x.Near())
		if isFar {
			far = near
			x.send(data, x.Far())
		}
	}
}

// scaled returns a time that grows with the number of hosts beyond few.
func scaled(d time.Duration, hosts, few int) time.Duration {
	return d * time.Duration(max(few, hosts)) / time.Duration(few)
}

func (x *Exchanger) send(data []byte, to []netip.AddrPort) {
	for _, p := range to {
		// A message that cannot be sent is as good as a lost one.
		_, _ = x.Conn.WriteTo(data, net.UDPAddrFromAddrPort(p))
	}
}

func (x *Exchanger) hear(ctx context.Context) error {
	buf := make([]byte, maxBytes)
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
			event.LoadInvalid.Log(x.Logger.WithError(err), nil)
			continue
		}
		if m.Gate != nil {
			x.Gated(*m.Gate)
			continue
		}
		if m.Host != x.Host {
			x.Heard(m.Host, m.Loads)
			if a, ok := from.(*net.UDPAddr); ok && x.From != nil {
				x.From(a.AddrPort().Addr().Unmap())
			}
		}
	}
}
