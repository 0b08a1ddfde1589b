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

	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/holder"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/planner"
	"github.com/nutmegdock/nutmegdock/internal/core/stager"
	"github.com/nutmegdock/nutmegdock/internal/core/surveyor"
	"github.com/nutmegdock/nutmegdock/internal/core/uploader"
	"github.com/nutmegdock/nutmegdock/internal/fetcher"
	"github.com/nutmegdock/nutmegdock/internal/fleet"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	// reportEvery is how often the engine is asked: its reports are a few hundred milliseconds old anyway.
	reportEvery = 250 * time.Millisecond
	// callTime bounds one call to the engine beside the host.
	callTime = 2 * time.Second
	// chunkTime bounds the read of one chunk from outside.
	chunkTime = 5 * time.Second
	// settleTime, sourceTime, busyTime and newsRate suit weights of a few megabytes, which take two seconds on a link of
	// the side machines: a chunk takes 35 ms.
	settleTime = 100 * time.Millisecond
	sourceTime = 1500 * time.Millisecond
	busyTime   = 50 * time.Millisecond
	newsRate   = 20
	// retryTime is the pause after a failed step.
	retryTime = 300 * time.Millisecond
)

// Engine holds the calls to the engine and to the origin of weights.
type Engine struct {
	Report   func(ctx context.Context) (stager.Report, error)
	Stage    func(ctx context.Context, m directory.Model, number int, data []byte) error
	Staged   func(ctx context.Context, m directory.Model, number int) ([]byte, error)
	Load     func(ctx context.Context, s directory.Serving, orders int64) error
	Manifest func(ctx context.Context, origin string, s directory.Serving) (manifest.Artifact, error)
	Chunk    func(ctx context.Context, origin string, s directory.Serving, number int) ([]byte, error)
}

// Host is the host beside one engine. Set its fields before Run.
type Host struct {
	Name   ident.Host
	Zone   ident.Zone
	Region ident.Region
	IP     string
	Pool   ident.Pool
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// Engine makes the calls.
	Engine Engine
	// Control, Data and Metrics are the ports for other hosts; all hosts have the same ones.
	Control, Data, Metrics int
	// ReleaseBound is the time within which the engine must serve a new release.
	ReleaseBound time.Duration
	// Fleet follows the store.
	Fleet *fleet.Follower
	// Dial makes connections to other hosts.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTP reads chunks from other hosts.
	HTTP *http.Client
	// Logger receives the events.
	Logger log.Interface

	survey   *surveyor.Surveyor
	holder   *holder.Holder
	fetcher  *fetcher.Fetcher
	controls *rpc.Pool
	news     chan struct{}

	mu     sync.Mutex
	dir    *directory.Directory
	served map[ident.Digest]directory.Serving
	digest map[directory.Serving]ident.Digest
}

// Run serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.build()
	registry := prometheus.NewRegistry()
	h.fetcher.Register(registry)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return h.Fleet.Run(ctx) })
	tasks.Go(func() error { return h.serveControl(ctx) })
	mux := http.NewServeMux()
	(&chunkserver.Server{Holder: h.holder, Zone: h.Zone, Uploader: &uploader.Uploader{}}).Register(mux)
	tasks.Go(func() error { return h.serve(ctx, h.Data, mux) })
	tasks.Go(func() error { return h.serve(ctx, h.Metrics, promhttp.HandlerFor(registry, promhttp.HandlerOpts{})) })
	tasks.Go(func() error { return h.run(ctx) })
	h.Logger.WithFields(log.Fields{"host": string(h.Name), "pool": string(h.Pool)}).Info("process started")
	err := tasks.Wait()
	h.Logger.Info("process stopped")
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

func (h *Host) build() {
	h.news = make(chan struct{}, 1)
	h.served = make(map[ident.Digest]directory.Serving)
	h.digest = make(map[directory.Serving]ident.Digest)
	h.survey = &surveyor.Surveyor{ReleaseBound: h.ReleaseBound}
	h.Fleet.Surveyor = h.survey
	h.Fleet.OnDirectory = h.setDirectory
	h.Fleet.OnRelease = func(directory.Serving) { h.notify() }
	h.holder = &holder.Holder{Epoch: time.Now().UnixMilli()}
	h.controls = &rpc.Pool{Dial: h.Dial}
	weights := &weightclient.Client{HTTP: h.HTTP}
	h.fetcher = &fetcher.Fetcher{
		Self: h.peer(h.Name, h.Zone, h.IP), Sources: []string{""}, Holder: h.holder, Peers: h.peers,
		Artifact: weights.Artifact, Logger: h.Logger,
		Tempo: fetcher.Tempo{Settle: settleTime, Deadline: sourceTime, Busy: busyTime, News: newsRate},
		Chunk: func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error) {
			if base == "" {
				return h.fromOrigin(ctx, c, p)
			}
			return weights.Chunk(ctx, base, c, zone, p)
		},
		Have: func(ctx context.Context, p fetcher.Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
			return rpc.Call[messages.HaveAnswer](ctx, h.controls.Client(p.Control), messages.HaveMethod, q)
		},
	}
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
		for _, p := range d.Pools {
			if p.Origin != "" {
				h.fetcher.Home = h.Regions[p.Zone]
			}
		}
		h.notify()
	}
}

// engine returns the figures of the host's pool, and the address of the origin.
func (h *Host) engine() (*directory.Engine, string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dir == nil || h.dir.Pools[h.Pool] == nil {
		return nil, ""
	}
	origin := ""
	for _, p := range h.dir.Pools {
		if p.Origin != "" {
			origin = p.Origin
		}
	}
	return h.dir.Pools[h.Pool].Engine, origin
}

func (h *Host) peer(name ident.Host, zone ident.Zone, ip string) fetcher.Peer {
	return fetcher.Peer{
		Peer: planner.Peer{Host: name, Zone: zone, Region: h.Regions[zone]},
		Data: net.JoinHostPort(ip, strconv.Itoa(h.Data)), Control: net.JoinHostPort(ip, strconv.Itoa(h.Control)),
	}
}

// peers returns the hosts beside the engines of the pool. A host is named by its address, as an engine's id changes
// with each start.
func (h *Host) peers([]ident.Digest) ([]fetcher.Peer, catalog.Bias) {
	var out []fetcher.Peer
	for _, e := range h.survey.Endpoints() {
		ip, _, err := net.SplitHostPort(e.Address)
		if err != nil || e.Pool != h.Pool || ip == h.IP {
			continue
		}
		out = append(out, h.peer(ident.Host(ip), e.Zone, ip))
	}
	return append(out, h.fetcher.Self), catalog.Bias("")
}

func (h *Host) serveControl(ctx context.Context) error {
	ln, err := net.Listen("tcp4", net.JoinHostPort(h.IP, strconv.Itoa(h.Control)))
	if err != nil {
		return fmt.Errorf("listen for control: %w", err)
	}
	return (&rpc.Server{Methods: map[string]rpc.Handler{
		messages.HaveMethod:     rpc.Handle(h.fetcher.Answer),
		messages.ManifestMethod: rpc.Handle(h.answerManifest),
	}}).Serve(ctx, ln)
}

func (h *Host) serve(ctx context.Context, port int, handler http.Handler) error {
	ln, err := net.Listen("tcp4", net.JoinHostPort(h.IP, strconv.Itoa(port)))
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: callTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve port %d: %w", port, err)
	}
	return nil
}

// fromOrigin reads a chunk that no host holds.
func (h *Host) fromOrigin(ctx context.Context, c manifest.Chunk, p weightclient.Progress) ([]byte, error) {
	_, origin := h.engine()
	s, number, ok := h.place(c.Digest)
	if origin == "" || !ok {
		return nil, fmt.Errorf("chunk %.12s: no origin is known", c.Digest)
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTime)
	defer cancel()
	data, err := h.Engine.Chunk(ctx, origin, s, number)
	if err != nil {
		return nil, err
	}
	return data, p(ctx, len(data))
}

// place returns the release and the number by which the origin knows a chunk.
func (h *Host) place(d ident.Digest) (directory.Serving, int, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for sum, s := range h.served {
		a, ok := h.holder.Artifact(sum)
		if !ok {
			continue
		}
		for i, c := range a.Chunks {
			if c.Digest == d {
				return s, i, true
			}
		}
	}
	return directory.Serving{}, 0, false
}
