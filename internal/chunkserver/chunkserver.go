// Package chunkserver gives the manifests and chunks that a host holds to other hosts and to its own engine.
package chunkserver

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/nutmegdock/nutmegdock/internal/core/holder"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Server serves from one holder. Set its fields before the first request.
type Server struct {
	// Holder is where the content is.
	Holder *holder.Holder

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
	a, ok := s.Holder.Artifact(ident.Digest(r.PathValue("digest")))
	if !ok {
		http.NotFound(w, r)
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
	data, ok := s.Holder.Chunk(ident.Digest(r.PathValue("digest")))
	if !ok {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	n, _ := w.Write(data)
	s.sent.Add(int64(n))
}
