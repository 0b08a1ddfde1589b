package endpointhost

import (
	"context"

	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/uploadlimiter"
	"github.com/nutmegdock/nutmegdock/internal/fetcher"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/pacer"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// buildFetcher creates the components that fetch weights and serve them to peers.
func (s *Server) buildFetcher() {
	isBusy := func() bool { return s.gate.Status().InFlight > 0 }
	s.chunks = &chunkserver.Server{
		Cache: s.cache, Zone: s.Settings.Zone, UploadLimiter: &uploadlimiter.Limiter{},
		Pacer: &pacer.Pacer{Rate: s.Settings.MaxWeightRate, IsBusy: isBusy},
	}
	client := &weightclient.Client{HTTP: s.heads.Observe(forwarder.NewClient())}
	downloadPacer := &pacer.Pacer{Rate: s.Settings.MaxWeightRate, IsBusy: isBusy}
	peerClients := &rpc.Pool{Dial: s.controlBytes.Dial}
	s.fetcher = &fetcher.Fetcher{
		Self: fetcher.Peer{
			Peer:        fetchplanner.Peer{Host: s.Settings.Host, Zone: s.Settings.Zone, Region: s.Settings.Region},
			DataAddress: s.Settings.DataAddress, ControlAddress: s.Settings.ControlAddress,
		},
		HomeRegion: s.Settings.HomeRegion, Sources: []string{s.Settings.StoreURL, s.Settings.OriginURL}, Cache: s.cache,
		Peers: s.fetchPeers, FetchManifest: client.Artifact, Logger: s.Logger,
		FetchChunk: func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.ProgressFunc) ([]byte, error) {
			return client.Chunk(ctx, base, c, zone, withPacing(downloadPacer, p))
		},
		QueryInventory: func(ctx context.Context, p fetcher.Peer, q messages.InventoryQuery) (messages.InventoryResponse, error) {
			q.Offset = s.follower.Offset()
			response, err := rpc.Call[messages.InventoryResponse](ctx, peerClients.Client(p.ControlAddress), messages.InventoryMethod, q)
			s.replicator.RecordPeerOffset(p.Host, response.Offset)
			return response, err
		},
	}
	s.fetcher.Register(s.registry)
}

// withPacing returns a progress callback that, after each received piece, waits until the pacer admits the next one.
func withPacing(limiter *pacer.Pacer, p weightclient.ProgressFunc) weightclient.ProgressFunc {
	previouslyReceived := 0
	return func(ctx context.Context, received int) error {
		n := received - previouslyReceived
		previouslyReceived = received
		if err := p(ctx, received); err != nil {
			return err
		}
		return limiter.Wait(ctx, n)
	}
}

// serveInventory responds to a peer's query for the chunks that this host holds.
func (s *Server) serveInventory(ctx context.Context, q messages.InventoryQuery) (messages.InventoryResponse, error) {
	response, err := s.fetcher.ServeInventory(ctx, q)
	response.Offset = s.follower.Offset()
	return response, err
}

// fetchPeers returns the hosts that the placement assigns to the weight set made of the artifacts, and the set's fetch
// goal.
func (s *Server) fetchPeers(artifacts []ident.Digest) ([]fetcher.Peer, catalog.FetchGoal) {
	var needs []placer.Requirement
	s.follower.View(func(state *reducer.Reducer) { needs = placer.Requirements(state.Deployments()) })
	members := s.members.Members(membership.RoleEndpoint)
	var nodes []placer.Node
	for _, m := range members {
		if m.Pool == s.Settings.Pool && !m.Leaving {
			nodes = append(nodes, placer.Node{Host: m.Host, Zone: m.Zone, Pool: m.Pool})
		}
	}
	placed := placer.Place(needs, nodes)
	set := manifest.WeightSetOf(artifacts...)
	goal := catalog.FetchGoal("")
	var peers []fetcher.Peer
	for _, m := range members {
		need, ok := placed[m.Host]
		if !ok || need.Set != set {
			continue
		}
		goal = need.FetchGoal
		peers = append(peers, fetcher.Peer{
			Peer: fetchplanner.Peer{Host: m.Host, Zone: m.Zone, Region: m.Region}, DataAddress: m.DataAddress, ControlAddress: m.ControlAddress,
		})
	}
	return peers, goal
}
