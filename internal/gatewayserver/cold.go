package gatewayserver

import (
	"context"
	"net/netip"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/coldtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/permitsharer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// maxReadAge is the age of the last reads of the store up to which this host relies on knowing the cold endpoints. It is
// longer than a call that waits for a change by the operator and the pause after it, and shorter than the time for which
// endpoints stay cold.
const maxReadAge = 2 * time.Second

// initCold creates the tracker of cold endpoints, with its metrics, and connects it to the assigner and the exchanger.
func (h *Server) initCold(registry prometheus.Registerer, exchanger *loadexchanger.Exchanger) {
	h.cold = &coldtracker.Tracker{
		Overshoot: h.ColdOvershoot, Slack: h.ColdSlack, IsCurrent: func() bool { return h.FleetWatcher.ReadAge() <= maxReadAge },
		OnChange: func(e fleetconfig.Endpoint, isCold bool, reason coldtracker.Reason, remaining time.Duration) {
			if !isCold {
				event.EndpointWarm.Log(h.Logger, log.Fields{"endpoint": e.ID, "born": e.StartTime})
				return
			}
			if reason != coldtracker.Responder {
				// Hosts that do not know it yet hear it from the responder.
				exchanger.LoadChanged(e, assigner.Load{})
			}
			event.EndpointCold.Log(h.Logger, log.Fields{"endpoint": e.ID, "born": e.StartTime, "reason": string(reason), "remaining": remaining.Milliseconds()})
		},
	}
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_gateway_cold_endpoints", Help: "Endpoints that are cold, so that requests to them need permits.",
	}, func() float64 { return float64(h.cold.ColdEndpoints()) }))
	h.permits = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "nutmegdock_gateway_permits_total", Help: "Permits asked for, for requests to endpoints that are cold or state a limit, by result.",
	}, []string{"result"})
	registry.MustRegister(h.permits)
	h.assigner.IsCold = h.cold.IsCold
	exchanger.Cold, exchanger.OnCold, exchanger.PermitShare = h.cold.Claim, h.cold.RecordResponder, h.sharer.Share
	exchanger.Cede, exchanger.OnHandover = h.cedePermits, h.sharer.Accept
}

// takePermit takes a permit, and counts it.
func (h *Server) takePermit(ctx context.Context, e fleetconfig.Endpoint) (ok bool, wait time.Duration) {
	ok, wait = h.exchanger.TakePermit(ctx, e)
	result := "refused"
	if ok {
		result = "granted"
	}
	h.permits.WithLabelValues(result).Inc()
	return ok, wait
}

// setEndpoints passes the listed endpoints on. The tracker of the cold ones gets them first, so that no request is sent to
// one that it does not know.
func (h *Server) setEndpoints() {
	tracker := h.FleetWatcher.Tracker
	all := tracker.Endpoints()
	if tracker.Loaded() {
		h.cold.SetEndpoints(all)
	}
	h.assigner.SetEndpoints(all)
}

// observeShares tells the sharer of permits what this host sees of the entry hosts, until ctx ends.
func (h *Server) observeShares(ctx context.Context) error {
	ticker := time.NewTicker(permitsharer.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.observeSharesNow()
		}
	}
}

func (h *Server) observeSharesNow() {
	config := h.gateway.Config()
	if config == nil || !hasColdServices(config) {
		return
	}
	observed := make(map[string]bool)
	view := permitsharer.View{IsCurrent: h.FleetWatcher.ReadAge() <= maxReadAge}
	for _, e := range h.FleetWatcher.Tracker.Endpoints() {
		pool := config.Pools[e.Pool]
		if !pool.HasColdEndpoints() || pool.Engine != nil {
			continue
		}
		if view.All == 0 {
			view.Live, view.All = h.countEntryHosts()
		}
		view.IsResponder = h.loadResponder(e).Addr() == h.presence.Self
		h.sharer.Observe(e.ID, h.cold.Excess(e.Pool), view)
		if view.IsResponder && h.sharer.Share(e.ID) == 0 {
			if former := h.serviceResponder(e, h.presence.Self); former.IsValid() {
				h.exchanger.RequestHandover(e.ID, former)
			}
		}
		observed[e.ID] = true
	}
	h.sharer.Retain(observed)
}

// hasColdServices reports whether endpoints of a plain service may be cold.
func hasColdServices(config *fleetconfig.Config) bool {
	for _, pool := range config.Pools {
		if pool.HasColdEndpoints() && pool.Engine == nil {
			return true
		}
	}
	return false
}

// cedePermits passes the permits for an endpoint to the host that has become its responder, as this host sees it too.
func (h *Server) cedePermits(endpoint string, successor netip.Addr) float64 {
	for _, e := range h.FleetWatcher.Tracker.Endpoints() {
		if e.ID == endpoint && h.loadResponder(e).Addr() == successor {
			return h.sharer.Cede(endpoint)
		}
	}
	return 0
}

// countEntryHosts returns the numbers of entry hosts that are live and that are listed.
func (h *Server) countEntryHosts() (live, all int) {
	h.mu.Lock()
	entryHosts := h.entryHosts
	h.mu.Unlock()
	for _, e := range entryHosts {
		if h.presence.IsAlive(e.Address.Addr()) {
			live++
		}
	}
	return live, len(entryHosts)
}
