package gatewayserver

import (
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// initZones creates the balancer of the zones and registers its metrics.
func (h *Server) initZones(registry prometheus.Registerer) {
	h.balancer = &zonebalancer.Balancer{
		Zone: h.Zone,
		OnLinkChange: func(z ident.Zone, isImpaired bool) {
			if isImpaired {
				event.ZoneImpaired.Log(h.Logger, log.Fields{"zone": string(z)})
				return
			}
			event.ZoneRecovered.Log(h.Logger, log.Fields{"zone": string(z)})
		},
		OnSpillChange: func(isSpilling bool) {
			if isSpilling {
				event.SpillBegun.Log(h.Logger, log.Fields{"zone": string(h.Zone)})
				return
			}
			event.SpillEnded.Log(h.Logger, log.Fields{"zone": string(h.Zone)})
		},
	}
	registry.MustRegister(zoneCollector{h.balancer})
}

func (h *Server) handleRoundTrip(e fleetconfig.Endpoint, took time.Duration) {
	h.balancer.RecordRoundTrip(e.Zone, took)
}

func (h *Server) handleMissedReply(e fleetconfig.Endpoint) {
	h.balancer.RecordMissedReply(e.Zone)
}

var (
	zoneShareDesc     = prometheus.NewDesc("nutmegdock_gateway_zone_share", "Share of the requests of the last seconds that this host has sent to the zone.", []string{"zone"}, nil)
	zoneAllowedDesc   = prometheus.NewDesc("nutmegdock_gateway_zone_allowed", "Part of the requests for which the zone may be a candidate; less than 1 if it was cut off or evacuated or its link is impaired.", []string{"zone"}, nil)
	zoneRoundTripDesc = prometheus.NewDesc("nutmegdock_gateway_zone_round_trip_seconds", "Mean round trip of load messages to the zone.", []string{"zone"}, nil)
)

// zoneCollector collects the metrics of the zones when they are read, so that they cost nothing per request.
type zoneCollector struct {
	balancer *zonebalancer.Balancer
}

// Describe implements prometheus.Collector.
func (zoneCollector) Describe(out chan<- *prometheus.Desc) {
	out <- zoneShareDesc
	out <- zoneAllowedDesc
	out <- zoneRoundTripDesc
}

// Collect implements prometheus.Collector.
func (c zoneCollector) Collect(out chan<- prometheus.Metric) {
	for z, s := range c.balancer.Statuses() {
		out <- prometheus.MustNewConstMetric(zoneShareDesc, prometheus.GaugeValue, s.Assigned, string(z))
		out <- prometheus.MustNewConstMetric(zoneAllowedDesc, prometheus.GaugeValue, s.Share, string(z))
		out <- prometheus.MustNewConstMetric(zoneRoundTripDesc, prometheus.GaugeValue, s.RoundTrip.Seconds(), string(z))
	}
}
