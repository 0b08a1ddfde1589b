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

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// errSuperseded aborts a rollout step whose release is no longer the newest.
var errSuperseded = errors.New("superseded by a newer release")

// reconcile keeps the engine at the newest release until ctx ends.
func (h *Host) reconcile(ctx context.Context) error {
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

// target returns the release to serve.
func (h *Host) target() (directory.Serving, bool) {
	f := h.currentFleet()
	m := directory.Model(f.Model)
	return directory.Serving{Model: m, Release: max(1, h.tracker.Newest(m))}, f.Known
}

func (h *Host) reconcileOnce(ctx context.Context) error {
	target, ok := h.target()
	if !ok {
		return nil
	}
	layers := h.currentFleet().Layers
	r, err := h.readReport(ctx)
	if err != nil {
		return err
	}
	served := r.Whole(target.Model, layers)
	if served > 0 {
		if err := h.cacheServedChunks(ctx, directory.Serving{Model: target.Model, Release: served}); err != nil {
			event.StagedNotTaken.Log(h.Logger.WithError(err), nil)
		}
	}
	if served >= target.Release || r.Loading {
		return nil
	}
	if served == 0 {
		// The entry hosts may still have the entry of an earlier incarnation that held a release.
		h.setGateState(gateState{Closed: true, StartTime: r.Born})
	}
	a, err := h.fetch(ctx, target, r)
	if err != nil {
		return err
	}
	if err := h.stage(ctx, target, a, directory.Span{}); err != nil {
		return err
	}
	if served > 0 {
		if err := h.awaitTurn(ctx, target, served); err != nil {
			return err
		}
	}
	return h.loadStaged(ctx, target, a, directory.Span{}, r.Born)
}

// fetch fetches all chunks of a release to this host. An empty engine loads its first layers meanwhile.
func (h *Host) fetch(ctx context.Context, target directory.Serving, r rolloutplanner.Report) (manifest.Artifact, error) {
	superseded := func() bool { return h.isSuperseded(target) }
	a, _, err := h.Replicator.Artifact(ctx, target)
	if err != nil {
		return a, err
	}
	layers := h.currentFleet().Layers
	spans := rolloutplanner.Early(layers)
	if r.Release(target.Model) > 0 || len(spans) == 0 {
		h.Replicator.SetRank(nil)
		return h.Replicator.Fetch(ctx, target, superseded)
	}
	h.Replicator.SetRank(func(number int) int {
		return slices.IndexFunc(append(spans, directory.Span{To: layers}), func(s directory.Span) bool {
			_, to := s.Chunks(layers, len(a.Chunks))
			return number < to
		})
	})
	earlyCtx, stop := context.WithCancel(ctx)
	defer stop()
	var early sync.WaitGroup
	early.Go(func() {
		for _, s := range spans {
			if err := h.loadEarly(earlyCtx, target, a, s, r.Born); err != nil {
				if earlyCtx.Err() == nil {
					event.PartNotLoaded.Log(h.Logger.WithError(err), nil)
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
func (h *Host) loadEarly(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span, engineStart int64) error {
	from, to := layers.Chunks(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		for {
			if _, ok := h.Replicator.Get(a.Chunks[i].Digest); ok {
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

func (h *Host) readReport(ctx context.Context) (rolloutplanner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Engine.Report(ctx)
}

// cacheServedChunks copies the chunks of the release that the engine serves from its staging area to the replicator, so that
// other hosts can fetch them from here.
func (h *Host) cacheServedChunks(ctx context.Context, s directory.Serving) error {
	if h.Replicator.Knows(s) {
		return nil
	}
	a, _, err := h.Replicator.Artifact(ctx, s)
	if err != nil {
		return err
	}
	cached := 0
	for i, c := range a.Chunks {
		data, err := h.readStaged(ctx, s.Model, i)
		if err != nil {
			return err
		}
		if h.Replicator.Put(c.Digest, data) == nil {
			cached++
		}
	}
	event.StagedTaken.Log(h.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunks": cached}), nil)
	return nil
}

func (h *Host) readStaged(ctx context.Context, m directory.Model, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Engine.Staged(ctx, m, number)
}

// isSuperseded reports whether a newer release than s is known.
func (h *Host) isSuperseded(s directory.Serving) bool {
	g, ok := h.target()
	return ok && g.Release > s.Release
}

// stage writes the chunks of the given layers to the engine's staging area.
func (h *Host) stage(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span) error {
	from, to := layers.Chunks(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		if err := h.stageChunk(ctx, s.Model, i, a.Chunks[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) stageChunk(ctx context.Context, m directory.Model, number int, c manifest.Chunk) error {
	data, ok := h.Replicator.Get(c.Digest)
	if !ok {
		return fmt.Errorf("stage chunk %d of %s: this host does not hold it", number, m)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Engine.Stage(ctx, m, number, data)
}

// awaitTurn waits for this engine's turn to change over from the served release to s.
func (h *Host) awaitTurn(ctx context.Context, s directory.Serving, served directory.Release) error {
	for {
		turnShare := rolloutplanner.Turn(h.IP, h.members(served))
		turnTime := h.tracker.Named(s.Model, served).Add(time.Duration(turnShare * float64(h.ReleaseBound)))
		if !time.Now().Before(turnTime) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(reportInterval, time.Until(turnTime))):
		}
		if h.isSuperseded(s) {
			return errSuperseded
		}
	}
}

// members returns the engines of the pool with the releases that they serve.
func (h *Host) members(served directory.Release) []rolloutplanner.Member {
	out := []rolloutplanner.Member{{Host: h.IP, Release: served}}
	for _, e := range h.currentFleet().Engines {
		if string(e.Host) != h.IP {
			out = append(out, rolloutplanner.Member{Host: string(e.Host), Release: directory.Release(e.Release)})
		}
	}
	return out
}

// loadStaged verifies the staged chunks of the given layers, since they may have become corrupt there, replaces corrupt ones,
// and has the engine load them.
func (h *Host) loadStaged(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span, engineStart int64) error {
	from, to := layers.Chunks(h.currentFleet().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		c := a.Chunks[i]
		data, err := h.readStaged(ctx, s.Model, i)
		if err == nil && manifest.Sum(data) == c.Digest {
			continue
		}
		event.StagedSpoilt.Log(h.Logger.WithField("chunk", strconv.Itoa(i)), nil)
		if err := h.stageChunk(ctx, s.Model, i, c); err != nil {
			return err
		}
	}
	r, err := h.readReport(ctx)
	if err != nil {
		return err
	}
	if r.Born != engineStart {
		return errors.New("engine restarted before the load command")
	}
	if r.Loading || r.Whole(s.Model, h.currentFleet().Layers) >= s.Release {
		return nil
	}
	if layers == (directory.Span{}) && r.Release(s.Model) == s.Release {
		// The engine keeps the layers that it holds and loads the others.
		layers = directory.Span{To: h.currentFleet().Layers}
	}
	if r.Release(s.Model) != s.Release {
		if err := h.closeGate(ctx, r.Born, r.Release(s.Model) > 0); err != nil {
			return err
		}
	}
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "orders": r.Orders, "running": r.Running}
	if layers != (directory.Span{}) {
		f["from"], f["to"] = layers.From, layers.To
	}
	if err := h.issueLoad(ctx, s, layers, r.Orders); err != nil {
		return fmt.Errorf("command engine to load release %d of %s: %w", s.Release, s.Model, err)
	}
	event.LoadOrdered.Log(h.Logger.WithFields(f), nil)
	return h.awaitLoaded(ctx, s, layers, r.Born)
}

// closeGate announces to the entry hosts that the engine accepts no requests. If the engine was serving, it waits until they
// have received the announcement.
func (h *Host) closeGate(ctx context.Context, engineStart int64, isServing bool) error {
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

// hasLayers reports whether the engine holds the layers; the zero span stands for all.
func (h *Host) hasLayers(r rolloutplanner.Report, layers directory.Span) bool {
	return r.Layers.IsWhole(h.currentFleet().Layers) || layers != directory.Span{} && r.Layers == layers
}

func (h *Host) issueLoad(ctx context.Context, s directory.Serving, layers directory.Span, loadCommands int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Engine.Load(ctx, s, layers, loadCommands)
}

// awaitLoaded waits until the engine holds the layers of the release, and announces a complete release to the entry hosts.
func (h *Host) awaitLoaded(ctx context.Context, s directory.Serving, layers directory.Span, engineStart int64) error {
	commandTime := time.Now()
	for time.Since(commandTime) < loadTimeout {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmInterval):
		}
		r, err := h.readReport(ctx)
		if err != nil || r.Born != engineStart {
			h.setGateState(gateState{})
			return errors.Join(errors.New("engine stopped or restarted while loading"), err)
		}
		if r.Release(s.Model) < s.Release || !h.hasLayers(r, layers) {
			continue
		}
		if layers.IsWhole(h.currentFleet().Layers) {
			h.setGateState(gateState{StartTime: engineStart, Model: s.Model, Release: r.Release(s.Model)})
		}
		f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "took": time.Since(commandTime).Milliseconds()}
		if layers != (directory.Span{}) {
			f["from"], f["to"] = layers.From, layers.To
		}
		event.ReleaseServed.Log(h.Logger.WithFields(f), nil)
		return nil
	}
	h.setGateState(gateState{})
	return fmt.Errorf("engine does not serve release %d of %s %s after the load command", s.Release, s.Model, loadTimeout)
}
