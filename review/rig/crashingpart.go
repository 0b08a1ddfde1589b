package main

import (
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
	// crashingPart is the part of a prompt that crashes engines. usualPart is the first part of the sound prompts before that, and
	// newPart that of the prompts from then on.
	crashingPart, usualPart, newPart = "bad00001", "5c1e07a2", "77d20b19"
	// crashDownTime is how long an engine is away after a crash.
	crashDownTime = 2500 * time.Millisecond
	// minCompared is the number of sound requests from which their shares are compared.
	minCompared = 20
)

// prompt returns the header of a request with a prompt of three parts, the last of which no other request has.
func prompt(first, second string) http.Header {
	return http.Header{"Model": {modelName}, "Token-Usage": {"1000,80"}, "Prompt-Prefix": {fmt.Sprintf("%s:40,%s:760,%08x:200", first, second, rand.Uint32())}}
}

// crashes reports whether a request crashes the engine that begins to answer it.
func crashes(r *http.Request, _ string) bool {
	return strings.Contains(r.Header.Get(wirenames.HeaderPromptParts), crashingPart+":")
}

// runCrashingPart has one part of a prompt crash engines. All requests with its first part come at one entry host, which is not
// the one with the lowest address. It checks that from 2 x StabilityWindowMs after the last crash, while such requests still come, sound
// requests of the route with the same key begin at least half as often as before.
func runCrashingPart(f *fleet, hasTrouble bool) (isBroken bool, err error) {
	frontends, crashAt, err := f.startCrashingEngines()
	if err != nil {
		return false, err
	}
	c := newClient(frontends[len(frontends)-1], f.record)
	before := f.sendSound(c, usualPart, 8*time.Second, func() {})
	f.record.add("from now on, prompts have another first part")
	sendBad := func() {}
	if hasTrouble {
		sendBad = func() {
			c.header = prompt(newPart, crashingPart)
			c.send(http.MethodPost, "/brief/1", "events=4", streamTimeout)
		}
		for range 2 {
			sendBad()
		}
	}
	var after soundCount
	for end := time.Now().Add(25 * time.Second); time.Now().Before(end); {
		got := f.sendSound(c, newPart, 3*time.Second, sendBad)
		if at := crashAt.Load(); at == nil || time.Since(*at) > 2*stabilityWindow+3*time.Second {
			after.sent, after.begun = after.sent+got.sent, after.begun+got.begun
		}
	}
	f.record.conclude("before the crashes %d of %d sound requests began, from 6 s after the last crash %d of %d", before.begun, before.sent, after.begun, after.sent)
	if before.sent < minCompared || after.sent < minCompared {
		return false, errors.New("too few sound requests")
	}
	return 2*after.begun*before.sent < before.begun*after.sent, nil
}

// stabilityWindow is StabilityWindowMs.
const stabilityWindow = 3 * time.Second

// soundCount is the number of sound requests that were sent, and of those that an engine has begun at the first attempt.
type soundCount struct{ sent, begun int }

// sendSound sends sound requests one after the other for a time, and then calls sendBad.
func (f *fleet) sendSound(c *client, first string, d time.Duration, sendBad func()) (n soundCount) {
	const interval = 60 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(interval) {
		c.header = prompt(first, "91bd3f06")
		n.sent++
		if c.send(http.MethodPost, "/brief/1", "events=4", streamTimeout).signature != "" {
			n.begun++
		}
	}
	f.record.add("%d of %d sound requests with the first part %s have begun", n.begun, n.sent, first)
	sendBad()
	return n
}

// startCrashingEngines starts the deployment, with two engines in each zone. crashAt is when an engine crashed last.
func (f *fleet) startCrashingEngines() (frontends []*process, crashAt *atomic.Pointer[time.Time], err error) {
	o := &origin.Origin{Model: modelName, ChunkCount: chunkCount, ChunkBytes: chunkBytes, NewestRelease: func() int64 { return 1 }}
	if err := f.serve(f.address(kindOrigin, 0, originPort), o); err != nil {
		return nil, nil, err
	}
	brief := route{
		Name: "r-brief", Host: hostName, PathPrefix: "/brief/", Kind: "streaming", Service: engineService, TimeoutMs: 6000, TargetLatencyMs: 500, TargetGapMs: 400,
		Priority: 1, Attempts: 2, StickySessions: true, Resumable: true,
	}
	if err := f.putConfig(newConfig([]route{brief}, engineServices(f.address(kindOrigin, 0, originPort))...)); err != nil {
		return nil, nil, err
	}
	crashAt = &atomic.Pointer[time.Time]{}
	var mu sync.Mutex
	starts := 0
	nextID := func() string {
		mu.Lock()
		defer mu.Unlock()
		starts++
		return fmt.Sprintf("i-engine-%d", starts)
	}
	for i := range 2 * len(zones) {
		e := &backend.Backend{
			ListenAddress: f.address(kindSide, i, serverPort), PublicAddress: f.address(kindSide, i, serverPort), Pool: engineService, Zone: zones[i%len(zones)],
			SlotCount: 16, WorkDuration: 46 * time.Millisecond, Origin: o, Layers: layerCount, Crashes: crashes,
			PutEntry:  func(key string, value []byte) { f.store.PutRecord(wirenames.TopicEndpoints, key, value) },
			OnRequest: func(string, string, string, bool) {}, OnEnd: func(string, string, time.Time) {},
			OnStart: func(r backend.Execution) { f.record.add("engine %s runs request %s", r.EndpointID, r.RequestID) },
		}
		e.OnCrash = func() {
			now := time.Now()
			crashAt.Store(&now)
			f.record.add("an engine at %s has crashed", e.PublicAddress)
			time.AfterFunc(crashDownTime, func() { _ = e.Start(nextID(), 0) }) // fails only at the end
		}
		if err := e.Start(nextID(), 1); err != nil {
			return nil, nil, err
		}
	}
	if frontends, err = f.startFrontends(); err != nil {
		return nil, nil, err
	}
	for i := range 2 * len(zones) {
		if err := f.startSide(i, zones[i%len(zones)]); err != nil {
			return nil, nil, err
		}
	}
	time.Sleep(4 * time.Second)
	return frontends, crashAt, nil
}
