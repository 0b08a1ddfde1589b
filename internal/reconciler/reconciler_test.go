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
	fetchTime = 2 * time.Second
	loadTime  = time.Second
)

// world is one reconciler with an engine that takes a second to load and a fetch that takes two.
type world struct {
	t       *testing.T
	s       *Reconciler
	mu      sync.Mutex
	state   *reducer.Reducer
	changed chan struct{}
	engine  engineapi.State
	fetched map[ident.Digest]bool
	orders  []ident.Digest
	early   int
	stop    func()
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, state: reducer.New(), changed: make(chan struct{}), fetched: make(map[ident.Digest]bool)}
	w.engine.Birth = 1
	hosts := []membership.Member{{Host: "a", Zone: "z", Pool: "lm"}, {Host: "b", Zone: "z", Pool: "lm"}}
	w.s = &Reconciler{
		Self: "a", Pool: "lm", Gate: &gate.Gate{}, Cache: &chunkcache.Cache{}, Fetch: w.fetch, View: w.view,
		Changed: func() <-chan struct{} {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.changed
		},
		Hosts:  func() []membership.Member { return hosts },
		Loader: &loader.Loader{Engine: "http://engine", HTTP: &http.Client{Transport: w}},
		Logger: &log.Logger{Handler: discard.New(), Level: log.InfoLevel},
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = w.s.Run(ctx)
	}()
	w.stop = func() {
		cancel()
		<-done
	}
	return w
}

func (w *world) view(fn func(*reducer.Reducer)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fn(w.state)
}

func (w *world) fetch(ctx context.Context, artifacts []ident.Digest) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(fetchTime):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range artifacts {
		w.fetched[d] = true
	}
	return nil
}

// RoundTrip is the engine.
func (w *world) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.URL.Path == engineapi.LoadPath {
		if err := w.load(r); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	data, err := json.Marshal(w.engine)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
}

func (w *world) load(r *http.Request) error {
	var o engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		return err
	}
	w.mu.Lock()
	w.engine.Set = ""
	w.engine.Loads++
	w.engine.Fence = o.Fence
	w.orders = append(w.orders, o.Artifacts...)
	if !w.fetched[o.Artifacts[0]] {
		w.early++
	}
	w.mu.Unlock()
	select {
	case <-r.Context().Done():
		return r.Context().Err()
	case <-time.After(loadTime):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.engine.Set = manifest.Set(o.Artifacts...)
	return nil
}

func (w *world) apply(rec catalog.Record) {
	w.t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	rec.Author = "ana"
	data, err := rec.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	if a := w.state.Apply(data); a.Verdict != reducer.Accepted {
		w.t.Fatalf("%s: %s: %s", rec.ID, a.Verdict, a.Reason)
	}
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *world) publish(base ident.Revision, digest ident.Digest) {
	w.t.Helper()
	w.apply(catalog.Record{
		ID: ident.Change("t" + digest), Object: "template/chat", Base: base,
		Template: &catalog.Template{
			Kind: catalog.KindEngine, Pool: "lm", Replicas: 2, Floor: 1, Model: &catalog.Ref{Name: "m", Version: string(digest), Digest: digest},
		},
	})
}

func (w *world) deploy() {
	w.t.Helper()
	w.apply(catalog.Record{ID: "o", Object: "organisation/acme", Organisation: &catalog.Organisation{Key: "k", Weight: 1}})
	w.publish(0, "d1")
	w.apply(catalog.Record{ID: "d", Object: "deployment/acme/chat", Deployment: &catalog.Deployment{Template: "chat"}})
}

func (w *world) serves(digest ident.Digest) bool {
	st := w.s.Gate.Status()
	return st.Open && st.Set == manifest.Set(digest)
}

func TestReconcilerWaitsForTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.deploy()
		time.Sleep(fetchTime + loadTime + time.Second)
		is.True(w.serves("d1")) // the first load waits for nobody
		w.publish(1, "d2")
		time.Sleep(10 * time.Second)
		is.True(w.serves("d1")) // nobody else is known to serve
		w.s.Hear("entry", time.Now(), []rolloutlimiter.Count{{Set: manifest.Set("d1"), Steady: 1}})
		time.Sleep(loadTime + time.Second)
		is.True(w.serves("d2"))
		w.stop()
		is.Equal(w.early, 0)
	})
}

func TestUnstatedFloorFollowsTheHosts(t *testing.T) {
	is := is.New(t)
	d := catalog.Effective{Set: "x", Spec: catalog.Template{Replicas: 16}}
	p := &planner{counts: map[ident.WeightSet]int{"x": 7}}
	is.Equal(p.floor(d), 3)
	d.Spec.Floor = 12
	is.Equal(p.floor(d), 12)
}

func TestReconcilerSupersedesAFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.deploy()
		time.Sleep(fetchTime + loadTime + time.Second)
		w.publish(1, "d2")
		time.Sleep(fetchTime / 2)
		w.publish(2, "d3")
		time.Sleep(fetchTime + loadTime + time.Second)
		is.True(w.serves("d3")) // d1 is two versions behind, so that it need not wait
		w.stop()
		is.Equal(w.early, 0)
		is.Equal(w.orders, []ident.Digest{"d1", "d3"})
	})
}

func TestReconcilerStopsWithinAnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t)
		w.deploy()
		time.Sleep(fetchTime + loadTime/2)
		begin := time.Now()
		w.stop()
		is.True(time.Since(begin) < loadTime/2)
		is.True(!w.s.Gate.Status().Open)
	})
}
