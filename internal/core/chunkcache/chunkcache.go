// Package chunkcache keeps the verified chunks and manifests that a host holds in memory.
package chunkcache

import (
	"fmt"
	"slices"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// Cache stores content by digest and never accepts content that does not match. Set its fields before use.
type Cache struct {
	// Limit bounds the bytes of chunks; zero means no bound.
	Limit ident.Bytes
	// Epoch starts the numbering of the host's deltas. It must be higher after each restart of the host.
	Epoch int64

	mu        sync.Mutex
	chunks    map[ident.Digest][]byte
	artifacts map[ident.Digest]entry
	wanted    map[ident.Digest]bool
	size      ident.Bytes
	epoch     int64
	arrivals  []ident.Digest
}

type entry struct {
	artifact manifest.Artifact
	index    map[ident.Digest][]int
}

// CorruptError reports content that does not match its digest.
type CorruptError struct {
	Digest ident.Digest
}

// Error names the digest.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("chunk %.12s does not match its digest; fetch it from another source", e.Digest)
}

// FullError reports that the limit of held bytes is reached.
type FullError struct {
	Limit ident.Bytes
	Need  ident.Bytes
}

// Error names the limit and the bytes that it would take.
func (e *FullError) Error() string {
	return fmt.Sprintf("held chunks would take %d bytes of %d; raise the limit or use a smaller model", e.Need, e.Limit)
}

// PutChunk stores a chunk after it has verified the content. If the limit is reached, it drops chunks that Want did
// not name; if that does not suffice, it returns a FullError.
func (c *Cache) PutChunk(d ident.Digest, data []byte) error {
	if manifest.Sum(data) != d {
		return &CorruptError{Digest: d}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if _, ok := c.chunks[d]; ok {
		return nil
	}
	n := ident.Bytes(len(data))
	if c.isOver(n) {
		c.evict(n)
	}
	if c.isOver(n) {
		return &FullError{Limit: c.Limit, Need: c.size + n}
	}
	c.chunks[d] = data
	c.size += n
	c.arrivals = append(c.arrivals, d)
	return nil
}

func (c *Cache) isOver(n ident.Bytes) bool {
	return c.Limit > 0 && c.size+n > c.Limit
}

// evict drops chunks that are not wanted, the oldest first, until n more bytes fit.
func (c *Cache) evict(n ident.Bytes) {
	for _, d := range c.arrivals {
		if !c.isOver(n) {
			break
		}
		if !c.wanted[d] {
			c.size -= ident.Bytes(len(c.chunks[d]))
			delete(c.chunks, d)
		}
	}
	c.renew()
}

// renew starts a new epoch, so that the next delta of every reader is a full one.
func (c *Cache) renew() {
	c.epoch++
	c.arrivals = slices.DeleteFunc(c.arrivals, func(d ident.Digest) bool {
		_, ok := c.chunks[d]
		return !ok
	})
}

// Want names the manifests whose chunks are kept when the limit is reached. It returns a FullError if they cannot fit
// together.
func (c *Cache) Want(artifacts []ident.Digest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	wanted := make(map[ident.Digest]bool)
	var need ident.Bytes
	for _, d := range artifacts {
		for _, chunk := range c.artifacts[d].artifact.Chunks {
			if !wanted[chunk.Digest] {
				wanted[chunk.Digest] = true
				need += chunk.Size
			}
		}
	}
	if c.Limit > 0 && need > c.Limit {
		return &FullError{Limit: c.Limit, Need: need}
	}
	c.wanted = wanted
	return nil
}

// Chunk returns a held chunk.
func (c *Cache) Chunk(d ident.Digest) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	data, ok := c.chunks[d]
	return data, ok
}

// PutArtifact stores a manifest.
func (c *Cache) PutArtifact(d ident.Digest, a manifest.Artifact) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	if _, ok := c.artifacts[d]; ok {
		return
	}
	e := entry{artifact: a, index: make(map[ident.Digest][]int, len(a.Chunks))}
	for i, chunk := range a.Chunks {
		e.index[chunk.Digest] = append(e.index[chunk.Digest], i)
	}
	c.artifacts[d] = e
	c.renew()
}

// Artifact returns a held manifest.
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

// Retain drops all manifests but those named, and all chunks that they do not list.
func (c *Cache) Retain(keep []ident.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.init()
	wanted := make(map[ident.Digest]bool)
	artifacts := make(map[ident.Digest]entry)
	for _, d := range keep {
		e, ok := c.artifacts[d]
		if !ok {
			continue
		}
		artifacts[d] = e
		for _, chunk := range e.artifact.Chunks {
			wanted[chunk.Digest] = true
		}
	}
	c.artifacts = artifacts
	dropped := false
	for d, data := range c.chunks {
		if !wanted[d] {
			delete(c.chunks, d)
			c.size -= ident.Bytes(len(data))
			dropped = true
		}
	}
	if dropped {
		c.renew()
	}
}

// Size returns the bytes of the chunks held.
func (c *Cache) Size() ident.Bytes {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.size
}

func (c *Cache) init() {
	if c.chunks == nil {
		c.chunks = make(map[ident.Digest][]byte)
		c.artifacts = make(map[ident.Digest]entry)
		c.epoch = c.Epoch
	}
}
