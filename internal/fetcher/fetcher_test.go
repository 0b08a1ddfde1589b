package fetcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/uploadlimiter"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/standin/weights"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	testSize  = 1 << 20
	testChunk = 32 << 10
	patience  = 40 * time.Second
)

type bed struct {
	t      *testing.T
	source *weights.Source
	base   string
	peers  []Peer
	all    map[string]*Fetcher
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{t: t, source: &weights.Source{}, all: make(map[string]*Fetcher)}
	srv := httptest.NewServer(b.source.Handler())
	t.Cleanup(srv.Close)
	b.base = srv.URL
	return b
}

func (b *bed) add(zone ident.Zone, limit ident.Bytes) *Fetcher {
	h := &chunkcache.Cache{Limit: limit, Epoch: time.Now().UnixNano()}
	mux := http.NewServeMux()
	(&chunkserver.Server{Cache: h, Zone: zone, UploadLimiter: &uploadlimiter.Limiter{}}).Register(mux)
	srv := httptest.NewServer(mux)
	b.t.Cleanup(srv.Close)
	self := Peer{
		Peer: fetchplanner.Peer{Host: ident.Host(fmt.Sprintf("h%d", len(b.peers))), Zone: zone, Region: "r"},
		Data: strings.TrimPrefix(srv.URL, "http://"), Control: srv.URL,
	}
	c := &weightclient.Client{HTTP: &http.Client{}}
	f := &Fetcher{
		Self: self, Sources: []string{b.base}, Cache: h, Artifact: c.Artifact, Chunk: c.Chunk,
		Logger: &log.Logger{Handler: discard.New()},
		Peers:  func([]ident.Digest) ([]Peer, catalog.Bias) { return b.peers, catalog.BiasOrigin },
		Have: func(ctx context.Context, p Peer, q messages.HaveQuery) (messages.HaveAnswer, error) {
			return b.all[p.Control].Answer(ctx, q)
		},
	}
	b.all[self.Control] = f
	b.peers = append(b.peers, self)
	return f
}

func (b *bed) artifact(version string) ident.Digest {
	d, err := b.source.Add("m", version, testSize, testChunk, 1)
	if err != nil {
		b.t.Fatal(err)
	}
	return d
}

func (b *bed) fetch(d ident.Digest, all ...*Fetcher) error {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var g errgroup.Group
	for _, f := range all {
		g.Go(func() error { return f.Fetch(ctx, []ident.Digest{d}) })
	}
	return g.Wait()
}

func TestHostsShareOneCopy(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	all := []*Fetcher{b.add("a", 0), b.add("a", 0), b.add("b", 0), b.add("b", 0)}
	is.NoErr(b.fetch(d, all...))
	for _, f := range all {
		have, total := f.Progress()
		is.Equal(have, total)
		a, ok := f.Cache.Artifact(d)
		is.True(ok)
		is.Equal(len(f.Cache.Missing(a)), 0)
	}
	is.True(b.source.Bytes() <= testSize*13/10)
}

func TestBurstEndsWithoutTheSource(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	first := b.add("a", 0)
	is.NoErr(b.fetch(d, first))
	b.source.SetDown(true)
	is.NoErr(b.fetch(d, b.add("a", 0), b.add("b", 0)))
}

func TestBurstWaitsForTheSource(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	f := b.add("a", 0)
	a, err := f.Artifact(context.Background(), b.base, d)
	is.NoErr(err)
	f.Cache.PutArtifact(d, a)
	b.source.SetDown(true)
	time.AfterFunc(2*time.Second, func() { b.source.SetDown(false) })
	is.NoErr(b.fetch(d, f))
}

func TestCorruptSourceIsNotAccepted(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	f := b.add("a", 0)
	a, err := f.Artifact(context.Background(), b.base, d)
	is.NoErr(err)
	b.source.Corrupt(a.Chunks[3].Digest)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	err = f.Fetch(ctx, []ident.Digest{d})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, ok := f.Cache.Chunk(a.Chunks[3].Digest)
	is.True(!ok)
	is.True(f.counts.corrupt.Load() > 0)
}

func TestSetLargerThanMemoryIsRefused(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	var full *chunkcache.FullError
	is.True(errors.As(b.fetch(d, b.add("a", testSize/2)), &full))
}

func TestChunkRequestsThatCannotBeServed(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	f := b.add("a", 0)
	base := "http://" + f.Self.Data
	for path, want := range map[string]int{
		"/chunks/12":                            http.StatusBadRequest,
		"/chunks/" + strings.Repeat("0", 64):    http.StatusNotFound,
		"/artifacts/" + strings.Repeat("z", 64): http.StatusBadRequest,
		"/artifacts/" + strings.Repeat("0", 64): http.StatusNotFound,
	} {
		resp, err := http.Get(base + path)
		is.NoErr(err)
		_ = resp.Body.Close()
		is.Equal(resp.StatusCode, want)
	}
}

func TestStalledPeerIsPassedOver(t *testing.T) {
	is := is.New(t)
	b := newBed(t)
	d := b.artifact("1")
	stalled, whole := b.add("a", 0), b.add("a", 0)
	is.NoErr(b.fetch(d, stalled, whole))
	f := b.add("a", 0)
	read := f.Chunk
	asked := atomic.Int64{}
	f.Chunk = func(ctx context.Context, base string, c manifest.Chunk, zone ident.Zone, p weightclient.Progress) ([]byte, error) {
		if base == "http://"+stalled.Self.Data {
			asked.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return read(ctx, base, c, zone, p)
	}
	b.source.SetDown(true)
	is.NoErr(b.fetch(d, f))
	is.True(asked.Load() > 0)
}
