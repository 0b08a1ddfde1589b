// Package logservice stands in for the platform's log service in tests and in the dev command.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const maxRecordBytes = 1 << 20

// Service keeps append-only streams in memory. Set its fields before the first request.
type Service struct {
	// Limiter bounds the appends a second; nil means no bound.
	Limiter *rate.Limiter
	// Retention is how long a record is kept; zero keeps it for ever.
	Retention time.Duration

	mu      sync.Mutex
	down    bool
	lose    int
	streams map[logclient.Stream]*stream
}

type stream struct {
	first   ident.Offset
	records [][]byte
	times   []time.Time
	more    chan struct{}
}

// SetDown starts or ends an outage.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetRetention changes how long a record is kept; zero keeps it for ever.
func (s *Service) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Retention = d
}

// LoseAnswers makes the next n appends take effect without an answer.
func (s *Service) LoseAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose = n
}

// ServeHTTP answers appends and reads.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if down {
		http.Error(w, "log service is down", http.StatusServiceUnavailable)
		return
	}
	name := logclient.Stream(r.PathValue("stream"))
	if r.Method == http.MethodPost {
		s.serveAppend(w, r, name)
		return
	}
	s.serveRead(w, r, name)
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /streams/{stream}", s)
	mux.Handle("POST /streams/{stream}", s)
	return mux
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request, name logclient.Stream) {
	if s.Limiter != nil && !s.Limiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, lost := s.Append(name, data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	reply(w, logclient.AppendResponse{Offset: offset})
}

// Append adds a record and tells whether its answer is to be lost.
func (s *Service) Append(name logclient.Stream, data []byte) (ident.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.records = append(st.records, data)
	st.times = append(st.times, time.Now())
	close(st.more)
	st.more = make(chan struct{})
	lost := s.lose > 0
	if lost {
		s.lose--
	}
	return st.next() - 1, lost
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request, name logclient.Stream) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	wait, err3 := strconv.Atoi(q.Get("wait"))
	if err != nil || err2 != nil || err3 != nil || from < 0 || limit < 1 {
		http.Error(w, "from, max and wait must be numbers", http.StatusBadRequest)
		return
	}
	page, more := s.page(name, ident.Offset(from), limit)
	if len(page.Records) == 0 && wait > 0 {
		select {
		case <-more:
		case <-r.Context().Done():
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		page, _ = s.page(name, ident.Offset(from), limit)
	}
	reply(w, page)
}

func (s *Service) page(name logclient.Stream, from ident.Offset, limit int) (logclient.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	st.expire(s.Retention)
	page := logclient.Page{FirstOffset: st.first, NextOffset: st.next()}
	for o := max(from, st.first); o < st.next() && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, logclient.Record{Offset: o, Data: st.records[o-st.first]})
	}
	return page, st.more
}

func (s *Service) stream(name logclient.Stream) *stream {
	if s.streams == nil {
		s.streams = make(map[logclient.Stream]*stream)
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{more: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) next() ident.Offset {
	return st.first + ident.Offset(len(st.records))
}

func (st *stream) expire(retention time.Duration) {
	if retention == 0 {
		return
	}
	n := 0
	for n < len(st.times) && time.Since(st.times[n]) > retention {
		n++
	}
	st.first += ident.Offset(n)
	st.records = st.records[n:]
	st.times = st.times[n:]
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
