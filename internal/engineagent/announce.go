package engineagent

import (
	"context"
	"net"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

const (
	// announceInterval is the time between two announcements of an engine's gate state to the entry hosts of its zone. The
	// others learn it from replies to their queries. A closed gate is announced until the state changes, a newly loaded
	// release for announceDuration; by then the engine's entry in the store shows it.
	announceInterval = 300 * time.Millisecond
	announceDuration = 1200 * time.Millisecond
	// gateReplyDuration is how long a newly loaded release is stated in replies.
	gateReplyDuration = 3 * time.Second
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

// setGateState sets the engine state that is announced to the entry hosts, and announces it.
func (h *Agent) setGateState(g assigner.GateState) {
	g.Address = h.Address
	h.mu.Lock()
	h.gateState, h.gateStateAt = g, time.Now()
	h.mu.Unlock()
	h.announce()
	select {
	case h.gateChanged <- struct{}{}:
	default:
	}
}

// currentGate returns the gate state to state in replies, or nil if the engine's entry in the store shows it.
func (h *Agent) currentGate() *assigner.GateState {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateState
	if g.StartTime == 0 || !g.Closed && time.Since(h.gateStateAt) > gateReplyDuration {
		return nil
	}
	return &g
}

// lastGate returns the last gate state, or nil if there is none yet.
func (h *Agent) lastGate() *assigner.GateState {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateState
	if g.StartTime == 0 {
		return nil
	}
	return &g
}

// announce sends the gate state to the entry hosts of the zone, or to all if the zone has none.
func (h *Agent) announce() {
	h.mu.Lock()
	entryHosts := h.entryHosts
	h.mu.Unlock()
	state := h.currentGate()
	if state == nil || !h.isAnnouncing() {
		return
	}
	data, err := loadexchanger.EncodeGate(*state)
	if err != nil {
		h.Logger.WithError(err).Error("encode the engine's gate state")
		return
	}
	for _, entry := range h.preferZone(entryHosts) {
		// A failed send is handled like a lost datagram: the announcement is repeated.
		_, _ = h.GateConn.WriteTo(data, net.UDPAddrFromAddrPort(entry.Address))
	}
}

// announcePeriodically repeats the announcements. While there is nothing to announce, it waits for the next state.
func (h *Agent) announcePeriodically(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.gateChanged:
		}
		for h.isAnnouncing() && ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(announceInterval):
				h.announce()
			}
		}
	}
}

// isAnnouncing reports whether the gate state is announced.
func (h *Agent) isAnnouncing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	g := h.gateState
	return g.StartTime != 0 && (g.Closed || time.Since(h.gateStateAt) <= announceDuration)
}
