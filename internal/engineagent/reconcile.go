package engineagent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/releasescheduler"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// errSuperseded aborts a rollout step whose release is no longer the newest.
var errSuperseded = errors.New("superseded by a newer release")

// reconcile keeps the engine at the newest release until ctx ends.
func (h *Agent) reconcile(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := reportInterval
		if err := h.reconcileOnce(ctx); err != nil && ctx.Err() == nil {
			event.WeightsNotServed.Log(h.Logger.WithError(err), nil)
			pause = retryDelay
		}
		select {
		case <-ctx.Done():
		case <-h.updates:
		case <-time.After(pause):
		}
	}
	return nil
}

// target returns the release to serve. It returns false while the fleet state is unknown.
func (h *Agent) target() (fleetconfig.ServedModel, bool) {
	f := h.currentFleet()
	m := fleetconfig.Model(f.Model)
	return fleetconfig.ServedModel{Model: m, Release: max(1, h.tracker.Newest(m))}, f.Known
}

// reconcileOnce has the engine load the target release unless it already serves that one or is loading.
func (h *Agent) reconcileOnce(ctx context.Context) error {
	target, ok := h.target()
	if !ok {
		return nil
	}
	layers := h.currentFleet().Layers
	r, err := h.readReport(ctx)
	if err != nil {
		return err
	}
	served := r.FullRelease(target.Model, layers)
	if served > 0 {
		if err := h.cacheServedChunks(ctx, fleetconfig.ServedModel{Model: target.Model, Release: served}); err != nil {
			event.StagedChunksNotReused.Log(h.Logger.WithError(err), nil)
		}
	}
	h.updateGate(r, target, served)
	if served >= target.Release || r.Loading {
		return nil
	}
	if served == 0 {
		// The entry hosts may still have the entry of an earlier incarnation that held a release.
		h.setGateState(gateState{Closed: true, StartTime: r.StartTime})
	}
	next := h.nextRelease(target, served)
	a, err := h.fetch(ctx, next, served, r)
	if err != nil {
		h.recordFetchFailure(next, target, served)
		return err
	}
	if err := h.stage(ctx, next, a, fleetconfig.LayerRange{}); err != nil {
		return err
	}
	if served > 0 {
		if err := h.awaitTurn(ctx, next, served); err != nil {
			return err
		}
	}
	return h.loadStaged(ctx, next, a, fleetconfig.LayerRange{}, r.StartTime)
}

// updateGate corrects the announced gate state by the engine's report, which shows the effect of a load command whose
// response was late or lost.
func (h *Agent) updateGate(r rolloutplanner.Report, target fleetconfig.ServedModel, served fleetconfig.Release) {
	h.mu.Lock()
	g := h.gateState
	h.mu.Unlock()
	switch {
	case r.Loading && (!g.Closed || g.StartTime != r.StartTime):
		h.setGateState(gateState{Closed: true, StartTime: r.StartTime})
	case !r.Loading && g.Closed && served >= target.Release:
		h.setGateState(gateState{StartTime: r.StartTime, Model: target.Model, Release: served})
	}
}

// fetch fetches all chunks of a release to this host. An empty engine loads its first layers meanwhile.
func (h *Agent) fetch(ctx context.Context, target fleetconfig.ServedModel, served fleetconfig.Release, r rolloutplanner.Report) (manifest.Artifact, error) {
	superseded := h.fetchStop(target, served)
	a, _, err := h.Replicator.ResolveManifest(ctx, target)
	if err != nil {
		return a, err
	}
	layers := h.currentFleet().Layers
	earlyRanges := rolloutplanner.EarlyLayerRanges(layers)
	if r.LoadedRelease(target.Model) > 0 || len(earlyRanges) == 0 {
		h.Replicator.SetFetchOrder(nil)
		return h.Replicator.Fetch(ctx, target, superseded)
	}
	h.Replicator.SetFetchOrder(func(number int) int {
		return slices.IndexFunc(append(earlyRanges, fleetconfig.LayerRange{To: layers}), func(layerRange fleetconfig.LayerRange) bool {
			_, to := layerRange.ChunkRange(layers, len(a.Chunks))
			return number < to
		})
	})
	earlyCtx, stop := context.WithCancel(ctx)
	defer stop()
	var early sync.WaitGroup
	early.Go(func() {
		for _, layerRange := range earlyRanges {
			if err := h.loadEarly(earlyCtx, target, a, layerRange, r.StartTime); err != nil {
				if earlyCtx.Err() == nil {
					event.EarlyLoadFailed.Log(h.Logger.WithError(err), nil)
				}
				return
			}
		}
	})
	_, err = h.Replicator.Fetch(ctx, target, superseded)
	if err != nil {
		stop()
	}
	early.Wait()
	return a, err
}

// loadEarly waits for the chunks of the given layers, and has the engine load them.
func (h *Agent) loadEarly(ctx context.Context, s fleetconfig.ServedModel, a manifest.Artifact, layers fleetconfig.LayerRange, engineStart int64) error {
	from, to := layers.ChunkRange(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		for {
			if _, ok := h.Replicator.HeldChunk(a.Chunks[i].Digest); ok {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(chunkPollInterval):
			}
		}
	}
	if err := h.stage(ctx, s, a, layers); err != nil {
		return err
	}
	return h.loadStaged(ctx, s, a, layers, engineStart)
}

func (h *Agent) readReport(ctx context.Context) (rolloutplanner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	askedAt := time.Now()
	r, err := h.Engine.Report(ctx)
	if err == nil {
		h.recordPace(r, askedAt)
		h.recordLateCommand(r)
	}
	return r, err
}

// cacheServedChunks copies the chunks of the release that the engine serves from its staging area to the replicator, so
// that other hosts can fetch them from here.
func (h *Agent) cacheServedChunks(ctx context.Context, s fleetconfig.ServedModel) error {
	if h.Replicator.HasManifest(s) {
		return nil
	}
	a, _, err := h.Replicator.ResolveManifest(ctx, s)
	if err != nil {
		return err
	}
	cached := 0
	for i, c := range a.Chunks {
		data, _, err := h.readStaged(ctx, s, i)
		if err != nil {
			return err
		}
		if h.Replicator.AddChunk(c.Digest, data) == nil {
			cached++
		}
	}
	event.StagedChunksReused.Log(h.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunks": cached}), nil)
	return nil
}

// isSuperseded reports whether a newer release than s is known.
func (h *Agent) isSuperseded(s fleetconfig.ServedModel) bool {
	newest, ok := h.target()
	return ok && newest.Release > s.Release
}

// stage writes the chunks of the given layers to the engine's staging area. The zero range stands for all layers.
func (h *Agent) stage(ctx context.Context, s fleetconfig.ServedModel, a manifest.Artifact, layers fleetconfig.LayerRange) error {
	from, to := layers.ChunkRange(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		if err := h.stageChunk(ctx, s, i, a.Chunks[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *Agent) stageChunk(ctx context.Context, s fleetconfig.ServedModel, number int, c manifest.Chunk) error {
	data, ok := h.Replicator.HeldChunk(c.Digest)
	if !ok {
		return fmt.Errorf("stage chunk %d of release %d of %s: this host does not hold it", number, s.Release, s.Model)
	}
	_, err := h.writeStaged(ctx, s, number, data)
	return err
}

// awaitTurn waits for this engine's turn to change over from the served release to s. A newer release is fetched meanwhile;
// if it is complete first, or is expected to be in time, it is loaded instead.
func (h *Agent) awaitTurn(ctx context.Context, s fleetconfig.ServedModel, served fleetconfig.Release) error {
	var newer *newerFetch
	defer func() { newer.stop() }()
	for {
		h.suspensions.Check()
		turnShare := rolloutplanner.SwitchShare(h.IP, h.members(served))
		turnTime := h.tracker.PublishedAt(s.Model, served).Add(time.Duration(turnShare * float64(h.tracker.AssignTime())))
		isTurn := !time.Now().Before(turnTime)
		pause := min(reportInterval, time.Until(turnTime))
		if newest, ok := h.target(); ok && newest.Release > s.Release {
			if newer == nil || newer.release != newest {
				newer.stop()
				newer = h.startNewerFetch(ctx, newest)
			}
			progress := newer.meter.Measure()
			if progress.HeldShare >= 1 {
				return errSuperseded
			}
			isTurn = isTurn && !releasescheduler.AwaitsNewer(progress, time.Until(h.tracker.BeginDeadline(s.Model, served)))
			pause = newerPollInterval
		}
		if isTurn {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
}

// members returns the engines of the pool with the releases that they serve.
func (h *Agent) members(served fleetconfig.Release) []rolloutplanner.Member {
	out := []rolloutplanner.Member{{Host: h.IP, Release: served}}
	for _, e := range h.currentFleet().Engines {
		if string(e.Host) != h.IP {
			out = append(out, rolloutplanner.Member{Host: string(e.Host), Release: fleetconfig.Release(e.FullRelease)})
		}
	}
	return out
}

// loadStaged has the engine load the given layers from its staging area, and waits until it has. Chunks may become
// corrupt in the staging area, so it first verifies those of the layers and replaces corrupt ones. The zero range stands
// for all layers.
func (h *Agent) loadStaged(ctx context.Context, s fleetconfig.ServedModel, a manifest.Artifact, layers fleetconfig.LayerRange, engineStart int64) error {
	from, to := layers.ChunkRange(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		c := a.Chunks[i]
		data, read, err := h.readStaged(ctx, s, i)
		if err == nil && manifest.DigestOf(data) == c.Digest {
			h.recordRead(i, read)
			continue
		}
		event.StagedChunkCorrupt.Log(h.Logger.WithField("chunk", strconv.Itoa(i)), nil)
		if err := h.stageChunk(ctx, s, i, c); err != nil {
			return err
		}
	}
	r, err := h.readReport(ctx)
	if err != nil {
		return err
	}
	if r.StartTime != engineStart {
		return errors.New("engine restarted before the load command")
	}
	if r.Loading || r.FullRelease(s.Model, h.currentFleet().Layers) >= s.Release {
		return nil
	}
	if layers == (fleetconfig.LayerRange{}) && r.LoadedRelease(s.Model) == s.Release {
		// The engine keeps the layers that it holds and loads the others.
		layers = fleetconfig.LayerRange{To: h.currentFleet().Layers}
	}
	if r.LoadedRelease(s.Model) != s.Release {
		if err := h.closeGate(ctx, r.StartTime, r.LoadedRelease(s.Model) > 0); err != nil {
			return err
		}
	}
	if _, err := h.issueLoad(ctx, s, layers, from, to, r); err != nil {
		return fmt.Errorf("command engine to load release %d of %s: %w", s.Release, s.Model, err)
	}
	return h.awaitLoaded(ctx, s, layers, r.StartTime)
}

// closeGate announces to the entry hosts that the engine accepts no requests. If the engine was serving, it waits until
// they have received the announcement.
func (h *Agent) closeGate(ctx context.Context, engineStart int64, isServing bool) error {
	h.setGateState(gateState{Closed: true, StartTime: engineStart})
	if !isServing {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(closeDelay):
		return nil
	}
}

// hasLayers reports whether the engine holds the layers; the zero range stands for all.
func (h *Agent) hasLayers(r rolloutplanner.Report, layers fleetconfig.LayerRange) bool {
	return r.Layers.CoversAll(h.currentFleet().Layers) || layers != fleetconfig.LayerRange{} && r.Layers == layers
}

// awaitLoaded waits until the engine holds the layers of the release, and announces a complete release to the entry
// hosts.
func (h *Agent) awaitLoaded(ctx context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange, engineStart int64) error {
	commandTime := time.Now()
	for time.Since(commandTime) < loadTimeout {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmInterval):
		}
		r, err := h.readReport(ctx)
		if err != nil || r.StartTime != engineStart {
			h.setGateState(gateState{})
			return errors.Join(errors.New("engine stopped or restarted while loading"), err)
		}
		if r.LoadedRelease(s.Model) < s.Release || !h.hasLayers(r, layers) {
			continue
		}
		if layers.CoversAll(h.currentFleet().Layers) {
			h.setGateState(gateState{StartTime: engineStart, Model: s.Model, Release: r.LoadedRelease(s.Model)})
		}
		f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "took": time.Since(commandTime).Milliseconds()}
		if layers != (fleetconfig.LayerRange{}) {
			f["from"], f["to"] = layers.From, layers.To
		}
		event.ReleaseServed.Log(h.Logger.WithFields(f), nil)
		return nil
	}
	h.setGateState(gateState{})
	return fmt.Errorf("engine does not serve release %d of %s %s after the load command", s.Release, s.Model, loadTimeout)
}
