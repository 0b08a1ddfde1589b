package engineagent

import (
	"context"
	"errors"
	"slices"
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
	h.inherit()
	r, err := h.observeReport(ctx)
	if err != nil {
		return err
	}
	served := r.FullRelease(target.Model, h.currentFleet().Layers)
	current := fleetconfig.ServedModel{Model: target.Model, Release: served}
	if served > 0 {
		if err := h.cacheServedChunks(ctx, current); err != nil {
			event.StagedChunksNotReused.Log(h.Logger.WithError(err), nil)
		}
	}
	if r.Loading {
		return nil
	}
	if served > 0 && (served >= target.Release || h.verified == current) && !h.isProven(r) {
		err := h.prove(ctx, current)
		if served >= target.Release {
			return err
		}
		if err != nil {
			// The newer release replaces all layers, so that it does not depend on the proof.
			event.WeightsNotServed.Log(h.Logger.WithError(err), nil)
		}
	}
	if served >= target.Release {
		return nil
	}
	next := h.nextRelease(target, served)
	if served == 0 {
		// The entry hosts may still have the entry of an earlier incarnation that held a release.
		h.setClosed(next, r.StartTime)
	}
	a, err := h.fetch(ctx, next, served, r)
	if err != nil {
		h.recordFetchFailure(next, target, served)
		return err
	}
	h.begin(next, a, fleetconfig.LayerRange{})
	if err := h.execute(ctx, next, a, true); err != nil {
		return err
	}
	if served > 0 {
		if err := h.awaitTurn(ctx, next, served); err != nil {
			return err
		}
	}
	return h.execute(ctx, next, a, false)
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
	chunks := len(a.Chunks)
	h.Replicator.SetFetchOrder(func(number int) int {
		return slices.IndexFunc(append(earlyRanges, fleetconfig.LayerRange{To: layers}), func(layerRange fleetconfig.LayerRange) bool {
			_, to := layerRange.ChunkRange(layers, chunks)
			return number < to
		})
	})
	earlyCtx, stop := context.WithCancel(ctx)
	defer stop()
	var early sync.WaitGroup
	early.Go(func() {
		for _, layerRange := range earlyRanges {
			if err := h.loadEarly(earlyCtx, target, layerRange); err != nil {
				if earlyCtx.Err() == nil {
					event.EarlyLoadFailed.Log(h.Logger.WithError(err), nil)
				}
				return
			}
		}
	})
	a, err = h.Replicator.Fetch(ctx, target, superseded)
	if err != nil {
		stop()
	}
	early.Wait()
	return a, err
}

// loadEarly waits for the chunks of the given layers, and has the engine load them.
func (h *Agent) loadEarly(ctx context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange) error {
	for {
		// The manifest may be replaced until the chunks are there.
		a, _, err := h.Replicator.ResolveManifest(ctx, s)
		if err != nil {
			return err
		}
		from, to := layers.ChunkRange(h.currentFleet().Layers, len(a.Chunks))
		if h.Replicator.HoldsChunks(a.Chunks[from:to]) {
			h.begin(s, a, layers)
			return h.execute(ctx, s, a, false)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(chunkPollInterval):
		}
	}
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
		data, _, err := h.readStaged(ctx, s, i, c.Size)
		if err != nil {
			return err
		}
		if h.Replicator.AddChunk(c, data) == nil {
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
