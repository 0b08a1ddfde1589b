package entryhost

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
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// leavingTimeout bounds the time from the listing of a host as leaving to its last new request.
const leavingTimeout = 2 * time.Second

type roundTripFunc func(*http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// fakeMembership is a membership service whose list a test can change while it is polled.
type fakeMembership struct {
	mu   sync.Mutex
	list []membership.Member
}

func (s *fakeMembership) set(list ...membership.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = list
}

func (s *fakeMembership) client() *membership.List {
	respond := roundTripFunc(func(*http.Request) (*http.Response, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		data, err := json.Marshal(s.list)
		return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
	})
	return &membership.List{
		URL: "http://members", HTTP: &http.Client{Transport: respond},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
}

// TestHostListedAsLeavingGetsNoNewRequests guards against routing to a host that is listed as leaving but still reports
// an open gate, because it does not know yet that it is to leave.
func TestHostListedAsLeavingGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := membership.Member{Host: "e", Role: membership.RoleEndpoint, Zone: "z", Pool: "p", StartTime: 5}
		service := &fakeMembership{}
		service.set(m)
		s := &Server{
			members: service.client(), reports: &reportcache.Cache{}, registry: prometheus.NewRegistry(), follower: &configfollower.Follower{},
			Logger: &log.Logger{Handler: discard.New()},
		}
		s.buildAdmission()
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = s.members.Run(ctx) }()
		report := func(startTime int64) int {
			r := messages.Report{Host: "e", Zone: "z", Pool: "p", ServedSet: "x", AssignedSet: "x", GateOpen: true, StartTime: startTime, MaxIntervalSeconds: 1000}
			s.admission.admitter.ApplyReport(s.mergeMembership(r))
			q := admitter.AdmissionRequest{Pool: "p", Organisation: "o", Deployment: "d", WeightSets: []ident.WeightSet{"x"}}
			lease, err := s.admission.admitter.Admit(ctx, q)
			if err != nil {
				return 0
			}
			lease.Fail(&outcome.Error{Kind: outcome.NotRun, Reason: outcome.TooLate})
			return 1
		}
		time.Sleep(time.Second)
		is.Equal(report(5), 1)
		m.Leaving = true
		service.set(m)
		begin := time.Now()
		for report(5) != 0 {
			time.Sleep(250 * time.Millisecond)
		}
		is.True(time.Since(begin) <= leavingTimeout)
		is.Equal(report(6), 1) // the next incarnation of the host is not leaving
		s.members.RecordRefusal("e", outcome.Unreachable)
		is.Equal(s.members.HostState("e"), roster.Suspect)
		s.members.RecordRefusal("e", outcome.HostLeaving)
		is.Equal(report(6), 0) // a refusal counts although neither the list nor the report says that the host is leaving
		cancel()
		synctest.Wait()
	})
}

func TestRolloutCountsAreSentOnlyToHostsThatChangeSets(t *testing.T) {
	is := is.New(t)
	s := &Server{members: &membership.List{}, reports: &reportcache.Cache{}}
	put := func(h ident.Host, want ident.WeightSet, offset ident.Offset) messages.Report {
		r := messages.Report{Host: h, Pool: "p", ServedSet: "x", AssignedSet: want, GateOpen: true, Offset: offset, AssignedSince: 3, MaxIntervalSeconds: 1000}
		s.reports.Put(s.mergeMembership(r))
		return r
	}
	put("a", "x", 3)
	put("b", "x", 2) // reported at an older configuration than that of the switching host
	switching := put("c", "y", 3)
	is.Equal(len(s.rolloutCounts(put("d", "x", 3))), 0)
	counts := s.rolloutCounts(switching)
	laterReplicas := 0
	if rolloutlimiter.Precedes("c", "b") {
		laterReplicas = 1
	}
	is.Equal(counts, []rolloutlimiter.SetCount{{Set: "x", Staying: 2, Later: laterReplicas}})
	s.members.RecordRefusal("a", outcome.Unreachable)
	is.Equal(s.rolloutCounts(switching)[0].Staying, 1)
}
