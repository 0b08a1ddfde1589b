package gatewayserver

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// fleetCacheTTL is how long one snapshot of the fleet serves the queries of the hosts beside engines: a fraction of the
// time between two queries of one host.
const fleetCacheTTL = 50 * time.Millisecond

type fleetCacheEntry struct {
	response messages.FleetResponse
	at       time.Time
}

// handleFleet returns the fleet state to a host beside an engine, unless the host holds it already.
func (h *Server) handleFleet(_ context.Context, q messages.FleetQuery) (messages.FleetResponse, error) {
	h.mu.Lock()
	cached := h.fleets[q.Pool]
	h.mu.Unlock()
	if time.Since(cached.at) > fleetCacheTTL {
		fleet := h.fleetSnapshot(q.Pool)
		digest, err := fleetDigest(fleet)
		if err != nil {
			return messages.FleetResponse{}, err
		}
		fleet.Digest = digest
		cached = fleetCacheEntry{response: fleet, at: time.Now()}
		h.mu.Lock()
		if h.fleets == nil {
			h.fleets = make(map[ident.Pool]fleetCacheEntry)
		}
		h.fleets[q.Pool] = cached
		h.mu.Unlock()
	}
	if cached.response.Known && cached.response.Digest == q.Digest {
		return messages.FleetResponse{Known: true, Digest: q.Digest, Unchanged: true}, nil
	}
	resp := cached.response
	resp.ReleaseAgeMs = h.releaseAge(resp).Milliseconds()
	if q.Engine != "" {
		resp.Gate = h.lastGate(q.Engine)
	}
	return resp, nil
}

// lastGate returns the last gate state of the engine at an address; nil if none is known.
func (h *Server) lastGate(address string) *assigner.GateState {
	g := h.assigner.LastGate(address)
	if g.StartTime == 0 {
		return nil
	}
	return &g
}

// releaseAge returns the time since the earliest possible publication of the newest release; zero if it is unknown.
func (h *Server) releaseAge(fleet messages.FleetResponse) time.Duration {
	publishedAt := h.FleetWatcher.Tracker.PublishedAt(fleetconfig.Model(fleet.Model), fleetconfig.Release(fleet.NewestRelease-1))
	if publishedAt.IsZero() {
		return 0
	}
	return time.Since(publishedAt)
}

// fleetDigest sorts the lists of the fleet state and returns a digest of it.
func fleetDigest(fleet messages.FleetResponse) (uint64, error) {
	slices.SortFunc(fleet.Engines, func(a, b messages.EngineInfo) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.FullRelease, b.FullRelease))
	})
	slices.SortFunc(fleet.Seeds, func(a, b hostregistrar.Entry) int { return a.Address.Compare(b.Address) })
	data, err := json.Marshal(fleet)
	if err != nil {
		return 0, fmt.Errorf("encode fleet state: %w", err)
	}
	return xxhash.Sum64(data), nil
}

func (h *Server) fleetSnapshot(p ident.Pool) messages.FleetResponse {
	fleet := fleetwatcher.FleetFor(p, h.gateway.Config(), h.FleetWatcher.Tracker, h.Regions)
	fleet.Seeds = h.liveEntryHosts()
	return fleet
}
