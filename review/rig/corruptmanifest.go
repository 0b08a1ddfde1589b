package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegdock/nutmegdock/platform/standin/backend"
	"github.com/nutmegdock/nutmegdock/platform/standin/origin"
	"github.com/nutmegdock/nutmegdock/platform/wirenames"
)

const (
	// corruptChunk is the number of the digest that is wrong in a corrupt answer.
	corruptChunk = 37
	// lastRelease is the last version that is named, and releaseInterval the time between two.
	lastRelease     = 7
	releaseInterval = 11 * time.Second
	// rotTime is how long before a layer is taken a piece may have turned bad.
	rotTime = 3 * time.Second
)

// weightOrigin is the origin of weights. Some of its answers are corrupt.
type weightOrigin struct {
	origin.Origin
	record *record
	newest atomic.Int64
	// corruptRelease is the release of which the next manifest is corrupt; zero if none is.
	corruptRelease atomic.Int64
}

// bufferedWriter holds the body of a response back.
type bufferedWriter struct {
	http.ResponseWriter
	body bytes.Buffer
}

func (w *bufferedWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// ServeHTTP answers a host. In a corrupt answer, the bytes of one digest stand twice, the second time in place of the next.
func (o *weightOrigin) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !strings.HasPrefix(r.URL.Path, wirenames.PathManifest) {
		o.Origin.ServeHTTP(w, r)
		return
	}
	buffered := &bufferedWriter{ResponseWriter: w}
	o.Origin.ServeHTTP(buffered, r)
	data := buffered.body.Bytes()
	var m struct {
		Version int64
		Digests []string
	}
	isCorrupt := json.Unmarshal(data, &m) == nil && m.Version > 0 && o.corruptRelease.CompareAndSwap(m.Version, 0)
	if isCorrupt {
		data = bytes.Replace(data, []byte(m.Digests[corruptChunk]), []byte(m.Digests[corruptChunk-1]), 1)
	}
	o.record.add("the origin sends the digests of version %d, corrupt: %t", m.Version, isCorrupt)
	_, _ = w.Write(data) // fails only if the host has left
}

// engineRuns counts what engines have run.
type engineRuns struct {
	mu            sync.Mutex
	newer, broken int
}

func (e *engineRuns) add(rec *record, r backend.Execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	text := "with layers that are whole"
	if r.Release > 1 {
		e.newer++
	}
	if r.WrongFor > rotTime {
		e.broken++
		text = "with a layer that was taken while one of its pieces was not that of the version"
	}
	rec.add("engine %s runs request %s on version %d %s", r.EndpointID, r.RequestID, r.Release, text)
}

// runCorruptManifest names new weights several times, and each time the origin sends one corrupt list of digests. It checks that no engine makes a
// token with a layer that was taken while one of its pieces was wrong.
func runCorruptManifest(f *fleet, hasTrouble bool) (isBroken bool, err error) {
	o := &weightOrigin{record: f.record}
	o.newest.Store(1)
	o.Origin = origin.Origin{Model: modelName, ChunkCount: chunkCount, ChunkBytes: chunkBytes, NewestRelease: o.newest.Load}
	if err := f.serve(f.address(kindOrigin, 0, originPort), o); err != nil {
		return false, err
	}
	brief := route{
		Name: "r-brief", Host: hostName, PathPrefix: "/brief/", Kind: "streaming", Service: engineService, TimeoutMs: 6000, TargetLatencyMs: 500, TargetGapMs: 400,
		Priority: 1, Attempts: 2, StickySessions: true, Resumable: true,
	}
	if err := f.putConfig(newConfig([]route{brief}, engineServices(f.address(kindOrigin, 0, originPort))...)); err != nil {
		return false, err
	}
	var runs engineRuns
	for i, zone := range zones {
		e := f.newEngine(i, zone, o, &runs)
		if err := e.Start("i-engine-"+zone, 1); err != nil {
			return false, err
		}
		defer e.Stop(true)
	}
	frontends, err := f.startFrontends()
	if err != nil {
		return false, err
	}
	for i, zone := range zones {
		if err := f.startSide(i, zone); err != nil {
			return false, err
		}
	}
	var callers sync.WaitGroup
	for n := int64(2); n <= lastRelease; n++ {
		time.Sleep(releaseInterval / 2)
		if hasTrouble {
			o.corruptRelease.Store(n)
		}
		o.newest.Store(n)
		f.store.PutRecord(wirenames.TopicOperator, wirenames.KeyPrefixRelease+modelName, fmt.Appendf(nil, `{"Model":%q,"Version":%d}`, modelName, n))
		f.record.add("the store confirms version %d of %s", n, modelName)
		callers.Go(func() { f.sendPrompts(frontends) })
		time.Sleep(releaseInterval / 2)
	}
	callers.Wait()
	runs.mu.Lock()
	defer runs.mu.Unlock()
	f.record.conclude("%d requests ran on new versions, %d of them with a layer that was taken with a wrong piece", runs.newer, runs.broken)
	if runs.newer == 0 {
		return false, errors.New("no request ran on a new version")
	}
	return runs.broken > 0, nil
}

// newEngine returns a model engine with a slower step than a usual one.
func (f *fleet) newEngine(i int, zone string, o *weightOrigin, runs *engineRuns) *backend.Backend {
	return &backend.Backend{
		ListenAddress: f.address(kindSide, i, serverPort), PublicAddress: f.address(kindSide, i, serverPort), Pool: engineService, Zone: zone,
		SlotCount: 16, WorkDuration: 46 * time.Millisecond, Origin: &o.Origin, Layers: layerCount,
		PutEntry:  func(key string, value []byte) { f.store.PutRecord(wirenames.TopicEndpoints, key, value) },
		OnRequest: func(string, string, string, bool) {}, OnEnd: func(string, string, time.Time) {},
		OnStart: func(r backend.Execution) { runs.add(f.record, r) },
	}
}

// sendPrompts sends prompts to all entry hosts until after the time within which new weights must be in use, version_ms.
func (f *fleet) sendPrompts(frontends []*process) {
	const sendTime, interval = 10 * time.Second, 200 * time.Millisecond
	var callers sync.WaitGroup
	for _, p := range frontends {
		callers.Go(func() {
			c := newClient(p, f.record)
			for end := time.Now().Add(sendTime); time.Now().Before(end); time.Sleep(interval) {
				c.header = http.Header{"Model": {modelName}, "Token-Usage": {"1000,80"}, "Prompt-Prefix": {fmt.Sprintf("5c1e07a2:800,%08x:200", rand.Uint32())}}
				c.send(http.MethodPost, "/brief/1", "events=4", streamTimeout)
			}
		})
	}
	callers.Wait()
}
