package gatewayserver

import (
	"context"
	"net"
	"net/netip"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/sourceselector"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/storerelayer"
)

// newRelayer returns a relayer that reads the store with the functions of the fleet watcher, and other hosts by control messages.
func (h *Server) newRelayer(elapsed func() time.Duration) *storerelayer.Relayer {
	topics := h.FleetWatcher.Topics
	return &storerelayer.Relayer{
		Peers: h.sourcePeers, Period: h.FleetWatcher.Period, Topics: []string{topics.Operator, topics.Endpoints},
		ReadStore: h.FleetWatcher.ReadChanges, ReadStoreSnapshot: h.FleetWatcher.ReadSnapshot,
		QueryReader: func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsResponse, error) {
			return rpc.Call[messages.RecordsResponse](ctx, h.rpcPool.Client(address), messages.RecordsMethod, q)
		},
		QuerySnapshot: func(ctx context.Context, address string, q messages.SnapshotQuery) (messages.RecordsResponse, error) {
			return rpc.Call[messages.RecordsResponse](ctx, h.rpcPool.Client(address), messages.SnapshotMethod, q)
		},
		Elapsed: elapsed, Logger: h.Logger, LogsChanges: func(topic string) bool { return topic == topics.Operator },
	}
}

// sourcePeers returns the other entry hosts from which the store's records may be read.
func (h *Server) sourcePeers() []sourceselector.Peer {
	return h.presence.Peers(func(a netip.Addr) string {
		return net.JoinHostPort(a.String(), strconv.Itoa(h.Replicator.ControlPort))
	})
}

// sourceState returns what this host says of itself in its beats. One that is shutting down says that it is behind, so that the others have
// another source before it ends.
func (h *Server) sourceState() sourceselector.State {
	if h.draining.Load() {
		return sourceselector.Behind
	}
	return h.relayer.State()
}
