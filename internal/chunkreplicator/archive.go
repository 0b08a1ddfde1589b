package chunkreplicator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	// archiveReadTimeout bounds one read of archived chunks: a quarter of a megabyte. The reads of all partitions share a
	// link between regions of some 20 Mbit/s.
	archiveReadTimeout = 1500 * time.Millisecond
	// archiveWriteTimeout bounds the writes of one partition, and archiveRetryDelay is the pause after a failed one.
	archiveWriteTimeout = 3 * time.Second
	archiveRetryDelay   = time.Second
	// archiveWaitInterval is the time between two signs of life of a read that waits for its turn. It is well below
	// progressTimeout.
	archiveWaitInterval = 100 * time.Millisecond
)

var errArchiveSkipped = errors.New("archive is not read for this release")

// readManifestFromArchive reads a manifest from the store. Only a host that holds no release yet does so, since later
// releases are at the origin before they are archived.
func (r *Replicator) readManifestFromArchive(ctx context.Context, s fleetconfig.ServedModel) (manifest.Artifact, error) {
	r.mu.Lock()
	holdsNoRelease := len(r.recent) == 0
	r.mu.Unlock()
	if r.Archiver == nil || !holdsNoRelease {
		return manifest.Artifact{}, errArchiveSkipped
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	a, err := r.Archiver.LoadManifest(ctx, s)
	if err == nil {
		err = r.checkShape(a)
	}
	if err == nil {
		err = checkBound(a, s)
	}
	if err != nil {
		event.ArchiveReadFailed.Log(r.Logger.WithError(err), nil)
		return a, err
	}
	r.setArchived(s)
	return a, nil
}

func (r *Replicator) setArchived(s fleetconfig.ServedModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.archived = s
}

// ForgetArchived makes this host take no release for archived, since the store may have lost it.
func (r *Replicator) ForgetArchived() {
	r.setArchived(fleetconfig.ServedModel{})
}

func (r *Replicator) isArchived(s fleetconfig.ServedModel) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.archived == s
}

// readsArchive reports whether the release that this host fetches is read from the store. Each zone reads its own copy of
// it then: the store's link is wide, and the links from its region to the others carry one copy each, which one zone
// after the other would need twice the time for.
func (r *Replicator) readsArchive() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.archived.Release > 0 && r.archived == r.fetching
}

// awaitArchiveRead waits for the token to read a partition, and returns the function that gives it back. Partitions are
// read one after the other, so that the first chunks are there early: together they would all be complete at the end.
func (r *Replicator) awaitArchiveRead(ctx context.Context, p weightclient.ProgressFunc) (release func(), err error) {
	for {
		select {
		case r.archiveReads <- struct{}{}:
			return func() { <-r.archiveReads }, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(archiveWaitInterval):
			// A read that waits for its turn has not stalled.
			if err := p(ctx, 0); err != nil {
				return nil, err
			}
		}
	}
}

// readExternalChunk reads a chunk that no host holds, from the store if the release is archived there, or else from the
// origin.
func (r *Replicator) readExternalChunk(ctx context.Context, k manifest.Chunk, p weightclient.ProgressFunc) ([]byte, error) {
	if data, ok := r.cache.Chunk(k.Digest); ok {
		return data, nil
	}
	s, number, ok := r.locate(k.Digest)
	if ok && r.isArchived(s) {
		data, err := r.readChunkFromArchive(ctx, s, number, p)
		if err == nil {
			return data, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		event.ArchiveReadFailed.Log(r.Logger.WithError(err).WithField("chunk", number), nil)
		r.setArchived(fleetconfig.ServedModel{})
	}
	return r.readChunkFromOrigin(ctx, k, p)
}

// readChunkFromArchive reads all archived chunks of the partition of a chunk, and caches those that match their
// digests.
func (r *Replicator) readChunkFromArchive(ctx context.Context, s fleetconfig.ServedModel, number int, p weightclient.ProgressFunc) ([]byte, error) {
	a, _, err := r.ResolveManifest(ctx, s)
	if err != nil {
		return nil, err
	}
	release, err := r.awaitArchiveRead(ctx, p)
	if err != nil {
		return nil, err
	}
	defer release()
	if data, ok := r.cache.Chunk(a.Chunks[number].Digest); ok {
		return data, nil
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	found, err := r.Archiver.LoadPartition(ctx, s, r.Archiver.Partition(number), func(n int) {
		if p(ctx, n) != nil {
			cancel()
		}
	})
	if err != nil {
		return nil, err
	}
	for i, data := range found {
		if i < 0 || i >= len(a.Chunks) {
			continue
		}
		if err := r.AddChunk(a.Chunks[i], data); err != nil {
			event.ArchiveReadFailed.Log(r.Logger.WithError(err).WithField("chunk", i), nil)
		}
	}
	data, ok := r.cache.Chunk(a.Chunks[number].Digest)
	if !ok {
		return nil, fmt.Errorf("read archived chunk %d of release %d of %s: missing or corrupt in the store", number, s.Release, s.Model)
	}
	return data, nil
}

// Archive writes the partitions of a release that this host owns to the store, until all are written, superseded
// returns true, or ctx ends. It retries failed writes. A release that was read from the store is not written again.
func (r *Replicator) Archive(ctx context.Context, s fleetconfig.ServedModel, owns func(partition int) bool, superseded func() bool) {
	if r.Archiver == nil || r.isArchived(s) {
		return
	}
	archivedCount := 0
	for p := 0; p < r.Archiver.Partitions && ctx.Err() == nil && !superseded(); {
		if !owns(p) {
			p++
			continue
		}
		if err := r.archivePartition(ctx, s, p); err != nil {
			event.ReleaseArchiveFailed.Log(r.Logger.WithError(err).WithField("partition", p), nil)
			select {
			case <-ctx.Done():
			case <-time.After(archiveRetryDelay):
			}
			continue
		}
		archivedCount++
		p++
	}
	event.ReleaseArchived.Log(r.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "partitions": archivedCount}), nil)
}

func (r *Replicator) archivePartition(ctx context.Context, s fleetconfig.ServedModel, partition int) error {
	// The manifest may have been replaced since the last attempt.
	a, _, err := r.ResolveManifest(ctx, s)
	if err != nil {
		return err
	}
	if missing := len(r.cache.Missing(a)); missing > 0 {
		return fmt.Errorf("archive release %d of %s: no content has matched %d of %d entries of the manifest", s.Release, s.Model, missing, len(a.Chunks))
	}
	ctx, cancel := context.WithTimeout(ctx, archiveWriteTimeout)
	defer cancel()
	return r.Archiver.SavePartition(ctx, s, a, partition, func(i int) ([]byte, bool) { return r.cache.Chunk(a.Chunks[i].Digest) })
}
