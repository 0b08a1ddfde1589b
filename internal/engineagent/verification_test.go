package engineagent_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	// maxCorruptTime is for how long the users tolerate that a staged chunk has been corrupt when it is loaded.
	maxCorruptTime = 3 * time.Second
	layerCount     = 4
	slowCall       = 500 * time.Millisecond
)

var errNoAnswer = errors.New("no answer")

// version is what a staged chunk contains from a time on.
type version struct {
	data string
	at   time.Time
}

// faultyEngine is a fake engine that keeps layers as the users' engines do, and knows for how long each staged chunk has
// been wrong. Its faults begin with the first write.
type faultyEngine struct {
	*engine
	versions [chunkCount][]version
	// isBad says of each held layer whether a chunk of it had been wrong for longer than maxCorruptTime when it was taken.
	isBad                   [layerCount]bool
	reads, writes, commands int
	// onRead, onWrite and onCommand are called with the number of calls so far, before the call is carried out; nil means nothing
	// happens. They are called without the lock.
	onRead    func(ctx context.Context, chunk, calls int) error
	onWrite   func(ctx context.Context, chunk, calls int, data []byte) error
	onCommand func(ctx context.Context, s fleetconfig.ServedModel, calls int, execute func() error) error
	// awake is closed when an engine that stands still goes on; nil if it runs.
	awake chan struct{}
}

// newFaultyEngine returns an engine that serves release 1, which is also staged.
func newFaultyEngine() *faultyEngine {
	e := &faultyEngine{engine: &engine{staged: make(map[int][]byte), startTime: 1, release: 1, layerCount: layerCount, heldLayers: fleetconfig.LayerRange{To: layerCount}}}
	for i := range chunkCount {
		e.put(i, content(fleetconfig.ServedModel{Model: "m", Release: 1}, i))
	}
	return e
}

// put replaces the bytes of a staged chunk.
func (e *faultyEngine) put(chunk int, data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[chunk] = data
	e.versions[chunk] = append(e.versions[chunk], version{data: string(data), at: time.Now()})
}

func (e *faultyEngine) corrupt(chunk int) {
	e.put(chunk, make([]byte, chunkBytes))
}

// stand makes the engine stand still for a time.
func (e *faultyEngine) stand(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	awake := make(chan struct{})
	e.awake = awake
	time.AfterFunc(d, func() { close(awake) })
}

// await returns when the engine does not stand still, or with an error when ctx ends.
func (e *faultyEngine) await(ctx context.Context) error {
	e.mu.Lock()
	awake := e.awake
	e.mu.Unlock()
	if awake == nil {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-awake:
		return nil
	}
}

func (e *faultyEngine) Report(ctx context.Context) (rolloutplanner.Report, error) {
	if err := e.await(ctx); err != nil {
		return rolloutplanner.Report{}, err
	}
	return e.report(ctx)
}

func (e *faultyEngine) ReadStaged(ctx context.Context, _ fleetconfig.Model, chunk int, _ ident.Bytes) ([]byte, error) {
	if err := e.await(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	if e.writes == 0 {
		defer e.mu.Unlock()
		return e.staged[chunk], nil
	}
	e.reads++
	calls, data := e.reads, e.staged[chunk]
	e.mu.Unlock()
	if e.onRead == nil {
		return data, nil
	}
	return data, e.onRead(ctx, chunk, calls)
}

func (e *faultyEngine) WriteStaged(ctx context.Context, _ fleetconfig.Model, chunk int, data []byte) error {
	if err := e.await(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	e.writes++
	calls := e.writes
	e.mu.Unlock()
	if e.onWrite != nil {
		return e.onWrite(ctx, chunk, calls, data)
	}
	e.put(chunk, data)
	return nil
}

func (e *faultyEngine) Load(ctx context.Context, s fleetconfig.ServedModel, layers fleetconfig.LayerRange, loadCommands int64) error {
	if err := e.await(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	e.commands++
	calls := e.commands
	e.mu.Unlock()
	execute := func() error { return e.accept(s, layers, loadCommands) }
	if e.onCommand != nil {
		return e.onCommand(ctx, s, calls, execute)
	}
	return execute()
}

// accept accepts a load command. The engine keeps the layers of the release that it holds within the range.
func (e *faultyEngine) accept(s fleetconfig.ServedModel, layers fleetconfig.LayerRange, loadCommands int64) error {
	if layers == (fleetconfig.LayerRange{}) {
		layers.To = layerCount
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if loadCommands != e.loadCommands || !e.loadingUntil.IsZero() {
		return &refusal{Accepted: e.loadCommands}
	}
	if e.release == s.Release && e.heldLayers == layers {
		return nil
	}
	for layer := range e.isBad {
		isKept := e.release == s.Release && layer >= e.heldLayers.From && layer < e.heldLayers.To
		if layer < layers.From || layer >= layers.To {
			e.isBad[layer] = false
		} else if !isKept {
			e.isBad[layer] = e.isLayerWrong(s, layer)
		}
	}
	e.loadCommands++
	e.heldLayers, e.next, e.loadingUntil = layers, s.Release, time.Now().Add(50*time.Millisecond)
	return nil
}

// isLayerWrong reports whether a staged chunk of the layer has not been that of the release for longer than
// maxCorruptTime. The caller must hold e.mu.
func (e *faultyEngine) isLayerWrong(s fleetconfig.ServedModel, layer int) bool {
	from, to := fleetconfig.LayerRange{From: layer, To: layer + 1}.ChunkRange(layerCount, chunkCount)
	for i := from; i < to; i++ {
		wrongSince := time.Now()
		for n := len(e.versions[i]) - 1; n >= 0; n-- {
			if e.versions[i][n].data == string(content(s, i)) {
				break
			}
			wrongSince = e.versions[i][n].at
			if n == 0 {
				wrongSince = time.Time{} // it has never been right
			}
		}
		if time.Since(wrongSince) > maxCorruptTime {
			return true
		}
	}
	return false
}

// badLayers returns the number of held layers with chunks that had been wrong for too long, and the release that is held.
func (e *faultyEngine) badLayers() (n int, r fleetconfig.Release) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, isBad := range e.isBad {
		if isBad {
			n++
		}
	}
	return n, max(e.release, e.next)
}

// refusal is the engine's answer that it does not carry a command out.
type refusal struct{ Accepted int64 }

func (r *refusal) Error() string { return "refused" }

func isRefusal(err error) bool {
	var r *refusal
	return errors.As(err, &r)
}

// awaitSound waits until the gate is announced as open for a release, and fails if it was open while the engine held a layer of
// it that was corrupt for too long.
func awaitSound(t *testing.T, b *testHost, e *faultyEngine, want fleetconfig.Release) {
	t.Helper()
	timeout := time.After(20 * time.Second)
	for {
		select {
		case g := <-b.gates:
			n, held := e.badLayers()
			switch {
			case n > 0 && !g.Closed && g.Release == held:
				t.Fatalf("gate is open for release %d with %d layers of chunks that had been corrupt for more than %v", g.Release, n, maxCorruptTime)
			case n > 0 && g.Closed && g.Release == 0 && held == want:
				t.Fatalf("gate is closed, but does not name the unproven release %d", held)
			case !g.Closed && g.Release == want:
				return
			}
		case <-timeout:
			n, held := e.badLayers()
			t.Fatalf("gate does not open for release %d within 20 s; engine holds release %d with %d corrupt layers", want, held, n)
		}
	}
}

func startFaulty(t *testing.T, e *faultyEngine, changes ...func(*engineagent.Agent)) *testHost {
	t.Helper()
	return start(t, e.engine, append(changes, func(h *engineagent.Agent) {
		h.Engine = engineagent.Engine{Report: e.Report, ReadStaged: e.ReadStaged, WriteStaged: e.WriteStaged, Load: e.Load, IsAnswer: isRefusal}
	})...)
}

// Each case guards against an engine that serves layers of chunks that had been corrupt for longer than the users tolerate
// when the engine accepted the load command.
func testFaults(t *testing.T, newest fleetconfig.Release, prepare func(e *faultyEngine, publish func(fleetconfig.Release))) {
	t.Parallel()
	e := newFaultyEngine()
	b := startFaulty(t, e)
	prepare(e, b.publishRelease)
	b.publishRelease(2)
	awaitSound(t, b, e, newest)
	is.New(t).Equal(e.heldLayers, fleetconfig.LayerRange{To: layerCount})
}

// Reading all chunks back takes longer than 3 s, and a chunk becomes corrupt after it has been read.
func TestChunkCorruptAfterItWasReadSlowly(t *testing.T) {
	testFaults(t, 2, func(e *faultyEngine, _ func(fleetconfig.Release)) {
		var once sync.Once
		e.onRead = func(_ context.Context, chunk, _ int) error {
			if chunk == 0 {
				once.Do(func() { e.corrupt(chunk) })
			}
			time.Sleep(slowCall)
			return nil
		}
	})
}

// The engine stands still when it receives the command, and accepts it after the caller has given up.
func TestUnansweredCommandIsAcceptedLate(t *testing.T) {
	testFaults(t, 2, func(e *faultyEngine, _ func(fleetconfig.Release)) {
		e.onCommand = func(ctx context.Context, _ fleetconfig.ServedModel, calls int, execute func() error) error {
			if calls > 1 {
				return execute()
			}
			e.corrupt(5)
			e.stand(maxCorruptTime + time.Second)
			go func() {
				if e.await(context.Background()) == nil {
					_ = execute()
				}
			}()
			<-ctx.Done()
			return errNoAnswer
		}
	})
}

// A write of a former release is carried out after its caller has given up, over a chunk that has been read back since.
func TestUnansweredWriteIsCarriedOutLate(t *testing.T) {
	testFaults(t, 3, func(e *faultyEngine, publish func(fleetconfig.Release)) {
		var late []byte
		var once sync.Once
		e.onWrite = func(ctx context.Context, chunk, calls int, data []byte) error {
			if calls > 1 {
				e.put(chunk, data)
				return nil
			}
			late = data
			publish(3)
			<-ctx.Done()
			return errNoAnswer
		}
		e.onRead = func(_ context.Context, chunk, _ int) error {
			if chunk == 0 {
				once.Do(func() { e.put(chunk, late) })
			}
			time.Sleep(slowCall)
			return nil
		}
	})
}

// A chunk is written twice, and neither write replaces the bytes of the former release.
func TestReplacedChunkIsStillWrong(t *testing.T) {
	testFaults(t, 2, func(e *faultyEngine, _ func(fleetconfig.Release)) {
		var mu sync.Mutex
		ineffective := 2
		e.onWrite = func(_ context.Context, chunk, _ int, data []byte) error {
			mu.Lock()
			defer mu.Unlock()
			if chunk == 2 && ineffective > 0 {
				ineffective--
				return nil
			}
			e.put(chunk, data)
			return nil
		}
	})
}

// The agent is suspended after it has read the last chunk back.
func TestAgentIsSuspendedBeforeCommand(t *testing.T) {
	testFaults(t, 2, func(e *faultyEngine, _ func(fleetconfig.Release)) {
		e.onRead = func(_ context.Context, _, calls int) error {
			if calls == chunkCount {
				e.corrupt(1)
				time.Sleep(maxCorruptTime + slowCall)
			}
			return nil
		}
	})
}

// The agent is suspended after the last check of the age of the reads, while it sends the command.
func TestAgentIsSuspendedWhileItSendsCommand(t *testing.T) {
	testFaults(t, 2, func(e *faultyEngine, _ func(fleetconfig.Release)) {
		e.onCommand = func(_ context.Context, _ fleetconfig.ServedModel, calls int, execute func() error) error {
			if calls == 1 {
				e.corrupt(1)
				time.Sleep(maxCorruptTime + slowCall)
			}
			return execute()
		}
	})
}

// fleetResponse is the response of an entry host that knows the last gate state of the engine.
type fleetResponse struct {
	messages.FleetResponse
	Gate map[string]any `json:"gate"`
}

// An agent restarts beside an engine that has accepted a command, before it has proven the layers.
func TestAgentRestartsBeforeProof(t *testing.T) {
	t.Parallel()
	e := newFaultyEngine()
	for i := range chunkCount {
		e.put(i, content(fleetconfig.ServedModel{Model: "m", Release: 2}, i))
	}
	e.corrupt(6)
	e.release, e.loadCommands, e.isBad[3], e.writes = 2, 1, true, 1
	b := startFaulty(t, e, func(h *engineagent.Agent) {
		h.Replicator.ControlMethods = map[string]rpc.Handler{messages.FleetMethod: rpc.TypedHandler(func(context.Context, messages.FleetQuery) (fleetResponse, error) {
			return fleetResponse{
				FleetResponse: messages.FleetResponse{Known: true, Digest: 1, Model: "m", NewestRelease: 2, Layers: layerCount, OriginAddress: "origin"},
				Gate:          map[string]any{"born": 1, "closed": true, "model": "m", "release": 2},
			}, nil
		})}
	})
	awaitSound(t, b, e, 2)
}

// A release on a day without faults needs no more calls than one write and one read of each chunk, and one command.
func TestReleaseWithoutFaultsNeedsOneCommand(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	e := newFaultyEngine()
	b := startFaulty(t, e)
	b.publishRelease(2)
	awaitSound(t, b, e, 2)
	e.mu.Lock()
	defer e.mu.Unlock()
	is.Equal([]int{e.writes, e.reads, e.commands}, []int{chunkCount, chunkCount, 1})
}
