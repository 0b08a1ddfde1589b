// Package fetcher brings all chunks of a weight set into a holder, from peers, the weight store and the origin.
package fetcher

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/bits-and-blooms/bitset"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/core/holder"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	workers     = 4
	retryWait   = 50 * time.Millisecond
	stepInWait  = time.Second
	chunkTime   = 30 * time.Second
	queryTime   = time.Second
	maxNeighbor = 12
)

// Peer is another endpoint host that may hold chunks.
type Peer struct {
	Host    ident.Host
	Data    string
	Control string
}

// Fetcher fetches for one host. Set its fields before Fetch.
type Fetcher struct {
	// Self is the host's own id.
	Self ident.Host
	// Sources are the base addresses of the weight store and the origin, in the order to try them.
	Sources []string
	// Holder receives the verified chunks.
	Holder *holder.Holder
	// Peers returns the hosts that may hold chunks.
	Peers func() []Peer
	// Have asks a peer which chunks of an artifact it holds.
	Have func(ctx context.Context, p Peer, artifact ident.Digest) (messages.HaveAnswer, error)
	// Artifact reads a manifest from a base address.
	Artifact func(ctx context.Context, base string, d ident.Digest) (manifest.Artifact, error)
	// Chunk reads a chunk from a base address.
	Chunk func(ctx context.Context, base string, c manifest.Chunk) ([]byte, error)
	// Logger receives the events.
	Logger log.Interface

	total atomic.Int64
	have  atomic.Int64
}

// Progress returns the number of chunks held and wanted of the current fetch.
func (f *Fetcher) Progress() (have, total int) {
	return int(f.have.Load()), int(f.total.Load())
}

// Fetch returns when all chunks of all artifacts are held and verified.
func (f *Fetcher) Fetch(ctx context.Context, artifacts []ident.Digest) error {
	f.have.Store(0)
	f.total.Store(0)
	for _, d := range artifacts {
		a, err := f.manifest(ctx, d)
		if err != nil {
			return err
		}
		f.total.Add(int64(len(a.Chunks)))
		f.have.Add(int64(len(a.Chunks) - len(f.Holder.Missing(a))))
	}
	for _, d := range artifacts {
		a, _ := f.Holder.Artifact(d)
		if err := f.fetch(ctx, d, a); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fetcher) manifest(ctx context.Context, d ident.Digest) (manifest.Artifact, error) {
	if a, ok := f.Holder.Artifact(d); ok {
		return a, nil
	}
	var errs []error
	for _, base := range f.bases() {
		a, err := f.Artifact(ctx, base, d)
		if err == nil {
			f.Holder.PutArtifact(d, a)
			return a, nil
		}
		errs = append(errs, err)
	}
	return manifest.Artifact{}, fmt.Errorf("manifest %.12s: no source has it: %w", d, errors.Join(errs...))
}

func (f *Fetcher) bases() []string {
	out := append([]string(nil), f.Sources...)
	for _, p := range f.Peers() {
		out = append(out, "http://"+p.Data)
	}
	return out
}

func (f *Fetcher) fetch(ctx context.Context, d ident.Digest, a manifest.Artifact) error {
	todo := make(chan manifest.Chunk, len(a.Chunks))
	for _, c := range f.order(f.Holder.Missing(a)) {
		todo <- c
	}
	close(todo)
	table := &holdings{fetcher: f, artifact: d, index: indexOf(a)}
	g, ctx := errgroup.WithContext(ctx)
	for range workers {
		g.Go(func() error {
			for c := range todo {
				if err := f.one(ctx, table, c); err != nil {
					return err
				}
				f.have.Add(1)
			}
			return nil
		})
	}
	return g.Wait()
}

// order puts the chunks first that this host is to read from outside.
func (f *Fetcher) order(chunks []manifest.Chunk) []manifest.Chunk {
	var own, rest []manifest.Chunk
	for _, c := range chunks {
		if f.isReader(c) {
			own = append(own, c)
		} else {
			rest = append(rest, c)
		}
	}
	return append(own, rest...)
}

func (f *Fetcher) isReader(c manifest.Chunk) bool {
	hosts := []ident.Host{f.Self}
	for _, p := range f.Peers() {
		hosts = append(hosts, p.Host)
	}
	return ranker.Rank(string(c.Digest), hosts)[0] == f.Self
}

func (f *Fetcher) one(ctx context.Context, table *holdings, c manifest.Chunk) error {
	start := time.Now()
	for {
		for _, p := range table.holders(ctx, c) {
			if f.try(ctx, "http://"+p.Data, c) {
				return nil
			}
		}
		if f.isReader(c) || time.Since(start) > stepInWait {
			for _, base := range f.Sources {
				if f.try(ctx, base, c) {
					return nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(retryWait):
		}
	}
}

func (f *Fetcher) try(ctx context.Context, base string, c manifest.Chunk) bool {
	ctx, cancel := context.WithTimeout(ctx, chunkTime)
	defer cancel()
	data, err := f.Chunk(ctx, base, c)
	if err != nil {
		return false
	}
	err = f.Holder.PutChunk(c.Digest, data)
	var bad *holder.CorruptError
	if errors.As(err, &bad) {
		event.ChunkCorrupt.Log(f.Logger, log.Fields{"source": base, "chunk": c.Digest})
	}
	return err == nil
}

// holdings remembers for a short time which peers hold which chunks of one artifact.
type holdings struct {
	fetcher  *Fetcher
	artifact ident.Digest
	index    map[ident.Digest]uint

	mu    sync.Mutex
	asked time.Time
	bits  map[ident.Host]*bitset.BitSet
	peers []Peer
}

func indexOf(a manifest.Artifact) map[ident.Digest]uint {
	out := make(map[ident.Digest]uint, len(a.Chunks))
	for i, c := range a.Chunks {
		out[c.Digest] = uint(i)
	}
	return out
}

func (h *holdings) holders(ctx context.Context, c manifest.Chunk) []Peer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.asked) > retryWait {
		h.refresh(ctx)
	}
	var out []Peer
	for _, p := range h.peers {
		if b := h.bits[p.Host]; b != nil && b.Test(h.index[c.Digest]) {
			out = append(out, p)
		}
	}
	return out
}

func (h *holdings) refresh(ctx context.Context) {
	h.peers = h.fetcher.Peers()
	if len(h.peers) > maxNeighbor {
		h.peers = h.peers[:maxNeighbor]
	}
	h.bits = make(map[ident.Host]*bitset.BitSet)
	ctx, cancel := context.WithTimeout(ctx, queryTime)
	defer cancel()
	var g errgroup.Group
	var mu sync.Mutex
	for _, p := range h.peers {
		g.Go(func() error {
			a, err := h.fetcher.Have(ctx, p, h.artifact)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			h.bits[p.Host] = bitset.From(a.Bits)
			return nil
		})
	}
	_ = g.Wait()
	h.asked = time.Now()
}
