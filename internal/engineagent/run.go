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

// errSuperseded ends a step for a release that is no longer the newest.
var errSuperseded = errors.New("a newer release was named")

// run brings the engine to the newest release, for as long as ctx lasts.
func (h *Host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := reportEvery
		if err := h.step(ctx); err != nil && ctx.Err() == nil {
			event.WeightsNotServed.Log(h.Logger.WithError(err), nil)
			pause = retryTime
		}
		select {
		case <-ctx.Done():
		case <-h.news:
		case <-time.After(pause):
		}
	}
	return nil
}

// goal returns the release to serve.
func (h *Host) goal() (directory.Serving, bool) {
	f := h.known()
	m := directory.Model(f.Model)
	return directory.Serving{Model: m, Release: max(1, h.tracker.Newest(m))}, f.Known
}

func (h *Host) step(ctx context.Context) error {
	goal, ok := h.goal()
	if !ok {
		return nil
	}
	layers := h.known().Layers
	r, err := h.report(ctx)
	if err != nil {
		return err
	}
	have := r.Whole(goal.Model, layers)
	if have > 0 {
		if err := h.adopt(ctx, directory.Serving{Model: goal.Model, Release: have}); err != nil {
			event.StagedNotTaken.Log(h.Logger.WithError(err), nil)
		}
	}
	if have >= goal.Release || r.Loading {
		return nil
	}
	if have == 0 {
		// The entry hosts may still have the entry of an incarnation that held a release.
		h.setGate(gate{Closed: true, Born: r.Born})
	}
	a, err := h.fetch(ctx, goal, r)
	if err != nil {
		return err
	}
	if err := h.stage(ctx, goal, a, directory.Span{}); err != nil {
		return err
	}
	if have > 0 {
		if err := h.await(ctx, goal, have); err != nil {
			return err
		}
	}
	return h.load(ctx, goal, a, directory.Span{}, r.Born)
}

// fetch brings all chunks here. An empty engine loads its first layers meanwhile.
func (h *Host) fetch(ctx context.Context, goal directory.Serving, r rolloutplanner.Report) (manifest.Artifact, error) {
	superseded := func() bool { return h.isSuperseded(goal) }
	a, _, err := h.Replicator.Artifact(ctx, goal)
	if err != nil {
		return a, err
	}
	layers := h.known().Layers
	spans := rolloutplanner.Early(layers)
	if r.Release(goal.Model) > 0 || len(spans) == 0 {
		h.Replicator.SetRank(nil)
		return h.Replicator.Fetch(ctx, goal, superseded)
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
			if err := h.loadEarly(earlyCtx, goal, a, s, r.Born); err != nil {
				if earlyCtx.Err() == nil {
					event.PartNotLoaded.Log(h.Logger.WithError(err), nil)
				}
				return
			}
		}
	})
	_, err = h.Replicator.Fetch(ctx, goal, superseded)
	if err != nil {
		stop()
	}
	early.Wait()
	return a, err
}

// loadEarly waits for the chunks of the first layers, and lets the engine load these.
func (h *Host) loadEarly(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span, born int64) error {
	from, to := layers.Chunks(h.known().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		for {
			if _, ok := h.Replicator.Get(a.Chunks[i].Digest); ok {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(chunkEvery):
			}
		}
	}
	if err := h.stage(ctx, s, a, layers); err != nil {
		return err
	}
	return h.load(ctx, s, a, layers, born)
}

func (h *Host) report(ctx context.Context) (rolloutplanner.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Report(ctx)
}

// adopt takes the chunks of the release that the engine serves over from those that lie beside it, so that other hosts
// can have them from here.
func (h *Host) adopt(ctx context.Context, s directory.Serving) error {
	if h.Replicator.Knows(s) {
		return nil
	}
	a, _, err := h.Replicator.Artifact(ctx, s)
	if err != nil {
		return err
	}
	taken := 0
	for i, c := range a.Chunks {
		data, err := h.staged(ctx, s.Model, i)
		if err != nil {
			return err
		}
		if h.Replicator.Put(c.Digest, data) == nil {
			taken++
		}
	}
	event.StagedTaken.Log(h.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunks": taken}), nil)
	return nil
}

func (h *Host) staged(ctx context.Context, m directory.Model, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Staged(ctx, m, number)
}

// isSuperseded tells whether a release newer than s is named.
func (h *Host) isSuperseded(s directory.Serving) bool {
	g, ok := h.goal()
	return ok && g.Release > s.Release
}

// stage puts the chunks of some layers beside the engine.
func (h *Host) stage(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span) error {
	from, to := layers.Chunks(h.known().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		if err := h.put(ctx, s.Model, i, a.Chunks[i]); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) put(ctx context.Context, m directory.Model, number int, c manifest.Chunk) error {
	data, ok := h.Replicator.Get(c.Digest)
	if !ok {
		return fmt.Errorf("chunk %d of %s is not held", number, m)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Stage(ctx, m, number, data)
}

// await waits for this engine's turn to change over from the release have.
func (h *Host) await(ctx context.Context, s directory.Serving, have directory.Release) error {
	for {
		share := rolloutplanner.Turn(h.IP, h.members(have))
		turn := h.tracker.Named(s.Model, have).Add(time.Duration(share * float64(h.ReleaseBound)))
		if !time.Now().Before(turn) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(reportEvery, time.Until(turn))):
		}
		if h.isSuperseded(s) {
			return errSuperseded
		}
	}
}

// members returns the engines of the pool with the releases that they serve.
func (h *Host) members(have directory.Release) []rolloutplanner.Member {
	out := []rolloutplanner.Member{{Host: h.IP, Release: have}}
	for _, e := range h.known().Engines {
		if string(e.Host) != h.IP {
			out = append(out, rolloutplanner.Member{Host: string(e.Host), Release: directory.Release(e.Release)})
		}
	}
	return out
}

// load reads the staged chunks of some layers back, since they may have turned bad there, and orders the engine to load
// them.
func (h *Host) load(ctx context.Context, s directory.Serving, a manifest.Artifact, layers directory.Span, born int64) error {
	from, to := layers.Chunks(h.known().Layers, len(a.Chunks))
	for i := from; i < to; i++ {
		c := a.Chunks[i]
		data, err := h.staged(ctx, s.Model, i)
		if err == nil && manifest.Sum(data) == c.Digest {
			continue
		}
		event.StagedSpoilt.Log(h.Logger.WithField("chunk", strconv.Itoa(i)), nil)
		if err := h.put(ctx, s.Model, i, c); err != nil {
			return err
		}
	}
	r, err := h.report(ctx)
	if err != nil {
		return err
	}
	if r.Born != born {
		return errors.New("engine started again meanwhile")
	}
	if r.Loading || r.Whole(s.Model, h.known().Layers) >= s.Release {
		return nil
	}
	if layers == (directory.Span{}) && r.Release(s.Model) == s.Release {
		// The rest of the layers is loaded beside those that are held.
		layers = directory.Span{To: h.known().Layers}
	}
	if r.Release(s.Model) != s.Release {
		if err := h.close(ctx, r.Born, r.Release(s.Model) > 0); err != nil {
			return err
		}
	}
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "orders": r.Orders, "running": r.Running}
	if layers != (directory.Span{}) {
		f["from"], f["to"] = layers.From, layers.To
	}
	if err := h.order(ctx, s, layers, r.Orders); err != nil {
		return fmt.Errorf("order release %d of %s: %w", s.Release, s.Model, err)
	}
	event.LoadOrdered.Log(h.Logger.WithFields(f), nil)
	return h.confirm(ctx, s, layers, r.Born)
}

// close tells the entry hosts that the engine takes no requests, and gives them the time to hear of it if it took some.
func (h *Host) close(ctx context.Context, born int64, isServing bool) error {
	h.setGate(gate{Closed: true, Born: born})
	if !isServing {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(closeTime):
		return nil
	}
}

// holds tells whether the engine holds the layers; the zero span stands for all.
func (h *Host) holds(r rolloutplanner.Report, layers directory.Span) bool {
	return r.Layers.IsWhole(h.known().Layers) || layers != directory.Span{} && r.Layers == layers
}

func (h *Host) order(ctx context.Context, s directory.Serving, layers directory.Span, orders int64) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Load(ctx, s, layers, orders)
}

// confirm waits until the engine holds the layers of the release, and tells the entry hosts.
func (h *Host) confirm(ctx context.Context, s directory.Serving, layers directory.Span, born int64) error {
	begun := time.Now()
	for time.Since(begun) < loadTime {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(confirmEvery):
		}
		r, err := h.report(ctx)
		if err != nil || r.Born != born {
			h.setGate(gate{})
			return errors.Join(errors.New("engine ended while it loaded"), err)
		}
		if r.Release(s.Model) < s.Release || !h.holds(r, layers) {
			continue
		}
		if layers.IsWhole(h.known().Layers) {
			h.setGate(gate{Born: born, Model: s.Model, Release: r.Release(s.Model)})
		}
		f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "took": time.Since(begun).Milliseconds()}
		if layers != (directory.Span{}) {
			f["from"], f["to"] = layers.From, layers.To
		}
		event.ReleaseServed.Log(h.Logger.WithFields(f), nil)
		return nil
	}
	h.setGate(gate{})
	return fmt.Errorf("engine does not serve release %d of %s %s after the order", s.Release, s.Model, loadTime)
}
