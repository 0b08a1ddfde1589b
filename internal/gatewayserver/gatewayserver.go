// Package gatewayserver runs the gateway of an entry host on a platform whose store holds the configuration and the list of
// endpoints.
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
	headerTime = 10 * time.Second
	// idleTime is longer than any idle time that callers are told, so that they close first.
	idleTime       = 2 * time.Minute
	maxHeaderBytes = 64 << 10
	// quietTime is how long a leaving host waits for the balancer to notice, at least.
	quietTime = 2500 * time.Millisecond
	// endMargin is kept free of the time until SIGKILL.
	endMargin = 500 * time.Millisecond
	// reachTime bounds the making of a connection to an endpoint: many round trips between the farthest regions, and a
	// fraction of what callers are promised.
	reachTime = 250 * time.Millisecond
	// probeEvery is the time between two probes of an endpoint that cannot be reached.
	probeEvery = 250 * time.Millisecond
	// refreshEvery is how often entries that lapsed are looked at.
	refreshEvery = 250 * time.Millisecond
	// budgetShare is the part of the fleet's budget for repeats that its hosts use together, and fewestHosts the number of
	// hosts that share it at least, before the others are known.
	budgetShare = 0.5
	fewestHosts = 4
	// returnShare is the part of a caller's time left after which it may come back: the most that callers honour.
	returnShare = 3
)

// Host is one entry host. Set its fields before Run.
type Host struct {
	Name ident.Host
	Zone ident.Zone
	IP   string
	// Callers, Readiness and Metrics are the addresses to listen on.
	Callers, Readiness, Metrics string
	// Link is the bandwidth of the host's link in Mbit/s.
	Link float64
	// Exchange is the port of the exchange between entry hosts.
	Exchange int
	// Grace is the time from the end of ctx until the process is killed.
	Grace time.Duration
	// RetryRatio and RetrySlack bound the repeats of the whole fleet in a window.
	RetryRatio, RetrySlack float64
	// ReleaseBound is the time after which requests may no longer begin on an older release.
	ReleaseBound time.Duration
	// Dialect reads and writes the callers' headers.
	Dialect dialect.Dialect
	// Fleet follows the store.
	Fleet *fleetwatcher.Watcher
	// First says that the whole fleet starts for the first time.
	First bool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Replicator holds the chunks of the weights for the engines' hosts. Its Peers and Origin are set by Run.
	Replicator *chunkreplicator.Replicator
	// Put writes this host's entry in the list of entry hosts.
	Put func(ctx context.Context, key string, value []byte) error
	// Logger receives the events.
	Logger log.Interface

	gateway  *gateway.Gateway
	assigner *assigner.Assigner
	ready    atomic.Bool
	leaving  atomic.Bool
	readers  rpc.Pool

	started time.Time

	mu    sync.Mutex
	seeds []hostregistrar.Entry
	heard map[netip.Addr]time.Time
	near  []netip.AddrPort
	far   []netip.AddrPort
}

// Run serves until ctx ends, and then until the requests in progress have ended.
func (h *Host) Run(ctx context.Context) error {
	h.started = time.Now()
	registry := prometheus.NewRegistry()
	changes := make(chan struct{}, 1)
	h.assigner = &assigner.Assigner{Zone: h.Zone, Changed: func() {
		select {
		case changes <- struct{}{}:
		default:
		}
	}}
	tracker := &fleettracker.Tracker{ReleaseBound: h.ReleaseBound}
	h.gateway = &gateway.Gateway{
		Dialect: h.Dialect, Assigner: h.assigner, Sender: &sender.Sender{Dial: (&dialer.Dialer{Timeout: reachTime}).DialContext},
		Budget:  &retrybudget.Budget{Ratio: h.RetryRatio * budgetShare, Burst: h.RetrySlack * budgetShare / fewestHosts},
		Release: tracker.Oldest, Cutoff: tracker.Cutoff, Logger: h.Logger, Meter: gateway.NewMeter(registry),
		Return: func(left time.Duration) time.Duration { return max(0, left/returnShare) },
	}
	h.Fleet.Tracker = tracker
	h.Replicator.Peers = h.chunkPeers
	h.Replicator.Origin = h.origin
	h.heard = make(map[netip.Addr]time.Time)
	store := &storerelayer.Relayer{
		Reader: h.reader, Store: h.Fleet.Changes,
		Ask: func(ctx context.Context, address string, q messages.RecordsQuery) (messages.RecordsAnswer, error) {
			return rpc.Call[messages.RecordsAnswer](ctx, h.readers.Client(address), messages.RecordsMethod, q)
		},
	}
	h.Fleet.Changes = store.Changes
	h.Replicator.Methods = map[string]rpc.Handler{
		messages.RecordsMethod: rpc.Handle(store.Answer),
		messages.FleetMethod:   rpc.Handle(h.answerFleet),
	}
	h.Replicator.Build(registry)
	h.Fleet.OnDirectory = h.setDirectory
	h.Fleet.OnEndpoints = func() { h.assigner.SetEndpoints(tracker.Endpoints()) }
	h.Fleet.OnPeers = h.setPeers
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(h.IP, fmt.Sprint(h.Exchange)))
	if err != nil {
		return fmt.Errorf("listen for loads: %w", err)
	}
	// What serves goes on until the requests in progress have ended, after ctx.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	tasks, life := errgroup.WithContext(life)
	tasks.Go(func() error { return h.Fleet.Run(life) })
	tasks.Go(func() error { return h.enroll(life) })
	tasks.Go(func() error { return h.Replicator.Run(life) })
	tasks.Go(func() error { return h.replicate(life) })
	tasks.Go(func() error { return h.probe(life) })
	tasks.Go(func() error { return h.refresh(life) })
	tasks.Go(func() error {
		return (&loadexchanger.Exchanger{
			Host: h.Name, Conn: conn, Near: h.neighbors, Far: h.others, Changes: changes, Own: h.assigner.Own,
			Heard: h.assigner.SetPeer, From: h.hear, Gated: h.assigner.SetGate, Logger: h.Logger,
		}).Run(life)
	})
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	tasks.Go(func() error { return h.serve(life, h.Metrics, mux) })
	tasks.Go(func() error { return h.serve(life, h.Readiness, http.HandlerFunc(h.answerReady)) })
	tasks.Go(func() error { return h.serve(life, h.Callers, h.gateway) })
	event.Started.Log(h.Logger, log.Fields{"ip": h.IP, "callers": h.Callers, "metrics": h.Metrics})
	select {
	case <-ctx.Done():
		h.leave(life)
	case <-life.Done():
	}
	end()
	err = tasks.Wait()
	event.Stopped.Log(h.Logger, nil)
	return err
}

func (h *Host) leave(ctx context.Context) {
	h.leaving.Store(true)
	h.gateway.Leave()
	event.Stopping.Log(h.Logger, log.Fields{"running": h.gateway.Running()})
	begun := time.Now()
	last := begun.Add(max(quietTime, h.Grace-endMargin))
	for time.Now().Before(last) && ctx.Err() == nil {
		if time.Since(begun) >= quietTime {
			h.gateway.Close()
			if h.gateway.Running() == 0 {
				return
			}
		}
		const step = 20 * time.Millisecond
		time.Sleep(step)
	}
}

func (h *Host) serve(ctx context.Context, address string, handler http.Handler) error {
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

func (h *Host) answerReady(w http.ResponseWriter, _ *http.Request) {
	if h.leaving.Load() || h.gateway.Directory() == nil || !h.Fleet.Tracker.Known() {
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

// hear notes that another entry host is alive.
func (h *Host) hear(a netip.Addr) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard[a] = time.Now()
}

// setPeers takes the list of entry hosts.
func (h *Host) setPeers(values map[string][]byte) {
	all := hostregistrar.Parse(values, h.Logger)
	var near, far []netip.AddrPort
	for _, e := range all {
		switch {
		case string(e.Host()) == h.IP:
		case e.Zone == h.Zone:
			near = append(near, e.Address)
		default:
			far = append(far, e.Address)
		}
	}
	h.gateway.Budget.SetBurst(h.RetrySlack * budgetShare / float64(max(fewestHosts, len(all))))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds, h.near, h.far = all, near, far
}

func (h *Host) neighbors() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.near
}

func (h *Host) others() []netip.AddrPort {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.far
}

// refresh drops endpoints whose entries lapsed and did not come back.
func (h *Host) refresh(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(refreshEvery):
			h.assigner.SetEndpoints(h.Fleet.Tracker.Endpoints())
		}
	}
}
