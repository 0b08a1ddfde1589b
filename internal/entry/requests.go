package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/claimer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/recorder"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/suspector"
	"github.com/nutmegdock/nutmegdock/internal/deduplicator"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/registrar"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// resultBytes bounds the answers that are kept for callers who ask again.
const resultBytes ident.Bytes = 32 << 20

// refreshTime bounds the wait for a configuration that another host has already.
const refreshTime = time.Second

// requests holds what runs each caller's request at most once.
type requests struct {
	registrar    *registrar.Registrar
	deduplicator *deduplicator.Deduplicator
	suspector    *suspector.Suspector
}

func (s *Server) buildRequests() {
	logs := &logclient.Client{URL: s.Settings.Log, HTTP: s.control.Client()}
	peers := &rpc.Pool{Dial: s.control.Dial}
	sus := &suspector.Suspector{}
	reg := &registrar.Registrar{
		Append: logs.Append, Read: logs.Read, Logger: s.Logger,
		Hosts: func() int { return len(s.members.Members(membership.RoleEntry)) },
	}
	d := &dispatcher.Dispatcher{
		View:      s.view,
		Router:    &router.Router{Zone: s.Settings.Zone, Intn: rand.IntN},
		Forwarder: &forwarder.Forwarder{HTTP: forwarder.NewClient()},
		Suspector: sus,
		Refresh:   s.refresh,
		Logger:    s.Logger,
	}
	s.requests = &requests{registrar: reg, suspector: sus, deduplicator: &deduplicator.Deduplicator{
		Host: s.Settings.Host, Control: s.Settings.Control, Claim: reg.Claim, Release: reg.Release,
		Recorder: &recorder.Recorder{Limit: resultBytes}, Next: d.Do,
		Fetch: func(ctx context.Context, c claimer.Claim, wait time.Duration) (recorder.Result, error) {
			q := messages.ResultQuery{Key: c.Key, Attempt: c.Attempt, Wait: wait.Milliseconds()}
			a, err := rpc.Call[messages.ResultAnswer](ctx, peers.Client(c.Control), messages.ResultMethod, q)
			return a.Result, err
		},
	}}
}

// refresh waits a little for the configuration that another host has already, and returns the deployment in it.
func (s *Server) refresh(ctx context.Context, e catalog.Effective, from ident.Host, offset ident.Offset) catalog.Effective {
	s.spread.Saw(from, offset)
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

// addMethods adds the calls of other hosts that concern requests.
func (q *requests) addMethods(methods map[string]rpc.Handler, logger log.Interface) {
	methods[messages.ResultMethod] = rpc.Handle(func(ctx context.Context, m messages.ResultQuery) (messages.ResultAnswer, error) {
		wait := time.Duration(m.Wait) * time.Millisecond
		return messages.ResultAnswer{Result: q.deduplicator.Result(ctx, claimer.Claim{Key: m.Key, Attempt: m.Attempt}, wait)}, nil
	})
	methods[messages.DeathMethod] = rpc.Handle(func(_ context.Context, m messages.Death) (messages.DeathAck, error) {
		event.DeathReceived.Log(logger, log.Fields{"death": m.ID, "requests": len(m.Running)})
		q.suspector.Blame(m.ID, m.Running)
		return messages.DeathAck{}, nil
	})
}

// run starts the background tasks.
func (q *requests) run(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return q.registrar.Run(ctx) })
}
