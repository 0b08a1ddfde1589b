// Package endpoint runs an endpoint host: the gate before its back end, the exchange of weights, and the orders to its engine.
package endpoint

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
	"github.com/nutmegdock/nutmegdock/internal/configreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fetcher"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/loader"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/reconciler"
	"github.com/nutmegdock/nutmegdock/internal/reporter"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/webserver"
)

// Settings configure an endpoint host.
type Settings struct {
	Host    ident.Host   `json:"host" validate:"required"`
	Zone    ident.Zone   `json:"zone" validate:"required"`
	Region  ident.Region `json:"region" validate:"required"`
	Pool    ident.Pool   `json:"pool" validate:"required"`
	Kind    catalog.Kind `json:"kind" validate:"required,oneof=engine service"`
	Listen  string       `json:"listen" validate:"required,tcp_addr"`
	Control string       `json:"control" validate:"required,tcp_addr"`
	Admin   string       `json:"admin" validate:"required,tcp_addr"`
	Backend string       `json:"backend" validate:"required,url"`
	Log     string       `json:"log" validate:"required,url"`
	Members string       `json:"members" validate:"required,url"`
	Store   string       `json:"store" validate:"required,url"`
	Origin  string       `json:"origin" validate:"required,url"`
	// Unfenced names an engine that does not check who orders it.
	Unfenced bool `json:"unfenced,omitempty"`
	// Memory is the number of bytes that held chunks may take.
	Memory ident.Bytes `json:"memory" validate:"min=1"`
	// Home is the region of the weight store and the origin; empty if they are near to no region.
	Home ident.Region `json:"home,omitempty"`
	// Pace is the number of bytes a second that weights may take, in each direction, while requests are running: 1048576 or more, or zero
	// for no bound.
	Pace ident.Bytes `json:"pace,omitempty" validate:"omitempty,min=1048576"`
	// Grace is the number of seconds that requests in progress get at a stop.
	Grace int `json:"grace" validate:"min=1,max=3600"`
}

// Server is one endpoint host. Set its fields before Run.
type Server struct {
	Settings Settings
	Logger   log.Interface

	birth      int64
	gate       gate.Gate
	cache      *chunkcache.Cache
	chunks     *chunkserver.Server
	follower   *follower.Follower
	replicator *configreplicator.Replicator

	configPeers rpc.Pool

	members    *membership.List
	fetcher    *fetcher.Fetcher
	reconciler *reconciler.Reconciler
	reporter   *reporter.Reporter
	registry   *prometheus.Registry
	control    bytecounter.Counter
	requests   *requests
	began      time.Time
}

// Run serves until ctx ends, then refuses new work and finishes the requests in progress.
func (s *Server) Run(ctx context.Context) error {
	data, err := net.Listen("tcp", s.Settings.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	control, err := net.Listen("tcp", s.Settings.Control)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	second, err := net.Listen("tcp", s.Settings.Admin)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s.build()
	event.Started.Log(s.Logger, log.Fields{"host": s.Settings.Host, "role": membership.RoleEndpoint})
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks errgroup.Group
	rpcs := &rpc.Server{Methods: map[string]rpc.Handler{messages.HaveMethod: rpc.Handle(s.have)}}
	s.configMethods(rpcs.Methods)
	tasks.Go(func() error { return s.runConfig(background) })
	tasks.Go(func() error { return s.members.Run(background) })
	tasks.Go(func() error { return s.reporter.Run(background) })
	s.requests.run(background, &tasks)
	tasks.Go(func() error { return rpcs.Serve(background, s.control.Listener(control)) })
	tasks.Go(func() error {
		w := webserver.Server{Listener: second, Handler: s.admin(), Grace: time.Second}
		return w.Run(background)
	})
	if s.Settings.Kind == catalog.KindEngine {
		tasks.Go(func() error { return s.reconciler.Run(ctx) })
	} else {
		s.gate.Open("")
	}
	served := make(chan error, 1)
	web, endWeb := context.WithCancel(background)
	defer endWeb()
	grace := time.Duration(s.Settings.Grace) * time.Second
	go func() {
		w := webserver.Server{Listener: data, Handler: s.handler(), Grace: grace}
		served <- w.Run(web)
	}()
	select {
	case err = <-served:
	case <-ctx.Done():
		s.drain(background, grace)
		endWeb()
		err = <-served
	}
	stop()
	_ = tasks.Wait()
	event.Stopped.Log(s.Logger, log.Fields{"host": s.Settings.Host})
	return err
}

// drain refuses new work, tells the others, and waits for the requests in progress.
func (s *Server) drain(ctx context.Context, grace time.Duration) {
	event.Stopping.Log(s.Logger, log.Fields{"host": s.Settings.Host})
	idle := s.gate.Leave()
	s.reporter.Send(ctx)
	_ = s.members.Leave(ctx)
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
	s.began = time.Now()
	s.birth = s.began.UnixNano()
	s.registry = newRegistry()
	_ = s.control.Register(s.registry)
	s.cache = &chunkcache.Cache{Limit: s.Settings.Memory, Epoch: s.birth}
	s.buildPlatform()
	s.buildWeights()
	s.buildRequests()
	s.reporter = &reporter.Reporter{
		Targets: s.targets,
		Report:  s.report,
		Heard: func(from ident.Host, sent time.Time, a messages.Ack) {
			s.replicator.Saw(from, a.Offset)
			s.reconciler.ApplyCounts(from, sent, a.Wave)
		},
	}
}

func (s *Server) buildPlatform() {
	s.buildConfig()
	s.members = &membership.List{
		URL: s.Settings.Members, HTTP: s.control.Client(), Logger: s.Logger,
		Self: membership.Member{
			Host: s.Settings.Host, Role: membership.RoleEndpoint, Zone: s.Settings.Zone, Region: s.Settings.Region,
			Pool: s.Settings.Pool, Data: s.Settings.Listen, Control: s.Settings.Control, Birth: s.birth,
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
			Engine: s.Settings.Backend, Source: "http://" + s.Settings.Listen, HTTP: &http.Client{},
		},
		Logger: s.Logger,
	}
}

func (s *Server) report() messages.Report {
	st := s.gate.Status()
	have, total := s.fetcher.Progress()
	want, since := s.reconciler.Wanted()
	return messages.Report{
		Host: s.Settings.Host, Zone: s.Settings.Zone, Region: s.Settings.Region, Pool: s.Settings.Pool,
		Data: s.Settings.Listen, Birth: s.birth, Offset: s.follower.Offset(), Open: st.Open, Leaving: st.Leaving,
		Unfenced: s.Settings.Unfenced, Slots: s.reconciler.Slots(),
		Set: st.Set, Want: want, Since: since, Running: st.Running, Chunks: have, Total: total,
		Bytes: s.fetcher.Bytes(),
		Time:  s.uptime(),
	}
}
