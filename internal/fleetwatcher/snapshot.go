package fleetwatcher

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// ReadFleet reads the state of the fleet from the store once, and returns what the hosts beside the engines of a pool
// need.
func (w *Watcher) ReadFleet(ctx context.Context, pool ident.Pool, regions map[ident.Zone]ident.Region) (messages.FleetResponse, error) {
	operator, err := w.ReadSnapshot(ctx, w.Topics.Operator)
	if err != nil {
		return messages.FleetResponse{}, err
	}
	endpoints, err := w.ReadSnapshot(ctx, w.Topics.Endpoints)
	if err != nil {
		return messages.FleetResponse{}, err
	}
	var config *fleetconfig.Config
	once := &Watcher{
		Topics: w.Topics, Decoder: w.Decoder, Tracker: &fleettracker.Tracker{}, Logger: w.Logger,
		OnConfig: func(c *fleetconfig.Config) bool {
			config = c
			return true
		},
	}
	once.applyOperatorValues(operator.Values, true, 0)
	once.resetEndpoints(endpoints.Values)
	return FleetFor(pool, config, once.Tracker, regions), nil
}

// FleetFor returns what the hosts beside the engines of a pool need to know of the fleet.
func FleetFor(pool ident.Pool, config *fleetconfig.Config, tracker *fleettracker.Tracker, regions map[ident.Zone]ident.Region) messages.FleetResponse {
	if config == nil || !tracker.Loaded() || config.Pools[pool] == nil || config.Pools[pool].Engine == nil || len(config.Pools[pool].Engine.Models) == 0 {
		return messages.FleetResponse{}
	}
	model := config.Pools[pool].Engine.Models[0]
	profile := config.Pools[pool].Engine
	layers := profile.Layers
	resp := messages.FleetResponse{
		Known: true, Model: string(model), NewestRelease: int64(max(1, tracker.Newest(model))), Layers: layers, Chunks: profile.Chunks, ChunkBytes: profile.ChunkBytes,
	}
	resp.OriginAddress, resp.OriginRegion = WeightOrigin(config, regions)
	for _, e := range tracker.Endpoints() {
		if e.Pool != pool {
			continue
		}
		release, _ := e.Release(model)
		if !e.Layers.CoversAll(layers) {
			release = 0
		}
		resp.Engines = append(resp.Engines, messages.EngineInfo{Host: e.Host(), Zone: e.Zone, FullRelease: int64(release)})
	}
	return resp
}

// WeightOrigin returns the address of the origin of weights and its region.
func WeightOrigin(config *fleetconfig.Config, regions map[ident.Zone]ident.Region) (string, ident.Region) {
	if config == nil {
		return "", ""
	}
	for _, p := range config.Pools {
		if p.OriginAddress != "" {
			return p.OriginAddress, regions[p.OriginZone]
		}
	}
	return "", ""
}
