package entryhost

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
	// membersInterval is the time between searches of the membership list for endpoint hosts that are leaving.
	membersInterval = 250 * time.Millisecond
	// maxHostsSharingAcrossZones is the number of entry hosts up to which the entry hosts of all zones share the
	// limits of the endpoints. With more of them, only those in the local host's zone have a share, and the others
	// get capacity that is free.
	maxHostsSharingAcrossZones = 16
)

// admission holds the components that admit requests, and this host's shares of the endpoints' in-flight limits.
type admission struct {
	admitter *admitter.Admitter
	meter    *meter.Meter

	mu sync.Mutex
	// entryHosts are the entry hosts that share the limits, sorted by name.
	entryHosts []ident.Host
	// limitShares caches this host's shares for entryHosts.
	limitShares map[limitKey]int
}

// limitKey identifies the limit of one endpoint host.
type limitKey struct {
	host  ident.Host
	limit int
}

func (s *Server) buildAdmission() {
	m := meter.New(s.registry)
	s.admission = &admission{meter: m, entryHosts: []ident.Host{s.Settings.Host}, limitShares: make(map[limitKey]int)}
	s.admission.admitter = &admitter.Admitter{
		Router: &router.Router{Zone: s.Settings.Zone, Intn: rand.IntN},
		Random: rand.Float64, Weight: s.organisationWeight, EntryHosts: s.admission.entryHostCount,
		Quota:             func(h ident.Host, limit int) int { return s.admission.limitShare(s.Settings.Host, h, limit) },
		OrganisationLimit: func(ident.Organisation) int { return 0 },
		Meter:             m, Logger: s.Logger, Reports: s.reports,
	}
}

// organisationWeight returns the weight of an organisation in fair queueing, 1 if it is not known.
func (s *Server) organisationWeight(o ident.Organisation) int {
	n := 1
	s.follower.View(func(r *reducer.Reducer) {
		if e, ok := r.Object(ident.OrganisationObject(o)); ok && e.Record.Organisation != nil {
			n = e.Record.Organisation.Weight
		}
	})
	return n
}

func (a *admission) entryHostCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.entryHosts)
}

// limitShare returns the part of an endpoint's limit that the entry host self may use.
func (a *admission) limitShare(self, h ident.Host, limit int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := limitKey{h, limit}
	n, ok := a.limitShares[key]
	if !ok {
		n = limitsplitter.Split(h, limit, self, a.entryHosts)
		a.limitShares[key] = n
	}
	return n
}

// setEntryHosts replaces the entry hosts that share the limits. It sorts hosts in place.
func (a *admission) setEntryHosts(hosts []ident.Host) {
	slices.Sort(hosts)
	a.mu.Lock()
	defer a.mu.Unlock()
	if slices.Equal(hosts, a.entryHosts) {
		return
	}
	a.entryHosts = hosts
	a.limitShares = make(map[limitKey]int)
}

// runAdmission runs the admitter and updates it from the membership list until ctx ends.
func (s *Server) runAdmission(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.admission.admitter.Run(ctx) }()
	for {
		s.updateMembers()
		select {
		case <-ctx.Done():
			return <-done
		case <-time.After(membersInterval):
		}
	}
}

// updateMembers passes the endpoint hosts that are leaving and the entry hosts that share the limits to the admission.
func (s *Server) updateMembers() {
	for _, m := range s.members.Members(membership.RoleEndpoint) {
		if m.Leaving {
			s.admission.admitter.MarkLeaving(m.Host, m.StartTime)
		}
	}
	entries := s.members.Members(membership.RoleEntry)
	hosts := []ident.Host{s.Settings.Host}
	for _, m := range entries {
		if m.Host != s.Settings.Host && !m.Leaving && (len(entries) <= maxHostsSharingAcrossZones || m.Zone == s.Settings.Zone) {
			hosts = append(hosts, m.Host)
		}
	}
	s.admission.setEntryHosts(hosts)
}

// receiveLoad records a load message that an endpoint host sent between two reports.
func (s *Server) receiveLoad(_ context.Context, l messages.LoadUpdate) (messages.ReportAck, error) {
	s.replicator.RecordPeerOffset(l.Host, l.Offset)
	if r, ok := s.admission.admitter.ApplyLoad(l); ok {
		s.members.Observe(roster.Observation{Host: r.Host, Zone: r.Zone, StartTime: r.StartTime, Leaving: r.Leaving})
	}
	return messages.ReportAck{}, nil
}

type dispatchFunc func(ctx context.Context, req dispatcher.Request) (*http.Response, error)

// countOutcomes wraps next and counts the requests by their outcomes.
func (s *Server) countOutcomes(next dispatchFunc) dispatchFunc {
	return func(ctx context.Context, req dispatcher.Request) (*http.Response, error) {
		series := s.admission.meter.Series(meter.SeriesKey{Organisation: req.Deployment.Organisation, Deployment: req.Deployment.Name})
		resp, err := next(ctx, req)
		var o *outcome.Error
		switch {
		case err == nil:
			series.CountOutcome(outcome.Answered)
		case errors.As(err, &o):
			series.CountOutcome(o.Kind)
			series.CountFailure(o.Reason)
		default:
			series.CountOutcome(outcome.Unknown)
			series.CountFailure(outcome.ConnectionLost)
		}
		return resp, err
	}
}
