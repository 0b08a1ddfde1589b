package gatewayserver

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/buffermeter"
	"github.com/nutmegdock/nutmegdock/internal/callerlistener"
	"github.com/nutmegdock/nutmegdock/internal/connectionkeeper"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
)

// initBuffers bounds what the gateway buffers, if the memory of the host is known.
func (h *Server) initBuffers(registry prometheus.Registerer) {
	limiter := bufferlimiter.New(h.Memory)
	if limiter == nil {
		return
	}
	buffermeter.LogPressure(limiter, h.Logger)
	h.gateway.Buffers = limiter
	h.gateway.Sender.Dial = (&dialer.Dialer{ConnectTimeout: connectTimeout, Buffer: callerlistener.Buffer}).DialContext
	buffermeter.Register(registry, "nutmegdock_gateway_", limiter)
}

// newKeeper returns the keeper of the connections to one address.
func (h *Server) newKeeper(parts connectionbudget.Parts, registry prometheus.Registerer) *connectionkeeper.Keeper {
	k := connectionkeeper.New(parts, registry, h.Logger)
	k.Buffers, k.Pacer = h.gateway.Buffers, &h.pacer
	return k
}
