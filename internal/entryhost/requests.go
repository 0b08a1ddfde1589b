package entryhost

import (
	"context"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/claimrelayer"
	"github.com/nutmegdock/nutmegdock/internal/claimwriter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
	"github.com/nutmegdock/nutmegdock/internal/deduplicator"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// maxResultBytes is the maximum size of the responses that are kept for callers that repeat a request.
const maxResultBytes ident.Bytes = 32 << 20

// refreshTimeout is the maximum wait for a configuration that another host already has.
const refreshTimeout = time.Second

// requestPipeline holds the components that run each caller's request at most once.
type requestPipeline struct {
	writer       *claimwriter.Writer
	relayer      *claimrelayer.Relayer
	deduplicator *deduplicator.Deduplicator
	quarantiner  *quarantiner.Quarantiner
}

func (s *Server) buildRequests() {
	logs := &logclient.Client{URL: s.Settings.LogURL, HTTP: s.heads.Observe(s.controlTraffic.Client())}
	peers := &rpc.Pool{Dial: s.controlTraffic.Dial}
	quarantine := &quarantiner.Quarantiner{}
	writer := &claimwriter.Writer{
		Append: logs.Append, Read: logs.Read, Logger: s.Logger,
		WriterCount: func() int { return len(s.entryHostsByZone()) },
	}
	relayer := &claimrelayer.Relayer{
		LocalHost: s.Settings.Host, LocalWriter: writer,
		ZoneMembers: func() []membership.Member { return s.entryHostsByZone()[s.Settings.Zone] },
		Send: func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimResponse, error) {
			return rpc.Call[messages.ClaimResponse](ctx, peers.Client(control), messages.ClaimMethod, q)
		},
	}
	dispatch := &dispatcher.Dispatcher{
		Admit:             s.admission.admitter.Admit,
		SpendRetryBudget:  s.admission.admitter.SpendRetryBudget,
		Forwarder:         &forwarder.Forwarder{HTTP: s.heads.Observe(forwarder.NewClient())},
		Quarantiner:       quarantine,
		OnRefusal:         s.members.RecordRefusal,
		RefreshDeployment: s.refreshDeployment,
		Logger:            s.Logger,
	}
	s.pipeline = &requestPipeline{writer: writer, relayer: relayer, quarantiner: quarantine, deduplicator: &deduplicator.Deduplicator{
		ControlAddress: s.Settings.ControlAddress, ClaimKey: relayer.Claim, ReleaseClaim: relayer.Release,
		Results: &resultcache.Cache{MaxBytes: maxResultBytes}, Dispatch: dispatch.Do,
		FetchResult: func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
			q := messages.ResultQuery{Key: c.Key, Attempt: c.Attempt, WaitMs: wait.Milliseconds()}
			resp, err := rpc.Call[messages.ResultResponse](ctx, peers.Client(c.ControlAddress), messages.ResultMethod, q)
			return resp.Result, err
		},
	}}
}

// refreshDeployment waits up to refreshTimeout for the configuration offset that another host already has, and returns
// the deployment in the newest configuration.
func (s *Server) refreshDeployment(ctx context.Context, e catalog.EffectiveDeployment, from ident.Host, offset ident.Offset) catalog.EffectiveDeployment {
	s.replicator.RecordPeerOffset(from, offset)
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_ = s.follower.WaitForOffset(ctx, offset)
	s.follower.View(func(r *reducer.Reducer) {
		if current, ok := r.Deployment(e.Organisation, e.Name); ok {
			e = current
		}
	})
	return e
}

// entryHostsByZone returns the entry hosts that are not leaving, by availability zone.
func (s *Server) entryHostsByZone() map[ident.Zone][]membership.Member {
	out := make(map[ident.Zone][]membership.Member)
	for _, m := range s.members.Members(membership.RoleEntry) {
		if !m.Leaving {
			out[m.Zone] = append(out[m.Zone], m)
		}
	}
	return out
}

// registerMethods adds the RPC handlers that other hosts call for results, claims and crash notices.
func (p *requestPipeline) registerMethods(methods map[string]rpc.Handler, logger log.Interface) {
	methods[messages.ResultMethod] = rpc.TypedHandler(func(ctx context.Context, m messages.ResultQuery) (messages.ResultResponse, error) {
		wait := time.Duration(m.WaitMs) * time.Millisecond
		return messages.ResultResponse{Result: p.deduplicator.Result(ctx, claimreducer.Claim{Key: m.Key, Attempt: m.Attempt}, wait)}, nil
	})
	methods[messages.ClaimMethod] = rpc.TypedHandler(p.relayer.HandleQuery)
	methods[messages.BackendCrashMethod] = rpc.TypedHandler(func(_ context.Context, m messages.BackendCrash) (messages.BackendCrashAck, error) {
		event.BackendCrashReported.Log(logger, log.Fields{"death": m.ID, "requests": len(m.InFlight)})
		p.quarantiner.RecordCrash(m.ID, m.InFlight)
		return messages.BackendCrashAck{}, nil
	})
}

// run starts the background tasks.
func (p *requestPipeline) run(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return p.writer.Run(ctx) })
}
