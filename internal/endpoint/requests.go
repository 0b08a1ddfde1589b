package endpoint

import (
	"context"
	"fmt"
	"net/http"

	"github.com/apex/log"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/inflighttracker"
	"github.com/nutmegdock/nutmegdock/internal/core/permitter"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/notifier"
	"github.com/nutmegdock/nutmegdock/internal/prober"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// requests holds what hands requests to the back end.
type requests struct {
	proxy    *endpointproxy.Proxy
	prober   *prober.Prober
	notifier *notifier.Notifier
}

func (s *Server) buildRequests() {
	entries := &rpc.Pool{Dial: s.control.Dial}
	watch := &prober.Prober{Kind: s.Settings.Kind, Backend: s.Settings.Backend, HTTP: &http.Client{}}
	tell := &notifier.Notifier{
		Entries: func() []membership.Member { return s.members.Members(membership.RoleEntry) },
		Send: func(ctx context.Context, control string, d messages.Death) error {
			_, err := rpc.Call[messages.DeathAck](ctx, entries.Client(control), messages.DeathMethod, d)
			return err
		},
	}
	s.requests = &requests{prober: watch, notifier: tell, proxy: &endpointproxy.Proxy{
		Gate: &s.gate, Backend: s.Settings.Backend, Offset: s.follower.Offset,
		Forwarder: &forwarder.Forwarder{HTTP: forwarder.NewClient(), Backend: true},
		Fresh:     &forwarder.Forwarder{HTTP: forwarder.NewFreshClient(), Backend: true},
		Permitter: &permitter.Permitter{NewPermit: func() permitter.Permit { return permitter.Permit(uuid.NewString()) }},
		Tracker:   &inflighttracker.Tracker{Name: fmt.Sprintf("%s/%d", s.Settings.Host, s.birth)},
		Birth:     watch.StartTime,
		Load:      s.loadHeader,
		Dead:      watch.HasCrashed,
		Down:      watch.IsDown,
		Notify: func(d inflighttracker.Death) {
			event.BackendDied.Log(s.Logger, log.Fields{"death": d.ID, "requests": len(d.Running)})
			if s.Settings.Kind == catalog.KindEngine {
				// An engine that starts again has no weights. The gate opens when they are loaded.
				s.gate.Close()
			}
			tell.Add(d)
		},
	}}
	if s.Settings.Kind == catalog.KindEngine {
		s.requests.proxy.Watch = s.watch
		s.requests.proxy.Unfenced = s.Settings.Unfenced
	}
}

func (q *requests) register(mux *http.ServeMux) {
	mux.Handle(endpointproxy.Prefix+"/", q.proxy)
	mux.HandleFunc("GET "+endpointproxy.PermitPath, q.proxy.Permit)
}

// run starts the background tasks.
func (q *requests) run(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return q.prober.Run(ctx) })
	tasks.Go(func() error { return q.notifier.Run(ctx) })
}
