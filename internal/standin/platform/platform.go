// Package platform runs the stand-ins for the platform services, the engines and the booking services in one process,
// for tests and the dev command.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/httpserver"
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
	"github.com/nutmegdock/nutmegdock/internal/standin/logservice"
	"github.com/nutmegdock/nutmegdock/internal/standin/members"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
	"github.com/nutmegdock/nutmegdock/internal/standin/weightsource"
)

const originBurstBytes = 1 << 20

// Engine configures one engine stand-in.
type Engine struct {
	Listen string `json:"listen" validate:"required,tcp_addr"`
	Slots  int    `json:"slots,omitempty" validate:"min=0"`
	// TokenIntervalMs is the time between tokens in milliseconds.
	TokenIntervalMs int `json:"token,omitempty" validate:"min=0"`
	// IgnoreFencing makes the engine accept load commands with outdated fencing tokens.
	IgnoreFencing bool `json:"ignore,omitempty"`
	// CrashText crashes the engine when a prompt contains it; empty disables this.
	CrashText string `json:"poison,omitempty"`
	// RestartMs is how long the engine is down after a crash, in milliseconds.
	RestartMs int `json:"restart,omitempty" validate:"min=0"`
}

// Service configures one booking service stand-in.
type Service struct {
	Listen string `json:"listen" validate:"required,tcp_addr"`
	// DelayMs is the processing time of a booking in milliseconds.
	DelayMs int `json:"delay,omitempty" validate:"min=0"`
}

// Artifact configures one artifact with random content.
type Artifact struct {
	Name      string      `json:"name" validate:"required"`
	Version   string      `json:"version" validate:"required"`
	Size      ident.Bytes `json:"size" validate:"min=1"`
	ChunkSize ident.Bytes `json:"chunk" validate:"min=1"`
	Seed      uint64      `json:"seed"`
}

// Settings configure the stand-ins.
type Settings struct {
	Listen    string     `json:"listen" validate:"required,tcp_addr"`
	Engines   []Engine   `json:"engines" validate:"dive"`
	Services  []Service  `json:"services" validate:"dive"`
	Artifacts []Artifact `json:"artifacts" validate:"dive"`
	// MemberLagMs is the age of the host list that the membership service returns, in milliseconds.
	MemberLagMs int `json:"lag,omitempty" validate:"min=0"`
	// OriginRate limits the origin's traffic in bytes per second; zero means unlimited.
	OriginRate ident.Bytes `json:"rate,omitempty" validate:"min=0"`
}

// Counts holds the traffic and the executions of the stand-ins.
type Counts struct {
	// OriginBytes and StoreBytes are the chunk bytes sent by the origin and the weight store.
	OriginBytes ident.Bytes `json:"origin"`
	StoreBytes  ident.Bytes `json:"store"`
	// Bookings is the number of executions by booking reference.
	Bookings map[string]int `json:"bookings"`
}

// Platform is the set of stand-ins. Set its fields before Run.
type Platform struct {
	Settings Settings

	Log        logservice.Service
	Members    members.Service
	Store      weightsource.Source
	Origin     weightsource.Source
	Executions service.Executions
}

// Run serves all stand-ins until ctx is cancelled.
func (p *Platform) Run(ctx context.Context) error {
	if err := p.configure(); err != nil {
		return err
	}
	handlers := map[string]http.Handler{p.Settings.Listen: p.handler()}
	for _, e := range p.Settings.Engines {
		server := &engine.Engine{
			Slots: e.Slots, TokenInterval: time.Duration(e.TokenIntervalMs) * time.Millisecond, IgnoreFencing: e.IgnoreFencing,
			CrashText: e.CrashText, RestartDelay: time.Duration(e.RestartMs) * time.Millisecond, HTTP: &http.Client{},
		}
		handlers[e.Listen] = server.Handler()
	}
	for _, s := range p.Settings.Services {
		server := &service.Service{Executions: &p.Executions, Delay: time.Duration(s.DelayMs) * time.Millisecond}
		handlers[s.Listen] = server.Handler()
	}
	return runServers(ctx, handlers)
}

func runServers(ctx context.Context, handlers map[string]http.Handler) error {
	g, ctx := errgroup.WithContext(ctx)
	for address, handler := range handlers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		server := httpserver.Server{Listener: ln, Handler: handler, ShutdownTimeout: time.Second}
		g.Go(func() error {
			_ = server.Run(ctx)
			return nil
		})
	}
	return g.Wait()
}

func (p *Platform) configure() error {
	p.Members.Lag = time.Duration(p.Settings.MemberLagMs) * time.Millisecond
	if p.Settings.OriginRate > 0 {
		p.Origin.Limiter = rate.NewLimiter(rate.Limit(p.Settings.OriginRate), originBurstBytes)
	}
	for _, a := range p.Settings.Artifacts {
		if _, err := p.Store.AddArtifact(a.Name, a.Version, a.Size, a.ChunkSize, a.Seed); err != nil {
			return err
		}
		if _, err := p.Origin.AddArtifact(a.Name, a.Version, a.Size, a.ChunkSize, a.Seed); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/log/", http.StripPrefix("/log", p.Log.Handler()))
	mux.Handle("/members/", http.StripPrefix("/members", p.Members.Handler()))
	mux.Handle("/store/", http.StripPrefix("/store", p.Store.Handler()))
	mux.Handle("/origin/", http.StripPrefix("/origin", p.Origin.Handler()))
	mux.HandleFunc("POST /faults", p.serveFaults)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
	return mux
}

// Counts returns the current counters of the stand-ins.
func (p *Platform) Counts() Counts {
	return Counts{OriginBytes: p.Origin.SentBytes(), StoreBytes: p.Store.SentBytes(), Bookings: p.Executions.Counts()}
}
