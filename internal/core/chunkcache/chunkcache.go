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
func (h *Cache) PutChunk(d ident.Digest, data []byte) error {
	if manifest.Sum(data) != d {
		return &CorruptError{Digest: d}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if _, ok := h.chunks[d]; ok {
		return nil
	}
	n := ident.Bytes(len(data))
	if h.isOver(n) {
		h.evict(n)
	}
	if h.isOver(n) {
		return &FullError{Limit: h.Limit, Need: h.size + n}
	}
	h.chunks[d] = data
	h.size += n
	h.arrivals = append(h.arrivals, d)
	return nil
}

func (h *Cache) isOver(n ident.Bytes) bool {
	return h.Limit > 0 && h.size+n > h.Limit
}

// evict drops chunks that are not wanted, the oldest first, until n more bytes fit.
func (h *Cache) evict(n ident.Bytes) {
	for _, d := range h.arrivals {
		if !h.isOver(n) {
			break
		}
		if !h.wanted[d] {
			h.size -= ident.Bytes(len(h.chunks[d]))
			delete(h.chunks, d)
		}
	}
	h.renew()
}

// renew starts a new epoch, so that the next delta of every reader is a full one.
func (h *Cache) renew() {
	h.epoch++
	h.arrivals = slices.DeleteFunc(h.arrivals, func(d ident.Digest) bool {
		_, ok := h.chunks[d]
		return !ok
	})
}

// Want names the manifests whose chunks are kept when the limit is reached. It returns a FullError if they cannot fit
// together.
func (h *Cache) Want(artifacts []ident.Digest) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	wanted := make(map[ident.Digest]bool)
	var need ident.Bytes
	for _, d := range artifacts {
		for _, c := range h.artifacts[d].artifact.Chunks {
			if !wanted[c.Digest] {
				wanted[c.Digest] = true
				need += c.Size
			}
		}
	}
	if h.Limit > 0 && need > h.Limit {
		return &FullError{Limit: h.Limit, Need: need}
	}
	h.wanted = wanted
	return nil
}

// Chunk returns a held chunk.
func (h *Cache) Chunk(d ident.Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, ok := h.chunks[d]
	return data, ok
}

// PutArtifact stores a manifest.
func (h *Cache) PutArtifact(d ident.Digest, a manifest.Artifact) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	if _, ok := h.artifacts[d]; ok {
		return
	}
	e := entry{artifact: a, index: make(map[ident.Digest][]int, len(a.Chunks))}
	for i, c := range a.Chunks {
		e.index[c.Digest] = append(e.index[c.Digest], i)
	}
	h.artifacts[d] = e
	h.renew()
}

// Artifact returns a held manifest.
func (h *Cache) Artifact(d ident.Digest) (manifest.Artifact, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.artifacts[d]
	return e.artifact, ok
}

// Missing returns the chunks of an artifact that are not held.
func (h *Cache) Missing(a manifest.Artifact) []manifest.Chunk {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []manifest.Chunk
	for _, c := range a.Chunks {
		if _, ok := h.chunks[c.Digest]; !ok {
			out = append(out, c)
		}
	}
	return out
}

// Retain drops all manifests but those named, and all chunks that they do not list.
func (h *Cache) Retain(keep []ident.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	wanted := make(map[ident.Digest]bool)
	artifacts := make(map[ident.Digest]entry)
	for _, d := range keep {
		e, ok := h.artifacts[d]
		if !ok {
			continue
		}
		artifacts[d] = e
		for _, c := range e.artifact.Chunks {
			wanted[c.Digest] = true
		}
	}
	h.artifacts = artifacts
	dropped := false
	for d, data := range h.chunks {
		if !wanted[d] {
			delete(h.chunks, d)
			h.size -= ident.Bytes(len(data))
			dropped = true
		}
	}
	if dropped {
		h.renew()
	}
}

// Size returns the bytes of the chunks held.
func (h *Cache) Size() ident.Bytes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size
}

func (h *Cache) init() {
	if h.chunks == nil {
		h.chunks = make(map[ident.Digest][]byte)
		h.artifacts = make(map[ident.Digest]entry)
		h.epoch = h.Epoch
	}
}
