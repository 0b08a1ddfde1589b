// Package chunkreplicator holds the chunks of a model's releases on one host, fetches missing ones from other hosts,
// the archive or the origin, and serves them to other hosts.
package chunkreplicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/nutmegdock/nutmegdock/internal/archiver"
	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/chunkserver"
	"github.com/nutmegdock/nutmegdock/internal/connectionlimiter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
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
	// callTimeout bounds one RPC, and the read of the header of an HTTP request.
	callTimeout = 2 * time.Second
	// originChunkTimeout bounds the read of one chunk from the origin.
	originChunkTimeout = 5 * time.Second
	// The following values suit weights of a few megabytes, which take two seconds on the link of an engine's host: a
	// chunk takes 35 ms.

	// settleDelay is the time that a host collects the inventories of others before it reads from outside the fleet.
	settleDelay = 100 * time.Millisecond
	// progressTimeout is the time without progress after which a chunk is fetched from another source.
	progressTimeout = 600 * time.Millisecond
	// heartbeatInterval is the longest time between two inventory updates to a host that follows this one's inventory.
	heartbeatInterval = 150 * time.Millisecond
	// readerTimeout is the time without progress after which other hosts no longer wait for the reader of a chunk. It is
	// longer than the outages of the origin that were observed, 6 s.
	readerTimeout = 8 * time.Second
	// busyDelay is the time until a source without a free upload slot is tried again, and retryDelay that for one that
	// failed.
	busyDelay  = 50 * time.Millisecond
	retryDelay = 60 * time.Millisecond
	// maxUpdateRate is the number of inventory updates per second to each host that follows this one's inventory.
	maxUpdateRate = 20
	// maxHostFetches is the number of chunks that a host fetches at a time: two keep the link busy, and a request on the
	// same link waits for no more than these two.
	maxHostFetches = 2
	// maxSeedFetches and maxSeedUploads are the limits of a seed host, whose link is wide.
	maxSeedFetches = 8
	maxSeedUploads = 64
	// maxSeedRounds and seedRoundDelay bound how long a host waits for the seed hosts to read a manifest from the origin.
	maxSeedRounds  = 4
	seedRoundDelay = 60 * time.Millisecond
	// maxManifestPeers is the number of other hosts that one manifest query goes to.
	maxManifestPeers = 3
	// fetchCheckInterval is the time between two checks whether a fetch is superseded, and of its manifest.
	fetchCheckInterval = 100 * time.Millisecond
	// maxReleases is the number of releases that are held: the one being served and the next one.
	maxReleases = 2
)

// Replicator replicates chunks for one host. Set its fields before Init.
type Replicator struct {
	Self   ident.Host
	Zone   ident.Zone
	Region ident.Region
	IP     string
	// IsSeed marks a seed host: its link is much wider than those of the engines' hosts.
	IsSeed bool
	// ControlPort and DataPort are the ports on which other hosts reach the control server and the chunk server. They are
	// the same on all hosts.
	ControlPort, DataPort int
	// Connections bounds the connections of other hosts to both ports.
	Connections connectionlimiter.Limiter
	// ControlMethods are additional methods of the control server.
	ControlMethods map[string]rpc.Handler
	// Peers returns the other hosts that hold chunks.
	Peers func() []fetchplanner.Peer
	// Origin returns the address of the origin and its region; empty if none is known.
	Origin func() (string, ident.Region)
	// Shape returns the shape of a release as the configuration states it. Nil means that it is unknown.
	Shape func() manifest.Shape
	// ReadManifest reads a manifest from the origin, and ReadChunk a chunk by its number in the manifest.
	ReadManifest func(ctx context.Context, origin string, s fleetconfig.ServedModel) (manifest.Artifact, error)
	ReadChunk    func(ctx context.Context, origin string, s fleetconfig.ServedModel, number int, p weightclient.ProgressFunc) ([]byte, error)
	// Archiver archives the newest release in the store; nil if this host does not use the archive.
	Archiver *archiver.Archiver
	// Dial connects to the control servers of other hosts.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// HTTPClient reads chunks from other hosts.
	HTTPClient *http.Client
	Logger     log.Interface

	cache   *chunkcache.Cache
	fetcher *fetcher.Fetcher
	rpcPool *rpc.Pool
	// manifestReads and replacedEntries are metrics.
	manifestReads, replacedEntries prometheus.Counter

	mu sync.Mutex
	// releases maps the digest of each manifest of a release, also of those that were replaced, to the release.
	releases map[ident.Digest]fleetconfig.ServedModel
	// manifests holds the current manifest of each release.
	manifests map[fleetconfig.ServedModel]*heldManifest
	// recent lists the releases that are held, the most recently added last.
	recent []fleetconfig.ServedModel
	// archived is the release that this host has found in the store, and fetching the one that it fetches.
	archived, fetching fleetconfig.ServedModel
	// archiveReads holds a token while a partition of the archive is read.
	archiveReads chan struct{}
}

// Init creates the cache, the fetcher and the RPC clients, and registers the metrics.
func (r *Replicator) Init(registry prometheus.Registerer) {
	r.archiveReads = make(chan struct{}, 1)
	r.releases = make(map[ident.Digest]fleetconfig.ServedModel)
	r.manifests = make(map[fleetconfig.ServedModel]*heldManifest)
	r.cache = &chunkcache.Cache{Epoch: time.Now().UnixMilli()}
	r.rpcPool = &rpc.Pool{Dial: r.Dial}
	weights := &weightclient.Client{HTTP: r.HTTPClient}
	fetches := maxHostFetches
	if r.IsSeed {
		fetches = maxSeedFetches
	}
	r.fetcher = &fetcher.Fetcher{
		Self:    r.peer(fetchplanner.Peer{Host: r.Self, Zone: r.Zone, Region: r.Region, Seed: r.IsSeed}),
		Sources: []string{""}, ReadsSourcesDirectly: r.readsArchive, Cache: r.cache, Peers: r.peers, FetchManifest: weights.Artifact, Logger: r.Logger,
		Timing: fetcher.Timing{SettleDelay: settleDelay, StallTimeout: progressTimeout, BusyDelay: busyDelay, RetryDelay: retryDelay, ResponseRate: maxUpdateRate, HeartbeatInterval: heartbeatInterval, ProgressTimeout: readerTimeout, MaxFetches: fetches},
		FetchChunk: func(ctx context.Context, base string, k manifest.Chunk, zone ident.Zone, p weightclient.ProgressFunc) ([]byte, error) {
			if base == "" {
				return r.readExternalChunk(ctx, k, p)
			}
			data, err := weights.Chunk(ctx, base, k, zone, p)
			var refused *weightclient.StatusError
			if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
				event.PeerFetchFailed.Log(r.Logger.WithError(err).WithField("chunk", string(k.Digest[:12])), nil)
			}
			return data, err
		},
		QueryInventory: func(ctx context.Context, p fetcher.Peer, q messages.InventoryQuery) (messages.InventoryResponse, error) {
			return rpc.Call[messages.InventoryResponse](ctx, r.rpcPool.Client(p.ControlAddress), messages.InventoryMethod, q)
		},
	}
	r.fetcher.Register(registry)
	r.manifestReads = prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_manifest_reads_total", Help: "Reads of a manifest from the origin."})
	r.replacedEntries = prometheus.NewCounter(prometheus.CounterOpts{Name: "nutmegdock_manifest_replaced_entries_total", Help: "Entries of manifests that no content matched and that were replaced."})
	registry.MustRegister(r.manifestReads, r.replacedEntries)
}

// peer adds the addresses of the control server and the chunk server. A host is identified by its IP address, since an
// engine's id changes with each start.
func (r *Replicator) peer(p fetchplanner.Peer) fetcher.Peer {
	return fetcher.Peer{
		Peer: p, DataAddress: net.JoinHostPort(string(p.Host), strconv.Itoa(r.DataPort)),
		ControlAddress: net.JoinHostPort(string(p.Host), strconv.Itoa(r.ControlPort)),
	}
}

func (r *Replicator) peers([]ident.Digest) ([]fetcher.Peer, catalog.FetchGoal) {
	out := []fetcher.Peer{r.fetcher.Self}
	for _, p := range r.Peers() {
		if p.Host != r.Self {
			out = append(out, r.peer(p))
		}
	}
	return out, catalog.FetchGoal("")
}

// Client returns the client for the control server of another host.
func (r *Replicator) Client(h ident.Host) *rpc.Client {
	return r.rpcPool.Client(net.JoinHostPort(string(h), strconv.Itoa(r.ControlPort)))
}

// Run serves other hosts until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	uploads := &uploadlimiter.Limiter{}
	if r.IsSeed {
		uploads.MaxSameZone, uploads.MaxOtherZones = maxSeedUploads, maxSeedUploads
	}
	mux := http.NewServeMux()
	(&chunkserver.Server{Cache: r.cache, Zone: r.Zone, UploadLimiter: uploads}).Register(mux)
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
	return r.Connections.Listen(ln), nil
}

func (r *Replicator) serveControl(ctx context.Context) error {
	ln, err := r.listen(r.ControlPort)
	if err != nil {
		return err
	}
	methods := map[string]rpc.Handler{
		messages.InventoryMethod: rpc.TypedHandler(r.fetcher.ServeInventory),
		messages.ManifestMethod:  rpc.TypedHandler(r.handleManifest),
	}
	maps.Copy(methods, r.ControlMethods)
	return (&rpc.Server{Handlers: methods}).Serve(ctx, ln)
}

func (r *Replicator) serveData(ctx context.Context, handler http.Handler) error {
	ln, err := r.listen(r.DataPort)
	if err != nil {
		return err
	}
	srv := &http.Server{Handler: handler, ReadHeaderTimeout: callTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(ln); ctx.Err() == nil {
		return fmt.Errorf("serve chunks: %w", err)
	}
	return nil
}

// readChunkFromOrigin reads a chunk from the origin of weights. Content that does not match is counted, since the manifest
// may be corrupt.
func (r *Replicator) readChunkFromOrigin(ctx context.Context, k manifest.Chunk, p weightclient.ProgressFunc) ([]byte, error) {
	origin, _ := r.Origin()
	s, number, ok := r.locate(k.Digest)
	if origin == "" || !ok {
		return nil, fmt.Errorf("read chunk %.12s: origin or release is unknown", k.Digest)
	}
	if !r.mayRead(s, number) {
		return nil, fmt.Errorf("read chunk %d of release %d of %s: the manifest is read again first", number, s.Release, s.Model)
	}
	ctx, cancel := context.WithTimeout(ctx, originChunkTimeout)
	defer cancel()
	startTime := time.Now()
	data, err := r.ReadChunk(ctx, origin, s, number, func(ctx context.Context, received int) error {
		if ident.Bytes(received) > k.Size {
			return &bodyreader.SizeError{Limit: int(k.Size)}
		}
		return p(ctx, received)
	})
	var sizeErr *bodyreader.SizeError
	if errors.As(err, &sizeErr) || err == nil && !matches(k, data) {
		r.recordMismatch(s, number, k, data)
	}
	if err != nil {
		if ctx.Err() != nil || !errors.Is(err, context.Canceled) {
			event.OriginFetchFailed.Log(r.Logger.WithError(err).WithFields(log.Fields{"chunk": number, "took": time.Since(startTime).Milliseconds()}), nil)
		}
		return nil, err
	}
	if ident.Bytes(len(data)) != k.Size {
		return nil, &weightclient.TruncatedError{URL: origin, Got: ident.Bytes(len(data)), Want: k.Size}
	}
	return data, nil
}

// locate returns the release that a chunk belongs to, and its number in the manifest.
func (r *Replicator) locate(d ident.Digest) (fleetconfig.ServedModel, int, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, held := range r.manifests {
		a, _ := held.verifier.Manifest()
		for i, k := range a.Chunks {
			if k.Digest == d {
				return s, i, true
			}
		}
	}
	return fleetconfig.ServedModel{}, 0, false
}

// AddChunk adds a chunk that was read elsewhere. It fails if the content does not match the entry of the manifest.
func (r *Replicator) AddChunk(c manifest.Chunk, data []byte) error {
	if !matches(c, data) {
		return &chunkcache.CorruptError{Digest: c.Digest}
	}
	return r.cache.PutChunk(c, data)
}

// HeldChunk returns a chunk that this host holds.
func (r *Replicator) HeldChunk(d ident.Digest) ([]byte, bool) {
	return r.cache.Chunk(d)
}

// SetFetchOrder sets the order of the chunks, by number, for the next fetch: lower ranks are read first. Nil ranks them
// equally.
func (r *Replicator) SetFetchOrder(f func(number int) int) {
	r.fetcher.PriorityClass = f
}

// Fetch fetches all missing chunks of a release, and returns its manifest, of which every entry is proven then. It is
// cancelled when superseded returns true. If the manifest turns out to be corrupt, the fetch goes on with the one that
// replaces it.
func (r *Replicator) Fetch(ctx context.Context, s fleetconfig.ServedModel, superseded func() bool) (manifest.Artifact, error) {
	startTime := time.Now()
	for {
		a, d, err := r.ResolveManifest(ctx, s)
		if err != nil || len(r.cache.Missing(a)) == 0 {
			return a, err
		}
		r.evictReleases(s)
		r.mu.Lock()
		r.fetching = s
		r.mu.Unlock()
		_, r.fetcher.HomeRegion = r.Origin()
		if err := r.fetchUsing(ctx, s, d, superseded); err != nil {
			return a, fmt.Errorf("fetch release %d of %s: %w", s.Release, s.Model, err)
		}
		if r.isCurrent(s, d) {
			event.ChunksFetched.Log(r.Logger.WithFields(log.Fields{
				"model": string(s.Model), "release": int64(s.Release), "took": time.Since(startTime).Milliseconds(),
			}), nil)
		}
	}
}

// fetchUsing fetches the chunks of a release that a manifest lists. It returns early, without an error, if the manifest is
// replaced.
func (r *Replicator) fetchUsing(ctx context.Context, s fleetconfig.ServedModel, d ident.Digest, superseded func() bool) error {
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go r.verifyManifest(fetchCtx, s)
	go cancelWhen(fetchCtx, func() bool { return superseded() || !r.isCurrent(s, d) }, cancel)
	err := r.fetcher.Fetch(fetchCtx, []ident.Digest{d})
	if err != nil && ctx.Err() == nil && !r.isCurrent(s, d) {
		return nil
	}
	return err
}

// HeldShare returns the share of the chunks of a release that this host holds; zero if it does not know its manifest.
func (r *Replicator) HeldShare(s fleetconfig.ServedModel) float64 {
	a, _, ok := r.manifestOf(s)
	if !ok || len(a.Chunks) == 0 {
		return 0
	}
	return 1 - float64(len(r.cache.Missing(a)))/float64(len(a.Chunks))
}

// evictReleases drops all releases but the most recent ones and next.
func (r *Replicator) evictReleases(next fleetconfig.ServedModel) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range r.recent {
		if s != next && i < len(r.recent)-maxReleases {
			delete(r.manifests, s)
		}
	}
	var keep []ident.Digest
	for d, s := range r.releases {
		if r.manifests[s] == nil {
			delete(r.releases, d)
			continue
		}
		keep = append(keep, d)
	}
	r.recent = r.recent[max(0, len(r.recent)-maxReleases):]
	r.cache.Retain(keep)
}

func cancelWhen(ctx context.Context, isOver func() bool, cancel func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(fetchCheckInterval):
			if isOver() {
				cancel()
				return
			}
		}
	}
}
