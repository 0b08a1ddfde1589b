// Package gatewayserver runs the gateway of an entry host. It reads the configuration and the list of endpoints from the
// platform's store.
package gatewayserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/dialect"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/sender"
	"github.com/nutmegdock/nutmegdock/internal/storerelayer"
)

const (
	headerTimeout = 10 * time.Second
	// idleTimeout is longer than any idle timeout that callers are given, so that they close the connection first.
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// minDrainTime is how long a host still accepts requests during a graceful shutdown, so that the load balancer notices
	// that it is not ready.
	minDrainTime = 2500 * time.Millisecond
	// killMargin is the part of the time until SIGKILL that is left for the process to end.
	killMargin = 500 * time.Millisecond
	// connectTimeout bounds connecting to an endpoint: many round trips between the farthest regions, and a fraction of the
	// latency that callers are promised.
	connectTimeout = 250 * time.Millisecond
	// probeInterval is the time between two probes of an unreachable endpoint.
	probeInterval = 250 * time.Millisecond
	// refreshInterval is the time between two checks for expired endpoint entries.
	refreshInterval = 250 * time.Millisecond
	// budgetShare is the part of the fleet's retry budget that its hosts use together. It is split among at least
	// minBudgetHosts hosts, as the others are not known at first.
	budgetShare    = 0.5
	minBudgetHosts = 4
	// retryAfterDivisor divides the remaining time of a refused request to get the delay after which the caller may retry:
	// a third is the longest delay that callers honour.
	retryAfterDivisor = 3
)

// Host is one entry host. Set its fields before Run.
type Host struct {
	Name ident.Host
	Zone ident.Zone
	IP   string
	// The addresses to listen on for callers' requests, readiness checks and metrics.
	Callers, Readiness, Metrics string
	// Link is the bandwidth of the host's link in Mbit/s.
	Link float64
	// Exchange is the UDP port on which entry hosts exchange their loads.
	Exchange int
	// Grace is the time from the cancellation of ctx until the process is killed.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the retries of the entire fleet in a time window: the ratio of its requests, and a
	// number beyond that.
	RetryRatio, RetrySlack float64
	// ReleaseBound is the time after which requests may no longer begin on an older release.
	ReleaseBound time.Duration
	// Dialect parses and writes the headers of requests and responses.
	Dialect dialect.Dialect
	// Fleet watches the store.
	Fleet *fleetwatcher.Watcher
	// First is set if the entire fleet starts for the first time.
	First bool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Replicator holds the chunks of the weights for the engines' hosts. Run sets its peers, origin and control methods.
	Replicator *chunkreplicator.Replicator
	// Put writes this host's entry to the list of entry hosts in the store.
	Put    func(ctx context.Context, key string, value []byte) error
	Logger log.Interface

	gateway  *gateway.Gateway
	assigner *assigner.Assigner
	ready    atomic.Bool
	draining atomic.Bool
	rpcPool  rpc.Pool

	startTime time.Time

	mu          sync.Mutex
	entryHosts  []hostregistrar.Entry
	lastSeen    map[netip.Addr]time.Time
	zonePeers   []netip.AddrPort
	remotePeers []netip.AddrPort
}

// Run serves until ctx ends, and then drains the requests in flight.
func (h *Host) Run(ctx context.Context) error {
	h.startTime = time.Now()
	registry := prometheus.NewRegistry()
	loadChanges := make(chan struct{}, 1)
	h.assigner = &assigner.Assigner{Zone: h.Zone, Changed: func() {
		select {
		case loadChanges <- struct{}{}:
		default:
		}
	}}
	tracker := &fleettracker.Tracker{ReleaseBound: h.ReleaseBound}
	h.gateway = &gateway.Gateway{
		Dialect: h.Dialect, Assigner: h.assigner, Sender: &sender.Sender{Dial: (&dialer.Dialer{ConnectTimeout: connectTimeout}).DialContext},
		Budget:  &retrybudget.Budget{Ratio: h.RetryRatio * budgetShare, Burst: h.RetrySlack * budgetShare / minBudgetHosts},
		Release: tracker.Oldest, Cutoff: tracker.Cutoff, Logger: h.Logger, Meter: gateway.NewMeter(registry),
		Return: func(remaining time.Duration) time.Duration { return max(0, remaining/retryAfterDivisor) },
	}
	h.Fleet.Tracker = tracker
	h.Replicator.Peers = h.chunkPeers
	h.Replicator.Origin = h.origin
	h.lastSeen = make(map[netip.Addr]time.Time)
	relayer := &storerelayer.Relayer{
		Reader: h.storeReader, Store: h.Fleet.Changes,
		Ask: func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
			return rpc.Call[messages.RecordsAnswer](ctx, h.rpcPool.Client(address), messages.RecordsMethod, q)
		},
	}
	h.Fleet.Changes = relayer.Changes
	h.Replicator.Methods = map[string]rpc.Handler{
		messages.RecordsMethod: rpc.Handle(relayer.Answer),
		messages.FleetMethod:   rpc.Handle(h.handleFleet),
	}
	h.Replicator.Build(registry)
	h.Fleet.OnDirectory = h.setDirectory
	h.Fleet.OnEndpoints = func() { h.assigner.SetEndpoints(tracker.Endpoints()) }
	h.Fleet.OnPeers = h.setEntryHosts
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(h.IP, fmt.Sprint(h.Exchange)))
	if err != nil {
		return fmt.Errorf("listen for load messages: %w", err)
	}
	// The servers and watchers outlive ctx until the requests in flight have ended.
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	tasks, serveCtx := errgroup.WithContext(serveCtx)
	tasks.Go(func() error { return h.Fleet.Run(serveCtx) })
	tasks.Go(func() error { return h.register(serveCtx) })
	tasks.Go(func() error { return h.Replicator.Run(serveCtx) })
	tasks.Go(func() error { return h.replicate(serveCtx) })
	tasks.Go(func() error { return h.probeEndpoints(serveCtx) })
	tasks.Go(func() error { return h.refreshEndpoints(serveCtx) })
	tasks.Go(func() error {
		return (&loadexchanger.Exchanger{
			Host: h.Name, Conn: conn, Near: h.peersInZone, Far: h.peersInOtherZones, Changes: loadChanges, Own: h.assigner.Own,
			Heard: h.assigner.SetPeer, From: h.markAlive, Gated: h.assigner.SetGate, Logger: h.Logger,
		}).Run(serveCtx)
	})
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	tasks.Go(func() error { return h.serve(serveCtx, h.Metrics, mux) })
	tasks.Go(func() error { return h.serve(serveCtx, h.Readiness, http.HandlerFunc(h.handleReadiness)) })
	tasks.Go(func() error { return h.serve(serveCtx, h.Callers, h.gateway) })
	event.Started.Log(h.Logger, log.Fields{"ip": h.IP, "callers": h.Callers, "metrics": h.Metrics})
	select {
	case <-ctx.Done():
		h.drain(serveCtx)
	case <-serveCtx.Done():
	}
	stopServing()
	err = tasks.Wait()
	event.Stopped.Log(h.Logger, nil)
	return err
}

// drain closes the callers' connections as responses end, refuses further requests after minDrainTime, and returns when no
// request is in flight or the grace period is nearly over.
func (h *Host) drain(ctx context.Context) {
	h.draining.Store(true)
	h.gateway.Leave()
	event.Stopping.Log(h.Logger, log.Fields{"running": h.gateway.Running()})
	startTime := time.Now()
	deadline := startTime.Add(max(minDrainTime, h.Grace-killMargin))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if time.Since(startTime) >= minDrainTime {
			h.gateway.Close()
			if h.gateway.Running() == 0 {
				return
			}
		}
		const pollInterval = 20 * time.Millisecond
		time.Sleep(pollInterval)
	}
}

func (h *Host) serve(ctx context.Context, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

func (h *Host) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.gateway.Directory() == nil || !h.Fleet.Tracker.Known() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !h.ready.Swap(true) {
		event.HostReady.Log(h.Logger, nil)
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Host) setDirectory(d *directory.Directory) {
	if !h.gateway.SetDirectory(d) {
		return
	}
	h.assigner.SetPools(d.Pools)
	event.DirectoryInForce.Log(h.Logger.WithFields(log.Fields{"revision": int64(d.Revision), "pools": len(d.Pools), "keys": len(d.Keys)}), nil)
}

// markAlive records that another entry host is alive.
func (h *Host) markAlive(a netip.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSeen[a] = time.Now()
}

// setEntryHosts replaces the list of entry hosts.
func (h *Host) setEntryHosts(values map[string][]byte) {
	all := hostregistrar.Parse(values, h.Logger)
	var inZone, outside []netip.AddrPort
	for _, e := range all {
		switch {
		case string(e.Host()) == h.IP:
		case e.Zone == h.Zone:
			inZone = append(inZone, e.Address)
		default:
			outside = append(outside, e.Address)
		}
	}
	h.gateway.Budget.SetBurst(h.RetrySlack * budgetShare / float64(max(minBudgetHosts, len(all))))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryHosts, h.zonePeers, h.remotePeers = all, inZone, outside
}

func (h *Host) peersInZone() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.zonePeers
}

func (h *Host) peersInOtherZones() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.remotePeers
}

// refreshEndpoints periodically drops endpoints whose entries have expired and were not written again.
func (h *Host) refreshEndpoints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(refreshInterval):
			h.assigner.SetEndpoints(h.Fleet.Tracker.Endpoints())
		}
	}
}
