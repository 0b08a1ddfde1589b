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
	// keptTime bounds one read of kept chunks: a quarter of a megabyte, of which all partitions share a link between
	// regions of some 20 Mbit/s.
	keptTime = 1500 * time.Millisecond
	// saveTime bounds the writes of one partition, and saveRetry is the pause after one that failed.
	saveTime  = 3 * time.Second
	saveRetry = time.Second
)

var errNotKept = errors.New("store is not asked")

// askArchiver asks the store for a manifest. Only a host that holds no release yet does so: later releases come from the
// origin first.
func (c *Replicator) askArchiver(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	c.mu.Lock()
	isFirst := len(c.order) == 0
	c.mu.Unlock()
	if c.Archiver == nil || !isFirst {
		return manifest.Artifact{}, errNotKept
	}
	ctx, cancel := context.WithTimeout(ctx, keptTime)
	defer cancel()
	a, err := c.Archiver.Manifest(ctx, s)
	if err != nil {
		event.KeptNotRead.Log(c.Logger.WithError(err), nil)
		return a, err
	}
	c.setKept(s)
	return a, nil
}

func (c *Replicator) setKept(s directory.Serving) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept = s
}

func (c *Replicator) isKept(s directory.Serving) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.kept == s
}

// fromOutside reads a chunk that no host holds, from the store if it keeps the release, or else from the origin.
func (c *Replicator) fromOutside(ctx context.Context, k manifest.Chunk, p weightclient.Progress) ([]byte, error) {
	if data, ok := c.cache.Chunk(k.Digest); ok {
		return data, nil
	}
	s, number, ok := c.place(k.Digest)
	if ok && c.isKept(s) {
		data, err := c.fromArchiver(ctx, s, number, p)
		if err == nil {
			return data, nil
		}
		if ctx.Err() != nil {
			return nil, err
		}
		event.KeptNotRead.Log(c.Logger.WithError(err).WithField("chunk", number), nil)
		c.setKept(directory.Serving{})
	}
	return c.fromOrigin(ctx, k, p)
}

// fromArchiver reads all chunks of a partition, and holds those that match their digests.
func (c *Replicator) fromArchiver(ctx context.Context, s directory.Serving, number int, p weightclient.Progress) ([]byte, error) {
	a, _, err := c.Artifact(ctx, s)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, keptTime)
	defer cancel()
	found, err := c.Archiver.Chunks(ctx, s, c.Archiver.Partition(number), func(n int) {
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
		if err := c.cache.PutChunk(a.Chunks[i].Digest, data); err != nil {
			event.KeptNotRead.Log(c.Logger.WithError(err).WithField("chunk", i), nil)
		}
	}
	data, ok := c.cache.Chunk(a.Chunks[number].Digest)
	if !ok {
		return nil, errors.New("chunk is missing or spoilt in the store")
	}
	return data, nil
}

// Keep writes the partitions of a release that this host owns to the store, until all are written, superseded returns
// true, or ctx ends. A release that was read from the store is not written again.
func (c *Replicator) Keep(ctx context.Context, s directory.Serving, owns func(partition int) bool, superseded func() bool) {
	if c.Archiver == nil || c.isKept(s) {
		return
	}
	a, _, err := c.Artifact(ctx, s)
	if err != nil {
		event.NotKept.Log(c.Logger.WithError(err), nil)
		return
	}
	saved := 0
	for p := 0; p < c.Archiver.Partitions && ctx.Err() == nil && !superseded(); {
		if !owns(p) {
			p++
			continue
		}
		if err := c.save(ctx, s, a, p); err != nil {
			event.NotKept.Log(c.Logger.WithError(err).WithField("partition", p), nil)
			select {
			case <-ctx.Done():
			case <-time.After(saveRetry):
			}
			continue
		}
		saved++
		p++
	}
	event.Kept.Log(c.Logger.WithFields(log.Fields{"model": string(s.Model), "release": int64(s.Release), "partitions": saved}), nil)
}

func (c *Replicator) save(ctx context.Context, s directory.Serving, a manifest.Artifact, partition int) error {
	ctx, cancel := context.WithTimeout(ctx, saveTime)
	defer cancel()
	return c.Archiver.Save(ctx, s, a, partition, func(i int) ([]byte, bool) { return c.cache.Chunk(a.Chunks[i].Digest) })
}
