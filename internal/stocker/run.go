package stocker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/stager"
)

// errSuperseded ends a step for a release that is no longer the newest.
var errSuperseded = errors.New("a newer release was named")

// run brings the engine to the newest release, for as long as ctx lasts.
func (h *Host) run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := reportEvery
		if err := h.step(ctx); err != nil && ctx.Err() == nil {
			h.Logger.WithError(err).Warn("weights are not served yet")
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

// goal returns the release to serve, and when it was named.
func (h *Host) goal() (directory.Serving, time.Time, bool) {
	e := h.engine()
	if e == nil || len(e.Models) == 0 {
		return directory.Serving{}, time.Time{}, false
	}
	n, named := h.survey.Newest(e.Models[0])
	return directory.Serving{Model: e.Models[0], Release: max(1, n)}, named, true
}

func (h *Host) step(ctx context.Context) error {
	goal, named, ok := h.goal()
	if !ok {
		return nil
	}
	r, err := h.report(ctx)
	if err != nil {
		return err
	}
	have := r.Release(goal.Model)
	if have > 0 {
		if err := h.adopt(ctx, directory.Serving{Model: goal.Model, Release: have}); err != nil {
			h.Logger.WithError(err).Warn("staged chunks are not taken over")
		}
	}
	if have >= goal.Release || r.Loading {
		return nil
	}
	a, err := h.Carrier.Fetch(ctx, goal, func() bool { return h.isSuperseded(goal) })
	if err != nil {
		return err
	}
	if err := h.stage(ctx, goal, a); err != nil {
		return err
	}
	if have > 0 {
		if err := h.await(ctx, goal, named); err != nil {
			return err
		}
	}
	return h.load(ctx, goal, a, r.Born)
}

func (h *Host) report(ctx context.Context) (stager.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Report(ctx)
}

// adopt takes the chunks of the release that the engine serves over from those that lie beside it, so that other hosts
// can have them from here.
func (h *Host) adopt(ctx context.Context, s directory.Serving) error {
	if h.Carrier.Knows(s) {
		return nil
	}
	a, _, err := h.Carrier.Artifact(ctx, s)
	if err != nil {
		return err
	}
	taken := 0
	for i, c := range a.Chunks {
		data, err := h.staged(ctx, s.Model, i)
		if err != nil {
			return err
		}
		if h.Carrier.Put(c.Digest, data) == nil {
			taken++
		}
	}
	h.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "chunks": taken}).Info("staged chunks taken over")
	return nil
}

func (h *Host) staged(ctx context.Context, m directory.Model, number int) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Staged(ctx, m, number)
}

// isSuperseded tells whether a release newer than s is named.
func (h *Host) isSuperseded(s directory.Serving) bool {
	g, _, ok := h.goal()
	return ok && g.Release > s.Release
}

// stage puts all chunks beside the engine.
func (h *Host) stage(ctx context.Context, s directory.Serving, a manifest.Artifact) error {
	for i, c := range a.Chunks {
		if err := h.put(ctx, s.Model, i, c); err != nil {
			return err
		}
	}
	return nil
}

func (h *Host) put(ctx context.Context, m directory.Model, number int, c manifest.Chunk) error {
	data, ok := h.Carrier.Get(c.Digest)
	if !ok {
		return fmt.Errorf("chunk %d of %s is not held", number, m)
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Stage(ctx, m, number, data)
}

// await waits for this engine's turn to change over.
func (h *Host) await(ctx context.Context, s directory.Serving, named time.Time) error {
	var ids []string
	for _, e := range h.survey.Endpoints() {
		if ip, _, err := net.SplitHostPort(e.Address); err == nil && e.Pool == h.Pool {
			ids = append(ids, ip)
		}
	}
	turn := stager.Turn(h.IP, ids, named, h.ReleaseBound)
	for time.Now().Before(turn) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(min(reportEvery, time.Until(turn))):
		}
		if h.isSuperseded(s) {
			return errSuperseded
		}
	}
	return nil
}

// load reads the staged chunks back, since they may have turned bad there, and orders the engine to load them.
func (h *Host) load(ctx context.Context, s directory.Serving, a manifest.Artifact, born int64) error {
	for i, c := range a.Chunks {
		data, err := h.staged(ctx, s.Model, i)
		if err == nil && manifest.Sum(data) == c.Digest {
			continue
		}
		h.Logger.WithField("chunk", strconv.Itoa(i)).Warn("staged chunk is spoilt or missing; staging it again")
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
	if r.Loading || r.Release(s.Model) >= s.Release {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	f := log.Fields{"model": string(s.Model), "release": int64(s.Release), "orders": r.Orders}
	if err := h.Engine.Load(ctx, s, r.Orders); err != nil {
		return fmt.Errorf("order release %d of %s: %w", s.Release, s.Model, err)
	}
	h.Logger.WithFields(f).Info("engine was ordered to load")
	return nil
}
