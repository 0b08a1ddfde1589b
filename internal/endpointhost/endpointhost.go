// Package endpointhost runs an endpoint host: the gate in front of its back end, the exchange of weights with peers,
// and the control of its engine.
package endpointhost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/bytecounter"
	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fetcher"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/internal/httpserver"
	"github.com/nutmegdock/nutmegdock/internal/loader"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/reconciler"
	"github.com/nutmegdock/nutmegdock/internal/reporter"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// Settings configure an endpoint host.
type Settings struct {
	Host           ident.Host          `json:"host" validate:"required"`
	Zone           ident.Zone          `json:"zone" validate:"required"`
	Region         ident.Region        `json:"region" validate:"required"`
	Pool           ident.Pool          `json:"pool" validate:"required"`
	Kind           catalog.BackendKind `json:"kind" validate:"required,oneof=engine service"`
	DataAddress    string              `json:"listen" validate:"required,tcp_addr"`
	ControlAddress string              `json:"control" validate:"required,tcp_addr"`
	AdminAddress   string              `json:"admin" validate:"required,tcp_addr"`
	BackendURL     string              `json:"backend" validate:"required,url"`
	LogURL         string              `json:"log" validate:"required,url"`
	MembersURL     string              `json:"members" validate:"required,url"`
	StoreURL       string              `json:"store" validate:"required,url"`
	OriginURL      string              `json:"origin" validate:"required,url"`
	// Unfenced marks an engine that does not check the fencing tokens of load commands.
	Unfenced bool `json:"unfenced,omitempty"`
	// CacheLimit is the limit of the chunk cache in bytes.
	CacheLimit ident.Bytes `json:"memory" validate:"min=1"`
	// HomeRegion is the region of the weight store and the origin, or empty if they are close to no region.
	HomeRegion ident.Region `json:"home,omitempty"`
	// MaxWeightRate limits the transfer of weights in each direction while requests are in flight, in bytes per second:
	// 1048576 or more, or zero for no limit.
	MaxWeightRate ident.Bytes `json:"pace,omitempty" validate:"omitempty,min=1048576"`
	// GraceSeconds is the maximum time in seconds that a graceful shutdown waits for the requests in flight.
	GraceSeconds int `json:"grace" validate:"min=1,max=3600"`
}

// Server runs one endpoint host. Set its fields before Run.
type Server struct {
	Settings Settings
	Logger   log.Interface

	startTime  int64
	gate       gate.Gate
	cache      *chunkcache.Cache
	chunks     *chunkserver.Server
	follower   *configfollower.Follower
	replicator *configreplicator.Replicator

	configPeers rpc.Pool

	members      *membership.List
	fetcher      *fetcher.Fetcher
	reconciler   *reconciler.Reconciler
	reporter     *reporter.Reporter
	registry     *prometheus.Registry
	heads        *headreporter.Reporter
	controlBytes bytecounter.Counter
	requests     *requests
	started      time.Time
}

// Run serves until ctx ends, then refuses new requests and finishes those in flight.
func (s *Server) Run(ctx context.Context) error {
	dataListener, err := net.Listen("tcp", s.Settings.DataAddress)
	if err != nil {
		return fmt.Errorf("listen on data address: %w", err)
	}
	controlListener, err := net.Listen("tcp", s.Settings.ControlAddress)
	if err != nil {
		return fmt.Errorf("listen on control address: %w", err)
	}
	adminListener, err := net.Listen("tcp", s.Settings.AdminAddress)
	if err != nil {
		return fmt.Errorf("listen on admin address: %w", err)
	}
	s.build()
	event.Started.Log(s.Logger, log.Fields{"host": s.Settings.Host, "role": membership.RoleEndpoint})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	rpcServer := &rpc.Server{Handlers: map[string]rpc.Handler{messages.InventoryMethod: rpc.TypedHandler(s.serveInventory)}}
	s.registerConfigMethods(rpcServer.Handlers)
	tasks.Go(func() error { return s.runConfig(background) })
	tasks.Go(func() error { return s.members.Run(background) })
	tasks.Go(func() error { return s.reporter.Run(background) })
	s.requests.run(background, &tasks)
	tasks.Go(func() error { return rpcServer.Serve(background, s.controlBytes.Listener(controlListener)) })
	tasks.Go(func() error {
		w := httpserver.Server{Listener: adminListener, Handler: s.admin(), ShutdownTimeout: time.Second}
		return w.Run(background)
	})
	if s.Settings.Kind == catalog.KindEngine {
		tasks.Go(func() error { return s.reconciler.Run(ctx) })
	} else {
		s.gate.Open("")
	}
	webDone := make(chan error, 1)
	webContext, stopWeb := context.WithCancel(background)
	defer stopWeb()
	grace := time.Duration(s.Settings.GraceSeconds) * time.Second
	go func() {
		w := httpserver.Server{Listener: dataListener, Handler: s.handler(), ShutdownTimeout: grace}
		webDone <- w.Run(webContext)
	}()
	select {
	case err = <-webDone:
	case <-ctx.Done():
		s.drain(background, grace, context.Cause(ctx))
		stopWeb()
		err = <-webDone
	}
	stop()
	_ = tasks.Wait()
	event.Stopped.Log(s.Logger, log.Fields{"host": s.Settings.Host})
	return err
}

// drain refuses new requests, notifies the other hosts, and waits up to grace for the requests in flight. cause is the
// reason for the shutdown.
func (s *Server) drain(ctx context.Context, grace time.Duration, cause error) {
	event.Stopping.Log(s.Logger, log.Fields{"host": s.Settings.Host, "cause": cause.Error()})
	idle := s.gate.Drain()
	s.reporter.Send(ctx)
	_ = s.members.AnnounceLeaving(ctx)
	select {
	case <-idle:
	case <-time.After(grace):
	}
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	s.requests.register(mux)
	s.chunks.Register(mux)
	return mux
}

func (s *Server) build() {
	s.started = time.Now()
	s.startTime = s.started.UnixNano()
	s.registry = newRegistry()
	s.heads = headreporter.New(s.Logger)
	s.registry.MustRegister(s.heads)
	_ = s.controlBytes.RegisterMetrics(s.registry)
	s.cache = &chunkcache.Cache{Limit: s.Settings.CacheLimit, Epoch: s.startTime}
	s.buildPlatform()
	s.buildWeights()
	s.buildRequests()
	s.reporter = &reporter.Reporter{
		Targets: s.reportTargets,
		Report:  s.report,
		OnAck: func(from ident.Host, sent time.Time, ack messages.ReportAck) {
			s.replicator.RecordPeerOffset(from, ack.Offset)
			s.reconciler.ApplyCounts(from, sent, ack.RolloutCounts)
		},
	}
}

func (s *Server) buildPlatform() {
	s.buildConfig()
	s.members = &membership.List{
		URL: s.Settings.MembersURL, HTTP: s.heads.Observe(s.controlBytes.Client()), Logger: s.Logger,
		Self: membership.Member{
			Host: s.Settings.Host, Role: membership.RoleEndpoint, Zone: s.Settings.Zone, Region: s.Settings.Region,
			Pool: s.Settings.Pool, DataAddress: s.Settings.DataAddress, ControlAddress: s.Settings.ControlAddress, StartTime: s.startTime,
		},
	}
}

func (s *Server) buildWeights() {
	s.buildFetcher()
	s.reconciler = &reconciler.Reconciler{
		Self: s.Settings.Host, Pool: s.Settings.Pool, Gate: &s.gate, Cache: s.cache,
		Fetch: s.fetcher.Fetch, View: s.follower.View, Changed: s.follower.Changed,
		Hosts: func() []membership.Member { return s.members.Members(membership.RoleEndpoint) },
		Loader: &loader.Loader{
			Engine: s.Settings.BackendURL, Source: "http://" + s.Settings.DataAddress, HTTP: s.heads.Observe((&dialer.Dialer{}).Client()),
		},
		Logger: s.Logger,
	}
}

func (s *Server) report() messages.Report {
	status := s.gate.Status()
	have, total := s.fetcher.Progress()
	want, since := s.reconciler.Wanted()
	return messages.Report{
		Host: s.Settings.Host, Zone: s.Settings.Zone, Region: s.Settings.Region, Pool: s.Settings.Pool,
		DataAddress: s.Settings.DataAddress, StartTime: s.startTime, Offset: s.follower.Offset(), GateOpen: status.Open, Leaving: status.Leaving,
		Unfenced: s.Settings.Unfenced, Slots: s.reconciler.Slots(),
		ServedSet: status.Set, AssignedSet: want, AssignedSince: since, InFlight: status.InFlight, HeldChunks: have, TotalChunks: total,
		ReceivedBytes: s.fetcher.ReceivedBytes(),
		SentMs:        s.uptime(),
	}
}
