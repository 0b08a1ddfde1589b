package chunkreplicator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/manifestverifier"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// heldManifest is the manifest of a release, bound to it, and its digest.
type heldManifest struct {
	verifier *manifestverifier.Verifier
	digest   ident.Digest
}

// reading is a manifest that was read from outside this host. matched lists the chunks whose digests another host has
// proven; it is ignored if isOrigin is set.
type reading struct {
	manifest manifest.Artifact
	matched  []int
	isOrigin bool
}

// matches reports whether content is that of an entry of a manifest.
func matches(c manifest.Chunk, data []byte) bool {
	return ident.Bytes(len(data)) == c.Size && c.Matches(data)
}

// manifestOf returns the current manifest of a release and its digest; false if this host has none.
func (r *Replicator) manifestOf(s fleetconfig.ServedModel) (manifest.Artifact, ident.Digest, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.manifests[s]
	if held == nil {
		return manifest.Artifact{}, "", false
	}
	a, _ := held.verifier.Manifest()
	return a, held.digest, true
}

// isCurrent reports whether a manifest is the one that this host uses for a release.
func (r *Replicator) isCurrent(s fleetconfig.ServedModel, d ident.Digest) bool {
	_, current, ok := r.manifestOf(s)
	return ok && current == d
}

// HasManifest reports whether this host holds a manifest of a release, proven or not.
func (r *Replicator) HasManifest(s fleetconfig.ServedModel) bool {
	_, _, ok := r.manifestOf(s)
	return ok
}

// ResolveManifest returns the manifest of a release and the digest of the manifest. Entries whose chunks this host does not
// hold are not proven, and may be replaced until Fetch returns.
func (r *Replicator) ResolveManifest(ctx context.Context, s fleetconfig.ServedModel) (manifest.Artifact, ident.Digest, error) {
	if a, d, ok := r.manifestOf(s); ok {
		return a, d, nil
	}
	read, err := r.fetchManifest(ctx, s)
	if err != nil {
		return manifest.Artifact{}, "", err
	}
	if err := r.recordReading(s, read); err != nil {
		return manifest.Artifact{}, "", err
	}
	a, d, _ := r.manifestOf(s)
	return a, d, nil
}

// recordReading passes a manifest that was read to the verifier of the release.
func (r *Replicator) recordReading(s fleetconfig.ServedModel, read reading) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.manifests[s]
	if held == nil {
		held = &heldManifest{verifier: &manifestverifier.Verifier{IsHeld: r.holds}}
	}
	var changed int
	if read.isOrigin {
		changed = held.verifier.RecordOrigin(read.manifest)
	} else {
		changed = held.verifier.RecordHost(read.manifest, read.matched)
	}
	if changed == 0 && r.manifests[s] != nil {
		return nil
	}
	a, _ := held.verifier.Manifest()
	data, err := a.Encode()
	if err != nil {
		return fmt.Errorf("encode manifest of %s: %w", s.Model, err)
	}
	held.digest = manifest.DigestOf(data)
	r.cache.PutArtifact(held.digest, a)
	if r.manifests[s] == nil {
		r.manifests[s] = held
		r.recent = append(r.recent, s)
	}
	r.releases[held.digest] = s
	if changed > 0 {
		r.replacedEntries.Add(float64(changed))
		event.ManifestReplaced.Log(r.Logger, log.Fields{
			"model": string(s.Model), "release": int64(s.Release), "entries": changed, "chunks": len(a.Chunks), "proven": len(held.verifier.Matched()), "origin": read.isOrigin,
		})
	}
	return nil
}

// holds reports whether this host holds content that matches an entry of a manifest.
func (r *Replicator) holds(c manifest.Chunk) bool {
	data, ok := r.cache.Chunk(c.Digest)
	return ok && ident.Bytes(len(data)) == c.Size
}

// HoldsChunks reports whether this host holds all of the given chunks.
func (r *Replicator) HoldsChunks(chunks []manifest.Chunk) bool {
	return len(r.cache.Missing(manifest.Artifact{Chunks: chunks})) == 0
}

// recordMismatch records that content of a chunk that the origin sent does not match its entry.
func (r *Replicator) recordMismatch(s fleetconfig.ServedModel, number int, c manifest.Chunk, data []byte) {
	event.OriginChunkMismatch.Log(r.Logger, log.Fields{
		"model": string(s.Model), "release": int64(s.Release), "chunk": number, "size": len(data), "want": int64(c.Size),
		"digest": string(c.Content[:12]), "got": string(manifest.DigestOf(data)[:12]),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if held := r.manifests[s]; held != nil {
		held.verifier.RecordMismatch(number, c)
	}
}

// mayRead reports whether a chunk may be read from the origin: not if its entry has to be compared with the origin's
// manifest first.
func (r *Replicator) mayRead(s fleetconfig.ServedModel, number int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.manifests[s]
	return held == nil || held.verifier.MayRead(number)
}

// verifyManifest looks for another manifest of a release whenever its verifier asks for one, until ctx ends.
func (r *Replicator) verifyManifest(ctx context.Context, s fleetconfig.ServedModel) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchCheckInterval):
		}
		switch r.nextStep(s) {
		case manifestverifier.Wait:
		case manifestverifier.QueryHosts:
			r.compareManifests(ctx, s)
		case manifestverifier.ReadOrigin:
			a, err := r.readManifestFromOrigin(ctx, s)
			if err == nil {
				err = r.recordReading(s, reading{manifest: a, isOrigin: true})
			}
			if err != nil && ctx.Err() == nil {
				event.ManifestNotRead.Log(r.Logger.WithError(err), log.Fields{"model": string(s.Model), "release": int64(s.Release)})
			}
		}
	}
}

func (r *Replicator) nextStep(s fleetconfig.ServedModel) manifestverifier.Step {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.manifests[s]
	if held == nil {
		return manifestverifier.Wait
	}
	return held.verifier.Next(time.Now())
}

// compareManifests queries a few other hosts for their manifest: seed hosts of the zone, and at least one other host. The
// verifier asks for it again after those that do not answer or have none.
func (r *Replicator) compareManifests(ctx context.Context, s fleetconfig.ServedModel) {
	_, held, _ := r.manifestOf(s)
	var near, other []fetchplanner.Peer
	for _, p := range r.shuffledPeers(func(fetchplanner.Peer) bool { return true }) {
		if p.Seed && p.Zone == r.Zone && len(near) < maxManifestPeers-1 {
			near = append(near, p)
		} else {
			other = append(other, p)
		}
	}
	for _, p := range append(near, other[:min(len(other), maxManifestPeers-len(near))]...) {
		read, err := r.queryManifest(ctx, r.peer(p).ControlAddress, s, held)
		if err == nil && len(read.manifest.Chunks) > 0 {
			err = r.recordReading(s, read)
		}
		if err != nil {
			r.Logger.WithError(err).Debug("manifest not compared")
		}
		if !r.isCurrent(s, held) {
			return
		}
	}
}

// fetchManifest reads a manifest from other hosts, the archive or the origin. All hosts need a new manifest at the same
// moment, and the origin accepts few connections, so a host that is not a seed host queries the seed hosts of its zone
// first.
func (r *Replicator) fetchManifest(ctx context.Context, s fleetconfig.ServedModel) (reading, error) {
	if !r.IsSeed {
		for range maxSeedRounds {
			read, err := r.queryManifestFromPeers(ctx, s, func(p fetchplanner.Peer) bool { return p.Seed && p.Zone == r.Zone })
			if err == nil {
				return read, nil
			}
			select {
			case <-ctx.Done():
				return reading{}, ctx.Err()
			case <-time.After(seedRoundDelay):
			}
		}
	}
	if a, err := r.readManifestFromArchive(ctx, s); err == nil {
		return reading{manifest: a}, nil
	}
	a, err := r.readManifestFromOrigin(ctx, s)
	if err == nil {
		return reading{manifest: a, isOrigin: true}, nil
	}
	read, peerErr := r.queryManifestFromPeers(ctx, s, func(fetchplanner.Peer) bool { return true })
	if peerErr != nil {
		return reading{}, errors.Join(err, peerErr)
	}
	return read, nil
}

func (r *Replicator) readManifestFromOrigin(ctx context.Context, s fleetconfig.ServedModel) (manifest.Artifact, error) {
	origin, _ := r.Origin()
	if origin == "" {
		return manifest.Artifact{}, fmt.Errorf("read manifest of release %d of %s: no origin is known", s.Release, s.Model)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r.manifestReads.Inc()
	a, err := r.ReadManifest(ctx, origin, s)
	if err == nil && r.checkShape(a) != nil {
		// The configuration may be wrong. A manifest that the origin repeats is used, and is provisional like any other.
		first := a
		r.manifestReads.Inc()
		if a, err = r.ReadManifest(ctx, origin, s); err == nil && !slices.Equal(first.Chunks, a.Chunks) {
			err = r.checkShape(a)
		}
	}
	if err == nil {
		err = checkRelease(a, s)
	}
	return a.Bind(), err
}

// ReleaseError reports a manifest that is not that of the release, or not one that this program has bound to it.
type ReleaseError struct {
	Want          fleetconfig.ServedModel
	Name, Version string
	Number        int
}

// Error names the release and what the manifest states.
func (e *ReleaseError) Error() string {
	return fmt.Sprintf("manifest of release %d of %s states version %q of %q, chunk %d is not bound to its place", e.Want.Release, e.Want.Model, e.Version, e.Name, e.Number)
}

// checkRelease returns a ReleaseError for a manifest of another release.
func checkRelease(a manifest.Artifact, s fleetconfig.ServedModel) error {
	if a.Name != string(s.Model) || a.Version != strconv.FormatInt(int64(s.Release), 10) {
		return &ReleaseError{Want: s, Name: a.Name, Version: a.Version}
	}
	return nil
}

// checkBound returns an error for a manifest of another host or of the archive whose entries are not all bound to their places
// in the release: what has matched such an entry may be the content of another place.
func checkBound(a manifest.Artifact, s fleetconfig.ServedModel) error {
	if err := checkRelease(a, s); err != nil {
		return err
	}
	for i, c := range a.Chunks {
		if c.Content == "" {
			return &ReleaseError{Want: s, Name: a.Name, Version: a.Version, Number: i}
		}
	}
	return a.Validate()
}

// checkShape compares a manifest with the configuration. No content proves that all entries are there.
func (r *Replicator) checkShape(a manifest.Artifact) error {
	if r.Shape == nil {
		return nil
	}
	return r.Shape().Check(a)
}

// shuffledPeers returns the other hosts that a filter reports true for, in random order.
func (r *Replicator) shuffledPeers(filter func(p fetchplanner.Peer) bool) []fetchplanner.Peer {
	peers := slices.DeleteFunc(r.Peers(), func(p fetchplanner.Peer) bool { return p.Host == r.Self || !filter(p) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// queryManifestFromPeers queries a few random other hosts for a manifest.
func (r *Replicator) queryManifestFromPeers(ctx context.Context, s fleetconfig.ServedModel, filter func(p fetchplanner.Peer) bool) (reading, error) {
	peers := r.shuffledPeers(filter)
	err := fmt.Errorf("read manifest of release %d of %s: no other host is known", s.Release, s.Model)
	for _, p := range peers[:min(maxManifestPeers, len(peers))] {
		var read reading
		if read, err = r.queryManifest(ctx, r.peer(p).ControlAddress, s, ""); err == nil {
			return read, nil
		}
	}
	return reading{}, err
}

// queryManifest queries a host for a manifest. The reading is empty if the host uses the manifest with the digest held.
func (r *Replicator) queryManifest(ctx context.Context, control string, s fleetconfig.ServedModel, held ident.Digest) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q := messages.ManifestQuery{Model: string(s.Model), Release: int64(s.Release), Held: held}
	a, err := rpc.Call[messages.ManifestResponse](ctx, r.rpcPool.Client(control), messages.ManifestMethod, q)
	switch {
	case err != nil:
		return reading{}, err
	case !a.Known:
		return reading{}, fmt.Errorf("host %s has no manifest of release %d of %s", control, s.Release, s.Model)
	case a.IsSame:
		return reading{}, nil
	}
	if err := r.checkShape(a.Manifest); err != nil {
		return reading{}, fmt.Errorf("manifest of host %s: %w", control, err)
	}
	return reading{manifest: a.Manifest, matched: a.Matched}, checkBound(a.Manifest, s)
}

// handleManifest returns a manifest that this host holds.
func (r *Replicator) handleManifest(_ context.Context, q messages.ManifestQuery) (messages.ManifestResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := r.manifests[fleetconfig.ServedModel{Model: fleetconfig.Model(q.Model), Release: fleetconfig.Release(q.Release)}]
	switch {
	case held == nil:
		return messages.ManifestResponse{}, nil
	case q.Held == held.digest:
		return messages.ManifestResponse{Known: true, IsSame: true}, nil
	}
	a, _ := held.verifier.Manifest()
	return messages.ManifestResponse{Known: true, Manifest: a, Matched: held.verifier.Matched()}, nil
}
