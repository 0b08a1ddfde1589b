// Package chunkreplicator holds the chunks of a model's releases on one host, fetches those that it lacks, and gives them to the
// other hosts.
package chunkreplicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/archiver"
	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/uploadlimiter"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/fetcher"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	// callTime bounds one small call.
	callTime = 2 * time.Second
	// chunkTime bounds the read of one chunk from the origin.
	chunkTime = 5 * time.Second
	// settleTime, sourceTime, heartbeat, busyTime, retryTime and newsRate suit weights of a few megabytes, which take two seconds on a link of
	// the engines' hosts: a chunk takes 35 ms.
	settleTime = 100 * time.Millisecond
	sourceTime = 600 * time.Millisecond
	heartbeat  = 150 * time.Millisecond
	// patience is longer than the outages of the origin that were seen, 6 s.
	patience  = 8 * time.Second
	busyTime  = 50 * time.Millisecond
	retryTime = 60 * time.Millisecond
	newsRate  = 20
	// hostFetches is the number of chunks that a host reads at a time: with two the link stays busy, and a request on the
	// same link waits for no more than the two.
	hostFetches = 2
	// seedFetches and seedUploads are those of a seed, whose link is wide.
	seedFetches = 8
	seedUploads = 64
	// seedRounds and seedPause bound the time for a seed to read a manifest from the origin.
	seedRounds = 4
	seedPause  = 60 * time.Millisecond
	// manifestPeers is the number of other hosts that are asked for a manifest when the origin does not give it.
	manifestPeers = 3
	// kept is the number of releases that are held: the one served, and the one that comes.
	kept = 2
)

// Replicator is the part of one host. Set its fields before Build.
type Replicator struct {
	Name   ident.Host
	Zone   ident.Zone
	Region ident.Region
	IP     string
	// Seed says that the host's link is much wider than those of the engines' hosts.
	Seed bool
	// Control and Data are the ports for other hosts; all hosts have the same ones.
	Control, Data int
	// Methods are further methods of the control server.
	Methods map[string]rpc.Handler
	// Peers returns the other hosts that carry chunks.
	Peers func() []fetchplanner.Peer
	// Origin returns the address of the origin and its region; empty if none is known.
	Origin func() (string, ident.Region)
	// Manifest and Chunk read from the origin.
	Manifest func(ctx context.Context, origin string, s directory.Serving) (manifest.Artifact, error)
	Chunk    func(ctx context.Context, origin string, s directory.Serving, number int, p weightclient.Progress) ([]byte, error)
	// Archiver keeps the newest release in the store; nil if this host does not read it there.
	Archiver *archiver.Archiver
	// Dial makes connections to other hosts, and HTTP reads chunks from them.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	HTTP *http.Client
	// Logger receives the events.
	Logger log.Interface

	cache    *chunkcache.Cache
	fetcher  *fetcher.Fetcher
	controls *rpc.Pool

	mu      sync.Mutex
	serving map[ident.Digest]directory.Serving
	digest  map[directory.Serving]ident.Digest
	order   []directory.Serving
	// kept is the release that the store holds, as far as this host has found.
	kept directory.Serving
}

// Build makes the parts and registers their metrics.
func (c *Replicator) Build(registry prometheus.Registerer) {
	c.serving = make(map[ident.Digest]directory.Serving)
	c.digest = make(map[directory.Serving]ident.Digest)
	c.cache = &chunkcache.Cache{Epoch: time.Now().UnixMilli()}
	c.controls = &rpc.Pool{Dial: c.Dial}
	weights := &weightclient.Client{HTTP: c.HTTP}
	fetches := hostFetches
	if c.Seed {
		fetches = seedFetches
	}
	c.fetcher = &fetcher.Fetcher{
		Self:    c.peer(fetchplanner.Peer{Host: c.Name, Zone: c.Zone, Region: c.Region, Seed: c.Seed}),
		Sources: []string{""}, Cache: c.cache, Peers: c.peers, Artifact: weights.Artifact, Logger: c.Logger,
		Tempo: fetcher.Tempo{Settle: settleTime, Deadline: sourceTime, Busy: busyTime, Retry: retryTime, News: newsRate, Heartbeat: heartbeat, Patience: patience, Fetches: fetches},
		Chunk: func(ctx context.Context, base string, k manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error) {
			if base == "" {
				return c.fromOutside(ctx, k, p)
			}
			data, err := weights.Chunk(ctx, base, k, zone, p)
			var refused *weightclient.Error
			if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
				event.HostFailed.Log(c.Logger.WithError(err).WithField("chunk", string(k.Digest[:12])), nil)
			}
			return data, err
		},
		Have: func(ctx context.Context, p fetcher.Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
			return rpc.Call[messages.HaveAnswer](ctx, c.controls.Client(p.Control), messages.HaveMethod, q)
		},
	}
	c.fetcher.Register(registry)
}

// peer adds the addresses. A host is named by its IP address, as an engine's id changes with each start.
func (c *Replicator) peer(p fetchplanner.Peer) fetcher.Peer {
	return fetcher.Peer{
		Peer: p, Data: net.JoinHostPort(string(p.Host), strconv.Itoa(c.Data)),
		Control: net.JoinHostPort(string(p.Host), strconv.Itoa(c.Control)),
	}
}

func (c *Replicator) peers([]ident.Digest) ([]fetcher.Peer, catalog.Bias) {
	out := []fetcher.Peer{c.fetcher.Self}
	for _, p := range c.Peers() {
		if p.Host != c.Name {
			out = append(out, c.peer(p))
		}
	}
	return out, catalog.Bias("")
}

// Client returns the client for the control server of another host.
func (c *Replicator) Client(h ident.Host) *rpc.Client {
	return c.controls.Client(net.JoinHostPort(string(h), strconv.Itoa(c.Control)))
}

// Run serves the other hosts until ctx ends.
func (c *Replicator) Run(ctx context.Context) error {
	slots := &uploadlimiter.Limiter{}
	if c.Seed {
		slots.Inside, slots.Outside = seedUploads, seedUploads
	}
	mux := http.NewServeMux()
	(&chunkserver.Server{Cache: c.cache, Zone: c.Zone, UploadLimiter: slots}).Register(mux)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return c.serveData(ctx, mux) })
	tasks.Go(func() error { return c.serveControl(ctx) })
	return tasks.Wait()
}

func (c *Replicator) listen(port int) (net.Listener, error) {
	ln, err := net.Listen("tcp4", net.JoinHostPort(c.IP, strconv.Itoa(port)))
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	return ln, nil
}

func (c *Replicator) serveControl(ctx context.Context) error {
	ln, err := c.listen(c.Control)
	if err != nil {
		return err
	}
	methods := map[string]rpc.Handler{
		messages.HaveMethod:     rpc.Handle(c.fetcher.Answer),
		messages.ManifestMethod: rpc.Handle(c.answerManifest),
	}
	maps.Copy(methods, c.Methods)
	return (&rpc.Server{Methods: methods}).Serve(ctx, ln)
}

func (c *Replicator) serveData(ctx context.Context, handler http.Handler) error {
	ln, err := c.listen(c.Data)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: callTime}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve chunks: %w", err)
	}
	return nil
}

// fromOrigin reads a chunk that no host holds.
func (c *Replicator) fromOrigin(ctx context.Context, k manifest.Chunk, p weightclient.Progress) ([]byte, error) {
	origin, _ := c.Origin()
	s, number, ok := c.place(k.Digest)
	if origin == "" || !ok {
		return nil, fmt.Errorf("chunk %.12s: no origin is known", k.Digest)
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTime)
	defer cancel()
	begun := time.Now()
	data, err := c.Chunk(ctx, origin, s, number, p)
	if err != nil {
		if ctx.Err() != nil || !errors.Is(err, context.Canceled) {
			event.OriginFailed.Log(c.Logger.WithError(err).WithFields(log.Fields{"chunk": number, "took": time.Since(begun).Milliseconds()}), nil)
		}
		return nil, err
	}
	return data, nil
}

// place returns the release and the number by which the origin knows a chunk.
func (c *Replicator) place(d ident.Digest) (directory.Serving, int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for sum, s := range c.serving {
		a, ok := c.cache.Artifact(sum)
		if !ok {
			continue
		}
		for i, k := range a.Chunks {
			if k.Digest == d {
				return s, i, true
			}
		}
	}
	return directory.Serving{}, 0, false
}

// Knows tells whether the manifest of a release is held.
func (c *Replicator) Knows(s directory.Serving) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.digest[s]
	return ok
}

// Artifact returns the list of chunks of a release.
func (c *Replicator) Artifact(ctx context.Context, s directory.Serving) (manifest.Artifact, ident.Digest, error) {
	c.mu.Lock()
	d, ok := c.digest[s]
	c.mu.Unlock()
	if ok {
		if a, ok := c.cache.Artifact(d); ok {
			return a, d, nil
		}
	}
	a, err := c.find(ctx, s)
	if err != nil {
		return a, "", err
	}
	data, err := a.Encode()
	if err != nil {
		return a, "", fmt.Errorf("encode manifest of %s: %w", s.Model, err)
	}
	d = manifest.Sum(data)
	c.cache.PutArtifact(d, a)
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.digest[s]; !ok {
		c.order = append(c.order, s)
	}
	c.digest[s], c.serving[d] = d, s
	return a, d, nil
}

// find asks for a manifest. All hosts want a new one at the same moment, and the origin takes few connections, so that a
// host that is no seed asks the seeds of its zone first.
func (c *Replicator) find(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	if !c.Seed {
		for range seedRounds {
			a, err := c.askPeers(ctx, s, func(p fetchplanner.Peer) bool { return p.Seed && p.Zone == c.Zone })
			if err == nil {
				return a, nil
			}
			select {
			case <-ctx.Done():
				return a, ctx.Err()
			case <-time.After(seedPause):
			}
		}
	}
	if a, err := c.askArchiver(ctx, s); err == nil {
		return a, nil
	}
	a, err := c.askOrigin(ctx, s)
	if err == nil {
		return a, nil
	}
	a, perr := c.askPeers(ctx, s, func(fetchplanner.Peer) bool { return true })
	if perr != nil {
		return a, errors.Join(err, perr)
	}
	return a, nil
}

func (c *Replicator) askOrigin(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	origin, _ := c.Origin()
	if origin == "" {
		return manifest.Artifact{}, errors.New("no origin is known")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return c.Manifest(ctx, origin, s)
}

// askPeers asks a few other hosts for a manifest.
func (c *Replicator) askPeers(ctx context.Context, s directory.Serving, filter func(p fetchplanner.Peer) bool) (manifest.Artifact, error) {
	peers := slices.DeleteFunc(c.Peers(), func(p fetchplanner.Peer) bool { return !filter(p) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other host is known")
	for _, p := range peers[:min(manifestPeers, len(peers))] {
		if p.Host == c.Name {
			continue
		}
		var a manifest.Artifact
		if a, err = c.askManifest(ctx, c.peer(p).Control, s); err == nil {
			return a, nil
		}
	}
	return manifest.Artifact{}, err
}

func (c *Replicator) askManifest(ctx context.Context, control string, s directory.Serving) (manifest.Artifact, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	q := messages.ManifestQuery{Model: string(s.Model), Release: int64(s.Release)}
	a, err := rpc.Call[messages.ManifestAnswer](ctx, c.controls.Client(control), messages.ManifestMethod, q)
	if err != nil {
		return a.Manifest, err
	}
	if !a.Known {
		return a.Manifest, fmt.Errorf("host %s has no manifest of release %d of %s", control, s.Release, s.Model)
	}
	return a.Manifest, a.Manifest.Check()
}

// answerManifest gives a manifest that this host has.
func (c *Replicator) answerManifest(_ context.Context, q messages.ManifestQuery) (messages.ManifestAnswer, error) {
	c.mu.Lock()
	d, ok := c.digest[directory.Serving{Model: directory.Model(q.Model), Release: directory.Release(q.Release)}]
	c.mu.Unlock()
	if !ok {
		return messages.ManifestAnswer{}, nil
	}
	a, ok := c.cache.Artifact(d)
	return messages.ManifestAnswer{Known: ok, Manifest: a}, nil
}

// Put takes a chunk that was found elsewhere, if it matches its digest.
func (c *Replicator) Put(d ident.Digest, data []byte) error {
	return c.cache.PutChunk(d, data)
}

// Get returns a chunk that is held.
func (c *Replicator) Get(d ident.Digest) ([]byte, bool) {
	return c.cache.Chunk(d)
}

// SetRank orders the chunks, by number, for the next fetch: lower ranks are read first. Nil ranks them alike.
func (c *Replicator) SetRank(f func(number int) int) {
	c.fetcher.Rank = f
}

// Fetch brings all chunks of a release here. It ends early when superseded returns true.
func (c *Replicator) Fetch(ctx context.Context, s directory.Serving, superseded func() bool) (manifest.Artifact, error) {
	a, d, err := c.Artifact(ctx, s)
	if err != nil || len(c.cache.Missing(a)) == 0 {
		return a, err
	}
	c.forget(s)
	_, c.fetcher.Home = c.Origin()
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watch(ctx, superseded, cancel)
	if err := c.fetcher.Fetch(ctx, []ident.Digest{d}); err != nil {
		return a, fmt.Errorf("fetch release %d of %s: %w", s.Release, s.Model, err)
	}
	event.ChunksFetched.Log(c.Logger.WithFields(log.Fields{
		"model": string(s.Model), "release": int64(s.Release), "took": time.Since(begun).Milliseconds(),
	}), nil)
	return a, nil
}

// forget drops the releases before the one that is served and the one that comes.
func (c *Replicator) forget(next directory.Serving) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var keep []ident.Digest
	for i, s := range c.order {
		if s == next || i >= len(c.order)-kept {
			keep = append(keep, c.digest[s])
			continue
		}
		delete(c.serving, c.digest[s])
		delete(c.digest, s)
	}
	c.order = c.order[max(0, len(c.order)-kept):]
	c.cache.Retain(keep)
}

func watch(ctx context.Context, superseded func() bool, cancel func()) {
	const every = 100 * time.Millisecond
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(every):
			if superseded() {
				cancel()
				return
			}
		}
	}
}
