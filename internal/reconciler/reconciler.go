// Package reconciler moves an endpoint host's engine to the weight set that the configuration asks for.
package reconciler

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/loader"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const retryWait = 500 * time.Millisecond

// Reconciler serves one engine. Set its fields before Run.
type Reconciler struct {
	// Self is the host's own id.
	Self ident.Host
	// Pool is the host's own pool.
	Pool ident.Pool
	// Gate is closed while the engine changes its weights.
	Gate *gate.Gate
	// Cache keeps the chunks.
	Cache *chunkcache.Cache
	// Fetch brings all chunks of the artifacts into the cache.
	Fetch func(ctx context.Context, artifacts []ident.Digest) error
	// View gives access to the configuration state.
	View func(fn func(*reducer.Reducer))
	// Changed returns a channel that is closed at the next change of the state.
	Changed func() <-chan struct{}
	// Hosts returns the endpoint hosts.
	Hosts func() []membership.Member
	// Loader orders the engine.
	Loader *loader.Loader
	// Logger receives the events.
	Logger log.Interface

	mu         sync.Mutex
	want       ident.WeightSet
	since      ident.Offset
	limiter    rolloutlimiter.Limiter
	controller enginecontroller.Controller
	planner    planner
	fetching   fetching
	opened     ident.WeightSet
	// openedDigests are the artifacts of the opened set, where they are known.
	openedDigests []ident.Digest
	slots         int
	cancel        context.CancelFunc
	results       chan enginecontroller.Result
}

// Want returns the weight set that the host is to serve, and the configuration offset at which it became that.
func (r *Reconciler) Want() (ident.WeightSet, ident.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.want, r.since
}

// Slots returns the number of requests that the engine said it runs at once.
func (r *Reconciler) Slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots
}

// Hear takes the counts with which an entry host answered a report that was sent at a time.
func (r *Reconciler) Hear(from ident.Host, asked time.Time, counts []rolloutlimiter.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.Hear(from, asked, counts)
}

// Run keeps the engine on the wanted set until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	r.results = make(chan enginecontroller.Result, 1)
	r.fetching.done = make(chan struct{}, 1)
	defer r.stop()
	for ctx.Err() == nil {
		changed := r.Changed()
		p := r.plan()
		r.fetch(ctx, p)
		r.act(ctx, p)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.fetching.done:
		case result := <-r.results:
			r.ended(result)
		case <-time.After(enginecontroller.FreshTime):
		}
	}
	return nil
}

// stop waits for what Run has started.
func (r *Reconciler) stop() {
	if r.controller.Running() {
		r.cancel()
		r.ended(<-r.results)
	}
	r.fetching.stop()
}

func (r *Reconciler) plan() plan {
	p := r.planner.plan(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.need.Set != r.want {
		r.limiter.Reset()
		r.since = p.offset
	}
	r.want = p.need.Set
	return p
}

// act does what the controller says until it has nothing more to do.
func (r *Reconciler) act(ctx context.Context, p plan) {
	for ctx.Err() == nil {
		st := r.Gate.Status()
		a := r.controller.Next(time.Now(), r.wanted(p, st), st.Running)
		switch a.Kind {
		case enginecontroller.Wait:
			return
		case enginecontroller.Read:
			r.read(ctx)
		case enginecontroller.Open:
			r.open(a, p)
		case enginecontroller.Close:
			r.Gate.Close()
			r.closed(a, st)
		case enginecontroller.Cancel:
			r.cancel()
		case enginecontroller.Order:
			r.order(ctx, a, p)
		}
	}
}

func (r *Reconciler) wanted(p plan, st gate.Status) enginecontroller.Want {
	w := enginecontroller.Want{Set: p.need.Set, Offset: p.offset, Accepted: p.accepted, Verified: r.fetching.held(p.need)}
	if r.opened != "" {
		w.Accepted = append(w.Accepted[:len(w.Accepted):len(w.Accepted)], r.opened)
	}
	if !w.Verified && r.holds(r.openedDigests) {
		w.Held = r.opened
	}
	if !w.Verified || st.Set == w.Set {
		return w
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w.Permitted = !st.Open || r.limiter.Permit(time.Now(), st.Set, p.groups)
	return w
}

func (r *Reconciler) read(ctx context.Context) {
	asked := time.Now()
	st, err := r.Loader.State(ctx)
	if err != nil {
		r.controller.Unreachable(time.Now())
		return
	}
	r.controller.Observe(asked, st)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots = st.Slots
}

func (r *Reconciler) open(a enginecontroller.Action, p plan) {
	r.Gate.OpenUntil(a.Set, a.Epoch, a.Until)
	if a.Set == r.opened {
		return
	}
	r.opened = a.Set
	event.SetLoaded.Log(r.Logger, log.Fields{"set": a.Set})
	r.openedDigests = nil
	if a.Set == p.need.Set {
		r.openedDigests = p.digests()
		r.Cache.Retain(r.openedDigests)
	}
}

// holds tells whether all chunks of the artifacts are held, which the cache verified when it took them.
func (r *Reconciler) holds(artifacts []ident.Digest) bool {
	for _, d := range artifacts {
		a, ok := r.Cache.Artifact(d)
		if !ok || len(r.Cache.Missing(a)) > 0 {
			return false
		}
	}
	return len(artifacts) > 0
}

func (r *Reconciler) order(ctx context.Context, a enginecontroller.Action, p plan) {
	event.OrderGiven.Log(r.Logger, log.Fields{"set": a.Set, "fence": a.Fence})
	artifacts := p.digests()
	if a.Set != p.need.Set {
		artifacts = r.openedDigests
	}
	ctx, r.cancel = context.WithCancel(ctx)
	go func() {
		result, err := r.Loader.Order(ctx, artifacts, a.Fence)
		if err != nil {
			event.OrderFailed.Log(r.Logger, log.Fields{"set": a.Set, "error": err.Error()})
		}
		r.results <- result
	}()
}

func (r *Reconciler) closed(a enginecontroller.Action, st gate.Status) {
	e := event.GateClosed
	if a.Set != "" {
		e = event.SwitchBegan
	}
	e.Log(r.Logger, log.Fields{"set": st.Set, "next": a.Set})
}

func (r *Reconciler) ended(result enginecontroller.Result) {
	r.cancel()
	r.controller.Ended(time.Now(), result)
}
