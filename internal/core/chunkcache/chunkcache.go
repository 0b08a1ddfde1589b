// Package chunkcache stores the verified chunks and manifests that a host holds in memory.
package chunkcache

import (
	"fmt"
	"slices"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// Cache stores chunks by their digests and rejects content that does not match. Set its fields before use.
type Cache struct {
	// Limit is the maximum total size of the chunks; zero means no limit.
	Limit ident.Bytes
	// Epoch is the first epoch of the host's deltas. It must be higher after each restart of the host.
	Epoch int64

	mu        sync.Mutex
	chunks    map[ident.Digest][]byte
	artifacts map[ident.Digest]cachedArtifact
	// pinned holds the chunks that must not be evicted.
	pinned       map[ident.Digest]bool
	size         ident.Bytes
	currentEpoch int64
	// arrivals lists the chunks in the order in which they were stored in the current epoch.
	arrivals []ident.Digest
}

type cachedArtifact struct {
	artifact manifest.Artifact
	// indexes maps a chunk's digest to the chunk's positions in the artifact.
	indexes map[ident.Digest][]int
}

// CorruptError reports content that does not match its digest.
type CorruptError struct {
	Digest ident.Digest
}

// Error implements the error interface.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("chunk %.12s does not match its digest; fetch it from another source", e.Digest)
}

// FullError reports that the chunks do not fit into the cache.
type FullError struct {
	Limit ident.Bytes
	// NeededBytes is the size that the chunks would have together.
	NeededBytes ident.Bytes
}

// Error implements the error interface.
func (e *FullError) Error() string {
	return fmt.Sprintf("chunk cache is full: need %d bytes, limit is %d; raise the limit or use a smaller model", e.NeededBytes, e.Limit)
}

// PutChunk verifies and stores a chunk. If the limit is reached, it evicts chunks that are not pinned; if that does not
// free enough space, it returns a FullError.
func (c *Cache) PutChunk(chunk manifest.Chunk, data []byte) error {
	d := chunk.Digest
	if !chunk.Matches(data) {
		return &CorruptError{Digest: d}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if _, ok := c.chunks[d]; ok {
		return nil
	}
	n := ident.Bytes(len(data))
	if c.exceedsLimit(n) {
		c.evict(n)
	}
	if c.exceedsLimit(n) {
		return &FullError{Limit: c.Limit, NeededBytes: c.size + n}
	}
	c.chunks[d] = data
	c.size += n
	c.arrivals = append(c.arrivals, d)
	return nil
}

// exceedsLimit reports whether n more bytes would exceed the limit.
func (c *Cache) exceedsLimit(n ident.Bytes) bool {
	return c.Limit > 0 && c.size+n > c.Limit
}

// evict removes chunks that are not pinned, the oldest first, until n more bytes fit.
func (c *Cache) evict(n ident.Bytes) {
	for _, d := range c.arrivals {
		if !c.exceedsLimit(n) {
			break
		}
		if !c.pinned[d] {
			c.size -= ident.Bytes(len(c.chunks[d]))
			delete(c.chunks, d)
		}
	}
	c.startEpoch()
}

// startEpoch starts a new epoch, so that the next delta of every reader lists all chunks.
func (c *Cache) startEpoch() {
	c.currentEpoch++
	c.arrivals = slices.DeleteFunc(c.arrivals, func(d ident.Digest) bool {
		_, ok := c.chunks[d]
		return !ok
	})
}

// Pin replaces the manifests whose chunks are pinned: they are not evicted when the limit is reached. It returns a
// FullError if these chunks exceed the limit.
func (c *Cache) Pin(artifacts []ident.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	pinned := make(map[ident.Digest]bool)
	var need ident.Bytes
	for _, d := range artifacts {
		for _, chunk := range c.artifacts[d].artifact.Chunks {
			if !pinned[chunk.Digest] {
				pinned[chunk.Digest] = true
				need += chunk.Size
			}
		}
	}
	if c.Limit > 0 && need > c.Limit {
		return &FullError{Limit: c.Limit, NeededBytes: need}
	}
	c.pinned = pinned
	return nil
}

// Chunk returns the content of a chunk; false if it is not held.
func (c *Cache) Chunk(d ident.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.chunks[d]
	return data, ok
}

// PutArtifact stores a manifest. The caller must have verified that it matches the digest.
func (c *Cache) PutArtifact(d ident.Digest, a manifest.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if _, ok := c.artifacts[d]; ok {
		return
	}
	e := cachedArtifact{artifact: a, indexes: make(map[ident.Digest][]int, len(a.Chunks))}
	for i, chunk := range a.Chunks {
		e.indexes[chunk.Digest] = append(e.indexes[chunk.Digest], i)
	}
	c.artifacts[d] = e
	c.startEpoch()
}

// Artifact returns a manifest; false if it is not held.
func (c *Cache) Artifact(d ident.Digest) (manifest.Artifact, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.artifacts[d]
	return e.artifact, ok
}

// Missing returns the chunks of an artifact that are not held.
func (c *Cache) Missing(a manifest.Artifact) []manifest.Chunk {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []manifest.Chunk
	for _, chunk := range a.Chunks {
		if _, ok := c.chunks[chunk.Digest]; !ok {
			out = append(out, chunk)
		}
	}
	return out
}

// Retain removes all manifests except those in keep, and all chunks that the remaining manifests do not list.
func (c *Cache) Retain(keep []ident.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	listed := make(map[ident.Digest]bool)
	artifacts := make(map[ident.Digest]cachedArtifact)
	for _, d := range keep {
		e, ok := c.artifacts[d]
		if !ok {
			continue
		}
		artifacts[d] = e
		for _, chunk := range e.artifact.Chunks {
			listed[chunk.Digest] = true
		}
	}
	c.artifacts = artifacts
	removed := false
	for d, data := range c.chunks {
		if !listed[d] {
			delete(c.chunks, d)
			c.size -= ident.Bytes(len(data))
			removed = true
		}
	}
	if removed {
		c.startEpoch()
	}
}

// Size returns the total size of the chunks held.
func (c *Cache) Size() ident.Bytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

func (c *Cache) init() {
	if c.chunks == nil {
		c.chunks = make(map[ident.Digest][]byte)
		c.artifacts = make(map[ident.Digest]cachedArtifact)
		c.currentEpoch = c.Epoch
	}
}
