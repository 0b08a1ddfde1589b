package gatewayserver

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/evacuationtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// initEvacuations creates the tracker of evacuated zones, with a gauge for each zone of the fleet.
func (h *Server) initEvacuations(registry prometheus.Registerer) {
	gauge := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "nutmegdock_gateway_zone_evacuated", Help: "1 if the zone is evacuated, so that its endpoints get no requests.",
	}, []string{"zone"})
	registry.MustRegister(gauge)
	for z := range h.Regions {
		gauge.WithLabelValues(string(z)).Set(0)
	}
	h.evacuations = &evacuationtracker.Tracker{OnChange: func(z ident.Zone, isEvacuated bool) {
		h.balancer.RecordEvacuation(z, isEvacuated)
		if isEvacuated {
			gauge.WithLabelValues(string(z)).Set(1)
			event.ZoneEvacuated.Log(h.Logger, log.Fields{"zone": string(z)})
			return
		}
		h.cold.RecordEvacuationEnd(z)
		gauge.WithLabelValues(string(z)).Set(0)
		event.ZoneReturned.Log(h.Logger, log.Fields{"zone": string(z)})
	}}
}
