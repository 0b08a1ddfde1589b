package fleetwatcher

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Snapshot reads the state of the fleet from the store once, and returns what the hosts beside the engines of a pool
// need.
func (w *Watcher) Snapshot(ctx context.Context, pool ident.Pool, regions map[ident.Zone]ident.Region) (messages.FleetAnswer, error) {
	operator, err := w.Newest(ctx, w.Topics.Operator)
	if err != nil {
		return messages.FleetAnswer{}, err
	}
	endpoints, err := w.Newest(ctx, w.Topics.Endpoints)
	if err != nil {
		return messages.FleetAnswer{}, err
	}
	var dir *directory.Directory
	once := &Watcher{
		Topics: w.Topics, Decode: w.Decode, Tracker: &fleettracker.Tracker{}, Logger: w.Logger,
		OnDirectory: func(d *directory.Directory) { dir = d },
	}
	once.applyOperatorValues(operator.Values, true)
	once.resetEndpoints(endpoints.Values)
	return Tell(pool, dir, once.Tracker, regions), nil
}

// Tell returns what the hosts beside the engines of a pool need to know of the fleet.
func Tell(pool ident.Pool, d *directory.Directory, tracker *fleettracker.Tracker, regions map[ident.Zone]ident.Region) messages.FleetAnswer {
	if d == nil || !tracker.Known() || d.Pools[pool] == nil || d.Pools[pool].Engine == nil || len(d.Pools[pool].Engine.Models) == 0 {
		return messages.FleetAnswer{}
	}
	model := d.Pools[pool].Engine.Models[0]
	layers := d.Pools[pool].Engine.Layers
	resp := messages.FleetAnswer{Known: true, Model: string(model), Release: int64(max(1, tracker.Newest(model))), Layers: layers}
	resp.Origin, resp.Home = Origin(d, regions)
	for _, e := range tracker.Endpoints() {
		if e.Pool != pool {
			continue
		}
		release, _ := e.Release(model)
		if !e.Layers.IsWhole(layers) {
			release = 0
		}
		resp.Engines = append(resp.Engines, messages.EngineEntry{Host: e.Host(), Zone: e.Zone, Release: int64(release)})
	}
	return resp
}

// Origin returns the address of the origin of weights and its region.
func Origin(d *directory.Directory, regions map[ident.Zone]ident.Region) (string, ident.Region) {
	if d == nil {
		return "", ""
	}
	for _, p := range d.Pools {
		if p.Origin != "" {
			return p.Origin, regions[p.Zone]
		}
	}
	return "", ""
}
