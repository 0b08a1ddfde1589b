package chunkreplicator_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	chunks     = 24
	chunkBytes = 4 << 10
)

func content(s fleetconfig.ServedModel, i int) []byte {
	out := make([]byte, chunkBytes)
	copy(out, fmt.Sprint(s, i))
	return out
}

// manifestOf returns the manifest of a release, as the origin sends it.
func manifestOf(s fleetconfig.ServedModel) manifest.Artifact {
	a := manifest.Artifact{Name: string(s.Model), Version: fmt.Sprint(s.Release)}
	for i := range chunks {
		a.Chunks = append(a.Chunks, manifest.Chunk{Digest: manifest.DigestOf(content(s, i)), Size: chunkBytes})
		a.Size += chunkBytes
	}
	return a
}

// heldChunk returns the content that a host holds for one place of a release.
func heldChunk(r *chunkreplicator.Replicator, s fleetconfig.ServedModel, number int) ([]byte, bool) {
	return r.HeldChunk(manifestOf(s).Bind().Chunks[number].Digest)
}

// origin is a fake origin with faults.
type origin struct {
	reads, manifests atomic.Int64
	isDown           atomic.Bool
	// corrupt is the number of chunks still to be returned corrupt, and corruptManifests that of manifests. spoil corrupts
	// one; nil changes the digest of the first chunk.
	corrupt, corruptManifests atomic.Int64
	spoil                     func(a *manifest.Artifact)
}

var errDown = errors.New("origin is down")

func (o *origin) manifest(_ context.Context, _ string, s fleetconfig.ServedModel) (manifest.Artifact, error) {
	o.manifests.Add(1)
	if o.isDown.Load() {
		return manifest.Artifact{}, errDown
	}
	a := manifestOf(s)
	switch {
	case o.corruptManifests.Add(-1) < 0:
	case o.spoil != nil:
		o.spoil(&a)
	default:
		a.Chunks[0].Digest = manifest.DigestOf([]byte("corrupt"))
	}
	return a, nil
}

func (o *origin) chunk(_ context.Context, _ string, s fleetconfig.ServedModel, i int, _ weightclient.ProgressFunc) ([]byte, error) {
	if o.isDown.Load() {
		return nil, errDown
	}
	o.reads.Add(1)
	if o.corrupt.Add(-1) >= 0 {
		return make([]byte, chunkBytes), nil
	}
	return content(s, i), nil
}

// hosts starts replicators on separate loopback addresses; the first ones are seed hosts.
func hosts(t *testing.T, o *origin, seeds, others int) []*chunkreplicator.Replicator {
	is := is.New(t)
	var ports [2]int
	var listeners [2]net.Listener
	for i := range ports {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		is.NoErr(err)
		ports[i], listeners[i] = ln.Addr().(*net.TCPAddr).Port, ln
	}
	// The listeners are closed after all ports are known. Otherwise two ports could be the same.
	for _, ln := range listeners {
		is.NoErr(ln.Close())
	}
	var all []fetchplanner.Peer
	var out []*chunkreplicator.Replicator
	ctx, cancel := context.WithCancel(context.Background())
	var runs sync.WaitGroup
	for i := range seeds + others {
		p := fetchplanner.Peer{Host: ident.Host(fmt.Sprintf("127.0.0.%d", i+1)), Zone: "z", Region: "r", Seed: i < seeds}
		all = append(all, p)
		out = append(out, &chunkreplicator.Replicator{
			Self: p.Host, Zone: p.Zone, Region: p.Region, IP: string(p.Host), IsSeed: p.Seed, ControlPort: ports[0], DataPort: ports[1],
			Origin: func() (string, ident.Region) { return "origin", "r" }, ReadManifest: o.manifest, ReadChunk: o.chunk,
			Shape: func() manifest.Shape { return manifest.Shape{Chunks: chunks, ChunkBytes: chunkBytes} },
			Dial:  (&dialer.Dialer{}).DialContext, HTTPClient: (&dialer.Dialer{}).Client(),
			Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
		})
	}
	for _, c := range out {
		c.Peers = func() []fetchplanner.Peer { return append([]fetchplanner.Peer(nil), all...) }
		c.Init(prometheus.NewRegistry())
		runs.Go(func() {
			if err := c.Run(ctx); err != nil {
				t.Errorf("replicator %s: %v", c.Self, err)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		runs.Wait()
	})
	return out
}

func fetch(t *testing.T, s fleetconfig.ServedModel, all ...*chunkreplicator.Replicator) {
	var fetches sync.WaitGroup
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for _, c := range all {
		fetches.Go(func() {
			if _, err := c.Fetch(ctx, s, func() bool { return false }); err != nil {
				t.Errorf("host %s: %v", c.Self, err)
			}
		})
	}
	fetches.Wait()
}

// The hosts of a zone fetch from its seed hosts, which together read one copy from the origin.
func TestSeedsReadOneCopyForTheirZone(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	all := hosts(t, o, 2, 4)
	s := fleetconfig.ServedModel{Model: "m", Release: 2}
	fetch(t, s, all...)
	is.Equal(o.reads.Load(), int64(chunks))
	is.Equal(o.manifests.Load(), int64(2)) // read by the seed hosts only
}

func TestHostsFetchFromOriginWhileSeedsAreEmpty(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	all := hosts(t, o, 2, 3)
	s := fleetconfig.ServedModel{Model: "m", Release: 2}
	fetch(t, s, all[2:]...) // the seed hosts are up, but hold no chunks
	is.True(o.reads.Load() >= chunks)
	is.True(o.reads.Load() <= 2*chunks)
}

func TestCorruptChunksFromOriginAreReadAgain(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	o.corrupt.Store(2)
	all := hosts(t, o, 1, 1)
	fetch(t, fleetconfig.ServedModel{Model: "m", Release: 2}, all...)
	is.Equal(o.reads.Load(), int64(chunks+2))
}

func TestManifestAndChunksComeFromHostsWhileTheOriginIsDown(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	all := hosts(t, o, 1, 2)
	s := fleetconfig.ServedModel{Model: "m", Release: 1}
	fetch(t, s, all[0])
	o.isDown.Store(true)
	fetch(t, s, all[1:]...)
	is.True(all[2].HasManifest(s))
	data, ok := heldChunk(all[2], s, 3)
	is.True(ok)
	is.Equal(data, content(s, 3))
}

func TestNewerReleaseCancelsFetch(t *testing.T) {
	is := is.New(t)
	o := &origin{}
	all := hosts(t, o, 1, 0)
	s := fleetconfig.ServedModel{Model: "m", Release: 2}
	_, _, err := all[0].ResolveManifest(context.Background(), s)
	is.NoErr(err)
	o.isDown.Store(true)
	_, err = all[0].Fetch(context.Background(), s, func() bool { return true })
	is.True(errors.Is(err, context.Canceled))
}

func TestTwoReleasesAreHeld(t *testing.T) {
	is := is.New(t)
	all := hosts(t, &origin{}, 1, 0)
	for r := fleetconfig.Release(1); r <= 4; r++ {
		fetch(t, fleetconfig.ServedModel{Model: "m", Release: r}, all[0])
	}
	is.True(!all[0].HasManifest(fleetconfig.ServedModel{Model: "m", Release: 2}))
	is.True(all[0].HasManifest(fleetconfig.ServedModel{Model: "m", Release: 3}))
	is.True(all[0].HasManifest(fleetconfig.ServedModel{Model: "m", Release: 4}))
	_, ok := heldChunk(all[0], fleetconfig.ServedModel{Model: "m", Release: 1}, 0)
	is.True(!ok)
}

// A host that does not know the release, such as one that is cut off from the store, still responds to inventory
// queries. The other hosts must not wait for it to read its share of the chunks.
func TestFetchDoesNotWaitForHostWithoutRelease(t *testing.T) {
	is := is.New(t)
	all := hosts(t, &origin{}, 3, 0)
	startTime := time.Now()
	fetch(t, fleetconfig.ServedModel{Model: "m", Release: 2}, all[1:]...)
	is.True(time.Since(startTime) < 3*time.Second) // the timeout for hosts that fetch is 8 s
}
