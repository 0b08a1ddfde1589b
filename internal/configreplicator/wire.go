package configreplicator

import (
	"context"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// Peer is another process that replicates the configuration.
type Peer = peerselector.Peer

// New returns a Replicator that reaches its peers over a pool of connections. The caller sets Peers and
// LoadCheckpoint.
func New(self ident.Host, zone ident.Zone, f *configfollower.Follower, pool *rpc.Pool, logger log.Interface) *Replicator {
	return &Replicator{
		Self: self, Zone: zone, Follower: f, Logger: logger,
		RequestRecords: func(ctx context.Context, p Peer, q messages.PullQuery) (messages.PullResponse, error) {
			return rpc.Call[messages.PullResponse](ctx, pool.Client(p.ControlAddress), messages.PullMethod, q)
		},
		RequestState: func(ctx context.Context, p Peer, q messages.StateQuery) (messages.StateResponse, error) {
			return rpc.Call[messages.StateResponse](ctx, pool.Client(p.ControlAddress), messages.StateMethod, q)
		},
	}
}

// PeersOf returns the entry hosts and endpoint hosts that are not leaving.
func PeersOf(members func(membership.Role) []membership.Member) []Peer {
	var out []Peer
	for _, role := range []membership.Role{membership.RoleEntry, membership.RoleEndpoint} {
		for _, m := range members(role) {
			if !m.Leaving {
				out = append(out, Peer{Host: m.Host, Zone: m.Zone, ControlAddress: m.ControlAddress})
			}
		}
	}
	return out
}
