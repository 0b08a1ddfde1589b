package engineagent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/hostpicker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/idletimer"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	// queryInterval is the time between two fleet queries to entry hosts, retryInterval that after one that failed, and queryTimeout
	// bounds one.
	queryInterval = 500 * time.Millisecond
	retryInterval = 50 * time.Millisecond
	queryTimeout  = 250 * time.Millisecond
	// firstQueryTimeout applies until the first response. It is short since after a power failure
	// an entry host that is still down does not respond at all, while the next one may be up.
	firstQueryTimeout = 100 * time.Millisecond
	// listDelay is the time without a response after which the list of entry hosts is read from the store, and listInterval the time
	// between two reads, which is shorter while the list is not known.
	listDelay         = 2 * time.Second
	firstListInterval = time.Second
	listInterval      = 5 * time.Second
	// listTimeout and storeTimeout bound the time for which a read of the list and of the fleet state makes no progress, and
	// maxStoreTime bounds a read in any case.
	listTimeout  = 500 * time.Millisecond
	storeTimeout = 2 * time.Second
	maxStoreTime = 8 * time.Second
)

var errNoFleetState = errors.New("no entry host or store provides the fleet state")

// watchFleet keeps the fleet state current. It queries entry hosts, which read the store anyway, and the store itself only while none of
// them responds.
func (h *Agent) watchFleet(ctx context.Context) error {
	var picker hostpicker.Picker
	var lastResponse, lastRefresh time.Time
	for {
		hosts := h.pickableHosts()
		interval := listInterval
		if len(hosts) == 0 {
			interval = firstListInterval
		}
		if time.Since(lastResponse) > listDelay && time.Since(lastRefresh) > interval {
			h.refreshEntryHosts(ctx)
			lastRefresh = time.Now()
			hosts = h.pickableHosts()
		}
		timeout := queryTimeout
		if lastResponse.IsZero() {
			timeout = firstQueryTimeout
		}
		resp, err := h.queryFleet(ctx, &picker, hosts, timeout)
		pause := retryInterval
		if err == nil {
			h.applyFleet(resp, lastResponse.IsZero())
			lastResponse = time.Now()
			pause = queryInterval
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
	}
}

// queryFleet queries the entry host that the picker names, or the store.
func (h *Agent) queryFleet(ctx context.Context, picker *hostpicker.Picker, hosts []hostpicker.Host, timeout time.Duration) (resp messages.FleetResponse, err error) {
	host, isStore := picker.Next(time.Now(), hosts)
	switch {
	case isStore:
		resp, err = h.queryStore(ctx)
		if err != nil && ctx.Err() == nil {
			event.FleetStateUnreadable.Log(h.Logger.WithError(err), nil)
		}
	case host == "":
		return resp, errNoFleetState
	default:
		resp, err = h.queryEntryHost(ctx, host, timeout)
	}
	if err != nil {
		picker.RecordFailure(time.Now(), host)
		return resp, err
	}
	picker.RecordAnswer(time.Now(), host)
	return resp, nil
}

// pickableHosts returns the entry hosts.
func (h *Agent) pickableHosts() []hostpicker.Host {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]hostpicker.Host, 0, len(h.entryHosts))
	for _, e := range h.entryHosts {
		out = append(out, hostpicker.Host{Name: e.Host(), IsLocal: e.Zone == h.Zone})
	}
	return out
}

// refreshEntryHosts reads the list of entry hosts from the store.
func (h *Agent) refreshEntryHosts(ctx context.Context) {
	ctx, cancel := idletimer.New(ctx, listTimeout, listTimeout, maxStoreTime, nil)
	defer cancel()
	snapshot, err := h.FleetWatcher.ReadSnapshot(ctx, h.FleetWatcher.Topics.Status)
	if err != nil {
		event.StoreUnreachable.Log(h.Logger.WithError(err), nil)
		return
	}
	entryHosts := hostregistrar.ParseEntries(snapshot.Values, h.Logger)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryHosts = entryHosts
}

// preferZone returns the entry hosts of this host's zone, or all if there are none.
func (h *Agent) preferZone(all []hostregistrar.Entry) []hostregistrar.Entry {
	inZone := slices.DeleteFunc(slices.Clone(all), func(e hostregistrar.Entry) bool { return e.Zone != h.Zone })
	if len(inZone) > 0 {
		return inZone
	}
	return all
}

// queryEntryHost queries an entry host for the fleet state.
func (h *Agent) queryEntryHost(ctx context.Context, host ident.Host, timeout time.Duration) (messages.FleetResponse, error) {
	query := messages.FleetQuery{Pool: h.Pool}
	h.mu.Lock()
	if query.Digest = h.fleet.Digest; !h.fleet.Known {
		query.Engine = h.Address
	}
	h.mu.Unlock()
	ctx, cancel := idletimer.New(ctx, timeout, timeout, maxStoreTime, nil)
	defer cancel()
	client := h.Replicator.Client(host)
	resp, err := rpc.Call[messages.FleetResponse](ctx, client, messages.FleetMethod, query)
	if err == nil && resp.Unchanged {
		return h.currentFleet(), nil
	}
	if err == nil && !resp.Known {
		err = errNoFleetState
	}
	return resp, err
}

func (h *Agent) queryStore(ctx context.Context) (messages.FleetResponse, error) {
	ctx, cancel := idletimer.New(ctx, storeTimeout, storeTimeout, maxStoreTime, nil)
	defer cancel()
	startedAt := time.Now()
	resp, err := h.FleetWatcher.ReadFleet(ctx, h.Pool, h.Regions)
	if err == nil && !resp.Known {
		err = errNoFleetState
	}
	if err == nil {
		event.FleetStateFromStore.Log(h.Logger, log.Fields{"took": time.Since(startedAt).Milliseconds(), "engines": len(resp.Engines)})
	}
	return resp, err
}

func (h *Agent) applyFleet(resp messages.FleetResponse, isFirst bool) {
	h.mu.Lock()
	if isFirst {
		h.inherited = resp.Gate
	}
	h.fleet = resp
	if len(resp.Seeds) > 0 {
		h.entryHosts = resp.Seeds
	}
	h.mu.Unlock()
	age := max(0, time.Duration(resp.ReleaseAgeMs)*time.Millisecond)
	if h.tracker.AddRelease(fleetconfig.Model(resp.Model), fleetconfig.Release(resp.NewestRelease), isFirst, age) || isFirst {
		h.notify()
	}
}
