// Package entryhost runs an entry host: the API for callers, the API for operators, and the control listener for other
// hosts.
package entryhost

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/authorizer"
	"github.com/nutmegdock/nutmegdock/internal/buffermeter"
	"github.com/nutmegdock/nutmegdock/internal/bytecounter"
	"github.com/nutmegdock/nutmegdock/internal/callerapi"
	"github.com/nutmegdock/nutmegdock/internal/callerlistener"
	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/connectionkeeper"
	"github.com/nutmegdock/nutmegdock/internal/connectionlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/bufferlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/connectionbudget"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reportcache"
	"github.com/nutmegdock/nutmegdock/internal/core/workpacer"
	"github.com/nutmegdock/nutmegdock/internal/descriptors"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/headreporter"
	"github.com/nutmegdock/nutmegdock/internal/httpserver"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/memory"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// Settings configure an entry host.
type Settings struct {
	Host           ident.Host   `json:"host" validate:"required"`
	Zone           ident.Zone   `json:"zone" validate:"required"`
	Region         ident.Region `json:"region" validate:"required"`
	CallerAddress  string       `json:"listen" validate:"required,tcp_addr"`
	AdminAddress   string       `json:"admin" validate:"required,tcp_addr"`
	ControlAddress string       `json:"control" validate:"required,tcp_addr"`
	LogURL         string       `json:"log" validate:"required,url"`
	MembersURL     string       `json:"members" validate:"required,url"`
	StoreURL       string       `json:"store" validate:"required,url"`
	TokensFile     string       `json:"tokens" validate:"required"`
	// CheckpointSeconds is the age in seconds at which the checkpoint of the configuration is replaced. It must be well
	// below the log's retention. Zero means five minutes.
	CheckpointSeconds int `json:"checkpoint,omitempty" validate:"min=0,max=86400"`
	// GraceSeconds is the number of seconds for which requests in flight may continue during a graceful shutdown.
	GraceSeconds int `json:"grace" validate:"min=1,max=3600"`
	// Memory is the memory that the process may use, in bytes. Zero means that of the machine.
	Memory int `json:"memory,omitempty" validate:"min=0"`
	// Descriptors is the number of descriptors that the process may have open. Zero sets no limit on connections.
	Descriptors int `json:"descriptors,omitempty" validate:"min=0,max=1048576"`
	// IdleSeconds is the number of seconds for which the connection of a caller may be idle. Zero means two minutes.
	IdleSeconds int `json:"idle,omitempty" validate:"min=0,max=3600"`
}

// Server is one entry host. Set its fields before Run.
type Server struct {
	Settings Settings
	Logger   log.Interface

	follower       *configfollower.Follower
	replicator     *configreplicator.Replicator
	checkpoints    *checkpointer.Checkpointer
	peers          rpc.Pool
	members        *membership.List
	reports        *reportcache.Cache
	registry       *prometheus.Registry
	startTime      time.Time
	heads          *headreporter.Reporter
	controlTraffic bytecounter.Counter
	pipeline       *requestPipeline
	admission      *admission
	keeper         *connectionkeeper.Keeper
	adminKeeper    *connectionkeeper.Keeper
	buffers        *bufferlimiter.Limiter
	pacer          workpacer.Pacer
	// peerConnections bounds the connections of other hosts to the control address.
	peerConnections connectionlimiter.Limiter
}

// Run serves until ctx ends, then finishes the requests in flight.
func (s *Server) Run(ctx context.Context) error {
	tokens, err := authorizer.LoadTokens(s.Settings.TokensFile)
	if err != nil {
		return err
	}
	listeners, err := s.listen(ctx)
	if err != nil {
		return err
	}
	s.build()
	event.Started.Log(s.Logger, log.Fields{"host": s.Settings.Host, "role": membership.RoleEntry})
	grace := time.Duration(s.Settings.GraceSeconds) * time.Second
	// The background tasks continue after ctx ends, so that requests in flight can still be routed.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	control := &rpc.Server{Handlers: map[string]rpc.Handler{messages.ReportMethod: rpc.TypedHandler(s.receiveReport)}}
	s.registerConfigMethods(control.Handlers)
	s.runConfig(background, &tasks)
	control.Handlers[messages.LoadUpdateMethod] = rpc.TypedHandler(s.receiveLoad)
	tasks.Go(func() error { return s.runAdmission(background) })
	s.pipeline.registerMethods(control.Handlers, s.Logger)
	s.pipeline.run(background, &tasks)
	tasks.Go(func() error { return s.members.Run(background) })
	tasks.Go(func() error {
		return control.Serve(background, s.controlTraffic.Listener(s.peerConnections.Listen(listeners.control)))
	})

	tasks.Go(func() error { return s.keeper.Run(background) })
	tasks.Go(func() error { return s.adminKeeper.Run(background) })

	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		w := httpserver.Server{Listener: listeners.callers, Handler: s.callerHandler(), ShutdownTimeout: grace, Keeper: s.keeper, Refuse: refuseWithoutDescriptors}
		return w.Run(gctx)
	})
	g.Go(func() error {
		w := httpserver.Server{Listener: listeners.admin, Handler: s.adminHandler(tokens), ShutdownTimeout: grace, Keeper: s.adminKeeper, Refuse: refuseWithoutDescriptors}
		return w.Run(gctx)
	})
	g.Go(func() error {
		<-gctx.Done()
		event.Stopping.Log(s.Logger, log.Fields{"host": s.Settings.Host, "cause": context.Cause(gctx).Error()})
		return nil
	})
	err = g.Wait()
	stop()
	_ = tasks.Wait()
	event.Stopped.Log(s.Logger, log.Fields{"host": s.Settings.Host})
	return err
}

type listeners struct {
	callers, admin, control net.Listener
}

func (s *Server) listen(ctx context.Context) (listeners, error) {
	var ls listeners
	for _, l := range []struct {
		to      *net.Listener
		address string
		listen  func(ctx context.Context, address string) (net.Listener, error)
	}{
		{&ls.callers, s.Settings.CallerAddress, callerlistener.Listen},
		{&ls.admin, s.Settings.AdminAddress, callerlistener.Listen},
		{&ls.control, s.Settings.ControlAddress, listenForHosts},
	} {
		ln, err := l.listen(ctx, l.address)
		if err != nil {
			return ls, err
		}
		*l.to = ln
	}
	return ls, nil
}

func listenForHosts(ctx context.Context, address string) (net.Listener, error) {
	ln, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

func (s *Server) build() {
	s.startTime = time.Now()
	s.reports = &reportcache.Cache{}
	s.registry = prometheus.NewRegistry()
	s.registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	s.heads = headreporter.New(s.Logger)
	s.registry.MustRegister(s.heads)
	_ = s.controlTraffic.RegisterMetrics(s.registry)
	s.members = &membership.List{
		URL: s.Settings.MembersURL, HTTP: s.heads.Observe(s.controlTraffic.Client()), Logger: s.Logger,
		Self: membership.Member{
			Host: s.Settings.Host, Role: membership.RoleEntry, Zone: s.Settings.Zone, Region: s.Settings.Region,
			DataAddress: s.Settings.CallerAddress, ControlAddress: s.Settings.ControlAddress, StartTime: time.Now().UnixNano(),
		},
	}
	s.buildConnections()
	s.buildConfig()
	s.buildAdmission()
	s.buildRequests()
}

// receiveReport records the report of an endpoint host.
func (s *Server) receiveReport(_ context.Context, r messages.Report) (messages.ReportAck, error) {
	r = s.mergeMembership(r)
	s.replicator.RecordPeerOffset(r.Host, r.Offset)
	s.admission.admitter.ApplyReport(r)
	return messages.ReportAck{Offset: s.follower.Offset(), RolloutCounts: s.rolloutCounts(r)}, nil
}

func (s *Server) callerHandler() http.Handler {
	c := &callerapi.API{ViewState: s.follower.View, Buffers: s.buffers, Dispatch: s.countOutcomes(s.pipeline.deduplicator.Do), Logger: s.Logger}
	return c.Handler()
}

// refuseWithoutDescriptors refuses a request that no descriptors are left for. Nothing has run.
func refuseWithoutDescriptors(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "no descriptors are left for another request", http.StatusServiceUnavailable)
}

// buildConnections divides the descriptors and the memory between callers, operators and other hosts.
func (s *Server) buildConnections() {
	bytes := memory.Limit("memory", s.Settings.Memory, s.Logger)
	s.buffers = bufferlimiter.New(bytes)
	buffermeter.LogPressure(s.buffers, s.Logger)
	buffermeter.Register(s.registry, "nutmegdock_", s.buffers)
	parts := connectionbudget.Split(descriptors.Limit("descriptors", s.Settings.Descriptors, s.Logger), bytes)
	s.keeper = s.newKeeper(parts, s.registry)
	s.keeper.SetTimes(time.Duration(s.Settings.IdleSeconds)*time.Second, 0)
	s.keeper.OnAdvance = s.buffers.Advance
	s.adminKeeper = s.newKeeper(parts.Observing(), prometheus.WrapRegistererWithPrefix("operators_", s.registry))
	s.peerConnections.Max = parts.Peers
}

func (s *Server) newKeeper(parts connectionbudget.Parts, registry prometheus.Registerer) *connectionkeeper.Keeper {
	k := connectionkeeper.New(parts, registry, s.Logger)
	k.Buffers, k.Pacer = s.buffers, &s.pacer
	return k
}
