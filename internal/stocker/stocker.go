// Package stocker runs the host beside a model engine: it brings the chunks of the wanted release to the engine, orders
// it to load them, and gives them to the other hosts.
package stocker

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/carrier"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/planner"
	"github.com/nutmegdock/nutmegdock/internal/core/stager"
	"github.com/nutmegdock/nutmegdock/internal/core/surveyor"
	"github.com/nutmegdock/nutmegdock/internal/enroller"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleet"
)

const (
	// reportEvery is how often the engine is asked: its reports are a few hundred milliseconds old anyway.
	reportEvery = 250 * time.Millisecond
	// operatorWait and endpointPause are longer than those of entry hosts: a release has several seconds to be served,
	// and the list of endpoints names the hosts to read chunks from.
	operatorWait  = 2 * time.Second
	endpointPause = 3 * time.Second
	// callTime bounds one call to the engine beside the host.
	callTime = 2 * time.Second
	// retryTime is the pause after a failed step.
	retryTime = 300 * time.Millisecond
)

// Engine holds the calls to the engine beside the host.
type Engine struct {
	Report func(ctx context.Context) (stager.Report, error)
	Stage  func(ctx context.Context, m directory.Model, number int, data []byte) error
	Staged func(ctx context.Context, m directory.Model, number int) ([]byte, error)
	Load   func(ctx context.Context, s directory.Serving, orders int64) error
}

// Host is the host beside one engine. Set its fields before Run.
type Host struct {
	IP   string
	Pool ident.Pool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Address is the engine's address.
	Address string
	// Conn tells the entry hosts of the engine.
	Conn net.PacketConn
	// Engine makes the calls.
	Engine Engine
	// Carrier holds the chunks. Its Peers and Origin are set by Run.
	Carrier *carrier.Carrier
	// Metrics is the port of the metrics page.
	Metrics int
	// ReleaseBound is the time within which the engine must serve a new release.
	ReleaseBound time.Duration
	// Fleet follows the store.
	Fleet *fleet.Follower
	// Logger receives the events.
	Logger log.Interface

	survey *surveyor.Surveyor
	news   chan struct{}

	mu    sync.Mutex
	dir   *directory.Directory
	seeds []enroller.Entry
	gate  gate
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.news = make(chan struct{}, 1)
	h.survey = &surveyor.Surveyor{ReleaseBound: h.ReleaseBound}
	h.Fleet.Surveyor = h.survey
	h.Fleet.Wait, h.Fleet.Pause = operatorWait, endpointPause
	h.Fleet.OnDirectory = h.setDirectory
	h.Fleet.OnRelease = func(directory.Serving) { h.notify() }
	h.Fleet.OnPeers = h.setSeeds
	registry := prometheus.NewRegistry()
	h.Carrier.Peers = h.peers
	h.Carrier.Origin = func() (string, ident.Region) { return Origin(h.directory(), h.Regions) }
	h.Carrier.Build(registry)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return h.Fleet.Run(ctx) })
	tasks.Go(func() error { return h.Carrier.Run(ctx) })
	tasks.Go(func() error { return h.serveMetrics(ctx, promhttp.HandlerFor(registry, promhttp.HandlerOpts{})) })
	tasks.Go(func() error { return h.run(ctx) })
	tasks.Go(func() error { return h.keepTelling(ctx) })
	event.Started.Log(h.Logger, log.Fields{"host": h.IP, "pool": string(h.Pool)})
	err := tasks.Wait()
	event.Stopped.Log(h.Logger, nil)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (h *Host) notify() {
	select {
	case h.news <- struct{}{}:
	default:
	}
}

func (h *Host) setDirectory(d *directory.Directory) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dir == nil || d.Revision > h.dir.Revision {
		h.dir = d
		h.notify()
	}
}

func (h *Host) setSeeds(values map[string][]byte) {
	seeds := enroller.Parse(values, h.Logger)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seeds = seeds
}

func (h *Host) directory() *directory.Directory {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dir
}

// Origin returns the address of the origin of weights and its region.
func Origin(d *directory.Directory, regions map[ident.Zone]ident.Region) (string, ident.Region) {
	if d == nil {
		return "", ""
	}
	for _, p := range d.Pools {
		if p.Origin != "" {
			return p.Origin, regions[p.Zone]
		}
	}
	return "", ""
}

// engine returns the figures of the host's pool, or nil.
func (h *Host) engine() *directory.Engine {
	d := h.directory()
	if d == nil || d.Pools[h.Pool] == nil {
		return nil
	}
	return d.Pools[h.Pool].Engine
}

// peers returns the entry hosts and the hosts beside the engines of the pool.
func (h *Host) peers() []planner.Peer {
	h.mu.Lock()
	seeds := h.seeds
	h.mu.Unlock()
	return Peers(h.Pool, h.survey.Endpoints(), seeds, h.Regions)
}

// Peers returns the hosts that carry the weights of a pool: those beside its engines, and the entry hosts.
func Peers(pool ident.Pool, endpoints []directory.Endpoint, seeds []enroller.Entry, regions map[ident.Zone]ident.Region) []planner.Peer {
	var out []planner.Peer
	for _, e := range endpoints {
		if ip, _, err := net.SplitHostPort(e.Address); err == nil && e.Pool == pool {
			out = append(out, planner.Peer{Host: ident.Host(ip), Zone: e.Zone, Region: regions[e.Zone]})
		}
	}
	for _, s := range seeds {
		out = append(out, planner.Peer{Host: s.Host(), Zone: s.Zone, Region: regions[s.Zone], Seed: true})
	}
	return out
}

func (h *Host) serveMetrics(ctx context.Context, handler http.Handler) error {
	address := net.JoinHostPort(h.IP, strconv.Itoa(h.Metrics))
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: callTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve metrics at %s: %w", address, err)
	}
	return nil
}
