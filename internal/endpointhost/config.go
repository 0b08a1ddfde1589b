package endpointhost

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// buildConfig creates the follower of the configuration log and the replicator that exchanges records with peers.
func (s *Server) buildConfig() {
	logs := &logclient.Client{URL: s.Settings.LogURL, HTTP: s.heads.Observe(s.controlBytes.Client())}
	s.follower = &configfollower.Follower{
		Read: func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
			return logs.Read(ctx, logclient.ConfigStream, from, limit, wait)
		},
		Logger: s.Logger,
	}
	restorer := &checkpointer.Checkpointer{
		Self: s.Settings.Host, Follower: s.follower, Read: logs.Read, Logger: s.Logger,
	}
	s.configPeers.Dial = s.controlBytes.Dial
	s.replicator = configreplicator.New(s.Settings.Host, s.Settings.Zone, s.follower, &s.configPeers, s.Logger)
	s.replicator.Peers = func() []configreplicator.Peer { return configreplicator.PeersOf(s.members.Members) }
	s.replicator.LoadCheckpoint = restorer.Restore
}

// registerConfigMethods adds the RPC handlers that serve the configuration to peers.
func (s *Server) registerConfigMethods(methods map[string]rpc.Handler) {
	methods[messages.PullMethod] = rpc.TypedHandler(s.replicator.HandlePull)
	methods[messages.StateMethod] = rpc.TypedHandler(s.replicator.HandleState)
}

func (s *Server) runConfig(ctx context.Context) error {
	defer s.configPeers.Close()
	return s.replicator.Run(ctx)
}
