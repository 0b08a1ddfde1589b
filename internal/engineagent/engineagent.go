// Package engineagent runs on the host beside a model engine: it fetches the chunks of the target release, stages them
// for the engine, issues the load commands, and serves the chunks to other hosts.
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
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/loadverifier"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/suspensiondetector"
)

const (
	// reportInterval is the time between two reads of the engine's report, whose contents are a few hundred milliseconds
	// old anyway.
	reportInterval = 400 * time.Millisecond
	// callTimeout bounds one call to the local engine.
	callTimeout = 2 * time.Second
	retryDelay  = 300 * time.Millisecond
)

// Engine holds the calls to the local engine.
type Engine struct {
	Report func(ctx context.Context) (rolloutplanner.Report, error)
	// WriteStaged writes a chunk to the engine's staging area, by its number in the manifest.
	WriteStaged func(ctx context.Context, m fleetconfig.Model, number int, data []byte) error
	// ReadStaged reads a chunk of the given size back from the staging area; nil without an error if it is not there. It returns
	// a bodyreader.SizeError if the engine sends more.
	ReadStaged func(ctx context.Context, m fleetconfig.Model, number int, size ident.Bytes) ([]byte, error)
	// Load commands the engine to load the given layers of a release, whose chunks are staged. The engine refuses the
	// command unless it has accepted exactly loadCommands of them before.
	Load func(ctx context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange, loadCommands int64) error
	// IsAnswer reports whether an error is an answer of the engine, so that the call has no effect later; nil means that
	// none is.
	IsAnswer func(err error) bool
}

// Agent manages one engine from the host beside it. Set its fields before Run.
type Agent struct {
	IP   string
	Pool ident.Pool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Address is the engine's address.
	Address string
	// GateConn sends the engine's gate state to the entry hosts, and receives their reports of the load at the engine.
	GateConn net.PacketConn
	Engine   Engine
	Zone     ident.Zone
	// Replicator holds the chunks. Run sets its peers and origin.
	Replicator *chunkreplicator.Replicator
	// MetricsPort is the port of the metrics endpoint.
	MetricsPort int
	// RolloutTimeout is the time after the announcement of a release within which the engine must serve it.
	RolloutTimeout time.Duration
	// FleetWatcher reads the store while no entry host responds.
	FleetWatcher *fleetwatcher.Watcher
	// Heads is told of the responses that are refused because they are not valid HTTP. Nil means a reporter of its own.
	Heads  *headreporter.Reporter
	Logger log.Interface

	tracker     *fleettracker.Tracker
	suspensions *suspensiondetector.Detector
	// stalled is the newest release, if its fetch has stalled and one before it is fetched instead. Only the goroutine of
	// reconcile uses it.
	stalled fleetconfig.ServedModel
	// verifier decides what is written, read back and loaded, and whether the engine's layers are proven. verified is the
	// release that it was last told to load, and report the engine's last report. They are used by the goroutine of reconcile,
	// and while that waits for the chunks of an empty engine, by the one that loads its first layers.
	verifier loadverifier.Verifier
	verified fleetconfig.ServedModel
	// unprovenStart is the incarnation of the engine that a former agent had closed the gate of; zero if there is none.
	unprovenStart int64
	report        rolloutplanner.Report
	updates       chan struct{}
	// gateChanged signals that the gate state has been set.
	gateChanged chan struct{}
	meter       *meter

	mu         sync.Mutex
	fleet      messages.FleetResponse
	entryHosts []hostregistrar.Entry
	// gateState is the engine state that is announced to the entry hosts, and gateStateAt when it was set. The zero value is not
	// announced.
	gateState   assigner.GateState
	gateStateAt time.Time
	// inherited is the last gate state that a former agent announced; nil if none is known, or once the verifier knows it.
	inherited *assigner.GateState
	pace      enginePace
	// staged holds what is known of the staged chunks, by their number.
	staged map[int]stagedChunk
	// unanswered is the last load command without an answer; the zero value if there is none.
	unanswered openCommand
}

// Run serves until ctx ends.
func (h *Agent) Run(ctx context.Context) error {
	h.updates, h.gateChanged = make(chan struct{}, 1), make(chan struct{}, 1)
	h.tracker = &fleettracker.Tracker{RolloutTimeout: h.RolloutTimeout}
	h.suspensions = &suspensiondetector.Detector{OnSuspension: h.tracker.RecordSuspension, Logger: h.Logger}
	h.suspensions.Check()
	registry := prometheus.NewRegistry()
	if h.Heads == nil {
		h.Heads = headreporter.New(h.Logger)
	}
	registry.MustRegister(h.Heads)
	h.meter = newMeter(registry)
	h.Replicator.Peers = h.peers
	h.Replicator.Origin = func() (string, ident.Region) {
		f := h.currentFleet()
		return f.OriginAddress, f.OriginRegion
	}
	h.Replicator.Shape = func() manifest.Shape {
		f := h.currentFleet()
		return manifest.Shape{Chunks: f.Chunks, ChunkBytes: f.ChunkBytes}
	}
	h.Replicator.Init(registry)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return h.watchFleet(ctx) })
	tasks.Go(func() error { return h.Replicator.Run(ctx) })
	tasks.Go(func() error { return h.serveMetrics(ctx, promhttp.HandlerFor(registry, promhttp.HandlerOpts{})) })
	tasks.Go(func() error { return h.reconcile(ctx) })
	tasks.Go(func() error { return h.announcePeriodically(ctx) })
	tasks.Go(func() error { return h.followPace(ctx) })
	exchanger := &loadexchanger.Exchanger{
		Host: ident.Host(h.IP), Conn: h.GateConn, Gate: h.currentGate, LastGate: h.lastGate, Pace: h.currentPace, Logger: h.Logger,
	}
	exchanger.Init()
	tasks.Go(func() error { return exchanger.Run(ctx) })
	event.Started.Log(h.Logger, log.Fields{"ip": h.IP, "pool": string(h.Pool)})
	err := tasks.Wait()
	event.Stopped.Log(h.Logger, nil)
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (h *Agent) notify() {
	select {
	case h.updates <- struct{}{}:
	default:
	}
}

// currentFleet returns the latest fleet state.
func (h *Agent) currentFleet() messages.FleetResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.fleet
}

// peers returns the entry hosts and the hosts beside the engines of the pool.
func (h *Agent) peers() []fetchplanner.Peer {
	h.mu.Lock()
	entryHosts, engines := h.entryHosts, h.fleet.Engines
	h.mu.Unlock()
	return chunkreplicator.Peers(engines, entryHosts, h.Regions)
}

func (h *Agent) serveMetrics(ctx context.Context, handler http.Handler) error {
	address := net.JoinHostPort(h.IP, strconv.Itoa(h.MetricsPort))
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve metrics at %s: %w", address, err)
	}
	return nil
}
