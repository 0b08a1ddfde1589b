package gatewayserver

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	// newestPeers is the number of hosts that a host asks for the newest state when it starts, and newestTimeout bounds
	// the time for all of them. It covers many round trips in a zone.
	newestPeers   = 3
	newestTimeout = 100 * time.Millisecond
	// peerListTimeout bounds the read of the list of entry hosts from the store.
	peerListTimeout = 300 * time.Millisecond
)

// handleRestore makes this host write again what the store may have lost.
func (h *Server) handleRestore() {
	h.archiveAgain.Store(true)
	select {
	case h.restored <- struct{}{}:
	default:
	}
}

// learnNewest asks hosts of the zone for the newest state that they have seen. The store may have been restored from an
// older copy a moment ago, so that its own state lies behind. If no host responds, the store's state is taken.
func (h *Server) learnNewest(ctx context.Context) {
	listCtx, cancel := context.WithTimeout(ctx, peerListTimeout)
	defer cancel()
	snapshot, err := h.FleetWatcher.ReadSnapshot(listCtx, h.FleetWatcher.Topics.Status)
	if err != nil {
		event.StoreUnreachable.Log(h.Logger.WithError(err), nil)
		return
	}
	h.FleetWatcher.InitialStatus = &snapshot
	var zonePeers []string
	for _, e := range hostregistrar.ParseEntries(snapshot.Values, h.Logger) {
		if e.Zone == h.Zone && string(e.Host()) != h.IP {
			zonePeers = append(zonePeers, net.JoinHostPort(e.Address.Addr().String(), strconv.Itoa(h.Replicator.ControlPort)))
		}
	}
	rand.Shuffle(len(zonePeers), func(i, j int) { zonePeers[i], zonePeers[j] = zonePeers[j], zonePeers[i] })
	zonePeers = zonePeers[:min(newestPeers, len(zonePeers))]
	callCtx, cancelCalls := context.WithTimeout(ctx, newestTimeout)
	defer cancelCalls()
	responses := make(chan messages.NewestResponse, len(zonePeers))
	for _, address := range zonePeers {
		go func() {
			resp, err := rpc.Call[messages.NewestResponse](callCtx, h.rpcPool.Client(address), messages.NewestMethod, struct{}{})
			if err != nil {
				// A host that has failed or is starting has no state to give.
				h.Logger.WithError(err).WithField("peer", address).Debug("newest state not received")
			}
			responses <- resp
		}()
	}
	for range zonePeers {
		if resp := <-responses; len(resp.Values) > 0 {
			h.FleetWatcher.AddNewest(resp)
		}
	}
}
