package gatewayserver

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// initEjections lets the assigner eject endpoints, and registers their counter and gauge.
func (h *Server) initEjections(registry prometheus.Registerer) {
	ejections := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "nutmegdock_gateway_ejections_total", Help: "Ejections of endpoints that fail far more often than the others of their pool.",
	}, []string{"pool"})
	ejected := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_gateway_ejected_endpoints", Help: "Endpoints that are ejected now.",
	}, func() float64 { return float64(h.assigner.EjectedEndpoints()) })
	registry.MustRegister(ejections, ejected)
	h.assigner.OnEjection = func(e assigner.Ejection) {
		pool := string(e.Endpoint.Pool)
		fields := log.Fields{"endpoint": e.Endpoint.ID, "born": e.Endpoint.StartTime, "pool": pool, "rate": e.FailureRate, "mean": e.MeanRate}
		if !e.IsEjected {
			event.EndpointReadmitted.Log(h.Logger, fields)
			return
		}
		ejections.WithLabelValues(pool).Inc()
		event.EndpointEjected.Log(h.Logger, fields)
	}
}
