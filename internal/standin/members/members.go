// Package members stands in for the platform's membership service in tests and in the dev command.
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

const defaultExpiry = 3 * time.Second

// Service lists the hosts that announced themselves lately. Set its fields before the first request.
type Service struct {
	// Lag is how old the list is that callers get.
	Lag time.Duration
	// Expiry is how long after its last announcement a host stays listed; zero means three seconds.
	Expiry time.Duration

	mu    sync.Mutex
	down  bool
	hosts map[ident.Host]entry
	past  []snapshot
}

type entry struct {
	member membership.Member
	seen   time.Time
}

type snapshot struct {
	time    time.Time
	members []membership.Member
}

// SetDown starts or ends an outage.
func (s *Service) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLag changes the age of the list that callers get.
func (s *Service) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Lag = d
}

// Handler returns the service's routes.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /hosts", s.announce)
	mux.HandleFunc("GET /hosts", s.list)
	return mux
}

func (s *Service) announce(w http.ResponseWriter, r *http.Request) {
	var m membership.Member
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil || m.Host == "" {
		http.Error(w, "body must be a member", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.hosts == nil {
		s.hosts = make(map[ident.Host]entry)
	}
	if !s.down {
		s.hosts[m.Host] = entry{member: m, seen: time.Now()}
	}
	s.mu.Unlock()
	s.list(w, r)
}

// list answers with the hosts, or with status 304 if the caller has the same list already.
func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		http.Error(w, "membership service is down", http.StatusServiceUnavailable)
		return
	}
	data, err := json.Marshal(s.lagged())
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

func (s *Service) lagged() []membership.Member {
	now := time.Now()
	s.past = append(s.past, snapshot{time: now, members: s.current(now)})
	i := 0
	for i+1 < len(s.past) && now.Sub(s.past[i+1].time) >= s.Lag {
		i++
	}
	s.past = s.past[i:]
	return s.past[0].members
}

func (s *Service) current(now time.Time) []membership.Member {
	expiry := s.Expiry
	if expiry == 0 {
		expiry = defaultExpiry
	}
	out := []membership.Member{}
	for h, e := range s.hosts {
		if now.Sub(e.seen) > expiry {
			delete(s.hosts, h)
			continue
		}
		out = append(out, e.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Host < out[j].Host })
	return out
}
