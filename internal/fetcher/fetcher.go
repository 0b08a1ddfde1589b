// Package fetcher brings all chunks of a weight set into a cache, from peers, the weight store and the origin.
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
	planInterval  = 250 * time.Millisecond
	listInterval  = time.Second
	manifestTime  = 5 * time.Second
	manifestPeers = 3
)

// Peer is another endpoint host that wants the same weight set, with its addresses.
type Peer struct {
	fetchplanner.Peer
	Data    string
	Control string
}

// Fetcher fetches for one host, and answers what the host holds. Set its fields before Fetch.
type Fetcher struct {
	// Self is the host itself.
	Self Peer
	// Home is the region of the weight store and the origin, or empty if they are near to no region.
	Home ident.Region
	// Sources are the base addresses of the weight store and the origin, in the order to try them.
	Sources []string
	// Cache receives the verified chunks.
	Cache *chunkcache.Cache
	// Peers returns the hosts that want the weight set of the artifacts, and what matters more to it.
	Peers func(artifacts []ident.Digest) ([]Peer, catalog.Bias)
	// Have asks a peer what it holds.
	Have func(ctx context.Context, p Peer, q messages.HaveQuery) (messages.HaveAnswer, error)
	// Artifact reads a manifest from a base address.
	Artifact func(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error)
	// Chunk reads a chunk from a base address.
	Chunk func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error)
	// Rank orders the chunks, by number, where a weight set is one artifact: lower ranks are read first. Nil ranks them
	// alike.
	Rank func(number int) int
	// Tempo suits the waits to the size of the weights; the zero value is for those that take minutes.
	Tempo Tempo
	// Logger receives the events.
	Logger log.Interface

	mu      sync.Mutex
	planner *fetchplanner.Planner
	peers   map[ident.Host]Peer
	met     map[ident.Host]Peer
	follow  map[ident.Host]*follower
	news    chan struct{}
	counts  counts
}

// Tempo holds the waits of a burst; zero fields mean the defaults.
type Tempo struct {
	// Settle, Deadline, Busy, Retry and Patience are those of the planner.
	Settle, Deadline, Busy, Retry, Patience time.Duration
	// Heartbeat is the longest time until an answer about holdings, news or not. It must be well below Deadline.
	Heartbeat time.Duration
	// Fetches is the number of chunks to read at a time.
	Fetches int
	// News is the number of answers a second to each host that follows this one's holdings.
	News float64
}

// burst is one run of Fetch.
type burst struct {
	*Fetcher
	artifacts []ident.Digest
	tasks     errgroup.Group
	wake      chan struct{}
	cancels   map[int64]context.CancelFunc
	watches   map[ident.Host]context.CancelFunc
	listed    time.Time
	err       error
}

// Progress returns the number of chunks held and wanted of the current fetch.
func (f *Fetcher) Progress() (have, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.planner == nil {
		return 0, 0
	}
	total = f.planner.Total()
	return total - f.planner.Left(), total
}

// Fetch returns when all chunks of all artifacts are held and verified. It returns a chunkcache.FullError at once if they
// cannot fit into memory. A fetch that is stopped leaves the verified chunks held for the next one.
func (f *Fetcher) Fetch(ctx context.Context, artifacts []ident.Digest) error {
	var goals []fetchplanner.Goal
	for _, d := range artifacts {
		a, err := f.manifest(ctx, artifacts, d)
		if err != nil {
			return err
		}
		goals = append(goals, fetchplanner.Goal{Digest: d, Artifact: a})
	}
	if err := f.Cache.Want(artifacts); err != nil {
		return err
	}
	f.setGoal(artifacts, goals)
	ctx, stop := context.WithCancel(ctx)
	b := &burst{
		Fetcher: f, artifacts: artifacts, wake: make(chan struct{}, 1),
		cancels: make(map[int64]context.CancelFunc), watches: make(map[ident.Host]context.CancelFunc),
	}
	err := b.run(ctx)
	stop()
	_ = b.tasks.Wait()
	return err
}

func (f *Fetcher) setGoal(artifacts []ident.Digest, goals []fetchplanner.Goal) {
	peers, bias := f.Peers(artifacts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.planner = &fetchplanner.Planner{
		Self: f.Self.Peer, Home: f.Home, Outside: len(f.Sources), Bias: bias, Rank: f.Rank,
		Settle: f.Tempo.Settle, Deadline: f.Tempo.Deadline, Busy: f.Tempo.Busy, Retry: f.Tempo.Retry, Patience: f.Tempo.Patience, Fetches: f.Tempo.Fetches,
	}
	f.setPeers(peers)
	f.planner.SetGoal(goals, func(d ident.Digest) bool {
		_, ok := f.Cache.Chunk(d)
		return ok
	})
}

// setPeers needs the lock.
func (f *Fetcher) setPeers(peers []Peer) {
	f.peers = make(map[ident.Host]Peer, len(peers))
	var plain []fetchplanner.Peer
	for _, p := range peers {
		f.peers[p.Host] = p
		plain = append(plain, p.Peer)
	}
	f.planner.SetPeers(plain)
}

// peer needs the lock.
func (f *Fetcher) peer(h ident.Host) Peer {
	if p, ok := f.peers[h]; ok {
		return p
	}
	return f.met[h]
}

// manifest reads a manifest from a few hosts of the zone, then from the sources outside, then from all hosts.
func (f *Fetcher) manifest(ctx context.Context, artifacts []ident.Digest, d ident.Digest) (manifest.Artifact, error) {
	if a, ok := f.Cache.Artifact(d); ok {
		return a, nil
	}
	var errs []error
	for _, base := range f.manifestBases(artifacts) {
		a, err := f.readManifest(ctx, base, d)
		if err == nil {
			f.Cache.PutArtifact(d, a)
			return a, nil
		}
		errs = append(errs, err)
		if ctx.Err() != nil {
			break
		}
	}
	return manifest.Artifact{}, fmt.Errorf("manifest %.12s: no source has it: %w", d, errors.Join(errs...))
}

func (f *Fetcher) readManifest(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error) {
	ctx, cancel := context.WithTimeout(ctx, manifestTime)
	defer cancel()
	return f.Artifact(ctx, base, d)
}

func (f *Fetcher) manifestBases(artifacts []ident.Digest) []string {
	peers, _ := f.Peers(artifacts)
	var near, far []string
	for _, p := range peers {
		if p.Host == f.Self.Host {
			continue
		}
		if p.Zone == f.Self.Zone && len(near) < manifestPeers {
			near = append(near, "http://"+p.Data)
		} else {
			far = append(far, "http://"+p.Data)
		}
	}
	return append(append(near, f.Sources...), far...)
}

func (b *burst) run(ctx context.Context) error {
	for {
		if left, err := b.step(ctx); left == 0 || err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-b.wake:
		case <-time.After(planInterval):
		}
	}
}

// step carries out what the planner orders, and returns the number of chunks that are left.
func (b *burst) step(ctx context.Context) (int, error) {
	var peers []Peer
	isListed := time.Since(b.listed) < listInterval
	if !isListed {
		peers, _ = b.Peers(b.artifacts)
		b.listed = time.Now()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if !isListed {
		b.setPeers(peers)
	}
	start, stop := b.planner.Next()
	for _, id := range stop {
		b.cancels[id]()
		delete(b.cancels, id)
	}
	for _, o := range start {
		b.start(ctx, o)
	}
	b.watch(ctx)
	return b.planner.Left(), b.err
}

func (b *burst) notify() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// start needs the lock.
func (b *burst) start(ctx context.Context, o fetchplanner.Fetch) {
	ctx, cancel := context.WithCancel(ctx)
	b.cancels[o.ID] = cancel
	peer := b.peer(o.Source.Host)
	b.tasks.Go(func() error {
		defer cancel()
		b.transfer(ctx, o, peer)
		b.notify()
		return nil
	})
}

func (b *burst) transfer(ctx context.Context, o fetchplanner.Fetch, peer Peer) {
	base := "http://" + peer.Data
	if o.Source.Host == "" {
		base = b.Sources[o.Source.Outside]
	}
	data, err := b.Chunk(ctx, base, o.Chunk, b.Self.Zone, func(_ context.Context, done int) error {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.planner.Progress(o.ID, ident.Bytes(done))
		return nil
	})
	if err == nil {
		b.counts.add(b.Self, o.Source, peer, ident.Bytes(len(data)))
		err = b.Cache.PutChunk(o.Chunk.Digest, data)
	}
	b.finish(o, base, err)
}

func (b *burst) finish(o fetchplanner.Fetch, base string, err error) {
	outcome := outcomeOf(err)
	if outcome == fetchplanner.Busy && o.Source.Host == "" {
		outcome = fetchplanner.Failed
	}
	if outcome == fetchplanner.Corrupt {
		b.counts.corrupt.Add(1)
		logCorrupt(b.Logger, base, o.Chunk.Digest)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var full *chunkcache.FullError
	if errors.As(err, &full) {
		b.err = err
	}
	if _, ok := b.cancels[o.ID]; !ok && outcome != fetchplanner.Stored {
		return
	}
	delete(b.cancels, o.ID)
	b.planner.Finish(o.ID, outcome)
	if outcome == fetchplanner.Stored {
		b.announce()
	}
}
