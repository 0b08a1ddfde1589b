// Package members is a stand-in for the platform's membership service, for tests and the dev command.
package members

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const defaultTTL = 3 * time.Second

// Service lists the hosts that announced themselves within the TTL. Set its fields before the first request.
type Service struct {
	// Lag is the age of the host list in responses, to simulate a slow membership service.
	Lag time.Duration
	// TTL is how long a host stays listed after its last announcement; zero means three seconds.
	TTL time.Duration

	mu        sync.Mutex
	down      bool
	hosts     map[ident.Host]registration
	snapshots []snapshot
}

type registration struct {
	member   membership.Member
	lastSeen time.Time
}

type snapshot struct {
	time    time.Time
	members []membership.Member
}

// SetDown starts or ends an outage, during which all requests fail.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLag changes the age of the host list in responses.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Lag = d
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hosts", s.serveAnnounce)
	mux.HandleFunc("GET /hosts", s.serveList)
	return mux
}

func (s *Service) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var m membership.Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Host == "" {
		http.Error(w, "body must be a member", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.hosts == nil {
		s.hosts = make(map[ident.Host]registration)
	}
	if !s.down {
		s.hosts[m.Host] = registration{member: m, lastSeen: time.Now()}
	}
	s.mu.Unlock()
	s.serveList(w, r)
}

// serveList responds with the host list, or with status 304 if the client already has it.
func (s *Service) serveList(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "membership service is down", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(s.laggedList())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	version := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", version)
	if r.Header.Get("If-None-Match") == version {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// laggedList takes a snapshot of the host list and returns the newest snapshot that is at least as old as Lag, or the
// oldest one if there is none. s.mu must be locked.
func (s *Service) laggedList() []membership.Member {
	now := time.Now()
	s.snapshots = append(s.snapshots, snapshot{time: now, members: s.liveMembers(now)})
	i := 0
	for i+1 < len(s.snapshots) && now.Sub(s.snapshots[i+1].time) >= s.Lag {
		i++
	}
	s.snapshots = s.snapshots[i:]
	return s.snapshots[0].members
}

// liveMembers removes the hosts whose last announcement is older than the TTL and returns the other hosts, sorted.
func (s *Service) liveMembers(now time.Time) []membership.Member {
	ttl := s.TTL
	if ttl == 0 {
		ttl = defaultTTL
	}
	out := []membership.Member{}
	for host, r := range s.hosts {
		if now.Sub(r.lastSeen) > ttl {
			delete(s.hosts, host)
			continue
		}
		out = append(out, r.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
