package gatewayserver

import (
	"net/netip"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

// loadResponder returns the address of the process that the entry hosts report their load at an endpoint to. That of an
// engine is the host beside it. That of a plain service is the live entry host of its zone with the highest rendezvous
// score; hosts that disagree on it for a moment miss each other's loads.
func (h *Server) loadResponder(e fleetconfig.Endpoint) netip.AddrPort {
	config := h.gateway.Config()
	if config == nil {
		return netip.AddrPort{}
	}
	if pool := config.Pools[e.Pool]; pool != nil && pool.Engine != nil {
		address, err := netip.ParseAddr(string(e.Host()))
		if err != nil {
			return netip.AddrPort{}
		}
		return netip.AddrPortFrom(address, uint16(h.ExchangePort))
	}
	return h.serviceResponder(e, netip.Addr{})
}

// serviceResponder returns the responder of an endpoint of a plain service if one host is left out.
func (h *Server) serviceResponder(e fleetconfig.Endpoint, leftOut netip.Addr) netip.AddrPort {
	h.mu.Lock()
	entryHosts := h.entryHosts
	h.mu.Unlock()
	var best, bestAnywhere netip.AddrPort
	var score, scoreAnywhere uint64
	for _, entry := range entryHosts {
		if entry.Address.Addr() == leftOut || !h.presence.IsAlive(entry.Address.Addr()) {
			continue
		}
		s := ranker.Score(e.ID, string(entry.Host()))
		if !bestAnywhere.IsValid() || s > scoreAnywhere {
			bestAnywhere, scoreAnywhere = entry.Address, s
		}
		if entry.Zone == e.Zone && (!best.IsValid() || s > score) {
			best, score = entry.Address, s
		}
	}
	if best.IsValid() {
		return best
	}
	return bestAnywhere
}

func (h *Server) handleLimit(e fleetconfig.Endpoint, limit fleetconfig.RateLimit) {
	if h.assigner.RecordLimit(e, limit) {
		event.EndpointLimited.Log(h.Logger, log.Fields{"endpoint": e.ID, "born": e.StartTime, "limited": limit.IsLimited, "rate": float64(limit.Rate), "source": "entry host"})
	}
}

func (h *Server) handleLoadReply(e fleetconfig.Endpoint, r loadexchanger.Reply) {
	h.assigner.RecordReply(e)
	h.assigner.SetReport(e, r.Load)
	if r.Pace != nil {
		h.assigner.SetPace(e, *r.Pace)
	}
	if r.Outcomes != nil {
		h.assigner.SetOutcomes(e, *r.Outcomes)
	}
	if r.IsLeaving && h.assigner.RecordLeaving(e) {
		event.EndpointLeaving.Log(h.Logger, log.Fields{"endpoint": e.ID, "born": e.StartTime, "source": "entry host"})
	}
}

func (h *Server) handleShare(e fleetconfig.Endpoint, r assigner.Requester, used, fair float64) {
	h.assigner.RecordShare(e.Pool, r, used, fair)
}
