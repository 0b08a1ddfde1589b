// Package chunkserver gives the manifests and chunks that a host holds to other hosts and to its own engine.
package chunkserver

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/uploadlimiter"
	"github.com/nutmegdock/nutmegdock/internal/headers"
	"github.com/nutmegdock/nutmegdock/internal/pacer"
)

// stallTime is how long a reader may take no bytes before its upload slot is given back.
const stallTime = 10 * time.Second

// Server serves from one cache. A request that names the zone of its sender comes from another host: it takes an
// upload slot and yields to live traffic. The host's own engine names none. Set its fields before the first request.
type Server struct {
	// Cache is where the content is.
	Cache *chunkcache.Cache
	// Zone is the host's own zone.
	Zone ident.Zone
	// UploadLimiter grants the slots; nil means no bound.
	UploadLimiter *uploadlimiter.Limiter
	// Pacer yields to live traffic; nil means no bound.
	Pacer *pacer.Pacer

	sent atomic.Int64
}

// Sent returns the number of chunk bytes given.
func (s *Server) Sent() ident.Bytes {
	return ident.Bytes(s.sent.Load())
}

// Register adds the server's routes.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /artifacts/{digest}", s.artifact)
	mux.HandleFunc("GET /chunks/{digest}", s.chunk)
}

func (s *Server) artifact(w http.ResponseWriter, r *http.Request) {
	d := r.PathValue("digest")
	if !ident.Digest(d).IsValid() {
		http.Error(w, "name the manifest by its SHA-256 digest", http.StatusBadRequest)
		return
	}
	a, ok := s.Cache.Artifact(ident.Digest(d))
	if !ok {
		http.Error(w, "manifest is not held here; ask another host", http.StatusNotFound)
		return
	}
	data, err := a.Encode()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}

func (s *Server) chunk(w http.ResponseWriter, r *http.Request) {
	d := r.PathValue("digest")
	if !ident.Digest(d).IsValid() {
		http.Error(w, "name the chunk by its SHA-256 digest", http.StatusBadRequest)
		return
	}
	data, ok := s.Cache.Chunk(ident.Digest(d))
	if !ok {
		http.Error(w, "chunk is not held here; ask another host", http.StatusNotFound)
		return
	}
	zone := ident.Zone(r.Header.Get(headers.Zone))
	if zone == "" || s.UploadLimiter == nil {
		s.send(w, r, data, nil)
		return
	}
	release, err := s.UploadLimiter.Start(zone == s.Zone)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer release()
	s.send(w, r, data, s.Pacer)
}

func (s *Server) send(w http.ResponseWriter, r *http.Request, data []byte, pace *pacer.Pacer) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	ctl := http.NewResponseController(w)
	defer func() { _ = ctl.SetWriteDeadline(time.Time{}) }()
	for len(data) > 0 {
		n := min(len(data), pacer.Piece)
		if pace.Wait(r.Context(), n) != nil {
			return
		}
		_ = ctl.SetWriteDeadline(time.Now().Add(stallTime))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.sent.Add(int64(n))
		data = data[n:]
	}
}
