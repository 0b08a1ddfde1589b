package gatewayserver

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// replicationInterval is how often a release is looked for that the host does not hold yet.
	replicationInterval = 100 * time.Millisecond
	// heardTime is how long ago another entry host must have been heard to be taken for the reader: some of its messages.
	heardTime = 500 * time.Millisecond
	// goneTime is the time without a message after which an entry host no longer counts: many of its messages.
	goneTime = 5 * time.Second
	// replicationRetryDelay is the pause after a fetch that failed.
	replicationRetryDelay = 500 * time.Millisecond
	// firstReplicationDelay is the time from the first start of the fleet until the first fetch. Meanwhile the engines' hosts find the chunks that lie
	// beside their engines, so that the origin need not send them again.
	firstReplicationDelay = 4 * time.Second
)

func (h *Host) enroll(ctx context.Context) error {
	address, err := netip.ParseAddr(h.IP)
	if err != nil {
		return fmt.Errorf("own address: %w", err)
	}
	e := &hostregistrar.Registrar{
		Self: hostregistrar.Entry{Zone: h.Zone, Address: netip.AddrPortFrom(address, uint16(h.Exchange)), Link: h.Link},
		Put:  h.Put, Logger: h.Logger,
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
	return fleetwatcher.Origin(h.gateway.Directory(), h.Regions)
}

func (h *Host) chunkPeers() []fetchplanner.Peer {
	p := h.enginePool()
	if p == nil {
		return nil
	}
	a := h.tell(p.Name)
	return chunkreplicator.Peers(a.Engines, a.Seeds, h.Regions)
}

func (h *Host) tell(p ident.Pool) messages.FleetAnswer {
	a := fleetwatcher.Tell(p, h.gateway.Directory(), h.Fleet.Tracker, h.Regions)
	a.Seeds = h.entries()
	return a
}

// entries returns the entry hosts without those that were not heard for long: a host that is gone for good leaves its entry
// in the list.
func (h *Host) entries() []hostregistrar.Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.started) < goneTime {
		return h.seeds
	}
	return slices.DeleteFunc(slices.Clone(h.seeds), func(e hostregistrar.Entry) bool {
		return string(e.Host()) != h.IP && time.Since(h.heard[e.Address.Addr()]) > goneTime
	})
}

// answerFleet tells the hosts beside engines what this one knows.
func (h *Host) answerFleet(_ context.Context, q messages.FleetQuery) (messages.FleetAnswer, error) {
	return h.tell(q.Pool), nil
}

// reader returns the address of the host of the zone that reads the store, or nothing if that is this one: the first by
// address of those that were heard just now.
func (h *Host) reader(banned func(address string) bool) string {
	h.mu.Lock()
	near := h.near
	h.mu.Unlock()
	best := netip.MustParseAddr(h.IP)
	address := ""
	for _, n := range near {
		control := net.JoinHostPort(n.Addr().String(), strconv.Itoa(h.Replicator.Control))
		if n.Addr().Less(best) && h.isHeard(n.Addr()) && !banned(control) {
			best, address = n.Addr(), control
		}
	}
	return address
}

func (h *Host) isHeard(a netip.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.heard[a]) < heardTime
}

// replicate fetches each new release, so that the engines' hosts of the zone can read it from here.
func (h *Host) replicate(ctx context.Context) error {
	var held directory.Serving
	pause := replicationInterval
	if h.First {
		pause = firstReplicationDelay
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = replicationInterval
		goal, ok := h.goal()
		if !ok || goal == held || !chunkreplicator.Seeds(h.entries())[ident.Host(h.IP)] {
			continue
		}
		superseded := func() bool {
			g, ok := h.goal()
			return ok && g.Release > goal.Release
		}
		_, err := h.Replicator.Fetch(ctx, goal, superseded)
		if err != nil {
			event.ReleaseNotCarried.Log(h.Logger.WithError(err), nil)
			pause = replicationRetryDelay
			continue
		}
		held = goal
		go h.Replicator.Archive(ctx, goal, h.owns, superseded)
	}
}

// owns tells whether this host writes a partition of the kept weights: the first in rendezvous order of the seeds that
// were heard just now.
func (h *Host) owns(partition int) bool {
	entries := h.entries()
	seeds := chunkreplicator.Seeds(entries)
	hosts := []string{h.IP}
	for _, e := range entries {
		if string(e.Host()) != h.IP && seeds[e.Host()] && h.isHeard(e.Address.Addr()) {
			hosts = append(hosts, string(e.Host()))
		}
	}
	return ranker.Rank(fmt.Sprintf("keep/%d", partition), hosts)[0] == h.IP
}

func (h *Host) goal() (directory.Serving, bool) {
	p := h.enginePool()
	if p == nil {
		return directory.Serving{}, false
	}
	m := p.Engine.Models[0]
	return directory.Serving{Model: m, Release: max(1, h.Fleet.Tracker.Newest(m))}, true
}
