// Package weightsource is a stand-in for the platform's weight store and for the origin, for tests and the dev command.
package weightsource

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
)

const maxWriteBytes = 64 << 10

// Source serves manifests and chunks from memory and counts the chunk bytes it sends. Set its fields before the first
// request.
type Source struct {
	// Limiter limits the total bytes per second of all readers; nil means unlimited.
	Limiter *rate.Limiter

	sentBytes atomic.Int64
	down      atomic.Bool
	mu        sync.Mutex
	manifests map[ident.Digest][]byte
	// digests holds the digest of each manifest, by artifact name and version.
	digests map[string]ident.Digest
	chunks  map[ident.Digest][]byte
	// corrupt is the set of chunks that are corrupted in responses.
	corrupt map[ident.Digest]bool
}

// AddArtifact generates an artifact whose content is random but depends only on seed. It returns the digest of its
// manifest.
func (s *Source) AddArtifact(name, version string, size, chunkSize ident.Bytes, seed uint64) (ident.Digest, error) {
	if chunkSize <= 0 || size <= 0 {
		return "", fmt.Errorf("artifact %s@%s: size and chunk size must be above zero", name, version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.manifests == nil {
		s.manifests = make(map[ident.Digest][]byte)
		s.digests = make(map[string]ident.Digest)
		s.chunks = make(map[ident.Digest][]byte)
		s.corrupt = make(map[ident.Digest]bool)
	}
	random := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)})
	a := manifest.Artifact{Name: name, Version: version, Size: size}
	for remaining := size; remaining > 0; remaining -= chunkSize {
		data := make([]byte, min(chunkSize, remaining))
		_, _ = random.Read(data)
		d := manifest.DigestOf(data)
		s.chunks[d] = data
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: d, Size: ident.Bytes(len(data))})
	}
	data, err := a.Encode()
	if err != nil {
		return "", fmt.Errorf("artifact %s@%s: %w", name, version, err)
	}
	d := manifest.DigestOf(data)
	s.manifests[d] = data
	s.digests[name+"/"+version] = d
	return d, nil
}

// SentBytes returns the number of chunk bytes sent.
func (s *Source) SentBytes() ident.Bytes {
	return ident.Bytes(s.sentBytes.Load())
}

// SetDown starts or ends an outage, during which all requests fail.
func (s *Source) SetDown(down bool) {
	s.down.Store(down)
}

// CorruptChunk makes the source invert the first byte of the given chunk in responses.
func (s *Source) CorruptChunk(d ident.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt[d] = true
}

// Handler returns the source's routes.
func (s *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /names/{name}/{version}", s.serveName)
	mux.HandleFunc("GET /artifacts/{digest}", s.serveManifest)
	mux.HandleFunc("GET /chunks/{digest}", s.serveChunk)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			http.Error(w, "weight source is down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Source) serveName(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	d, ok := s.digests[r.PathValue("name")+"/"+r.PathValue("version")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, string(d))
}

func (s *Source) serveManifest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.manifests[ident.Digest(r.PathValue("digest"))]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (s *Source) serveChunk(w http.ResponseWriter, r *http.Request) {
	d := ident.Digest(r.PathValue("digest"))
	s.mu.Lock()
	data, ok := s.chunks[d]
	corrupt := s.corrupt[d]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	if corrupt {
		data = append([]byte{^data[0]}, data[1:]...)
	}
	s.writeChunk(r.Context(), w, data)
}

func (s *Source) writeChunk(ctx context.Context, w io.Writer, data []byte) {
	for len(data) > 0 {
		n := min(len(data), maxWriteBytes)
		if s.Limiter != nil && s.Limiter.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.sentBytes.Add(int64(n))
		data = data[n:]
	}
}
