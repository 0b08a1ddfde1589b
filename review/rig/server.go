package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

const (
	// heartbeatInterval is the time between two entries of a server in the store.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime and slotCount are those of a server of bookings-app.
	workTime, slotCount = 30 * time.Millisecond, 6
	// While a server loses answers, it loses lostCount of lostInterval.
	lostCount, lostInterval = 2, 5
	// While a server is in trouble, it sends bytes that are no answer to one request of noiseInterval.
	noiseInterval = 25
)

// server is one server of a plain service. Set its fields before start.
type server struct {
	id, service, zone, address string
	fleet                      *fleet

	slots     chan struct{}
	startTime time.Time

	mu sync.Mutex
	// runs counts the requests that the server has run, by their ids.
	runs map[string]int
	// losesAnswers says that the answers of some requests that the server has run are lost.
	losesAnswers bool
	// trouble answers some requests instead of the server; nil while the server is sound. received counts all requests.
	trouble  func(conn net.Conn)
	received int
}

// startServers starts one server of a service in each zone.
func (f *fleet) startServers(service string, kind int) ([]*server, error) {
	var out []*server
	for i, zone := range zones {
		s := &server{id: "i-" + service + "-" + zone, service: service, zone: zone, address: f.address(kind, i, serverPort), fleet: f}
		if err := s.start(); err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// start listens, and writes the entry of the server until the command ends.
func (s *server) start() error {
	s.slots, s.startTime, s.runs = make(chan struct{}, slotCount), time.Now(), make(map[string]int)
	if err := s.fleet.serve(s.address, s); err != nil {
		return err
	}
	go func() {
		for sequence := 1; ; sequence++ {
			s.putEntry(sequence)
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

func (s *server) putEntry(sequence int) {
	data, err := json.Marshal(map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.zone, "Version": "v1", "Slots": slotCount, "State": "ready", "ColdRemainingMs": 0, "Sequence": sequence, "born": s.startTime.UnixMilli(),
	})
	if err == nil {
		s.fleet.store.PutRecord(wirenames.TopicEndpoints, s.id, data)
	}
}

// setTrouble makes the server answer some of the further requests with what trouble writes.
func (s *server) setTrouble(trouble func(conn net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = trouble
	s.fleet.record.add("server %s is in trouble from now on", s.id)
}

// nextTrouble returns what answers the next request instead of the server, or nil.
func (s *server) nextTrouble() func(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.received++
	if s.received%noiseInterval != 0 {
		return nil
	}
	return s.trouble
}

// runsOf returns how often the server has run a request.
func (s *server) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// setLosesAnswers sets whether the answers of some requests are lost.
func (s *server) setLosesAnswers(losesAnswers bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesAnswers = losesAnswers
	s.fleet.record.add("server %s loses answers from now on: %t", s.id, losesAnswers)
}

// begin records that the server runs a request, and reports whether its answer will be lost.
func (s *server) begin(id string) (isLost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	return s.losesAnswers && len(s.runs)%lostInterval < lostCount
}

// ServeHTTP answers a health check or a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wirenames.HeaderInstanceID, s.id)
	if r.URL.Path == "/health" {
		return
	}
	id := r.Header.Get(wirenames.HeaderAttemptID)
	w.Header().Set(wirenames.HeaderAttemptID, id)
	if want := r.Header.Get(wirenames.HeaderExpectedInstance); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if trouble := s.nextTrouble(); trouble != nil {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		s.fleet.record.add("server %s sends bytes that are no answer to request %s", s.id, id)
		trouble(conn)
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	isLost := s.begin(id)
	s.fleet.record.add("server %s runs request %s: %s %s", s.id, id, r.Method, r.RequestURI)
	select {
	case <-time.After(workTime):
	case <-r.Context().Done():
		return
	}
	if isLost {
		s.fleet.record.add("the answer to request %s is lost", id)
		reset(w)
		return
	}
	text := "done " + id
	w.Header().Set(wirenames.HeaderServerSignature, s.id+"."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) // fails only if the caller has left
}

// reset resets the connection of a request.
func reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a close without it would not reset the connection
	}
	_ = conn.Close()
}
