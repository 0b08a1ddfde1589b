package fetcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
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
	"github.com/nutmegdock/nutmegdock/internal/standin/weightsource"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	artifactBytes = 1 << 20
	chunkBytes    = 32 << 10
	fetchTimeout  = 40 * time.Second
)

// testCluster is a set of hosts with chunk servers and fetchers, and the weight source that all of them read from.
type testCluster struct {
	t         *testing.T
	source    *weightsource.Source
	sourceURL string
	peers     []Peer
	byControl map[string]*Fetcher
}

func newTestCluster(t *testing.T) *testCluster {
	t.Helper()
	c := &testCluster{t: t, source: &weightsource.Source{}, byControl: make(map[string]*Fetcher)}
	srv := httptest.NewServer(c.source.Handler())
	t.Cleanup(srv.Close)
	c.sourceURL = srv.URL
	return c
}

func (c *testCluster) addHost(zone ident.Zone, cacheLimit ident.Bytes) *Fetcher {
	cache := &chunkcache.Cache{Limit: cacheLimit, Epoch: time.Now().UnixNano()}
	mux := http.NewServeMux()
	(&chunkserver.Server{Cache: cache, Zone: zone, UploadLimiter: &uploadlimiter.Limiter{}}).Register(mux)
	srv := httptest.NewServer(mux)
	c.t.Cleanup(srv.Close)
	self := Peer{
		Peer:        fetchplanner.Peer{Host: ident.Host(fmt.Sprintf("h%d", len(c.peers))), Zone: zone, Region: "r"},
		DataAddress: strings.TrimPrefix(srv.URL, "http://"), ControlAddress: srv.URL,
	}
	client := &weightclient.Client{HTTP: &http.Client{}}
	f := &Fetcher{
		Self: self, Sources: []string{c.sourceURL}, Cache: cache, FetchManifest: client.Artifact, FetchChunk: client.Chunk,
		Logger: &log.Logger{Handler: discard.New()},
		Peers:  func([]ident.Digest) ([]Peer, catalog.FetchGoal) { return c.peers, catalog.MinimizeOriginReads },
		QueryInventory: func(ctx context.Context, p Peer, q messages.InventoryQuery) (messages.InventoryResponse, error) {
			return c.byControl[p.ControlAddress].ServeInventory(ctx, q)
		},
	}
	c.byControl[self.ControlAddress] = f
	c.peers = append(c.peers, self)
	return f
}

func (c *testCluster) addArtifact(version string) ident.Digest {
	d, err := c.source.AddArtifact("m", version, artifactBytes, chunkBytes, 1)
	if err != nil {
		c.t.Fatal(err)
	}
	return d
}

func (c *testCluster) fetch(d ident.Digest, fetchers ...*Fetcher) error {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	var g errgroup.Group
	for _, f := range fetchers {
		g.Go(func() error { return f.Fetch(ctx, []ident.Digest{d}) })
	}
	return g.Wait()
}

// TestHostsShareOneCopy verifies that four hosts of two zones read little more than one copy of the weight set from the
// source.
func TestHostsShareOneCopy(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	fetchers := []*Fetcher{c.addHost("a", 0), c.addHost("a", 0), c.addHost("b", 0), c.addHost("b", 0)}
	is.NoErr(c.fetch(d, fetchers...))
	for _, f := range fetchers {
		have, total := f.Progress()
		is.Equal(have, total)
		a, ok := f.Cache.Artifact(d)
		is.True(ok)
		is.Equal(len(f.Cache.Missing(a)), 0)
	}
	is.True(c.source.SentBytes() <= artifactBytes*13/10)
}

func TestFetchFromPeersCompletesWhileSourceIsDown(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	first := c.addHost("a", 0)
	is.NoErr(c.fetch(d, first))
	c.source.SetDown(true)
	is.NoErr(c.fetch(d, c.addHost("a", 0), c.addHost("b", 0)))
}

func TestFetchWaitsForTheSource(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	f := c.addHost("a", 0)
	a, err := f.FetchManifest(context.Background(), c.sourceURL, d)
	is.NoErr(err)
	f.Cache.PutArtifact(d, a)
	c.source.SetDown(true)
	time.AfterFunc(2*time.Second, func() { c.source.SetDown(false) })
	is.NoErr(c.fetch(d, f))
}

func TestCorruptChunkIsNotStored(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	f := c.addHost("a", 0)
	a, err := f.FetchManifest(context.Background(), c.sourceURL, d)
	is.NoErr(err)
	c.source.CorruptChunk(a.Chunks[3].Digest)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	err = f.Fetch(ctx, []ident.Digest{d})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, ok := f.Cache.Chunk(a.Chunks[3].Digest)
	is.True(!ok)
	is.True(f.received.corrupt.Load() > 0)
}

func TestSetLargerThanCacheIsRefused(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	var full *chunkcache.FullError
	is.True(errors.As(c.fetch(d, c.addHost("a", artifactBytes/2)), &full))
}

func TestChunkRequestsThatCannotBeServed(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	f := c.addHost("a", 0)
	base := "http://" + f.Self.DataAddress
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

// TestFetchAvoidsStalledPeer verifies that a host completes a fetch although its first reads are from a peer that sends
// nothing. The inventory of the other peer arrives only after such a read has started.
func TestFetchAvoidsStalledPeer(t *testing.T) {
	is := is.New(t)
	c := newTestCluster(t)
	d := c.addArtifact("1")
	stalled, complete := c.addHost("a", 0), c.addHost("a", 0)
	is.NoErr(c.fetch(d, stalled, complete))
	f := c.addHost("a", 0)
	read, query := f.FetchChunk, f.QueryInventory
	readStarted := make(chan struct{})
	var once sync.Once
	f.FetchChunk = func(ctx context.Context, base string, chunk manifest.Chunk, zone ident.Zone, p weightclient.ProgressFunc) ([]byte, error) {
		if base == "http://"+stalled.Self.DataAddress {
			once.Do(func() { close(readStarted) })
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return read(ctx, base, chunk, zone, p)
	}
	f.QueryInventory = func(ctx context.Context, p Peer, q messages.InventoryQuery) (messages.InventoryResponse, error) {
		if p.Host == complete.Self.Host {
			select {
			case <-readStarted:
			case <-ctx.Done():
				return messages.InventoryResponse{}, ctx.Err()
			}
		}
		return query(ctx, p, q)
	}
	c.source.SetDown(true)
	is.NoErr(c.fetch(d, f))
	select {
	case <-readStarted:
	default:
		t.Fatal("no chunk was read from the stalled peer")
	}
}
