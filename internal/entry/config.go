package entry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// reportWait is how long a new entry host waits for the first report of an endpoint host before it is ready.
const reportWait = 10 * time.Second

// buildConfig makes what follows, spreads and checkpoints the configuration.
func (s *Server) buildConfig() {
	logs := &logclient.Client{URL: s.Settings.Log, HTTP: s.control.Client()}
	s.follower = &follower.Follower{
		Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
			return logs.Read(ctx, logclient.Config, from, limit, wait)
		},
		Logger: s.Logger,
	}
	s.checkpoints = &checkpointer.Checkpointer{
		Self: s.Settings.Host, Follower: s.follower, Writers: s.writers, Read: logs.Read, Append: logs.Append,
		Interval: time.Duration(s.Settings.Checkpoint) * time.Second, Logger: s.Logger,
	}
	s.peers.Dial = s.control.Dial
	s.replicator = configreplicator.New(s.Settings.Host, s.Settings.Zone, s.follower, &s.peers, s.Logger)
	s.replicator.Peers = func() []configreplicator.Peer { return configreplicator.Peers(s.members.Members) }
	s.replicator.Restore = s.checkpoints.Restore
}

func (s *Server) writers() []ident.Host {
	out := []ident.Host{s.Settings.Host}
	for _, m := range s.members.Members(membership.RoleEntry) {
		if m.Host != s.Settings.Host && !m.Leaving {
			out = append(out, m.Host)
		}
	}
	return out
}

// configMethods adds the answers to peers.
func (s *Server) configMethods(methods map[string]rpc.Handler) {
	methods[messages.PullMethod] = rpc.Handle(s.replicator.AnswerPull)
	methods[messages.StateMethod] = rpc.Handle(s.replicator.AnswerState)
}

func (s *Server) runConfig(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error {
		defer s.peers.Close()
		return s.replicator.Run(ctx)
	})
	tasks.Go(func() error { return s.checkpoints.Run(ctx) })
}

// serveReady tells whether the configuration is complete, and why not.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.follower.Ready() {
		http.Error(w, "configuration is not complete yet: "+s.replicator.Reason(), http.StatusServiceUnavailable)
		return
	}
	if pool, ok := s.unknownPool(); ok {
		http.Error(w, fmt.Sprintf("no endpoint host of pool %q has reported an open gate yet", pool), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// unknownPool returns a pool that a deployment uses and no endpoint host has reported for with its gate open. A host that has waited long
// knows of none, so that a balancer sees its refusals.
func (s *Server) unknownPool() (ident.Pool, bool) {
	if time.Since(s.started) > reportWait {
		return "", false
	}
	known := make(map[ident.Pool]bool)
	for _, r := range s.reports.Reports() {
		known[r.Pool] = known[r.Pool] || r.Open && !r.Leaving
	}
	var deployments []catalog.Effective
	s.follower.View(func(r *reducer.Reducer) { deployments = r.Deployments() })
	for _, d := range deployments {
		if !known[d.Spec.Pool] {
			return d.Spec.Pool, true
		}
	}
	return "", false
}
