package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/limitsplitter"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/roster"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/meter"
)

const (
	// leavingPoll is how often the list of hosts is searched for endpoints that are leaving.
	leavingPoll = 250 * time.Millisecond
	// shareAll is the number of entry hosts up to which those of all zones share the endpoints. Beyond it only those
	// of the own zone do, and the others are lent what is free.
	shareAll = 16
)

// load holds what admits requests.
type load struct {
	admitter *admitter.Admitter
	meter    *meter.Meter

	mu    sync.Mutex
	hosts []ident.Host
	parts map[part]int
}

// part names one endpoint with one limit.
type part struct {
	host  ident.Host
	limit int
}

func (s *Server) buildLoad() {
	m := meter.New(s.registry)
	s.load = &load{meter: m, hosts: []ident.Host{s.Settings.Host}, parts: make(map[part]int)}
	s.load.admitter = &admitter.Admitter{
		Router:  &router.Router{Zone: s.Settings.Zone, Intn: rand.IntN},
		Float64: rand.Float64, Weight: s.weight, EntryHosts: s.load.entryHosts,
		Part:  func(h ident.Host, limit int) int { return s.load.part(s.Settings.Host, h, limit) },
		Limit: func(ident.Organisation) int { return 0 },
		Meter: m, Logger: s.Logger, Reports: s.reports,
	}
}

// weight returns the share of an organisation.
func (s *Server) weight(o ident.Organisation) int {
	n := 1
	s.follower.View(func(r *reducer.Reducer) {
		if e, ok := r.Object(ident.OrganisationObject(o)); ok && e.Record.Organisation != nil {
			n = e.Record.Organisation.Weight
		}
	})
	return n
}

func (l *load) entryHosts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts)
}

func (l *load) part(self, h ident.Host, limit int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := part{h, limit}
	n, ok := l.parts[key]
	if !ok {
		n = limitsplitter.Split(h, limit, self, l.hosts)
		l.parts[key] = n
	}
	return n
}

// share takes the entry hosts that share the endpoints.
func (l *load) share(hosts []ident.Host) {
	slices.Sort(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(hosts, l.hosts) {
		return
	}
	l.hosts = hosts
	l.parts = make(map[part]int)
}

// runLoad keeps the admission up to date until ctx ends.
func (s *Server) runLoad(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.load.admitter.Run(ctx) }()
	for {
		s.readMembers()
		select {
		case <-ctx.Done():
			return <-done
		case <-time.After(leavingPoll):
		}
	}
}

// readMembers tells the admission which endpoints are leaving, and which entry hosts share them.
func (s *Server) readMembers() {
	for _, m := range s.members.Members(membership.RoleEndpoint) {
		if m.Leaving {
			s.load.admitter.Leave(m.Host, m.Birth)
		}
	}
	entries := s.members.Members(membership.RoleEntry)
	hosts := []ident.Host{s.Settings.Host}
	for _, m := range entries {
		if m.Host != s.Settings.Host && !m.Leaving && (len(entries) <= shareAll || m.Zone == s.Settings.Zone) {
			hosts = append(hosts, m.Host)
		}
	}
	s.load.share(hosts)
}

// takeLoad takes a load that an endpoint host sent between two reports.
func (s *Server) takeLoad(_ context.Context, l messages.Load) (messages.Ack, error) {
	s.replicator.Saw(l.Host, l.Offset)
	if r, ok := s.load.admitter.Load(l); ok {
		s.members.Hear(roster.Sighting{Host: r.Host, Zone: r.Zone, Birth: r.Birth, Leaving: r.Leaving})
	}
	return messages.Ack{}, nil
}

type dispatch func(ctx context.Context, j dispatcher.Job) (*http.Response, error)

// count counts the requests by their outcomes.
func (s *Server) count(next dispatch) dispatch {
	return func(ctx context.Context, j dispatcher.Job) (*http.Response, error) {
		series := s.load.meter.Series(meter.Owner{Organisation: j.Deployment.Organisation, Deployment: j.Deployment.Name})
		resp, err := next(ctx, j)
		var o *outcome.Error
		switch {
		case err == nil:
			series.End(outcome.Answered)
		case errors.As(err, &o):
			series.End(o.Kind)
			series.Fail(o.Reason)
		default:
			series.End(outcome.Unknown)
			series.Fail(outcome.Lost)
		}
		return resp, err
	}
}
