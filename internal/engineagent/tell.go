package engineagent

import (
	"context"
	"net"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
)

const (
	// tellEvery is how often the entry hosts hear of an engine that takes no requests, and tellAfter how long they hear of
	// one that has just loaded, until its own entry says so.
	tellEvery = 100 * time.Millisecond
	tellAfter = 3 * time.Second
	// closeTime is the time for the entry hosts to hear that the engine takes no more requests: several one-way delays.
	closeTime = 20 * time.Millisecond
	// chunkEvery is how often a missing chunk is looked for: less than one takes on the link.
	chunkEvery = 20 * time.Millisecond
	// confirmEvery is how often the engine is asked while it loads.
	confirmEvery = 30 * time.Millisecond
	// loadTime bounds the time from an order until the engine serves: the longest answer in progress, and the loading.
	loadTime = 6 * time.Second
)

// gate is what the entry hosts are told of the engine. The zero value tells nothing.
type gate struct {
	Closed  bool
	Born    int64
	Model   directory.Model
	Release directory.Release
	since   time.Time
}

func (h *Host) setGate(g gate) {
	g.since = time.Now()
	h.mu.Lock()
	h.gate = g
	h.mu.Unlock()
	h.tell()
}

// tell sends the gate to all entry hosts.
func (h *Host) tell() {
	h.mu.Lock()
	g, seeds := h.gate, h.seeds
	h.mu.Unlock()
	if g.Born == 0 || !g.Closed && time.Since(g.since) > tellAfter {
		return
	}
	data, err := loadexchanger.Encode(loadexchanger.Message{Gate: &assigner.Gate{
		Address: h.Address, Born: g.Born, Closed: g.Closed, Model: g.Model, Release: g.Release,
	}})
	if err != nil {
		h.Logger.WithError(err).Error("encode the engine's state")
		return
	}
	for _, s := range seeds {
		// A message that cannot be sent is as good as a lost one.
		_, _ = h.Conn.WriteTo(data, net.UDPAddrFromAddrPort(s.Address))
	}
}

func (h *Host) keepTelling(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return h.Conn.Close()
		case <-time.After(tellEvery):
			h.tell()
		}
	}
}
