package gatewayserver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/core/releasescheduler"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
)

const (
	// replicationInterval is the time between two checks for a release that the host does not hold yet, and
	// idleReplicationInterval that of a host that is no seed.
	replicationInterval     = 100 * time.Millisecond
	idleReplicationInterval = 400 * time.Millisecond
	replicationRetryDelay   = 500 * time.Millisecond
	// maxArchiveDelay spreads the writes of the archive after the store has been restored.
	maxArchiveDelay = 2 * time.Second
	// firstReplicationDelay is the time from the first start of the fleet until the first fetch. Meanwhile the engines'
	// hosts read the chunks that are staged beside their engines, so that the origin need not send them again.
	firstReplicationDelay = 4 * time.Second
)

// register keeps this host's entry in the list of entry hosts.
func (h *Server) register(ctx context.Context) error {
	registrar := &hostregistrar.Registrar{
		Entry: hostregistrar.Entry{Zone: h.Zone, Address: netip.AddrPortFrom(h.presence.Self, uint16(h.ExchangePort)), LinkMbps: h.LinkMbps},
		Put:   h.PutEntry, Restored: h.restored, Logger: h.Logger,
	}
	return registrar.Run(ctx)
}

// enginePool returns a pool of model engines, or nil if there is none.
func (h *Server) enginePool() *fleetconfig.Pool {
	config := h.gateway.Config()
	if config == nil {
		return nil
	}
	for _, p := range config.Pools {
		if p.Engine != nil && len(p.Engine.Models) > 0 {
			return p
		}
	}
	return nil
}

func (h *Server) origin() (string, ident.Region) {
	return fleetwatcher.WeightOrigin(h.gateway.Config(), h.Regions)
}

// manifestShape returns the shape of a release of the model.
func (h *Server) manifestShape() manifest.Shape {
	p := h.enginePool()
	if p == nil {
		return manifest.Shape{}
	}
	return manifest.Shape{Chunks: p.Engine.Chunks, ChunkBytes: p.Engine.ChunkBytes}
}

func (h *Server) chunkPeers() []fetchplanner.Peer {
	p := h.enginePool()
	if p == nil {
		return nil
	}
	fleet := h.fleetSnapshot(p.Name)
	return chunkreplicator.Peers(fleet.Engines, fleet.Seeds, h.Regions)
}

// liveEntryHosts returns the entry hosts without those that have been silent for some time: a host that is removed for
// good leaves its entry in the list.
func (h *Server) liveEntryHosts() []hostregistrar.Entry {
	h.mu.Lock()
	all := h.entryHosts
	h.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(all), func(e hostregistrar.Entry) bool { return !h.presence.IsMember(e.Address.Addr()) })
}

// replicate fetches and archives each new release if this is a seed host, so that the engines' hosts of the zone can
// fetch it from here.
func (h *Server) replicate(ctx context.Context) error {
	var held fleetconfig.ServedModel
	pause := replicationInterval
	if h.IsFirstStart {
		pause = firstReplicationDelay
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = replicationInterval
		target, ok := h.targetRelease()
		if ok && target == held && h.archiveAgain.CompareAndSwap(true, false) {
			go h.archiveAfterRestore(ctx, held)
		}
		if !ok || target == held {
			continue
		}
		if !chunkreplicator.SelectSeeds(h.liveEntryHosts())[ident.Host(h.IP)] {
			pause = idleReplicationInterval
			continue
		}
		superseded := func() bool {
			newest, ok := h.targetRelease()
			return ok && newest.Release > target.Release
		}
		_, err := h.Replicator.Fetch(ctx, target, h.fetchStop(target, superseded))
		if err != nil {
			event.ReleaseFetchFailed.Log(h.Logger.WithError(err), nil)
			pause = replicationRetryDelay
			continue
		}
		held = target
		go h.Replicator.Archive(ctx, target, h.ownsPartition, superseded)
	}
}

// fetchStop returns a function that reports whether the fetch of a release is given up for a newer one. One that is nearly
// complete is finished first, so that the engines have it if the origin becomes unavailable.
func (h *Server) fetchStop(s fleetconfig.ServedModel, superseded func() bool) func() bool {
	meter := releasescheduler.NewMeter(func() float64 { return h.Replicator.HeldShare(s) })
	return func() bool {
		progress := meter.Measure() // also before a newer release is known, so that the idle time is that of the fetch
		return superseded() && releasescheduler.Abandons(progress, false)
	}
}

// archiveAfterRestore writes the archived weights again, because the store has been restored from an older copy, which
// may lack chunks that were acknowledged. The writes of the hosts are spread over time.
func (h *Server) archiveAfterRestore(ctx context.Context, held fleetconfig.ServedModel) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(rand.N(maxArchiveDelay)):
	}
	h.Replicator.ForgetArchived()
	h.Replicator.Archive(ctx, held, h.ownsPartition, func() bool {
		newest, ok := h.targetRelease()
		return ok && newest.Release > held.Release
	})
}

// ownsPartition reports whether this host writes a partition of the archived weights. The owner is the first live seed
// host in rendezvous hashing.
func (h *Server) ownsPartition(partition int) bool {
	entries := h.liveEntryHosts()
	seeds := chunkreplicator.SelectSeeds(entries)
	hosts := []string{h.IP}
	for _, e := range entries {
		if string(e.Host()) != h.IP && seeds[e.Host()] && h.presence.IsAlive(e.Address.Addr()) {
			hosts = append(hosts, string(e.Host()))
		}
	}
	return ranker.Rank(fmt.Sprintf("keep/%d", partition), hosts)[0] == h.IP
}

// targetRelease returns the release that the engines are to serve.
func (h *Server) targetRelease() (fleetconfig.ServedModel, bool) {
	p := h.enginePool()
	if p == nil {
		return fleetconfig.ServedModel{}, false
	}
	m := p.Engine.Models[0]
	return fleetconfig.ServedModel{Model: m, Release: max(1, h.FleetWatcher.Tracker.Newest(m))}, true
}
