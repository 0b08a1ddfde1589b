package gatewayserver

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// probeEndpoints periodically connects to the endpoints that are out of use or silent, so that no request has to find
// out whether they are reachable.
func (h *Server) probeEndpoints(ctx context.Context) error {
	dial := &dialer.Dialer{ConnectTimeout: connectTimeout}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeInterval):
		}
		var wait sync.WaitGroup
		for _, p := range h.assigner.DueProbes() {
			wait.Go(func() { h.probeEndpoint(ctx, dial, p) })
		}
		wait.Wait()
	}
}

func (h *Server) probeEndpoint(ctx context.Context, dial *dialer.Dialer, p assigner.Probe) {
	conn, err := dial.DialContext(ctx, "tcp", p.Address)
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		_ = conn.Close()
	}
	if !h.assigner.RecordProbe(p, err == nil) {
		return
	}
	fields := log.Fields{"endpoint": p.ID, "address": p.Address}
	if err != nil {
		fields["cause"] = err.Error()
		event.EndpointUnreachable.Log(h.Logger, fields)
		return
	}
	event.EndpointReachable.Log(h.Logger, fields)
}
