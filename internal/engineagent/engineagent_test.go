package engineagent_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/chunkreplicator"
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/dialer"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/fleetwatcher"
	"github.com/nutmegdock/nutmegdock/internal/hostregistrar"
	"github.com/nutmegdock/nutmegdock/internal/loadexchanger"
	"github.com/nutmegdock/nutmegdock/internal/watcher"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

const (
	chunkCount     = 8
	chunkBytes     = 64
	rolloutTimeout = 2 * time.Second
)

var discardLogger = &log.Logger{Handler: discard.New(), Level: log.InfoLevel}

func content(s fleetconfig.ServedModel, i int) []byte {
	out := make([]byte, chunkBytes)
	copy(out, fmt.Sprint(s, i))
	return out
}

// engine is a fake engine that loads whatever is staged when a load command arrives, even if chunks are missing or
// corrupt.
type engine struct {
	mu           sync.Mutex
	staged       map[int][]byte
	release      fleetconfig.Release
	loadingUntil time.Time
	next         fleetconfig.Release
	loadCommands int64
	startTime    int64
	// corruptStages is the number of chunks that become corrupt when they are staged.
	corruptStages int
	// wrongChunks counts loaded chunks whose contents were not those of the release.
	wrongChunks int
	// lostResponses is the number of load commands that are executed but whose response is lost.
	lostResponses int
	// layerCount is the number of layers of the model.
	layerCount int
	// originDelay is the time that the origin takes to deliver one chunk.
	originDelay time.Duration
	// heldLayers are the loaded layers, and loadedRanges those of each load command.
	heldLayers   fleetconfig.LayerRange
	loadedRanges []fleetconfig.LayerRange
}

func (e *engine) report(context.Context) (rolloutplanner.Report, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.loadingUntil.IsZero() && time.Now().After(e.loadingUntil) {
		e.release, e.loadingUntil = e.next, time.Time{}
	}
	r := rolloutplanner.Report{Loading: !e.loadingUntil.IsZero(), LoadCommands: e.loadCommands, StartTime: e.startTime}
	if e.release > 0 {
		r.Loaded = []fleetconfig.ServedModel{{Model: "m", Release: e.release}}
		r.Layers = e.heldLayers
	}
	return r, nil
}

func (e *engine) writeStaged(_ context.Context, _ fleetconfig.Model, i int, data []byte) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.corruptStages > 0 {
		e.corruptStages--
		data = make([]byte, chunkBytes)
	}
	e.staged[i] = data
	return nil
}

func (e *engine) readStaged(_ context.Context, _ fleetconfig.Model, i int, _ ident.Bytes) ([]byte, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.staged[i], nil
}

func (e *engine) load(_ context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange, loadCommands int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if loadCommands != e.loadCommands {
		return errors.New("another load command came first")
	}
	from, to := layers.ChunkRange(e.layerCount, chunkCount)
	keptFrom, keptTo := 0, 0
	if e.release == s.Release && e.heldLayers != (fleetconfig.LayerRange{}) {
		keptFrom, keptTo = e.heldLayers.ChunkRange(e.layerCount, chunkCount)
	}
	for i := from; i < to; i++ {
		if isKept := i >= keptFrom && i < keptTo; !isKept && string(e.staged[i]) != string(content(s, i)) {
			e.wrongChunks++
		}
	}
	e.heldLayers, e.loadedRanges = layers, append(e.loadedRanges, layers)
	e.loadCommands++
	e.next, e.loadingUntil = s.Release, time.Now().Add(50*time.Millisecond)
	if e.lostResponses > 0 {
		e.lostResponses--
		return errors.New("response lost")
	}
	return nil
}

func noPeers() []netip.AddrPort { return nil }

// testHost is one host beside an engine. No entry host responds to it, so that it reads the store itself.
type testHost struct {
	*engine
	mu      sync.Mutex
	release fleetconfig.Release
	gates   chan assigner.GateState
}

func start(t *testing.T, e *engine, changes ...func(h *engineagent.Agent)) *testHost {
	is := is.New(t)
	b := &testHost{engine: e, gates: make(chan assigner.GateState, 1000)}
	gateConn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	is.NoErr(err)
	var ports [3]int
	var listeners [3]net.Listener
	for i := range ports {
		// Other processes and connections get ports above these, so that none takes one between its release and its use.
		const lowest, highest = 20000, 32000
		for listeners[i] == nil {
			ports[i] = lowest + rand.IntN(highest-lowest)
			if ln, err := net.Listen("tcp4", net.JoinHostPort("127.0.0.1", strconv.Itoa(ports[i]))); err == nil {
				listeners[i] = ln
			}
		}
	}
	// The listeners are closed after all ports are known. Otherwise two ports could be the same.
	for _, ln := range listeners {
		is.NoErr(ln.Close())
	}
	entryHost := hostregistrar.Entry{Zone: "far", Address: gateConn.LocalAddr().(*net.UDPAddr).AddrPort()}
	h := &engineagent.Agent{
		IP: "127.0.0.1", Address: "127.0.0.1:80", Pool: "p", GateConn: conn, MetricsPort: ports[2], RolloutTimeout: rolloutTimeout, Logger: discardLogger,
		Engine: engineagent.Engine{Report: e.report, WriteStaged: e.writeStaged, ReadStaged: e.readStaged, Load: e.load},
		Replicator: &chunkreplicator.Replicator{
			Self: "127.0.0.1", Zone: "z", IP: "127.0.0.1", ControlPort: ports[0], DataPort: ports[1], Dial: (&dialer.Dialer{}).DialContext,
			HTTPClient: (&dialer.Dialer{}).Client(), Logger: discardLogger,
			ReadManifest: func(_ context.Context, _ string, s fleetconfig.ServedModel) (manifest.Artifact, error) {
				a := manifest.Artifact{Name: "m", Version: fmt.Sprint(s.Release), Size: chunkCount * chunkBytes}
				for i := range chunkCount {
					a.Chunks = append(a.Chunks, manifest.Chunk{Digest: manifest.DigestOf(content(s, i)), Size: chunkBytes})
				}
				return a, nil
			},
			ReadChunk: func(_ context.Context, _ string, s fleetconfig.ServedModel, i int, _ weightclient.ProgressFunc) ([]byte, error) {
				time.Sleep(e.originDelay)
				return content(s, i), nil
			},
		},
		FleetWatcher: &fleetwatcher.Watcher{
			Topics: fleetwatcher.Topics{Operator: "op", Endpoints: "eps", Status: "status", ConfigKey: "config", ReleaseKeyPrefix: "version/"},
			Decoder: fleetwatcher.Decoder{
				Config: func([]byte) (*fleetconfig.Config, error) {
					return &fleetconfig.Config{Revision: 1, Pools: map[ident.Pool]*fleetconfig.Pool{
						"p": {Name: "p", Engine: &fleetconfig.EngineProfile{Models: []fleetconfig.Model{"m"}, Layers: e.layerCount}}, "o": {Name: "o", OriginAddress: "origin"},
					}}, nil
				},
				Release: func(data []byte) (fleetconfig.ServedModel, error) {
					return fleetconfig.ServedModel{Model: "m", Release: fleetconfig.Release(data[0])}, nil
				},
			},
			ReadSnapshot: func(_ context.Context, topic string) (watcher.Snapshot, error) {
				snapshot := watcher.Snapshot{Values: map[string][]byte{}}
				b.mu.Lock()
				defer b.mu.Unlock()
				if topic == "op" {
					snapshot.Values["config"] = []byte("{}")
					if b.release > 0 {
						snapshot.Values["version/m"] = []byte{byte(b.release)}
					}
				}
				if topic == "status" {
					snapshot.Values["entry/x"] = fmt.Appendf(nil, `{"zone":"far","address":%q}`, entryHost.Address)
				}
				return snapshot, nil
			},
			Logger: discardLogger,
		},
	}
	for _, change := range changes {
		change(h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { is.NoErr(h.Run(ctx)) })
	running.Go(func() {
		_ = (&loadexchanger.Exchanger{
			Host: "x", Conn: gateConn, Logger: discardLogger,
			OnGate: func(g assigner.GateState) { b.gates <- g },
		}).Run(ctx)
	})
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return b
}

func (b *testHost) publishRelease(r fleetconfig.Release) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.release = r
}

// awaitRelease returns when the engine reports a release as loaded.
func (b *testHost) awaitRelease(t *testing.T, r fleetconfig.Release) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if rep, _ := b.report(context.Background()); rep.LoadedRelease("m") == r {
			return
		}
	}
	t.Fatalf("engine does not serve release %d", r)
}

func TestEmptyEngineIsLoaded(t *testing.T) {
	is := is.New(t)
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1})
	b.awaitRelease(t, 1)
	is.Equal(b.wrongChunks, 0)
	is.Equal(b.loadCommands, int64(1))
}

func TestCorruptStagedChunksAreReplacedBeforeLoad(t *testing.T) {
	is := is.New(t)
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, corruptStages: 3})
	b.awaitRelease(t, 1)
	is.Equal(b.wrongChunks, 0)
}

// The entry hosts receive a closed gate before the engine loads a release, and the served release afterwards.
func TestGateIsClosedWhileReleaseLoads(t *testing.T) {
	is := is.New(t)
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1})
	b.awaitRelease(t, 1)
	b.publishRelease(2)
	b.awaitRelease(t, 2)
	is.Equal(b.wrongChunks, 0)
	is.Equal(b.loadCommands, int64(2))
	var seen []assigner.GateState
	for len(seen) == 0 || seen[len(seen)-1].Closed || seen[len(seen)-1].Release != 2 {
		g := <-b.gates
		if len(seen) == 0 || seen[len(seen)-1] != g {
			seen = append(seen, g)
		}
	}
	is.Equal(seen[len(seen)-1], assigner.GateState{Address: "127.0.0.1:80", StartTime: 1, Model: "m", Release: 2})
	is.True(seen[len(seen)-2].Closed)
}

// A load command whose response was lost is not issued again, since the engine's report shows its effect.
func TestLoadCommandWithLostResponseIsNotRepeated(t *testing.T) {
	is := is.New(t)
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, lostResponses: 1})
	b.awaitRelease(t, 1)
	time.Sleep(500 * time.Millisecond)
	is.Equal(b.loadCommands, int64(1))
}

func TestRestartedEngineIsLoadedAgain(t *testing.T) {
	is := is.New(t)
	e := &engine{staged: make(map[int][]byte), startTime: 1}
	b := start(t, e)
	b.awaitRelease(t, 1)
	e.mu.Lock()
	e.startTime, e.release, e.loadCommands, e.staged = 2, 0, 0, make(map[int][]byte)
	e.mu.Unlock()
	b.awaitRelease(t, 1)
	is.Equal(b.wrongChunks, 0)
}

// An empty engine loads its first layers while the chunks of the others are still being fetched. The release is
// announced to the entry hosts only when all layers are loaded.
func TestEmptyEngineLoadsFirstLayersEarly(t *testing.T) {
	is := is.New(t)
	b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, layerCount: 4, originDelay: 60 * time.Millisecond})
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, _ := b.report(context.Background()); r.FullRelease("m", 4) == 1 {
			break
		}
	}
	is.Equal(b.wrongChunks, 0)
	is.Equal(b.loadedRanges, []fleetconfig.LayerRange{{To: 2}, {To: 3}, {To: 4}})
	for g := range b.gates {
		if !g.Closed {
			is.Equal(g.Release, fleetconfig.Release(1))
			r, err := b.report(context.Background())
			is.NoErr(err)
			is.Equal(r.Layers, fleetconfig.LayerRange{To: 4})
			break
		}
	}
}

// A host that restarts beside an engine with some layers loaded has it load the others.
func TestRestartedHostLoadsMissingLayers(t *testing.T) {
	is := is.New(t)
	e := &engine{staged: make(map[int][]byte), startTime: 1, layerCount: 4, release: 1, heldLayers: fleetconfig.LayerRange{To: 2}}
	b := start(t, e)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if r, _ := b.report(context.Background()); r.FullRelease("m", 4) == 1 {
			break
		}
	}
	is.Equal(b.wrongChunks, 0)
	is.Equal(b.loadedRanges, []fleetconfig.LayerRange{{To: 4}})
}
