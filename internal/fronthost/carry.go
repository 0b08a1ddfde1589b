package fronthost

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/planner"
	"github.com/nutmegdock/nutmegdock/internal/enroller"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/stocker"
)

const (
	// carryEvery is how often a release is looked for that the host does not hold yet.
	carryEvery = 100 * time.Millisecond
	// carryRetry is the pause after a fetch that failed.
	carryRetry = 500 * time.Millisecond
	// firstCarry is the time from the first start of the fleet until the first fetch. Meanwhile the engines' hosts find the chunks that lie
	// beside their engines, so that the origin need not send them again.
	firstCarry = 4 * time.Second
)

func (h *Host) enroll(ctx context.Context) error {
	address, err := netip.ParseAddr(h.IP)
	if err != nil {
		return fmt.Errorf("own address: %w", err)
	}
	e := &enroller.Enroller{
		Self: enroller.Entry{Zone: h.Zone, Address: netip.AddrPortFrom(address, uint16(h.Exchange))}, Put: h.Put, Logger: h.Logger,
	}
	return e.Run(ctx)
}

// enginePool returns the pool of model engines, or nil.
func (h *Host) enginePool() *directory.Pool {
	d := h.gateway.Directory()
	if d == nil {
		return nil
	}
	for _, p := range d.Pools {
		if p.Engine != nil && len(p.Engine.Models) > 0 {
			return p
		}
	}
	return nil
}

func (h *Host) origin() (string, ident.Region) {
	return stocker.Origin(h.gateway.Directory(), h.Regions)
}

func (h *Host) carriers() []planner.Peer {
	p := h.enginePool()
	if p == nil {
		return nil
	}
	h.mu.Lock()
	seeds := h.seeds
	h.mu.Unlock()
	return stocker.Peers(p.Name, h.Fleet.Surveyor.Endpoints(), seeds, h.Regions)
}

// carry fetches each new release, so that the engines' hosts of the zone can read it from here.
func (h *Host) carry(ctx context.Context) error {
	var held directory.Serving
	pause := carryEvery
	if h.First {
		pause = firstCarry
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = carryEvery
		goal, ok := h.goal()
		if !ok || goal == held {
			continue
		}
		_, err := h.Carrier.Fetch(ctx, goal, func() bool {
			g, ok := h.goal()
			return ok && g.Release > goal.Release
		})
		if err != nil {
			event.ReleaseNotCarried.Log(h.Logger.WithError(err), nil)
			pause = carryRetry
			continue
		}
		held = goal
	}
}

func (h *Host) goal() (directory.Serving, bool) {
	p := h.enginePool()
	if p == nil {
		return directory.Serving{}, false
	}
	m := p.Engine.Models[0]
	return directory.Serving{Model: m, Release: max(1, h.Fleet.Surveyor.Newest(m))}, true
}
