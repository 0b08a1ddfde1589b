package endpointhost

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
	"github.com/nutmegdock/nutmegdock/internal/crashnotifier"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/prober"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// requests groups the components that pass requests to the back end and watch it.
type requests struct {
	proxy    *endpointproxy.Proxy
	prober   *prober.Prober
	notifier *crashnotifier.Notifier
}

func (s *Server) buildRequests() {
	entryClients := &rpc.Pool{Dial: s.controlBytes.Dial}
	backendProber := &prober.Prober{Kind: s.Settings.Kind, Backend: s.Settings.BackendURL, HTTP: s.heads.Observe((&dialer.Dialer{}).Client())}
	crashNotifier := &crashnotifier.Notifier{
		EntryHosts: func() []membership.Member { return s.members.Members(membership.RoleEntry) },
		Send: func(ctx context.Context, control string, crash messages.BackendCrash) error {
			_, err := rpc.Call[messages.BackendCrashAck](ctx, entryClients.Client(control), messages.BackendCrashMethod, crash)
			return err
		},
	}
	s.requests = &requests{prober: backendProber, notifier: crashNotifier, proxy: &endpointproxy.Proxy{
		Gate: &s.gate, Backend: s.Settings.BackendURL, ConfigOffset: s.follower.Offset,
		Forwarder:          &forwarder.Forwarder{HTTP: s.heads.Observe(forwarder.NewClient()), IgnoreOutcome: true},
		SingleUseForwarder: &forwarder.Forwarder{HTTP: s.heads.Observe(forwarder.NewSingleUseClient()), IgnoreOutcome: true},
		Permitter:          &permitter.Permitter{NewPermit: func() permitter.Permit { return permitter.Permit(uuid.NewString()) }},
		Tracker:            &inflighttracker.Tracker{CrashIDPrefix: fmt.Sprintf("%s/%d", s.Settings.Host, s.startTime)},
		BackendStartTime:   backendProber.StartTime,
		LoadHeader:         s.loadHeader,
		HasCrashed:         backendProber.HasCrashed,
		IsDown:             backendProber.IsDown,
		OnCrash: func(crash inflighttracker.Crash) {
			event.BackendCrashed.Log(s.Logger, log.Fields{"death": crash.ID, "requests": len(crash.InFlight)})
			if s.Settings.Kind == catalog.KindEngine {
				// A restarted engine has no weights. The reconciler opens the gate again when they are loaded.
				s.gate.Close()
			}
			crashNotifier.Notify(crash)
		},
	}}
	if s.Settings.Kind == catalog.KindEngine {
		s.requests.proxy.WatchWeights = s.newEngineCheck
		s.requests.proxy.Unfenced = s.Settings.Unfenced
	}
}

func (q *requests) register(mux *http.ServeMux) {
	mux.Handle(endpointproxy.RunPrefix+"/", q.proxy)
	mux.HandleFunc("GET "+endpointproxy.PermitPath, q.proxy.ServePermit)
}

// run starts the prober and the notifier.
func (q *requests) run(ctx context.Context, tasks *errgroup.Group) {
	tasks.Go(func() error { return q.prober.Run(ctx) })
	tasks.Go(func() error { return q.notifier.Run(ctx) })
}
