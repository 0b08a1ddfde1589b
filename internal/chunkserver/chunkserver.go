// Package chunkserver serves the manifests and chunks that a host holds to other hosts and to the host's engine.
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

// writeTimeout is the time without progress after which a response is aborted and its upload slot released.
const writeTimeout = 10 * time.Second

// Server serves the content of one cache. A request whose header names the sender's zone comes from another host: it
// needs an upload slot, and its rate is limited during live traffic. Requests of the host's engine name no zone and are
// not limited. Set its fields before the first request.
type Server struct {
	// Cache holds the content.
	Cache *chunkcache.Cache
	// Zone is the zone of the local host.
	Zone ident.Zone
	// UploadLimiter limits the concurrent uploads to other hosts. Nil limits neither their number nor their rate.
	UploadLimiter *uploadlimiter.Limiter
	// Pacer limits the rate of uploads to other hosts during live traffic; nil means no limit.
	Pacer *pacer.Pacer

	sentBytes atomic.Int64
}

// SentBytes returns the number of bytes of chunks that were sent.
func (s *Server) SentBytes() ident.Bytes {
	return ident.Bytes(s.sentBytes.Load())
}

// Register adds the server's routes.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /artifacts/{digest}", s.serveManifest)
	mux.HandleFunc("GET /chunks/{digest}", s.serveChunk)
}

func (s *Server) serveManifest(w http.ResponseWriter, r *http.Request) {
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

func (s *Server) serveChunk(w http.ResponseWriter, r *http.Request) {
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
		s.writeChunk(w, r, data, nil)
		return
	}
	release, err := s.UploadLimiter.Acquire(zone == s.Zone)
	if err != nil {
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	defer release()
	s.writeChunk(w, r, data, s.Pacer)
}

// writeChunk sends a chunk at the rate that limit allows. It renews the write deadline at each step, so that only a
// reader that stops receiving runs into the timeout.
func (s *Server) writeChunk(w http.ResponseWriter, r *http.Request, data []byte, limit *pacer.Pacer) {
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	controller := http.NewResponseController(w)
	defer func() { _ = controller.SetWriteDeadline(time.Time{}) }()
	for len(data) > 0 {
		n := min(len(data), pacer.MaxTransferBytes)
		if limit.Wait(r.Context(), n) != nil {
			return
		}
		_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := w.Write(data[:n]); err != nil {
			return
		}
		s.sentBytes.Add(int64(n))
		data = data[n:]
	}
}
