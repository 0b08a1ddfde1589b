// Package fetcher fetches all chunks of a weight set into a cache, from peers, the weight store and the origin.
package fetcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	planInterval     = 250 * time.Millisecond
	peerListInterval = time.Second
	manifestTimeout  = 5 * time.Second
	maxManifestPeers = 3
)

// Peer is another endpoint host that wants the same weight set, with its addresses.
type Peer struct {
	fetchplanner.Peer
	DataAddress    string
	ControlAddress string
}

// Fetcher fetches weight sets for one host and serves the host's chunk inventory to its peers. Set its fields before
// Fetch.
type Fetcher struct {
	// Self is the local host.
	Self Peer
	// HomeRegion is the region of the weight store and the origin, or empty if they are close to no region.
	HomeRegion ident.Region
	// Sources are the base addresses of the weight store and the origin, in the order in which they are tried.
	Sources []string
	// Cache receives the verified chunks.
	Cache *chunkcache.Cache
	// Peers returns the hosts that want the weight set made of the artifacts, and the set's fetch goal: whether little
	// traffic to the origin or a short fetch matters more.
	Peers func(artifacts []ident.Digest) ([]Peer, catalog.FetchGoal)
	// QueryInventory queries the chunk inventory of a peer.
	QueryInventory func(ctx context.Context, p Peer, q messages.InventoryQuery) (messages.InventoryResponse, error)
	// FetchManifest reads a manifest from a base address.
	FetchManifest func(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error)
	// FetchChunk reads a chunk from a base address.
	FetchChunk func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.ProgressFunc) ([]byte, error)
	// ReadsSourcesDirectly reports whether each zone reads its own copy from Sources at present. Nil means that one zone
	// reads from another where it can.
	ReadsSourcesDirectly func() bool
	// PriorityClass returns the rank of a chunk by its number, for a weight set of one artifact. Chunks of lower ranks are
	// fetched first. Nil gives all chunks the same rank.
	PriorityClass func(number int) int
	// Timing holds the timing parameters. The defaults suit weight sets whose fetch takes minutes.
	Timing Timing
	// Logger receives the events.
	Logger log.Interface

	mu      sync.Mutex
	planner *fetchplanner.Planner
	peers   map[ident.Host]Peer
	// discovered holds the peers that have queried this host's inventory.
	discovered  map[ident.Host]Peer
	subscribers map[ident.Host]*subscriber
	// inventoryChange is closed at the next change of this host's inventory. Nil means that no query waits.
	inventoryChange chan struct{}
	received        byteCounts
}

// Timing holds the timing parameters of a fetch; zero fields mean the defaults.
type Timing struct {
	// SettleDelay to ProgressTimeout are passed to the fetch planner, which describes them.
	SettleDelay, StallTimeout, BusyDelay, RetryDelay, ProgressTimeout time.Duration
	// HeartbeatInterval is the maximum time until the response to an inventory query, even if the inventory has not
	// changed. It must be well below the planner's timeout for a source without progress.
	HeartbeatInterval time.Duration
	// MaxFetches is the maximum number of concurrent chunk fetches.
	MaxFetches int
	// ResponseRate is the maximum number of inventory responses per second to each subscriber.
	ResponseRate float64
}

// fetchRun is the state of one call of Fetch.
type fetchRun struct {
	*Fetcher
	artifacts   []ident.Digest
	tasks       errgroup.Group
	wake        chan struct{}
	cancelFetch map[int64]context.CancelFunc
	cancelWatch map[ident.Host]context.CancelFunc
	peersListed time.Time
	err         error
}

// Progress returns how many chunks of the current fetch are held, and how many it has in total.
func (f *Fetcher) Progress() (have, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.planner == nil {
		return 0, 0
	}
	total = f.planner.Total()
	return total - f.planner.Remaining(), total
}

// Fetch returns when all chunks of all artifacts are held and verified. It returns a chunkcache.FullError immediately
// if they cannot fit into the cache. Chunks that a cancelled fetch has verified stay in the cache for the next one.
func (f *Fetcher) Fetch(ctx context.Context, artifacts []ident.Digest) error {
	var goals []fetchplanner.Goal
	for _, d := range artifacts {
		a, err := f.manifest(ctx, artifacts, d)
		if err != nil {
			return err
		}
		goals = append(goals, fetchplanner.Goal{Digest: d, Artifact: a})
	}
	if err := f.Cache.Pin(artifacts); err != nil {
		return err
	}
	f.setGoal(artifacts, goals)
	ctx, stop := context.WithCancel(ctx)
	run := &fetchRun{
		Fetcher: f, artifacts: artifacts, wake: make(chan struct{}, 1),
		cancelFetch: make(map[int64]context.CancelFunc), cancelWatch: make(map[ident.Host]context.CancelFunc),
	}
	err := run.loop(ctx)
	stop()
	_ = run.tasks.Wait()
	return err
}

func (f *Fetcher) setGoal(artifacts []ident.Digest, goals []fetchplanner.Goal) {
	peers, goal := f.Peers(artifacts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner = &fetchplanner.Planner{
		Self: f.Self.Peer, HomeRegion: f.HomeRegion, ExternalSources: len(f.Sources), FetchGoal: goal, PriorityClass: f.PriorityClass, ReadsExternalDirectly: f.ReadsSourcesDirectly,
		SettleDelay: f.Timing.SettleDelay, StallTimeout: f.Timing.StallTimeout, BusyDelay: f.Timing.BusyDelay, RetryDelay: f.Timing.RetryDelay, ProgressTimeout: f.Timing.ProgressTimeout, MaxFetches: f.Timing.MaxFetches,
	}
	f.setPeers(peers)
	f.planner.SetGoal(goals, func(d ident.Digest) bool {
		_, ok := f.Cache.Chunk(d)
		return ok
	})
}

// setPeers replaces the peers of the fetch. The caller holds the lock.
func (f *Fetcher) setPeers(peers []Peer) {
	f.peers = make(map[ident.Host]Peer, len(peers))
	var planned []fetchplanner.Peer
	for _, p := range peers {
		f.peers[p.Host] = p
		planned = append(planned, p.Peer)
	}
	f.planner.SetPeers(planned)
}

// peer returns a listed peer, or one that has queried this host's inventory. The caller holds the lock.
func (f *Fetcher) peer(h ident.Host) Peer {
	if p, ok := f.peers[h]; ok {
		return p
	}
	return f.discovered[h]
}

// manifest returns the cached manifest or fetches it: from up to maxManifestPeers hosts of the zone, then from the
// external sources, then from the remaining hosts.
func (f *Fetcher) manifest(ctx context.Context, artifacts []ident.Digest, d ident.Digest) (manifest.Artifact, error) {
	if a, ok := f.Cache.Artifact(d); ok {
		return a, nil
	}
	var failures []error
	for _, base := range f.manifestSources(artifacts) {
		a, err := f.readManifest(ctx, base, d)
		if err == nil {
			f.Cache.PutArtifact(d, a)
			return a, nil
		}
		failures = append(failures, err)
		if ctx.Err() != nil {
			break
		}
	}
	return manifest.Artifact{}, fmt.Errorf("manifest %.12s: all sources failed: %w", d, errors.Join(failures...))
}

func (f *Fetcher) readManifest(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTimeout)
	defer cancel()
	return f.FetchManifest(ctx, base, d)
}

func (f *Fetcher) manifestSources(artifacts []ident.Digest) []string {
	peers, _ := f.Peers(artifacts)
	var near, far []string
	for _, p := range peers {
		if p.Host == f.Self.Host {
			continue
		}
		if p.Zone == f.Self.Zone && len(near) < maxManifestPeers {
			near = append(near, "http://"+p.DataAddress)
		} else {
			far = append(far, "http://"+p.DataAddress)
		}
	}
	return append(append(near, f.Sources...), far...)
}

func (r *fetchRun) loop(ctx context.Context) error {
	for {
		if remaining, err := r.step(ctx); remaining == 0 || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.wake:
		case <-time.After(planInterval):
		}
	}
}

// step starts and stops fetches as the planner decides, and returns the number of chunks that are still missing.
func (r *fetchRun) step(ctx context.Context) (int, error) {
	var peers []Peer
	isFresh := time.Since(r.peersListed) < peerListInterval
	if !isFresh {
		peers, _ = r.Peers(r.artifacts)
		r.peersListed = time.Now()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !isFresh {
		r.setPeers(peers)
	}
	start, stop := r.planner.Next()
	for _, id := range stop {
		r.cancelFetch[id]()
		delete(r.cancelFetch, id)
	}
	for _, fetch := range start {
		r.startFetch(ctx, fetch)
	}
	r.watchPeers(ctx)
	return r.planner.Remaining(), r.err
}

func (r *fetchRun) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// startFetch starts the fetch of one chunk. The caller holds the lock.
func (r *fetchRun) startFetch(ctx context.Context, fetch fetchplanner.Fetch) {
	ctx, cancel := context.WithCancel(ctx)
	r.cancelFetch[fetch.ID] = cancel
	peer := r.peer(fetch.Source.Host)
	r.tasks.Go(func() error {
		defer cancel()
		r.transfer(ctx, fetch, peer)
		r.notify()
		return nil
	})
}

func (r *fetchRun) transfer(ctx context.Context, fetch fetchplanner.Fetch, peer Peer) {
	base := "http://" + peer.DataAddress
	if fetch.Source.Host == "" {
		base = r.Sources[fetch.Source.ExternalIndex]
	}
	data, err := r.FetchChunk(ctx, base, fetch.Chunk, r.Self.Zone, func(_ context.Context, receivedBytes int) error {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.planner.RecordProgress(fetch.ID, ident.Bytes(receivedBytes))
		return nil
	})
	if err == nil {
		r.received.add(r.Self, fetch.Source, peer, ident.Bytes(len(data)))
		err = r.Cache.PutChunk(fetch.Chunk, data)
	}
	r.finish(fetch, base, err)
}

func (r *fetchRun) finish(fetch fetchplanner.Fetch, base string, err error) {
	outcome := outcomeOf(err)
	if outcome == fetchplanner.Busy && fetch.Source.Host == "" {
		outcome = fetchplanner.Failed
	}
	if outcome == fetchplanner.Corrupt {
		r.received.corrupt.Add(1)
		logCorrupt(r.Logger, base, fetch.Chunk.Digest)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var fullErr *chunkcache.FullError
	if errors.As(err, &fullErr) {
		r.err = err
	}
	if _, ok := r.cancelFetch[fetch.ID]; !ok && outcome != fetchplanner.Stored {
		// The planner has stopped this fetch and needs no outcome.
		return
	}
	delete(r.cancelFetch, fetch.ID)
	r.planner.Finish(fetch.ID, outcome)
	if outcome == fetchplanner.Stored {
		r.wakeSubscribers()
	}
}
