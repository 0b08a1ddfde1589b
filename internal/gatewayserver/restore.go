package gatewayserver

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/idletimer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/recordpacker"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
)

const (
	// newestPeers is the number of hosts that a host asks for the newest state when it starts, and newestTimeout bounds
	// the time for all of them. It covers many round trips in a zone.
	newestPeers   = 3
	newestTimeout = 100 * time.Millisecond
	// maxNewestTime bounds a response that arrives slowly.
	maxNewestTime = 500 * time.Millisecond
	// maxListTime bounds the time for which a host that starts tries to read the list of entry hosts. Without it, it does not know
	// from which hosts it could read the rest, and all hosts that start together would read that from the store.
	maxListTime    = 1500 * time.Millisecond
	listRetryDelay = 100 * time.Millisecond
)

// handleNewest returns the newest state that this host has seen.
func (h *Server) handleNewest(ctx context.Context, q struct{}) (messages.NewestResponse, error) {
	resp, err := h.FleetWatcher.Newest(ctx, q)
	if h.knowsFacts.Load() {
		resp.KnowsFacts, resp.Facts = true, h.suspector.Facts()
	}
	return resp, err
}

// handleRestore makes this host write again what the store may have lost.
func (h *Server) handleRestore() {
	h.archiveAgain.Store(true)
	h.recorder.HandleRestore()
	select {
	case h.restored <- struct{}{}:
	default:
	}
}

// learnNewest asks hosts of the zone for the newest state that they have seen. The store may have been restored from an
// older copy a moment ago, so that its own state lies behind. If no host responds, the store's state is taken.
func (h *Server) learnNewest(ctx context.Context) {
	snapshot, err := h.readEntryHosts(ctx)
	if err != nil {
		event.StoreUnreachable.Log(h.Logger.WithError(err), nil)
		return
	}
	h.FleetWatcher.InitialStatus = &snapshot
	h.setEntryHosts(snapshot.Values)
	responses := h.queryNewest(ctx)
	for _, resp := range responses {
		if len(resp.Values) > 0 {
			h.FleetWatcher.AddNewest(resp)
		}
	}
	h.learnFacts(snapshot.Values, responses)
}

// readEntryHosts reads the list of entry hosts, from the store or from a host that sends beats to this one.
func (h *Server) readEntryHosts(ctx context.Context) (watcher.Snapshot, error) {
	for end := time.Now().Add(maxListTime); ; {
		snapshot, err := h.relayer.ReadList(ctx, h.FleetWatcher.Topics.Status)
		if err == nil || ctx.Err() != nil || time.Now().After(end) {
			return snapshot, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(listRetryDelay):
		}
	}
}

// queryNewest asks hosts of the zone for the newest state that they have seen.
func (h *Server) queryNewest(ctx context.Context) []messages.NewestResponse {
	var zonePeers []string
	h.mu.Lock()
	entryHosts := h.entryHosts
	h.mu.Unlock()
	for _, e := range entryHosts {
		if e.Zone == h.Zone && string(e.Host()) != h.IP {
			zonePeers = append(zonePeers, net.JoinHostPort(e.Address.Addr().String(), strconv.Itoa(h.Replicator.ControlPort)))
		}
	}
	rand.Shuffle(len(zonePeers), func(i, j int) { zonePeers[i], zonePeers[j] = zonePeers[j], zonePeers[i] })
	zonePeers = zonePeers[:min(newestPeers, len(zonePeers))]
	responses := make(chan messages.NewestResponse, len(zonePeers))
	for _, address := range zonePeers {
		go func() {
			callCtx, cancel := idletimer.New(ctx, newestTimeout, newestTimeout, maxNewestTime, nil)
			defer cancel()
			resp, err := rpc.Call[messages.NewestResponse](callCtx, h.rpcPool.Client(address), messages.NewestMethod, struct{}{})
			if err == nil {
				resp.Values, err = unpackValues(resp)
			}
			if err != nil {
				// A host that has failed or is starting has no state to give.
				h.Logger.WithError(err).WithField("peer", address).Debug("newest state not received")
			}
			responses <- resp
		}()
	}
	out := make([]messages.NewestResponse, 0, len(zonePeers))
	for range zonePeers {
		out = append(out, <-responses)
	}
	return out
}

// unpackValues returns the values of a response.
func unpackValues(resp messages.NewestResponse) (map[string][]byte, error) {
	records, err := recordpacker.Unpack(resp.Data, resp.Compressed)
	values := make(map[string][]byte, len(records))
	for _, c := range records {
		values[c.Key] = c.Value
	}
	return values, err
}
