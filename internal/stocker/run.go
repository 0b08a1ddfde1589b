package stocker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/stager"
)

// manifestPeers is the number of other hosts that are asked for a manifest when the origin does not give it.
const manifestPeers = 3

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
	e, _ := h.engine()
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
	a, err := h.fetch(ctx, goal)
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

// manifest returns the list of chunks of a release.
func (h *Host) manifest(ctx context.Context, s directory.Serving) (manifest.Artifact, ident.Digest, error) {
	h.mu.Lock()
	d, ok := h.digest[s]
	h.mu.Unlock()
	if ok {
		if a, ok := h.holder.Artifact(d); ok {
			return a, d, nil
		}
	}
	_, origin := h.engine()
	a, err := h.askOrigin(ctx, origin, s)
	if err != nil {
		var perr error
		if a, perr = h.askPeers(ctx, s); perr != nil {
			return a, "", errors.Join(err, perr)
		}
	}
	data, err := a.Encode()
	if err != nil {
		return a, "", fmt.Errorf("encode manifest of %s: %w", s.Model, err)
	}
	d = manifest.Sum(data)
	h.holder.PutArtifact(d, a)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.digest[s], h.served[d] = d, s
	return a, d, nil
}

func (h *Host) askOrigin(ctx context.Context, origin string, s directory.Serving) (manifest.Artifact, error) {
	if origin == "" {
		return manifest.Artifact{}, errors.New("no origin is known")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return h.Engine.Manifest(ctx, origin, s)
}

// askPeers asks a few other hosts for a manifest.
func (h *Host) askPeers(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	peers, _ := h.peers(nil)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other host is known")
	for _, p := range peers[:min(manifestPeers, len(peers))] {
		if p.Data == h.fetcher.Self.Data {
			continue
		}
		var a manifest.Artifact
		if a, err = h.askManifest(ctx, p.Control, s); err == nil {
			return a, nil
		}
	}
	return manifest.Artifact{}, err
}

// adopt takes the chunks of the release that the engine serves over from those that lie beside it, so that other hosts
// can have them from here.
func (h *Host) adopt(ctx context.Context, s directory.Serving) error {
	h.mu.Lock()
	_, ok := h.digest[s]
	h.mu.Unlock()
	if ok {
		return nil
	}
	a, _, err := h.manifest(ctx, s)
	if err != nil {
		return err
	}
	taken := 0
	for i, c := range a.Chunks {
		data, err := h.staged(ctx, s.Model, i)
		if err != nil {
			return err
		}
		if h.holder.PutChunk(c.Digest, data) == nil {
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

// fetch brings all chunks of a release here. It ends early if a newer release is named.
func (h *Host) fetch(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	a, d, err := h.manifest(ctx, s)
	if err != nil || len(h.holder.Missing(a)) == 0 {
		return a, err
	}
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go h.watch(ctx, s, cancel)
	if err := h.fetcher.Fetch(ctx, []ident.Digest{d}); err != nil {
		return a, fmt.Errorf("fetch release %d of %s: %w", s.Release, s.Model, err)
	}
	h.Logger.WithFields(log.Fields{
		"model": string(s.Model), "release": int64(s.Release), "took": time.Since(begun).Milliseconds(),
	}).Info("chunks fetched and verified")
	return a, nil
}

// watch calls cancel when a release newer than s is named.
func (h *Host) watch(ctx context.Context, s directory.Serving, cancel func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportEvery):
			if g, _, ok := h.goal(); ok && g.Release > s.Release {
				cancel()
				return
			}
		}
	}
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
	data, ok := h.holder.Chunk(c.Digest)
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
		if g, _, ok := h.goal(); ok && g.Release > s.Release {
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
