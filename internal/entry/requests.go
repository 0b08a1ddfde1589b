package entry

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

// resultBytes bounds the answers that are kept for callers who ask again.
const resultBytes ident.Bytes = 32 << 20

// refreshTime bounds the wait for a configuration that another host has already.
const refreshTime = time.Second

// requests holds what runs each caller's request at most once.
type requests struct {
	writer       *claimwriter.Writer
	relayer      *claimrelayer.Relayer
	deduplicator *deduplicator.Deduplicator
	quarantiner  *quarantiner.Quarantiner
}

func (s *Server) buildRequests() {
	logs := &logclient.Client{URL: s.Settings.Log, HTTP: s.control.Client()}
	peers := &rpc.Pool{Dial: s.control.Dial}
	sus := &quarantiner.Quarantiner{}
	reg := &claimwriter.Writer{
		Append: logs.Append, Read: logs.Read, Logger: s.Logger,
		Writers: func() int { return len(s.entryZones()) },
	}
	relay := &claimrelayer.Relayer{
		Host: s.Settings.Host, Writer: reg,
		Zone: func() []membership.Member { return s.entryZones()[s.Settings.Zone] },
		Send: func(ctx context.Context, control string, q messages.ClaimQuery) (messages.ClaimAnswer, error) {
			return rpc.Call[messages.ClaimAnswer](ctx, peers.Client(control), messages.ClaimMethod, q)
		},
	}
	d := &dispatcher.Dispatcher{
		Admit:       s.load.admitter.Admit,
		Budget:      s.load.admitter.Retry,
		Forwarder:   &forwarder.Forwarder{HTTP: forwarder.NewClient()},
		Quarantiner: sus,
		Refused:     s.members.Refused,
		Refresh:     s.refresh,
		Logger:      s.Logger,
	}
	s.requests = &requests{writer: reg, relayer: relay, quarantiner: sus, deduplicator: &deduplicator.Deduplicator{
		Control: s.Settings.Control, Claim: relay.Claim, Release: relay.Release,
		Results: &resultcache.Cache{Limit: resultBytes}, Next: d.Do,
		Fetch: func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error) {
			q := messages.ResultQuery{Key: c.Key, Attempt: c.Attempt, Wait: wait.Milliseconds()}
			a, err := rpc.Call[messages.ResultAnswer](ctx, peers.Client(c.Control), messages.ResultMethod, q)
			return a.Result, err
		},
	}}
}

// refresh waits a little for the configuration that another host has already, and returns the deployment in it.
func (s *Server) refresh(ctx context.Context, e catalog.Effective, from ident.Host, offset ident.Offset) catalog.Effective {
	s.replicator.Saw(from, offset)
	ctx, cancel := context.WithTimeout(ctx, refreshTime)
	defer cancel()
	_ = s.follower.Wait(ctx, offset)
	s.follower.View(func(r *reducer.Reducer) {
		if now, ok := r.Deployment(e.Organisation, e.Name); ok {
			e = now
		}
	})
	return e
}

// entryZones returns the entry hosts that are not leaving, by availability zone.
func (s *Server) entryZones() map[ident.Zone][]membership.Member {
	out := make(map[ident.Zone][]membership.Member)
	for _, m := range s.members.Members(membership.RoleEntry) {
		if !m.Leaving {
			out[m.Zone] = append(out[m.Zone], m)
		}
	}
	return out
}

// addMethods adds the calls of other hosts that concern requests.
func (q *requests) addMethods(methods map[string]rpc.Handler, logger log.Interface) {
	methods[messages.ResultMethod] = rpc.Handle(func(ctx context.Context, m messages.ResultQuery) (messages.ResultAnswer, error) {
		wait := time.Duration(m.Wait) * time.Millisecond
		return messages.ResultAnswer{Result: q.deduplicator.Result(ctx, claimreducer.Claim{Key: m.Key, Attempt: m.Attempt}, wait)}, nil
	})
	methods[messages.ClaimMethod] = rpc.Handle(q.relayer.Serve)
	methods[messages.DeathMethod] = rpc.Handle(func(_ context.Context, m messages.Death) (messages.DeathAck, error) {
		event.DeathReceived.Log(logger, log.Fields{"death": m.ID, "requests": len(m.Running)})
		q.quarantiner.Blame(m.ID, m.Running)
		return messages.DeathAck{}, nil
	})
}

// run starts the background tasks.
func (q *requests) run(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return q.writer.Run(ctx) })
}
