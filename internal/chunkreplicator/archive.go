package chunkreplicator

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	// archiveReadTimeout bounds one read of kept chunks: a quarter of a megabyte, of which all partitions share a link between
	// regions of some 20 Mbit/s.
	archiveReadTimeout = 1500 * time.Millisecond
	// saveTime bounds the writes of one partition, and saveRetry is the pause after one that failed.
	saveTime  = 3 * time.Second
	saveRetry = time.Second
)

var errNotKept = errors.New("store is not asked")

// askArchiver asks the store for a manifest. Only a host that holds no release yet does so: later releases come from the
// origin first.
func (r *Replicator) askArchiver(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	r.mu.Lock()
	isFirst := len(r.order) == 0
	r.mu.Unlock()
	if r.Archiver == nil || !isFirst {
		return manifest.Artifact{}, errNotKept
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	a, err := r.Archiver.Manifest(ctx, s)
	if err != nil {
		event.KeptNotRead.Log(r.Logger.WithError(err), nil)
		return a, err
	}
	r.setArchived(s)
	return a, nil
}

func (r *Replicator) setArchived(s directory.Serving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.archived = s
}

func (r *Replicator) isArchived(s directory.Serving) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.archived == s
}

// fromOutside reads a chunk that no host holds, from the store if it keeps the release, or else from the origin.
func (r *Replicator) fromOutside(ctx context.Context, k manifest.Chunk, p weightclient.Progress) ([]byte, error) {
	if data, ok := r.cache.Chunk(k.Digest); ok {
		return data, nil
	}
	s, number, ok := r.place(k.Digest)
	if ok && r.isArchived(s) {
		data, err := r.fromArchiver(ctx, s, number, p)
		if err == nil {
			return data, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		event.KeptNotRead.Log(r.Logger.WithError(err).WithField("chunk", number), nil)
		r.setArchived(directory.Serving{})
	}
	return r.fromOrigin(ctx, k, p)
}

// fromArchiver reads all chunks of a partition, and holds those that match their digests.
func (r *Replicator) fromArchiver(ctx context.Context, s directory.Serving, number int, p weightclient.Progress) ([]byte, error) {
	a, _, err := r.Artifact(ctx, s)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, archiveReadTimeout)
	defer cancel()
	found, err := r.Archiver.Chunks(ctx, s, r.Archiver.Partition(number), func(n int) {
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
		if err := r.cache.PutChunk(a.Chunks[i].Digest, data); err != nil {
			event.KeptNotRead.Log(r.Logger.WithError(err).WithField("chunk", i), nil)
		}
	}
	data, ok := r.cache.Chunk(a.Chunks[number].Digest)
	if !ok {
		return nil, errors.New("chunk is missing or spoilt in the store")
	}
	return data, nil
}

// Archive writes the partitions of a release that this host owns to the store, until all are written, superseded returns
// true, or ctx ends. A release that was read from the store is not written again.
func (r *Replicator) Archive(ctx context.Context, s directory.Serving, owns func(partition int) bool, superseded func() bool) {
	if r.Archiver == nil || r.isArchived(s) {
		return
	}
	a, _, err := r.Artifact(ctx, s)
	if err != nil {
		event.NotKept.Log(r.Logger.WithError(err), nil)
		return
	}
	saved := 0
	for p := 0; p < r.Archiver.Partitions && ctx.Err() == nil && !superseded(); {
		if !owns(p) {
			p++
			continue
		}
		if err := r.save(ctx, s, a, p); err != nil {
			event.NotKept.Log(r.Logger.WithError(err).WithField("partition", p), nil)
			select {
			case <-ctx.Done():
			case <-time.After(saveRetry):
			}
			continue
		}
		saved++
		p++
	}
	event.Kept.Log(r.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "partitions": saved}), nil)
}

func (r *Replicator) save(ctx context.Context, s directory.Serving, a manifest.Artifact, partition int) error {
	ctx, cancel := context.WithTimeout(ctx, saveTime)
	defer cancel()
	return r.Archiver.Save(ctx, s, a, partition, func(i int) ([]byte, bool) { return r.cache.Chunk(a.Chunks[i].Digest) })
}
