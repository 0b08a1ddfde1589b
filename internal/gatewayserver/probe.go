package gatewayserver

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
	"github.com/nutmegdock/nutmegdock/internal/healthchecker"
)

// healthTimeout bounds a health check of an endpoint that stands still. The check waits there until the endpoint goes on.
const healthTimeout = time.Second

// probing holds the endpoints that are probed now.
type probing struct {
	mu  sync.Mutex
	ids map[string]bool
}

// begin reports whether an endpoint is not probed yet, and marks it as probed until end is called.
func (p *probing) begin(id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ids == nil {
		p.ids = make(map[string]bool)
	}
	isNew := !p.ids[id]
	p.ids[id] = true
	return isNew
}

func (p *probing) end(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.ids, id)
}

// checkStalls looks for endpoints that stand still until ctx ends.
func (h *Server) checkStalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(h.gateway.CheckStalls()):
		}
	}
}

// probeEndpoints periodically connects to the endpoints that are out of use or silent, so that no request has to find
// out whether they are reachable.
func (h *Server) probeEndpoints(ctx context.Context) error {
	dial := &dialer.Dialer{ConnectTimeout: connectTimeout}
	var running probing
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(probeInterval):
		}
		for _, p := range h.assigner.DueProbes() {
			if running.begin(p.ID) {
				wait.Go(func() {
					defer running.end(p.ID)
					h.probeEndpoint(ctx, dial, p)
				})
			}
		}
	}
}

func (h *Server) probeEndpoint(ctx context.Context, dial *dialer.Dialer, p assigner.Probe) {
	conn, err := dial.DialContext(ctx, "tcp", p.Address)
	if ctx.Err() != nil || dialer.IsLocal(err) {
		return
	}
	if err == nil {
		defer conn.Close()
	}
	if h.assigner.RecordProbe(p, err == nil) {
		h.logProbe(p, err)
	}
	if err == nil && p.Pool != "" && h.checkHealth(ctx, conn, p) {
		h.assigner.RecordHealth(p)
	}
}

func (h *Server) logProbe(p assigner.Probe, err error) {
	fields := log.Fields{"endpoint": p.ID, "address": p.Address}
	if err != nil {
		fields["cause"] = err.Error()
		event.EndpointUnreachable.Log(h.Logger, fields)
		return
	}
	event.EndpointReachable.Log(h.Logger, fields)
}

// checkHealth reports whether an endpoint responds to a health check in time.
func (h *Server) checkHealth(ctx context.Context, conn net.Conn, p assigner.Probe) bool {
	config := h.gateway.Config()
	if config == nil || config.Pools[p.Pool] == nil {
		return false
	}
	path := cmp.Or(config.Pools[p.Pool].HealthPath, "/")
	err := (&healthchecker.Checker{Timeout: healthTimeout}).Check(ctx, conn, path)
	return headchecker.RefusalFunc(h.Heads.Report).Report(p.Address, err) == nil
}
