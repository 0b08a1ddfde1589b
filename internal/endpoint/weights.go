package endpoint

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

// buildFetcher makes what moves weights in and out.
func (s *Server) buildFetcher() {
	isBusy := func() bool { return s.gate.Status().Running > 0 }
	s.chunks = &chunkserver.Server{
		Cache: s.cache, Zone: s.Settings.Zone, UploadLimiter: &uploadlimiter.Limiter{},
		Pacer: &pacer.Pacer{Rate: s.Settings.Pace, IsBusy: isBusy},
	}
	weights := &weightclient.Client{HTTP: forwarder.NewClient()}
	inward := &pacer.Pacer{Rate: s.Settings.Pace, IsBusy: isBusy}
	controls := &rpc.Pool{Dial: s.control.Dial}
	s.fetcher = &fetcher.Fetcher{
		Self: fetcher.Peer{
			Peer: fetchplanner.Peer{Host: s.Settings.Host, Zone: s.Settings.Zone, Region: s.Settings.Region},
			Data: s.Settings.Listen, Control: s.Settings.Control,
		},
		Home: s.Settings.Home, Sources: []string{s.Settings.Store, s.Settings.Origin}, Cache: s.cache,
		Peers: s.peers, Artifact: weights.Artifact, Logger: s.Logger,
		Chunk: func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error) {
			return weights.Chunk(ctx, base, c, zone, paced(inward, p))
		},
		Have: func(ctx context.Context, p fetcher.Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
			q.Offset = s.follower.Offset()
			a, err := rpc.Call[messages.HaveAnswer](ctx, controls.Client(p.Control), messages.HaveMethod, q)
			s.replicator.Saw(p.Host, a.Offset)
			return a, err
		},
	}
	s.fetcher.Register(s.registry)
}

// paced waits, after each piece received, until the next one may be read.
func paced(limit *pacer.Pacer, p weightclient.Progress) weightclient.Progress {
	last := 0
	return func(ctx context.Context, done int) error {
		n := done - last
		last = done
		if err := p(ctx, done); err != nil {
			return err
		}
		return limit.Wait(ctx, n)
	}
}

// have answers what the host holds.
func (s *Server) have(ctx context.Context, q messages.HaveQuery) (messages.HaveAnswer, error) {
	a, err := s.fetcher.Answer(ctx, q)
	a.Offset = s.follower.Offset()
	return a, err
}

// peers returns the hosts that are to serve the weight set made of the artifacts.
func (s *Server) peers(artifacts []ident.Digest) ([]fetcher.Peer, catalog.Bias) {
	var needs []placer.Need
	s.follower.View(func(st *reducer.Reducer) { needs = placer.Needs(st.Deployments()) })
	members := s.members.Members(membership.RoleEndpoint)
	var nodes []placer.Node
	for _, m := range members {
		if m.Pool == s.Settings.Pool && !m.Leaving {
			nodes = append(nodes, placer.Node{Host: m.Host, Zone: m.Zone, Pool: m.Pool})
		}
	}
	placed := placer.Place(needs, nodes)
	set := manifest.Set(artifacts...)
	bias := catalog.Bias("")
	var out []fetcher.Peer
	for _, m := range members {
		need, ok := placed[m.Host]
		if !ok || need.Set != set {
			continue
		}
		bias = need.Bias
		out = append(out, fetcher.Peer{
			Peer: fetchplanner.Peer{Host: m.Host, Zone: m.Zone, Region: m.Region}, Data: m.Data, Control: m.Control,
		})
	}
	return out, bias
}
