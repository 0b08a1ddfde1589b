// Package logservice is a stand-in for the platform's log service, for tests and the dev command.
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

// Service holds append-only streams in memory. Set its fields before the first request.
type Service struct {
	// AppendLimiter limits the rate of appends; nil means unlimited.
	AppendLimiter *rate.Limiter
	// Retention is how long a record is retained; zero disables expiry.
	Retention time.Duration

	mu              sync.Mutex
	down            bool
	responsesToLose int
	streams         map[logclient.Stream]*stream
}

type stream struct {
	firstOffset ident.Offset
	records     [][]byte
	appendTimes []time.Time
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// SetDown starts or ends an outage, during which all requests fail.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetRetention changes how long a record is retained; zero disables expiry.
func (s *Service) SetRetention(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Retention = d
}

// LoseResponses makes the next n appends store their record and close the connection without a response.
func (s *Service) LoseResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.responsesToLose = n
}

// ServeHTTP handles appends and reads.
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
	if s.AppendLimiter != nil && !s.AppendLimiter.Allow() {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, loseResponse := s.Append(name, data)
	if loseResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, logclient.AppendResponse{Offset: offset})
}

// Append stores a record and returns its offset, and whether to close the connection without a response.
func (s *Service) Append(name logclient.Stream, data []byte) (ident.Offset, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getStream(name)
	st.records = append(st.records, data)
	st.appendTimes = append(st.appendTimes, time.Now())
	close(st.appended)
	st.appended = make(chan struct{})
	loseResponse := s.responsesToLose > 0
	if loseResponse {
		s.responsesToLose--
	}
	return st.nextOffset() - 1, loseResponse
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request, name logclient.Stream) {
	q := r.URL.Query()
	from, err := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, limitErr := strconv.Atoi(q.Get("max"))
	waitMs, waitErr := strconv.Atoi(q.Get("wait"))
	if err != nil || limitErr != nil || waitErr != nil || from < 0 || limit < 1 {
		http.Error(w, "from, max and wait must be numbers", http.StatusBadRequest)
		return
	}
	page, appended := s.readPage(name, ident.Offset(from), limit)
	if len(page.Records) == 0 && waitMs > 0 {
		select {
		case <-appended:
		case <-r.Context().Done():
		case <-time.After(time.Duration(waitMs) * time.Millisecond):
		}
		page, _ = s.readPage(name, ident.Offset(from), limit)
	}
	writeJSON(w, page)
}

// readPage deletes expired records. It returns up to limit records from the given offset on, and a channel that is
// closed at the next append.
func (s *Service) readPage(name logclient.Stream, from ident.Offset, limit int) (logclient.Page, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.getStream(name)
	st.expireRecords(s.Retention)
	page := logclient.Page{FirstOffset: st.firstOffset, NextOffset: st.nextOffset()}
	for offset := max(from, st.firstOffset); offset < st.nextOffset() && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, logclient.Record{Offset: offset, Data: st.records[offset-st.firstOffset]})
	}
	return page, st.appended
}

// getStream returns the stream with the given name, and creates it on first use. s.mu must be locked.
func (s *Service) getStream(name logclient.Stream) *stream {
	if s.streams == nil {
		s.streams = make(map[logclient.Stream]*stream)
	}
	st, ok := s.streams[name]
	if !ok {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (st *stream) nextOffset() ident.Offset {
	return st.firstOffset + ident.Offset(len(st.records))
}

func (st *stream) expireRecords(retention time.Duration) {
	if retention == 0 {
		return
	}
	n := 0
	for n < len(st.appendTimes) && time.Since(st.appendTimes[n]) > retention {
		n++
	}
	st.firstOffset += ident.Offset(n)
	st.records = st.records[n:]
	st.appendTimes = st.appendTimes[n:]
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
