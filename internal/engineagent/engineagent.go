// Package engineagent runs the host beside a model engine: it brings the chunks of the wanted release to the engine, orders
// it to load them, and gives them to the other hosts.
package engineagent

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

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// reportEvery is how often the engine is asked: its reports are a few hundred milliseconds old anyway.
	reportEvery = 250 * time.Millisecond
	// callTime bounds one call to the engine beside the host.
	callTime = 2 * time.Second
	// retryTime is the pause after a failed step.
	retryTime = 300 * time.Millisecond
)

// Engine holds the calls to the engine beside the host.
type Engine struct {
	Report func(ctx context.Context) (rolloutplanner.Report, error)
	Stage  func(ctx context.Context, m directory.Model, number int, data []byte) error
	Staged func(ctx context.Context, m directory.Model, number int) ([]byte, error)
	// Load orders the engine to hold the layers of a release, whose chunks are staged.
	Load func(ctx context.Context, s directory.Serving, layers directory.Span, orders int64) error
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
	// Zone is that of the host.
	Zone ident.Zone
	// Replicator holds the chunks. Its Peers and Origin are set by Run.
	Replicator *chunkreplicator.Replicator
	// Metrics is the port of the metrics page.
	Metrics int
	// ReleaseBound is the time within which the engine must serve a new release.
	ReleaseBound time.Duration
	// Fleet reads the store while no entry host answers.
	Fleet *fleetwatcher.Watcher
	// Logger receives the events.
	Logger log.Interface

	tracker *fleettracker.Tracker
	news    chan struct{}

	mu    sync.Mutex
	fleet messages.FleetAnswer
	seeds []hostregistrar.Entry
	gate  gate
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.news = make(chan struct{}, 1)
	h.tracker = &fleettracker.Tracker{ReleaseBound: h.ReleaseBound}
	registry := prometheus.NewRegistry()
	h.Replicator.Peers = h.peers
	h.Replicator.Origin = func() (string, ident.Region) {
		f := h.known()
		return f.Origin, f.Home
	}
	h.Replicator.Build(registry)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return h.scout(ctx) })
	tasks.Go(func() error { return h.Replicator.Run(ctx) })
	tasks.Go(func() error { return h.serveMetrics(ctx, promhttp.HandlerFor(registry, promhttp.HandlerOpts{})) })
	tasks.Go(func() error { return h.run(ctx) })
	tasks.Go(func() error { return h.keepTelling(ctx) })
	event.Started.Log(h.Logger, log.Fields{"ip": h.IP, "pool": string(h.Pool)})
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

// known returns what is known of the fleet.
func (h *Host) known() messages.FleetAnswer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet
}

// peers returns the entry hosts and the hosts beside the engines of the pool.
func (h *Host) peers() []fetchplanner.Peer {
	h.mu.Lock()
	seeds, engines := h.seeds, h.fleet.Engines
	h.mu.Unlock()
	return chunkreplicator.Peers(engines, seeds, h.Regions)
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
