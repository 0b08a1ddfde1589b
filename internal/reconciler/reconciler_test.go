package reconciler

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/loader"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const (
	fetchDuration = 2 * time.Second
	loadDuration  = time.Second
)

// testHost is one reconciler with a simulated engine, whose loads take loadDuration, and simulated fetches, which take
// fetchDuration.
type testHost struct {
	t                 *testing.T
	reconciler        *Reconciler
	mu                sync.Mutex
	state             *reducer.Reducer
	changed           chan struct{}
	engine            engineapi.State
	fetched           map[ident.Digest]bool
	loaded            []ident.Digest
	loadedBeforeFetch int
	stop              func()
}

func newTestHost(t *testing.T) *testHost {
	h := &testHost{t: t, state: reducer.New(), changed: make(chan struct{}), fetched: make(map[ident.Digest]bool)}
	h.engine.StartTime = 1
	hosts := []membership.Member{{Host: "a", Zone: "z", Pool: "lm"}, {Host: "b", Zone: "z", Pool: "lm"}}
	h.reconciler = &Reconciler{
		Self: "a", Pool: "lm", Gate: &gate.Gate{}, Cache: &chunkcache.Cache{}, Fetch: h.fetch, View: h.view,
		Changed: func() <-chan struct{} {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.changed
		},
		Hosts:  func() []membership.Member { return hosts },
		Loader: &loader.Loader{Engine: "http://engine", HTTP: &http.Client{Transport: h}},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = h.reconciler.Run(ctx)
	}()
	h.stop = func() {
		cancel()
		<-done
	}
	return h
}

func (h *testHost) view(fn func(*reducer.Reducer)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	fn(h.state)
}

func (h *testHost) fetch(ctx context.Context, artifacts []ident.Digest) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(fetchDuration):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range artifacts {
		h.fetched[d] = true
	}
	return nil
}

// RoundTrip responds as the engine.
func (h *testHost) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == engineapi.LoadPath {
		if err := h.load(r); err != nil {
			return nil, err
		}
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	data, err := json.Marshal(h.engine)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
}

func (h *testHost) load(r *http.Request) error {
	var command engineapi.LoadCommand
	if err := json.NewDecoder(r.Body).Decode(&command); err != nil {
		return err
	}
	h.mu.Lock()
	h.engine.WeightSet = ""
	h.engine.AcceptedLoads++
	h.engine.FencingToken = command.FencingToken
	h.loaded = append(h.loaded, command.Artifacts...)
	if !h.fetched[command.Artifacts[0]] {
		h.loadedBeforeFetch++
	}
	h.mu.Unlock()
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(loadDuration):
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine.WeightSet = manifest.WeightSetOf(command.Artifacts...)
	return nil
}

func (h *testHost) apply(rec catalog.Record) {
	h.t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	rec.Author = "ana"
	data, err := rec.Encode()
	if err != nil {
		h.t.Fatal(err)
	}
	if a := h.state.Apply(data); a.Verdict != reducer.Accepted {
		h.t.Fatalf("%s: %s: %s", rec.ID, a.Verdict, a.Reason)
	}
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *testHost) publish(base ident.Revision, digest ident.Digest) {
	h.t.Helper()
	h.apply(catalog.Record{
		ID: ident.ChangeID("t" + digest), Object: "template/chat", Base: base,
		Template: &catalog.Template{
			Kind: catalog.KindEngine, Pool: "lm", Replicas: 2, MinServing: 1, Model: &catalog.ArtifactRef{Name: "m", Version: string(digest), Digest: digest},
		},
	})
}

func (h *testHost) deploy() {
	h.t.Helper()
	h.apply(catalog.Record{ID: "o", Object: "organisation/acme", Organisation: &catalog.Organisation{Key: "k", Weight: 1}})
	h.publish(0, "d1")
	h.apply(catalog.Record{ID: "d", Object: "deployment/acme/chat", Deployment: &catalog.Deployment{Template: "chat"}})
}

func (h *testHost) serves(digest ident.Digest) bool {
	st := h.reconciler.Gate.Status()
	return st.Open && st.Set == manifest.WeightSetOf(digest)
}

func TestReconcilerSwitchesOnlyWhileOtherReplicasServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newTestHost(t)
		h.deploy()
		time.Sleep(fetchDuration + loadDuration + time.Second)
		is.True(h.serves("d1")) // the first load does not depend on other replicas
		h.publish(1, "d2")
		time.Sleep(10 * time.Second)
		is.True(h.serves("d1")) // no other replica is known to serve
		h.reconciler.ApplyCounts("entry", time.Now(), []rolloutlimiter.SetCount{{Set: manifest.WeightSetOf("d1"), Staying: 1}})
		time.Sleep(loadDuration + time.Second)
		is.True(h.serves("d2"))
		h.stop()
		is.Equal(h.loadedBeforeFetch, 0)
	})
}

func TestDefaultMinServingIsHalfOfThePlacedHosts(t *testing.T) {
	is := is.New(t)
	d := catalog.EffectiveDeployment{WeightSet: "x", Spec: catalog.Template{Replicas: 16}}
	p := &planner{hostCounts: map[ident.WeightSet]int{"x": 7}}
	is.Equal(p.minServing(d), 3)
	d.Spec.MinServing = 12
	is.Equal(p.minServing(d), 12)
}

func TestReconcilerReplacesAFetchOfAnOlderVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newTestHost(t)
		h.deploy()
		time.Sleep(fetchDuration + loadDuration + time.Second)
		h.publish(1, "d2")
		time.Sleep(fetchDuration / 2)
		h.publish(2, "d3")
		time.Sleep(fetchDuration + loadDuration + time.Second)
		is.True(h.serves("d3")) // d1 is two versions behind and in no rollout group, so no minimum of serving replicas prevents the switch
		h.stop()
		is.Equal(h.loadedBeforeFetch, 0)
		is.Equal(h.loaded, []ident.Digest{"d1", "d3"})
	})
}

func TestReconcilerStopsDuringALoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newTestHost(t)
		h.deploy()
		time.Sleep(fetchDuration + loadDuration/2)
		begin := time.Now()
		h.stop()
		is.True(time.Since(begin) < loadDuration/2)
		is.True(!h.reconciler.Gate.Status().Open)
	})
}
