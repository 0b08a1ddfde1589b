package gatewayserver

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/quarantinerecorder"
)

const (
	// maxFactsWait is how long a host that is ready otherwise waits for the records of quarantined features.
	maxFactsWait = 2 * time.Second
	// presenceLearnTime is the time after the start in which the live hosts are not known yet.
	presenceLearnTime = 2 * time.Second
)

// initFacts creates the suspector, and what connects it to the other hosts and to the store.
func (h *Server) initFacts(exchanger *loadexchanger.Exchanger) {
	h.suspector = &crashsuspector.Suspector{MayProbe: h.isLowestLiveHost}
	h.recorder = &quarantinerecorder.Recorder{Suspector: h.suspector, IsWriter: h.isLowestLiveHost, Put: h.PutRecords, Logger: h.Logger}
	h.recorder.Init()
	h.factExchanger = &factexchanger.Exchanger{
		Suspector: h.suspector, LivePeers: func() []netip.AddrPort { return h.otherEntryHosts(h.presence.IsMember) },
		Peers: func() []netip.AddrPort { return h.otherEntryHosts(func(netip.Addr) bool { return true }) },
		Send:  exchanger.SendFacts, MaxMessageBytes: loadexchanger.MaxMessageBytes, OnChange: h.recorder.Notify,
	}
	h.factExchanger.Init()
	exchanger.OnFacts = h.factExchanger.Receive
}

// otherEntryHosts returns the exchange addresses of the other entry hosts that are selected.
func (h *Server) otherEntryHosts(isSelected func(a netip.Addr) bool) []netip.AddrPort {
	h.mu.Lock()
	entryHosts := h.entryHosts
	h.mu.Unlock()
	var out []netip.AddrPort
	for _, e := range entryHosts {
		if a := e.Address.Addr(); a != h.presence.Self && isSelected(a) {
			out = append(out, e.Address)
		}
	}
	return out
}

// isLowestLiveHost reports whether this is the live entry host with the lowest address, as far as this host knows.
func (h *Server) isLowestLiveHost() bool {
	if time.Since(h.startTime) < presenceLearnTime {
		return false
	}
	lower := h.otherEntryHosts(func(a netip.Addr) bool { return a.Less(h.presence.Self) && h.presence.IsAlive(a) })
	return len(lower) == 0
}

// handleStatus handles the values of the status topic.
func (h *Server) handleStatus(ctx context.Context, values map[string][]byte) {
	h.setEntryHosts(values)
	if !h.knowsFacts.Load() {
		h.learnFacts(values, h.queryNewest(ctx))
		return
	}
	h.addRecordedFacts(h.recorder.SetRecords(values))
}

// learnFacts takes the facts of other hosts after the start of this one, or those of the records in the store if no host
// knows them: the records may not be up to date.
func (h *Server) learnFacts(values map[string][]byte, responses []messages.NewestResponse) {
	recorded := h.recorder.SetRecords(values)
	isKnown := false
	for _, resp := range responses {
		if resp.KnowsFacts {
			isKnown = true
			h.suspector.Merge(resp.Facts)
		}
	}
	if !isKnown {
		h.addRecordedFacts(recorded)
	}
	h.knowsFacts.Store(true)
	h.factExchanger.Notify()
	h.recorder.Notify()
}

// addRecordedFacts adds the facts of records in the store. Other hosts read them as well, so nothing is announced.
func (h *Server) addRecordedFacts(facts crashsuspector.Facts) {
	if facts.IsEmpty() {
		return
	}
	before := h.suspector.QuarantinedFeatures()
	h.suspector.Merge(facts)
	h.factExchanger.Notify()
	learned := slices.DeleteFunc(h.suspector.QuarantinedFeatures(), func(f crashsuspector.Feature) bool { return slices.Contains(before, f) })
	if len(learned) > 0 {
		event.QuarantineRestored.Log(h.Logger, log.Fields{"features": len(learned)})
	}
}

// hasLearnedFacts reports whether this host knows the facts about crashes, or has waited for them for long enough.
func (h *Server) hasLearnedFacts() bool {
	if h.knowsFacts.Load() {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.loadedAt.IsZero() {
		h.loadedAt = time.Now()
	}
	return time.Since(h.loadedAt) >= maxFactsWait
}
