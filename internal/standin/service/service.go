// Package service is a stand-in for a plain booking service, for tests and the dev command.
package service

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const maxBodyBytes = 1 << 20

// Booking is a request for one booking.
type Booking struct {
	Ref string `json:"ref"`
}

// Receipt is the response to a booking or to a lookup of a reference. Number is the number of executions so far: of all
// bookings in the response to a booking, and of the reference in the response to a lookup.
type Receipt struct {
	Ref    string `json:"ref"`
	Number int    `json:"number"`
}

// Executions counts executions by booking reference.
type Executions struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

// Service executes every booking without deduplication, so that tests can detect repeated execution. Set its fields
// before the first request.
type Service struct {
	// Executions is shared by all services of a pool.
	Executions *Executions
	// Delay is the processing time of a booking.
	Delay time.Duration
}

// Counts returns the number of executions by booking reference.
func (e *Executions) Counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int, len(e.counts))
	for k, n := range e.counts {
		out[k] = n
	}
	return out
}

// record counts an execution and returns the total number of executions.
func (e *Executions) record(ref string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts == nil {
		e.counts = make(map[string]int)
	}
	e.counts[ref]++
	e.total++
	return e.total
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.serveBooking)
	mux.HandleFunc("GET /bookings/{ref}", s.serveLookup)
	return mux
}

func (s *Service) serveBooking(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil || b.Ref == "" {
		http.Error(w, "body must name a ref", http.StatusBadRequest)
		return
	}
	total := s.Executions.record(b.Ref)
	time.Sleep(s.Delay)
	writeJSON(w, http.StatusCreated, Receipt{Ref: b.Ref, Number: total})
}

func (s *Service) serveLookup(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	count := s.Executions.Counts()[ref]
	if count == 0 {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, http.StatusOK, Receipt{Ref: ref, Number: count})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
