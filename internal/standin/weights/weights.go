// Package weights stands in for the platform's weight store and the origin in tests and in the dev command.
package weights

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

const sliceBytes = 64 << 10

// Source serves artifacts and chunks from memory, and counts the bytes. Set its fields before the first request.
type Source struct {
	// Rate bounds the bytes a second of all readers together; nil means no bound.
	Rate *rate.Limiter

	bytes     atomic.Int64
	down      atomic.Bool
	mu        sync.Mutex
	artifacts map[ident.Digest][]byte
	names     map[string]ident.Digest
	chunks    map[ident.Digest][]byte
	corrupt   map[ident.Digest]bool
}

// Add makes an artifact of random content with a fixed seed, and returns its digest.
func (s *Source) Add(name, version string, size, chunk ident.Bytes, seed uint64) (ident.Digest, error) {
	if chunk <= 0 || size <= 0 {
		return "", fmt.Errorf("artifact %s@%s: size and chunk size must be above zero", name, version)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.artifacts == nil {
		s.artifacts = make(map[ident.Digest][]byte)
		s.names = make(map[string]ident.Digest)
		s.chunks = make(map[ident.Digest][]byte)
		s.corrupt = make(map[ident.Digest]bool)
	}
	src := rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)})
	a := manifest.Artifact{Name: name, Version: version, Size: size}
	for left := size; left > 0; left -= chunk {
		data := make([]byte, min(chunk, left))
		_, _ = src.Read(data)
		d := manifest.DigestOf(data)
		s.chunks[d] = data
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: d, Size: ident.Bytes(len(data))})
	}
	data, err := a.Encode()
	if err != nil {
		return "", fmt.Errorf("artifact %s@%s: %w", name, version, err)
	}
	d := manifest.DigestOf(data)
	s.artifacts[d] = data
	s.names[name+"/"+version] = d
	return d, nil
}

// Bytes returns the number of chunk bytes sent.
func (s *Source) Bytes() ident.Bytes {
	return ident.Bytes(s.bytes.Load())
}

// SetDown starts or ends an outage.
func (s *Source) SetDown(down bool) {
	s.down.Store(down)
}

// Corrupt makes the source send a chunk with a wrong byte.
func (s *Source) Corrupt(d ident.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.corrupt[d] = true
}

// Handler returns the source's routes.
func (s *Source) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /names/{name}/{version}", s.name)
	mux.HandleFunc("GET /artifacts/{digest}", s.artifact)
	mux.HandleFunc("GET /chunks/{digest}", s.chunk)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.down.Load() {
			http.Error(w, "weight source is down", http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Source) name(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	d, ok := s.names[r.PathValue("name")+"/"+r.PathValue("version")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, string(d))
}

func (s *Source) artifact(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	data, ok := s.artifacts[ident.Digest(r.PathValue("digest"))]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(data)
}

func (s *Source) chunk(w http.ResponseWriter, r *http.Request) {
	d := ident.Digest(r.PathValue("digest"))
	s.mu.Lock()
	data, ok := s.chunks[d]
	bad := s.corrupt[d]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	if bad {
		data = append([]byte{^data[0]}, data[1:]...)
	}
	s.send(r.Context(), w, data)
}

func (s *Source) send(ctx context.Context, w io.Writer, data []byte) {
	for len(data) > 0 {
		n := min(len(data), sliceBytes)
		if s.Rate != nil && s.Rate.WaitN(ctx, n) != nil {
			return
		}
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.bytes.Add(int64(n))
		data = data[n:]
	}
}
