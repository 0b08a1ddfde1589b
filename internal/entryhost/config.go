package entryhost

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// firstReportTimeout is how long a new entry host waits for the first report of an endpoint host before it is ready.
const firstReportTimeout = 10 * time.Second

// buildConfig creates the components that follow, replicate and checkpoint the configuration.
func (s *Server) buildConfig() {
	logs := &logclient.Client{URL: s.Settings.LogURL, HTTP: s.heads.Observe(s.controlTraffic.Client())}
	s.follower = &configfollower.Follower{
		Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
			return logs.Read(ctx, logclient.ConfigStream, from, limit, wait)
		},
		Logger: s.Logger,
	}
	s.checkpoints = &checkpointer.Checkpointer{
		Self: s.Settings.Host, Follower: s.follower, Writers: s.checkpointWriters, Read: logs.Read, Append: logs.Append,
		Interval: time.Duration(s.Settings.CheckpointSeconds) * time.Second, Logger: s.Logger,
	}
	s.peers.Dial = s.controlTraffic.Dial
	s.replicator = configreplicator.New(s.Settings.Host, s.Settings.Zone, s.follower, &s.peers, s.Logger)
	s.replicator.Peers = func() []configreplicator.Peer { return configreplicator.PeersOf(s.members.Members) }
	s.replicator.LoadCheckpoint = s.checkpoints.Restore
}

// checkpointWriters returns the entry hosts that may write a checkpoint: this host and all others that are not leaving.
func (s *Server) checkpointWriters() []ident.Host {
	out := []ident.Host{s.Settings.Host}
	for _, m := range s.members.Members(membership.RoleEntry) {
		if m.Host != s.Settings.Host && !m.Leaving {
			out = append(out, m.Host)
		}
	}
	return out
}

// registerConfigMethods adds the handlers of configuration requests from peers.
func (s *Server) registerConfigMethods(methods map[string]rpc.Handler) {
	methods[messages.PullMethod] = rpc.TypedHandler(s.replicator.HandlePull)
	methods[messages.StateMethod] = rpc.TypedHandler(s.replicator.HandleState)
}

func (s *Server) runConfig(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error {
		defer s.peers.Close()
		return s.replicator.Run(ctx)
	})
	tasks.Go(func() error { return s.checkpoints.Run(ctx) })
}

// serveReady responds with status 204 once the host is ready, and otherwise with status 503 and the reason.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if s.keeper.IsFull() {
		http.Error(w, "no descriptors are left for new connections", http.StatusServiceUnavailable)
		return
	}
	if !s.follower.Ready() {
		http.Error(w, "configuration is not complete yet: "+s.replicator.NotReadyReason(), http.StatusServiceUnavailable)
		return
	}
	if pool, ok := s.unreportedPool(); ok {
		http.Error(w, fmt.Sprintf("no endpoint host of pool %q has reported an open gate yet", pool), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// unreportedPool returns a pool that a deployment uses and from which no endpoint host has reported an open gate.
// After firstReportTimeout it returns none, so that the host becomes ready and a load balancer sees its refusals.
func (s *Server) unreportedPool() (ident.Pool, bool) {
	if time.Since(s.startTime) > firstReportTimeout {
		return "", false
	}
	known := make(map[ident.Pool]bool)
	for _, r := range s.reports.Reports() {
		known[r.Pool] = known[r.Pool] || r.GateOpen && !r.Leaving
	}
	var deployments []catalog.EffectiveDeployment
	s.follower.View(func(r *reducer.Reducer) { deployments = r.Deployments() })
	for _, d := range deployments {
		if !known[d.Spec.Pool] {
			return d.Spec.Pool, true
		}
	}
	return "", false
}
