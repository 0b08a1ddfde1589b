// Package platform runs the stand-ins for the platform and the back ends together, for tests and the dev command.
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
	"github.com/nutmegdock/nutmegdock/internal/standin/engine"
	"github.com/nutmegdock/nutmegdock/internal/standin/logservice"
	"github.com/nutmegdock/nutmegdock/internal/standin/members"
	"github.com/nutmegdock/nutmegdock/internal/standin/service"
	"github.com/nutmegdock/nutmegdock/internal/standin/weights"
	"github.com/nutmegdock/nutmegdock/internal/webserver"
)

const rateBurstBytes = 1 << 20

// Engine configures one engine stand-in.
type Engine struct {
	Listen string `json:"listen" validate:"required,tcp_addr"`
	Slots  int    `json:"slots,omitempty" validate:"min=0"`
	// Token is the time between tokens in milliseconds.
	Token  int    `json:"token,omitempty" validate:"min=0"`
	Ignore bool   `json:"ignore,omitempty"`
	Poison string `json:"poison,omitempty"`
	// Restart is the time an engine is down after a crash, in milliseconds.
	Restart int `json:"restart,omitempty" validate:"min=0"`
}

// Service configures one plain service stand-in.
type Service struct {
	Listen string `json:"listen" validate:"required,tcp_addr"`
	// Delay is the time a booking takes in milliseconds.
	Delay int `json:"delay,omitempty" validate:"min=0"`
}

// Artifact configures one artifact with random content.
type Artifact struct {
	Name    string      `json:"name" validate:"required"`
	Version string      `json:"version" validate:"required"`
	Size    ident.Bytes `json:"size" validate:"min=1"`
	Chunk   ident.Bytes `json:"chunk" validate:"min=1"`
	Seed    uint64      `json:"seed"`
}

// Settings configure the stand-ins.
type Settings struct {
	Listen    string     `json:"listen" validate:"required,tcp_addr"`
	Engines   []Engine   `json:"engines" validate:"dive"`
	Services  []Service  `json:"services" validate:"dive"`
	Artifacts []Artifact `json:"artifacts" validate:"dive"`
	// Lag is the age of the membership list in milliseconds.
	Lag int `json:"lag,omitempty" validate:"min=0"`
	// Rate is the origin's bytes a second; zero means no bound.
	Rate ident.Bytes `json:"rate,omitempty" validate:"min=0"`
}

// Counts are what the stand-ins counted.
type Counts struct {
	Origin   ident.Bytes    `json:"origin"`
	Store    ident.Bytes    `json:"store"`
	Bookings map[string]int `json:"bookings"`
}

// Platform is the set of stand-ins. Set its fields before Run.
type Platform struct {
	Settings Settings

	Log     logservice.Service
	Members members.Service
	Store   weights.Source
	Origin  weights.Source
	Ledger  service.Ledger
}

// Run serves until ctx ends.
func (p *Platform) Run(ctx context.Context) error {
	if err := p.build(); err != nil {
		return err
	}
	handlers := map[string]http.Handler{p.Settings.Listen: p.handler()}
	for _, e := range p.Settings.Engines {
		en := &engine.Engine{
			Slots: e.Slots, TokenTime: time.Duration(e.Token) * time.Millisecond, IgnoreFence: e.Ignore,
			Poison: e.Poison, Restart: time.Duration(e.Restart) * time.Millisecond, HTTP: &http.Client{},
		}
		handlers[e.Listen] = en.Handler()
	}
	for _, s := range p.Settings.Services {
		sv := &service.Service{Ledger: &p.Ledger, Delay: time.Duration(s.Delay) * time.Millisecond}
		handlers[s.Listen] = sv.Handler()
	}
	return serve(ctx, handlers)
}

func serve(ctx context.Context, handlers map[string]http.Handler) error {
	g, ctx := errgroup.WithContext(ctx)
	for address, h := range handlers {
		ln, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		w := webserver.Server{Listener: ln, Handler: h, Grace: time.Second}
		g.Go(func() error {
			_ = w.Run(ctx)
			return nil
		})
	}
	return g.Wait()
}

func (p *Platform) build() error {
	p.Members.Lag = time.Duration(p.Settings.Lag) * time.Millisecond
	if p.Settings.Rate > 0 {
		p.Origin.Rate = rate.NewLimiter(rate.Limit(p.Settings.Rate), rateBurstBytes)
	}
	for _, a := range p.Settings.Artifacts {
		if _, err := p.Store.Add(a.Name, a.Version, a.Size, a.Chunk, a.Seed); err != nil {
			return err
		}
		if _, err := p.Origin.Add(a.Name, a.Version, a.Size, a.Chunk, a.Seed); err != nil {
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

// Counts returns what the stand-ins counted.
func (p *Platform) Counts() Counts {
	return Counts{Origin: p.Origin.Bytes(), Store: p.Store.Bytes(), Bookings: p.Ledger.Counts()}
}
