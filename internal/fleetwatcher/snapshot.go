package fleetwatcher

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// Snapshot reads the fleet from the store once, and tells of one pool.
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
	g := &Watcher{
		Topics: w.Topics, Decode: w.Decode, Tracker: &fleettracker.Tracker{}, Logger: w.Logger,
		OnDirectory: func(d *directory.Directory) { dir = d },
	}
	g.operate(operator.Values, true)
	g.resetEndpoints(endpoints.Values)
	return Tell(pool, dir, g.Tracker, regions), nil
}

// Tell returns what the hosts beside the engines of a pool need to know.
func Tell(pool ident.Pool, d *directory.Directory, s *fleettracker.Tracker, regions map[ident.Zone]ident.Region) messages.FleetAnswer {
	if d == nil || !s.Known() || d.Pools[pool] == nil || d.Pools[pool].Engine == nil || len(d.Pools[pool].Engine.Models) == 0 {
		return messages.FleetAnswer{}
	}
	m := d.Pools[pool].Engine.Models[0]
	layers := d.Pools[pool].Engine.Layers
	a := messages.FleetAnswer{Known: true, Model: string(m), Release: int64(max(1, s.Newest(m))), Layers: layers}
	a.Origin, a.Home = Origin(d, regions)
	for _, e := range s.Endpoints() {
		if e.Pool != pool {
			continue
		}
		n, _ := e.Release(m)
		if !e.Layers.IsWhole(layers) {
			n = 0
		}
		a.Engines = append(a.Engines, messages.EngineEntry{Host: e.Host(), Zone: e.Zone, Release: int64(n)})
	}
	return a
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
