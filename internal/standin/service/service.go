// Package service stands in for a plain booking service in tests and in the dev command.
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

// Receipt is the answer to a booking.
type Receipt struct {
	Ref    string `json:"ref"`
	Number int    `json:"number"`
}

// Ledger counts executions by reference. It is shared by the services of one pool.
type Ledger struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

// Service books without any check for repeats, so that each execution counts. Set its fields before the first request.
type Service struct {
	// Ledger counts the executions.
	Ledger *Ledger
	// Delay is how long a booking takes.
	Delay time.Duration
}

// Counts returns the executions by reference.
func (l *Ledger) Counts() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]int, len(l.counts))
	for k, n := range l.counts {
		out[k] = n
	}
	return out
}

func (l *Ledger) add(ref string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counts == nil {
		l.counts = make(map[string]int)
	}
	l.counts[ref]++
	l.total++
	return l.total
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /bookings", s.book)
	mux.HandleFunc("GET /bookings/{ref}", s.look)
	return mux
}

func (s *Service) book(w http.ResponseWriter, r *http.Request) {
	var b Booking
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&b); err != nil || b.Ref == "" {
		http.Error(w, "body must name a ref", http.StatusBadRequest)
		return
	}
	n := s.Ledger.add(b.Ref)
	time.Sleep(s.Delay)
	reply(w, http.StatusCreated, Receipt{Ref: b.Ref, Number: n})
}

func (s *Service) look(w http.ResponseWriter, r *http.Request) {
	ref := r.PathValue("ref")
	n := s.Ledger.Counts()[ref]
	if n == 0 {
		http.NotFound(w, r)
		return
	}
	reply(w, http.StatusOK, Receipt{Ref: ref, Number: n})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
