package engineagent

import (
	"context"
	"net"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

const (
	// announceInterval is the time between two announcements of an engine's gate state. A closed gate is announced until
	// the state changes. A newly loaded release is announced for announceDuration; by then the engine's entry in the store
	// shows it.
	announceInterval = 100 * time.Millisecond
	announceDuration = 3 * time.Second
	// closeDelay is the time for the entry hosts to receive the announcement that the engine accepts no more requests:
	// several one-way network delays.
	closeDelay = 20 * time.Millisecond
	// chunkPollInterval is the time between two checks for a missing chunk. It is shorter than the transfer of one chunk.
	chunkPollInterval = 20 * time.Millisecond
	// confirmInterval is the time between two reads of the engine's report while it loads.
	confirmInterval = 30 * time.Millisecond
	// loadTimeout bounds the time from a load command until the engine serves: it covers the longest response in progress
	// and the loading.
	loadTimeout = 6 * time.Second
)

// gateState is the engine state that is announced to the entry hosts. The zero value is not announced.
type gateState struct {
	Closed bool
	// StartTime identifies the engine's incarnation.
	StartTime int64
	Model     fleetconfig.Model
	Release   fleetconfig.Release
	setAt     time.Time
}

func (h *Agent) setGateState(g gateState) {
	g.setAt = time.Now()
	h.mu.Lock()
	h.gateState = g
	h.mu.Unlock()
	h.announce()
}

// announce sends the gate state to all entry hosts.
func (h *Agent) announce() {
	h.mu.Lock()
	g, entryHosts := h.gateState, h.entryHosts
	h.mu.Unlock()
	if g.StartTime == 0 || !g.Closed && time.Since(g.setAt) > announceDuration {
		return
	}
	data, err := loadexchanger.EncodeMessage(loadexchanger.Message{Gate: &assigner.GateState{
		Address: h.Address, StartTime: g.StartTime, Closed: g.Closed, Model: g.Model, Release: g.Release,
	}})
	if err != nil {
		h.Logger.WithError(err).Error("encode the engine's gate state")
		return
	}
	for _, entry := range entryHosts {
		// A failed send is handled like a lost datagram: the announcement is repeated.
		_, _ = h.GateConn.WriteTo(data, net.UDPAddrFromAddrPort(entry.Address))
	}
}

func (h *Agent) announcePeriodically(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return h.GateConn.Close()
		case <-time.After(announceInterval):
			h.announce()
		}
	}
}
