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
	// keptReleases is the number of releases that are held: the one served, and the one that comes.
	keptReleases = 2
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
	// archived is the release that the store holds, as far as this host has found.
	archived directory.Serving
}

// Build makes the parts and registers their metrics.
func (r *Replicator) Build(registry prometheus.Registerer) {
	r.serving = make(map[ident.Digest]directory.Serving)
	r.digest = make(map[directory.Serving]ident.Digest)
	r.cache = &chunkcache.Cache{Epoch: time.Now().UnixMilli()}
	r.controls = &rpc.Pool{Dial: r.Dial}
	weights := &weightclient.Client{HTTP: r.HTTP}
	fetches := hostFetches
	if r.Seed {
		fetches = seedFetches
	}
	r.fetcher = &fetcher.Fetcher{
		Self:    r.peer(fetchplanner.Peer{Host: r.Name, Zone: r.Zone, Region: r.Region, Seed: r.Seed}),
		Sources: []string{""}, Cache: r.cache, Peers: r.peers, Artifact: weights.Artifact, Logger: r.Logger,
		Tempo: fetcher.Tempo{Settle: settleTime, Deadline: sourceTime, Busy: busyTime, Retry: retryTime, News: newsRate, Heartbeat: heartbeat, Patience: patience, Fetches: fetches},
		Chunk: func(ctx context.Context, base string, k manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error) {
			if base == "" {
				return r.fromOutside(ctx, k, p)
			}
			data, err := weights.Chunk(ctx, base, k, zone, p)
			var refused *weightclient.Error
			if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
				event.HostFailed.Log(r.Logger.WithError(err).WithField("chunk", string(k.Digest[:12])), nil)
			}
			return data, err
		},
		Have: func(ctx context.Context, p fetcher.Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
			return rpc.Call[messages.HaveAnswer](ctx, r.controls.Client(p.Control), messages.HaveMethod, q)
		},
	}
	r.fetcher.Register(registry)
}

// peer adds the addresses. A host is named by its IP address, as an engine's id changes with each start.
func (r *Replicator) peer(p fetchplanner.Peer) fetcher.Peer {
	return fetcher.Peer{
		Peer: p, Data: net.JoinHostPort(string(p.Host), strconv.Itoa(r.Data)),
		Control: net.JoinHostPort(string(p.Host), strconv.Itoa(r.Control)),
	}
}

func (r *Replicator) peers([]ident.Digest) ([]fetcher.Peer, catalog.Bias) {
	out := []fetcher.Peer{r.fetcher.Self}
	for _, p := range r.Peers() {
		if p.Host != r.Name {
			out = append(out, r.peer(p))
		}
	}
	return out, catalog.Bias("")
}

// Client returns the client for the control server of another host.
func (r *Replicator) Client(h ident.Host) *rpc.Client {
	return r.controls.Client(net.JoinHostPort(string(h), strconv.Itoa(r.Control)))
}

// Run serves the other hosts until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	slots := &uploadlimiter.Limiter{}
	if r.Seed {
		slots.Inside, slots.Outside = seedUploads, seedUploads
	}
	mux := http.NewServeMux()
	(&chunkserver.Server{Cache: r.cache, Zone: r.Zone, UploadLimiter: slots}).Register(mux)
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return r.serveData(ctx, mux) })
	tasks.Go(func() error { return r.serveControl(ctx) })
	return tasks.Wait()
}

func (r *Replicator) listen(port int) (net.Listener, error) {
	ln, err := net.Listen("tcp4", net.JoinHostPort(r.IP, strconv.Itoa(port)))
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	return ln, nil
}

func (r *Replicator) serveControl(ctx context.Context) error {
	ln, err := r.listen(r.Control)
	if err != nil {
		return err
	}
	methods := map[string]rpc.Handler{
		messages.HaveMethod:     rpc.Handle(r.fetcher.Answer),
		messages.ManifestMethod: rpc.Handle(r.answerManifest),
	}
	maps.Copy(methods, r.Methods)
	return (&rpc.Server{Methods: methods}).Serve(ctx, ln)
}

func (r *Replicator) serveData(ctx context.Context, handler http.Handler) error {
	ln, err := r.listen(r.Data)
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
func (r *Replicator) fromOrigin(ctx context.Context, k manifest.Chunk, p weightclient.Progress) ([]byte, error) {
	origin, _ := r.Origin()
	s, number, ok := r.place(k.Digest)
	if origin == "" || !ok {
		return nil, fmt.Errorf("chunk %.12s: no origin is known", k.Digest)
	}
	ctx, cancel := context.WithTimeout(ctx, chunkTime)
	defer cancel()
	begun := time.Now()
	data, err := r.Chunk(ctx, origin, s, number, p)
	if err != nil {
		if ctx.Err() != nil || !errors.Is(err, context.Canceled) {
			event.OriginFailed.Log(r.Logger.WithError(err).WithFields(log.Fields{"chunk": number, "took": time.Since(begun).Milliseconds()}), nil)
		}
		return nil, err
	}
	return data, nil
}

// place returns the release and the number by which the origin knows a chunk.
func (r *Replicator) place(d ident.Digest) (directory.Serving, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for sum, s := range r.serving {
		a, ok := r.cache.Artifact(sum)
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
func (r *Replicator) Knows(s directory.Serving) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.digest[s]
	return ok
}

// Artifact returns the list of chunks of a release.
func (r *Replicator) Artifact(ctx context.Context, s directory.Serving) (manifest.Artifact, ident.Digest, error) {
	r.mu.Lock()
	d, ok := r.digest[s]
	r.mu.Unlock()
	if ok {
		if a, ok := r.cache.Artifact(d); ok {
			return a, d, nil
		}
	}
	a, err := r.find(ctx, s)
	if err != nil {
		return a, "", err
	}
	data, err := a.Encode()
	if err != nil {
		return a, "", fmt.Errorf("encode manifest of %s: %w", s.Model, err)
	}
	d = manifest.Sum(data)
	r.cache.PutArtifact(d, a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.digest[s]; !ok {
		r.order = append(r.order, s)
	}
	r.digest[s], r.serving[d] = d, s
	return a, d, nil
}

// find asks for a manifest. All hosts want a new one at the same moment, and the origin takes few connections, so that a
// host that is no seed asks the seeds of its zone first.
func (r *Replicator) find(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	if !r.Seed {
		for range seedRounds {
			a, err := r.askPeers(ctx, s, func(p fetchplanner.Peer) bool { return p.Seed && p.Zone == r.Zone })
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
	if a, err := r.askArchiver(ctx, s); err == nil {
		return a, nil
	}
	a, err := r.askOrigin(ctx, s)
	if err == nil {
		return a, nil
	}
	a, perr := r.askPeers(ctx, s, func(fetchplanner.Peer) bool { return true })
	if perr != nil {
		return a, errors.Join(err, perr)
	}
	return a, nil
}

func (r *Replicator) askOrigin(ctx context.Context, s directory.Serving) (manifest.Artifact, error) {
	origin, _ := r.Origin()
	if origin == "" {
		return manifest.Artifact{}, errors.New("no origin is known")
	}
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	return r.Manifest(ctx, origin, s)
}

// askPeers asks a few other hosts for a manifest.
func (r *Replicator) askPeers(ctx context.Context, s directory.Serving, filter func(p fetchplanner.Peer) bool) (manifest.Artifact, error) {
	peers := slices.DeleteFunc(r.Peers(), func(p fetchplanner.Peer) bool { return !filter(p) })
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	err := errors.New("no other host is known")
	for _, p := range peers[:min(manifestPeers, len(peers))] {
		if p.Host == r.Name {
			continue
		}
		var a manifest.Artifact
		if a, err = r.askManifest(ctx, r.peer(p).Control, s); err == nil {
			return a, nil
		}
	}
	return manifest.Artifact{}, err
}

func (r *Replicator) askManifest(ctx context.Context, control string, s directory.Serving) (manifest.Artifact, error) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	q := messages.ManifestQuery{Model: string(s.Model), Release: int64(s.Release)}
	a, err := rpc.Call[messages.ManifestAnswer](ctx, r.controls.Client(control), messages.ManifestMethod, q)
	if err != nil {
		return a.Manifest, err
	}
	if !a.Known {
		return a.Manifest, fmt.Errorf("host %s has no manifest of release %d of %s", control, s.Release, s.Model)
	}
	return a.Manifest, a.Manifest.Check()
}

// answerManifest gives a manifest that this host has.
func (r *Replicator) answerManifest(_ context.Context, q messages.ManifestQuery) (messages.ManifestAnswer, error) {
	r.mu.Lock()
	d, ok := r.digest[directory.Serving{Model: directory.Model(q.Model), Release: directory.Release(q.Release)}]
	r.mu.Unlock()
	if !ok {
		return messages.ManifestAnswer{}, nil
	}
	a, ok := r.cache.Artifact(d)
	return messages.ManifestAnswer{Known: ok, Manifest: a}, nil
}

// Put takes a chunk that was found elsewhere, if it matches its digest.
func (r *Replicator) Put(d ident.Digest, data []byte) error {
	return r.cache.PutChunk(d, data)
}

// Get returns a chunk that is held.
func (r *Replicator) Get(d ident.Digest) ([]byte, bool) {
	return r.cache.Chunk(d)
}

// SetRank orders the chunks, by number, for the next fetch: lower ranks are read first. Nil ranks them alike.
func (r *Replicator) SetRank(f func(number int) int) {
	r.fetcher.Rank = f
}

// Fetch brings all chunks of a release here. It ends early when superseded returns true.
func (r *Replicator) Fetch(ctx context.Context, s directory.Serving, superseded func() bool) (manifest.Artifact, error) {
	a, d, err := r.Artifact(ctx, s)
	if err != nil || len(r.cache.Missing(a)) == 0 {
		return a, err
	}
	r.forget(s)
	_, r.fetcher.Home = r.Origin()
	begun := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go watch(ctx, superseded, cancel)
	if err := r.fetcher.Fetch(ctx, []ident.Digest{d}); err != nil {
		return a, fmt.Errorf("fetch release %d of %s: %w", s.Release, s.Model, err)
	}
	event.ChunksFetched.Log(r.Logger.WithFields(log.Fields{
		"model": string(s.Model), "release": int64(s.Release), "took": time.Since(begun).Milliseconds(),
	}), nil)
	return a, nil
}

// forget drops the releases before the one that is served and the one that comes.
func (r *Replicator) forget(next directory.Serving) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var keep []ident.Digest
	for i, s := range r.order {
		if s == next || i >= len(r.order)-keptReleases {
			keep = append(keep, r.digest[s])
			continue
		}
		delete(r.serving, r.digest[s])
		delete(r.digest, s)
	}
	r.order = r.order[max(0, len(r.order)-keptReleases):]
	r.cache.Retain(keep)
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
