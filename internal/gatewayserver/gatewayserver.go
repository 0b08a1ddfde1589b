// Package gatewayserver runs the gateway of an entry host. It reads the configuration and the list of endpoints from
// the platform's store.
package gatewayserver

import (
	"context"
	"errors"
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

	"github.com/nutmegdock/nutmegdock/internal/callerlistener"
	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/connectionkeeper"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/coldtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/evacuationtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/permitsharer"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
	"github.com/nutmegdock/nutmegdock/internal/core/retrybudget"
	"github.com/nutmegdock/nutmegdock/internal/core/workpacer"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
	"github.com/nutmegdock/nutmegdock/internal/core/zonerestrictor"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/gateway"
	"github.com/nutmegdock/nutmegdock/internal/headercodec"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/httpserver"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/quarantinerecorder"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/sender"
	"github.com/nutmegdock/nutmegdock/internal/storerelayer"
	"github.com/nutmegdock/nutmegdock/internal/suspensiondetector"
)

const (
	// serverShutdownTimeout is how long requests that were accepted a moment before the end may take. They are refused
	// without delay. It is a part of killMargin.
	serverShutdownTimeout = 300 * time.Millisecond
	// minDrainTime is how long a host still accepts requests during a graceful shutdown, so that the load balancer notices
	// that it is not ready.
	minDrainTime = 2500 * time.Millisecond
	// killMargin is the part of the time until SIGKILL that is left for the process to end.
	killMargin = 500 * time.Millisecond
	// lastAnswerTime is how long before the end of the process the last requests are answered.
	lastAnswerTime = 200 * time.Millisecond
	// connectTimeout bounds connecting to an endpoint: many round trips between the farthest regions, and a fraction of
	// the latency that callers are promised.
	connectTimeout = 250 * time.Millisecond
	// probeInterval is the time between two probes of an unreachable endpoint.
	probeInterval = 250 * time.Millisecond
	// refreshInterval is the time between two checks for expired endpoint entries.
	refreshInterval = 500 * time.Millisecond
	// readTimeout bounds a read of the store's records. The relayer limits each call; this is for several of them.
	readTimeout = 15 * time.Second
	// budgetShare is the part of the fleet's retry budget that its hosts use together. It is split among at least
	// minBudgetHosts hosts, as the others are not known at first.
	budgetShare    = 0.5
	minBudgetHosts = 4
	// retryAfterDivisor divides the remaining time of a refused request to get the delay after which the caller may retry:
	// a third is the longest delay that callers honour.
	retryAfterDivisor = 3
)

// Server is one entry host. Set its fields before Run.
type Server struct {
	Name ident.Host
	Zone ident.Zone
	IP   string
	// CallerAddress, ReadinessAddress and MetricsAddress are the addresses to listen on.
	CallerAddress, ReadinessAddress, MetricsAddress string
	// LinkMbps is the bandwidth of the host's link in Mbit/s.
	LinkMbps float64
	// Memory is the number of bytes of memory that the process may use. Zero means that it is not known, and that neither what
	// is buffered for callers and endpoints nor the connections of callers are bounded by it.
	Memory int
	// Descriptors is the number of descriptors that the process may have open. Zero means that it is not known, and that
	// connections are not bounded.
	Descriptors int
	// ExchangePort is the UDP port on which entry hosts exchange their loads.
	ExchangePort int
	// GracePeriod is the time from the cancellation of ctx until the process is killed.
	GracePeriod time.Duration
	// RetryRatio and RetryBurst bound the retries of the entire fleet in a time window: the ratio of its requests, and a
	// number beyond that.
	RetryRatio, RetryBurst float64
	// EjectsOutliers says that endpoints that fail far more often than the others of their pool get no requests.
	EjectsOutliers bool
	// BalancesZones says that the use of other zones depends on the spare capacity of the zones and the links between them.
	BalancesZones bool
	// ColdOvershoot and ColdSlack bound the requests that a cold endpoint gets from all hosts in one second.
	ColdOvershoot, ColdSlack float64
	// RolloutTimeout is the time after which requests may no longer begin on an older release.
	RolloutTimeout time.Duration
	// Codec parses and writes the headers of requests and responses.
	Codec headercodec.Codec
	// Heads is told of the responses that are refused because they are not valid HTTP. Nil means a reporter of its own.
	Heads *headreporter.Reporter
	// FleetWatcher watches the store.
	FleetWatcher *fleetwatcher.Watcher
	// IsFirstStart is set if the entire fleet starts for the first time.
	IsFirstStart bool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Replicator holds the chunks of the weights for the engines' hosts. Run sets its peers, origin and control methods.
	Replicator *chunkreplicator.Replicator
	// PutEntry writes this host's entry to the list of entry hosts in the store, and PutRecords writes other values under
	// the same topic in one call.
	PutEntry   func(ctx context.Context, key string, value []byte) error
	PutRecords func(ctx context.Context, values map[string][]byte) error
	Logger     log.Interface

	gateway  *gateway.Gateway
	keeper   *connectionkeeper.Keeper
	pacer    workpacer.Pacer
	assigner *assigner.Assigner
	ready    atomic.Bool
	draining atomic.Bool
	rpcPool  rpc.Pool

	presence    *presencetracker.Tracker
	evacuations *evacuationtracker.Tracker
	balancer    *zonebalancer.Balancer
	exchanger   *loadexchanger.Exchanger
	cold        *coldtracker.Tracker
	permits     *prometheus.CounterVec
	sharer      permitsharer.Sharer
	// relayer reads the store, or other hosts that have read it.
	relayer *storerelayer.Relayer
	// restored signals that this host's entry may be gone from the store, and archiveAgain that the archived weights may
	// be.
	restored     chan struct{}
	archiveAgain atomic.Bool

	suspector     *crashsuspector.Suspector
	factExchanger *factexchanger.Exchanger
	recorder      *quarantinerecorder.Recorder
	// knowsFacts is set when this host has learned the facts about crashes that were known before its start.
	knowsFacts atomic.Bool
	startTime  time.Time

	mu         sync.Mutex
	entryHosts []hostregistrar.Entry
	// loadedAt is when this host could first have become ready but for the facts.
	loadedAt time.Time
	fleets   map[ident.Pool]fleetCacheEntry
}

// Run serves until ctx ends, and then drains the requests in flight.
func (h *Server) Run(ctx context.Context) error {
	registry := prometheus.NewRegistry()
	self, err := netip.ParseAddr(h.IP)
	if err != nil {
		return fmt.Errorf("parse the address of this host: %w", err)
	}
	h.startTime = time.Now()
	h.presence = &presencetracker.Tracker{Self: self, Zone: h.Zone}
	if h.Heads == nil {
		h.Heads = headreporter.New(h.Logger)
	}
	registry.MustRegister(h.Heads)
	h.initZones(registry)
	h.assigner = &assigner.Assigner{Zone: h.Zone}
	if h.BalancesZones {
		h.assigner.Balancer = h.balancer
	}
	exchanger := &loadexchanger.Exchanger{
		Host: h.Name, Responder: h.loadResponder, LocalLoad: h.assigner.LocalLoad, LoadedEndpoints: h.assigner.LoadedEndpoints,
		IsLeaving: h.assigner.IsLeaving, Limit: h.assigner.Limit, OnLimit: h.handleLimit, OnReply: h.handleLoadReply, TakeStarted: h.assigner.TakeStarted, OnShare: h.handleShare, OnGate: h.assigner.SetGateState, Presence: h.presence, Logger: h.Logger,
		OnQuery: h.assigner.RecordQuestion, OnRoundTrip: h.handleRoundTrip, OnMissedReply: h.handleMissedReply,
	}
	exchanger.Init()
	h.exchanger = exchanger
	h.initCold(registry, exchanger)
	h.assigner.OnLoadChange = exchanger.LoadChanged
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_gateway_slow_engines", Help: "Engines that have stated a moment ago that they are slow.",
	}, func() float64 { return float64(h.assigner.SlowEngines()) }))
	registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "nutmegdock_gateway_stalled_endpoints", Help: "Endpoints that stand still.",
	}, func() float64 { return float64(h.assigner.StalledEndpoints()) }))
	if h.EjectsOutliers {
		h.initEjections(registry)
		exchanger.Outcomes = h.assigner.OutcomeTotals
	}
	h.initFacts(exchanger)
	h.initEvacuations(registry)
	tracker := &fleettracker.Tracker{RolloutTimeout: h.RolloutTimeout}
	suspensions := &suspensiondetector.Detector{OnSuspension: func(d time.Duration) {
		tracker.RecordSuspension(d)
		h.cold.RecordSuspension()
	}, Logger: h.Logger}
	suspensions.Check()
	h.gateway = &gateway.Gateway{
		Suspector: h.suspector, Announce: h.factExchanger.Announce,
		Codec: h.Codec, Assigner: h.assigner, QueryLoads: exchanger.QueryFor, AskHost: exchanger.Ask, AskGate: exchanger.AskGate, TakePermit: h.takePermit, NeedsPermit: h.cold.NeedsPermit, PermitLifetime: h.cold.PermitLifetime, Sender: &sender.Sender{Dial: (&dialer.Dialer{ConnectTimeout: connectTimeout}).DialContext, OnRefusal: h.Heads.Report},
		RetryBudget: &retrybudget.Budget{TokensPerRequest: h.RetryRatio * budgetShare, Burst: h.RetryBurst * budgetShare / minBudgetHosts},
		OldestRelease: func(m fleetconfig.Model) fleetconfig.Release {
			suspensions.Check()
			return tracker.OldestAllowed(m)
		},
		BeginDeadline: tracker.BeginDeadline,
		WithdrawalTime: func(m fleetconfig.Model, release fleetconfig.Release) time.Time {
			suspensions.Check()
			return tracker.WithdrawDeadline(m, release)
		},
		Logger: h.Logger, Meter: gateway.NewMeter(registry),
		Restrictor: zonerestrictor.Restrictor{Regions: h.Regions, IsEvacuated: h.evacuations.IsEvacuated},
		RetryAfter: func(remaining time.Duration) time.Duration { return max(0, remaining/retryAfterDivisor) },
	}
	h.initBuffers(registry)
	parts := connectionbudget.Split(h.Descriptors, h.Memory)
	h.keeper = h.newKeeper(parts, registry)
	h.keeper.OnAdvance = h.gateway.Buffers.Advance
	h.Replicator.Connections.Max = parts.Peers
	h.assigner.OnSuspect = h.gateway.HandleSuspect
	h.suspector.OnQuarantine, h.suspector.OnLift = h.gateway.HandleQuarantine, h.gateway.HandleLift
	h.FleetWatcher.Tracker = tracker
	h.FleetWatcher.Evacuations = h.evacuations
	h.Replicator.Peers = h.chunkPeers
	h.Replicator.Origin = h.origin
	h.Replicator.Shape = h.manifestShape
	relayer := h.newRelayer(suspensions.Elapsed)
	h.relayer = relayer
	h.presence.State = h.sourceState
	exchanger.OnBeat = relayer.CheckQueries
	h.FleetWatcher.CallTimeout = readTimeout
	h.FleetWatcher.ReadChanges, h.FleetWatcher.ReadSnapshot = relayer.ReadChanges, relayer.ReadSnapshot
	h.Replicator.ControlMethods = map[string]rpc.Handler{
		messages.RecordsMethod:  rpc.TypedHandler(relayer.ServeRecords),
		messages.FleetMethod:    rpc.TypedHandler(h.handleFleet),
		messages.SnapshotMethod: rpc.TypedHandler(relayer.ServeSnapshot),
		messages.NewestMethod:   rpc.TypedHandler(h.handleNewest),
	}
	h.Replicator.Init(registry)
	h.FleetWatcher.OnConfig = h.setConfig
	h.FleetWatcher.OnEndpoints = h.setEndpoints
	h.restored = make(chan struct{}, 1)
	h.FleetWatcher.OnRestore = h.handleRestore
	conn, err := net.ListenPacket("udp4", net.JoinHostPort(h.IP, fmt.Sprint(h.ExchangePort)))
	if err != nil {
		return fmt.Errorf("listen for load messages: %w", err)
	}
	// The servers and watchers outlive ctx until the requests in flight have ended.
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	tasks, serveCtx := errgroup.WithContext(serveCtx)
	h.FleetWatcher.OnPeers = func(values map[string][]byte) { h.handleStatus(serveCtx, values) }
	tasks.Go(func() error {
		h.learnNewest(serveCtx)
		return h.FleetWatcher.Run(serveCtx)
	})
	tasks.Go(func() error { return h.register(serveCtx) })
	tasks.Go(func() error { return h.Replicator.Run(serveCtx) })
	tasks.Go(func() error { return h.replicate(serveCtx) })
	tasks.Go(func() error { return h.probeEndpoints(serveCtx) })
	tasks.Go(func() error { return h.checkStalls(serveCtx) })
	tasks.Go(func() error { return h.refreshEndpoints(serveCtx) })
	tasks.Go(func() error { return h.observeShares(serveCtx) })
	exchanger.Conn = conn
	tasks.Go(func() error { return exchanger.Run(serveCtx) })
	tasks.Go(func() error { return h.factExchanger.Run(serveCtx) })
	tasks.Go(func() error { return h.recorder.Run(serveCtx) })
	mux := http.NewServeMux()
	mux.HandleFunc(messages.ExplainPath, h.gateway.ServeExplanation)
	mux.Handle("/", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	for _, a := range []struct {
		name, address string
		handler       http.Handler
		keeper        *connectionkeeper.Keeper
	}{
		{"callers", h.CallerAddress, h.gateway, h.keeper},
		{"metrics", h.MetricsAddress, mux, nil},
		{"readiness", h.ReadinessAddress, http.HandlerFunc(h.handleReadiness), nil},
	} {
		if a.keeper == nil {
			a.keeper = h.newKeeper(parts.Observing(), prometheus.WrapRegistererWithPrefix(a.name+"_", registry))
		}
		tasks.Go(func() error { return a.keeper.Run(serveCtx) })
		tasks.Go(func() error { return h.serve(serveCtx, a.address, a.handler, a.keeper) })
	}
	event.Started.Log(h.Logger, log.Fields{"ip": h.IP, "callers": h.CallerAddress, "metrics": h.MetricsAddress})
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

// drain closes the callers' connections as responses end, refuses further requests after minDrainTime, ends those that are in
// progress when the grace period is nearly over, and returns when no request is in flight or shortly after that.
func (h *Server) drain(ctx context.Context) {
	h.draining.Store(true)
	startTime := time.Now()
	deadline := startTime.Add(max(minDrainTime, h.GracePeriod-killMargin))
	h.gateway.BeginShutdown(deadline.Add(-lastAnswerTime))
	event.Stopping.Log(h.Logger, log.Fields{"running": h.gateway.InFlight()})
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if time.Since(startTime) >= minDrainTime {
			h.gateway.RefuseRequests()
			if h.gateway.InFlight() == 0 {
				return
			}
		}
		const pollInterval = 20 * time.Millisecond
		time.Sleep(pollInterval)
	}
}

// serve serves until ctx ends. A request that has been accepted a moment before is still answered.
func (h *Server) serve(ctx context.Context, address string, handler http.Handler, keeper *connectionkeeper.Keeper) error {
	ln, err := callerlistener.Listen(ctx, address)
	if err != nil {
		return err
	}
	err = (&httpserver.Server{Listener: ln, Handler: handler, ShutdownTimeout: serverShutdownTimeout, PassOptions: true, Keeper: keeper, Refuse: h.gateway.RefuseWithoutDescriptors}).Run(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		event.ShutdownIncomplete.Log(h.Logger.WithField("address", address), nil)
		return nil
	}
	return err
}

func (h *Server) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if h.draining.Load() || h.keeper.IsFull() || h.gateway.Config() == nil || !h.FleetWatcher.Tracker.Loaded() || !h.hasLearnedFacts() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !h.ready.Swap(true) {
		event.HostReady.Log(h.Logger, nil)
	}
	w.WriteHeader(http.StatusOK)
}

func (h *Server) setConfig(config *fleetconfig.Config) (isNewer bool) {
	if !h.gateway.SetConfig(config) {
		return false
	}
	h.keeper.SetTimes(config.Limits.IdleTime, config.Limits.HeadTime)
	h.keeper.SetHeadBytes(config.Limits.HeaderBytes)
	for _, d := range config.Defaulted {
		event.LimitDefaulted.Log(h.Logger, log.Fields{"revision": int64(config.Revision), "limit": d})
	}
	h.cold.SetPools(config.Pools)
	h.assigner.SetPools(config.Pools)
	event.ConfigApplied.Log(h.Logger.WithFields(log.Fields{"revision": int64(config.Revision), "pools": len(config.Pools), "keys": len(config.Keys)}), nil)
	return true
}

// setEntryHosts replaces the list of entry hosts.
func (h *Server) setEntryHosts(values map[string][]byte) {
	all := hostregistrar.ParseEntries(values, h.Logger)
	hosts := make([]presencetracker.Host, 0, len(all))
	for _, e := range all {
		hosts = append(hosts, presencetracker.Host{Zone: e.Zone, Address: e.Address})
	}
	h.presence.SetHosts(hosts)
	h.gateway.RetryBudget.SetBurst(h.RetryBurst * budgetShare / float64(max(minBudgetHosts, len(all))))
	h.mu.Lock()
	defer h.mu.Unlock()
	h.entryHosts = all
}

// refreshEndpoints periodically drops endpoints whose entries have expired and were not written again.
func (h *Server) refreshEndpoints(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(refreshInterval):
			h.setEndpoints()
		}
	}
}
