package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const newWorkTime = 2 * time.Second

type roundTrip func(*http.Request) (*http.Response, error)

func (f roundTrip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// service is a membership service whose list a test changes while it is polled.
type service struct {
	mu   sync.Mutex
	list []membership.Member
}

func (s *service) set(list ...membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

func (s *service) client() *membership.List {
	answer := roundTrip(func(*http.Request) (*http.Response, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		data, err := json.Marshal(s.list)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
	})
	return &membership.List{
		URL: "http://members", HTTP: &http.Client{Transport: answer},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
}

// TestListedLeavingHostGetsNoNewWork has a host that goes on reporting an open gate after the list has it as leaving.
func TestListedLeavingHostGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := membership.Member{Host: "e", Role: membership.RoleEndpoint, Zone: "z", Pool: "p", Birth: 5}
		platform := &service{}
		platform.set(m)
		s := &Server{
			members: platform.client(), reports: &reportcache.Cache{}, registry: prometheus.NewRegistry(), follower: &follower.Follower{},
			Logger: &log.Logger{Handler: discard.New()},
		}
		s.buildLoad()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.members.Run(ctx) }()
		report := func(birth int64) int {
			r := messages.Report{Host: "e", Zone: "z", Pool: "p", Set: "x", Want: "x", Open: true, Birth: birth, Every: 1000}
			s.load.admitter.Report(s.join(r))
			q := admitter.Query{Pool: "p", Organisation: "o", Deployment: "d", Sets: []ident.WeightSet{"x"}}
			lease, err := s.load.admitter.Admit(ctx, q)
			if err != nil {
				return 0
			}
			lease.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.Late})
			return 1
		}
		time.Sleep(time.Second)
		is.Equal(report(5), 1)
		m.Leaving = true
		platform.set(m)
		begin := time.Now()
		for report(5) != 0 {
			time.Sleep(250 * time.Millisecond)
		}
		is.True(time.Since(begin) <= newWorkTime)
		is.Equal(report(6), 1) // its next incarnation is not leaving
		s.members.Refused("e", outcome.Unreachable)
		is.Equal(s.members.State("e"), roster.Suspect)
		s.members.Refused("e", outcome.Leaving)
		is.Equal(report(6), 0) // a refusal counts whatever list and report say
		cancel()
		synctest.Wait()
	})
}

func TestWaveCountsForLeaversOnly(t *testing.T) {
	is := is.New(t)
	s := &Server{members: &membership.List{}, reports: &reportcache.Cache{}}
	put := func(h ident.Host, want ident.WeightSet, offset ident.Offset) messages.Report {
		r := messages.Report{Host: h, Pool: "p", Set: "x", Want: want, Open: true, Offset: offset, Since: 3, Every: 1000}
		s.reports.Put(s.join(r))
		return r
	}
	put("a", "x", 3)
	put("b", "x", 2) // older than the change that the asking host follows
	asks := put("c", "y", 3)
	is.Equal(len(s.wave(put("d", "x", 3))), 0)
	counts := s.wave(asks)
	after := 0
	if rolloutlimiter.Precedes("c", "b") {
		after = 1
	}
	is.Equal(counts, []rolloutlimiter.Count{{Set: "x", Steady: 2, After: after}})
	s.members.Refused("a", outcome.Unreachable)
	is.Equal(s.wave(asks)[0].Steady, 1)
}
