// Package holder keeps the verified chunks and manifests that a host holds in memory.
package holder

import (
	"fmt"
	"sync"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

// Holder stores content by digest and never accepts content that does not match. Set its fields before use.
type Holder struct {
	// Limit bounds the bytes of chunks; zero means no bound.
	Limit ident.Bytes

	mu        sync.Mutex
	chunks    map[ident.Digest][]byte
	artifacts map[ident.Digest]manifest.Artifact
	size      ident.Bytes
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
}

// Error names the limit.
func (e *FullError) Error() string {
	return fmt.Sprintf("held chunks would exceed %d bytes; raise the limit or use a smaller model", e.Limit)
}

// PutChunk stores a chunk after it has verified the content.
func (h *Holder) PutChunk(d ident.Digest, data []byte) error {
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
	if h.Limit > 0 && h.size+n > h.Limit {
		return &FullError{Limit: h.Limit}
	}
	h.chunks[d] = data
	h.size += n
	return nil
}

// Chunk returns a held chunk.
func (h *Holder) Chunk(d ident.Digest) ([]byte, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	data, ok := h.chunks[d]
	return data, ok
}

// PutArtifact stores a manifest.
func (h *Holder) PutArtifact(d ident.Digest, a manifest.Artifact) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.artifacts[d] = a
}

// Artifact returns a held manifest.
func (h *Holder) Artifact(d ident.Digest) (manifest.Artifact, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, ok := h.artifacts[d]
	return a, ok
}

// Missing returns the chunks of an artifact that are not held.
func (h *Holder) Missing(a manifest.Artifact) []manifest.Chunk {
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
func (h *Holder) Retain(keep []ident.Digest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wanted := make(map[ident.Digest]bool)
	artifacts := make(map[ident.Digest]manifest.Artifact)
	for _, d := range keep {
		a, ok := h.artifacts[d]
		if !ok {
			continue
		}
		artifacts[d] = a
		for _, c := range a.Chunks {
			wanted[c.Digest] = true
		}
	}
	h.artifacts = artifacts
	for d, data := range h.chunks {
		if !wanted[d] {
			delete(h.chunks, d)
			h.size -= ident.Bytes(len(data))
		}
	}
}

// Size returns the bytes of the chunks held.
func (h *Holder) Size() ident.Bytes {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.size
}

func (h *Holder) init() {
	if h.chunks == nil {
		h.chunks = make(map[ident.Digest][]byte)
		h.artifacts = make(map[ident.Digest]manifest.Artifact)
	}
}
