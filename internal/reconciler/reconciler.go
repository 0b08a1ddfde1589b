// Package reconciler moves an endpoint host's engine to the weight set that the configuration assigns to the host.
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

const retryDelay = 500 * time.Millisecond

// Reconciler controls one engine. Set its fields before Run.
type Reconciler struct {
	// Self is the id of the local host.
	Self ident.Host
	// Pool is the pool of the local host.
	Pool ident.Pool
	// Gate is closed while the engine changes its weights.
	Gate *gate.Gate
	// Cache holds the fetched chunks.
	Cache *chunkcache.Cache
	// Fetch fetches all chunks of the artifacts into the cache.
	Fetch func(ctx context.Context, artifacts []ident.Digest) error
	// View calls fn with the configuration state.
	View func(fn func(*reducer.Reducer))
	// Changed returns a channel that is closed at the next change of the configuration state.
	Changed func() <-chan struct{}
	// Hosts returns the endpoint hosts.
	Hosts func() []membership.Member
	// Loader reads the engine's state and sends it load commands.
	Loader *loader.Loader
	// Logger receives the events.
	Logger log.Interface

	mu          sync.Mutex
	wantedSet   ident.WeightSet
	wantedSince ident.Offset
	limiter     rolloutlimiter.Limiter
	controller  enginecontroller.Controller
	planner     planner
	fetch       fetchTask
	served      ident.WeightSet
	// servedArtifacts are the artifacts of the served set, or empty if they are not known.
	servedArtifacts []ident.Digest
	slots           int
	cancelLoad      context.CancelFunc
	loadResults     chan enginecontroller.LoadResult
}

// Wanted returns the weight set that the host is to serve, and the configuration offset at which it became that.
func (r *Reconciler) Wanted() (ident.WeightSet, ident.Offset) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wantedSet, r.wantedSince
}

// Slots returns the number of requests that the engine can run concurrently, as it reported last.
func (r *Reconciler) Slots() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.slots
}

// ApplyCounts records the replica counts that an entry host returned for a report that was sent at the given time.
func (r *Reconciler) ApplyCounts(from ident.Host, sent time.Time, counts []rolloutlimiter.SetCount) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limiter.RecordCounts(from, sent, counts)
}

// Run keeps the engine on the wanted weight set until ctx ends.
func (r *Reconciler) Run(ctx context.Context) error {
	r.loadResults = make(chan enginecontroller.LoadResult, 1)
	r.fetch.wake = make(chan struct{}, 1)
	defer r.stop()
	for ctx.Err() == nil {
		changed := r.Changed()
		plan := r.updatePlan()
		r.updateFetch(ctx, plan)
		r.runActions(ctx, plan)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-r.fetch.wake:
		case result := <-r.loadResults:
			r.finishLoad(result)
		case <-time.After(enginecontroller.MaxStateAge):
		}
	}
	return nil
}

// stop cancels the load and the fetch in progress and waits for them to end.
func (r *Reconciler) stop() {
	if r.controller.LoadInProgress() {
		r.cancelLoad()
		r.finishLoad(<-r.loadResults)
	}
	r.fetch.stop()
}

func (r *Reconciler) updatePlan() hostPlan {
	p := r.planner.plan(r)
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.need.Set != r.wantedSet {
		r.limiter.Reset()
		r.wantedSince = p.offset
	}
	r.wantedSet = p.need.Set
	return p
}

// runActions executes the controller's actions until there is nothing more to do.
func (r *Reconciler) runActions(ctx context.Context, plan hostPlan) {
	for ctx.Err() == nil {
		status := r.Gate.Status()
		action := r.controller.NextAction(time.Now(), r.controllerTarget(plan, status), status.InFlight)
		switch action.Kind {
		case enginecontroller.ActionWait:
			return
		case enginecontroller.ActionReadState:
			r.readState(ctx)
		case enginecontroller.ActionOpenGate:
			r.openGate(action, plan)
		case enginecontroller.ActionCloseGate:
			r.Gate.Close()
			r.logGateClosed(action, status)
		case enginecontroller.ActionCancelLoad:
			r.cancelLoad()
		case enginecontroller.ActionLoad:
			r.startLoad(ctx, action, plan)
		}
	}
}

// controllerTarget returns what the controller is to reach, given the plan and the state of the gate.
func (r *Reconciler) controllerTarget(plan hostPlan, status gate.Status) enginecontroller.Target {
	want := enginecontroller.Target{Set: plan.need.Set, Offset: plan.offset, AcceptedSets: plan.accepted, Verified: r.fetch.isComplete(plan.need)}
	if r.served != "" {
		want.AcceptedSets = append(want.AcceptedSets[:len(want.AcceptedSets):len(want.AcceptedSets)], r.served)
	}
	if !want.Verified && r.isCached(r.servedArtifacts) {
		want.FallbackSet = r.served
	}
	if !want.Verified || status.Set == want.Set {
		return want
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	want.SwitchAllowed = !status.Open || r.limiter.MayStopServing(time.Now(), status.Set, plan.groups)
	return want
}

func (r *Reconciler) readState(ctx context.Context) {
	requestedAt := time.Now()
	st, err := r.Loader.State(ctx)
	if err != nil {
		r.controller.RecordReadFailure(time.Now())
		return
	}
	r.controller.RecordState(requestedAt, st)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slots = st.Slots
}

func (r *Reconciler) openGate(action enginecontroller.Action, plan hostPlan) {
	r.Gate.OpenUntil(action.Set, action.Epoch, action.Until)
	if action.Set == r.served {
		return
	}
	r.served = action.Set
	event.WeightSetServed.Log(r.Logger, log.Fields{"set": action.Set})
	r.servedArtifacts = nil
	if action.Set == plan.need.Set {
		r.servedArtifacts = plan.digests()
		r.Cache.Retain(r.servedArtifacts)
	}
}

// isCached reports whether the cache holds all chunks of the artifacts. It has verified them when they were stored.
func (r *Reconciler) isCached(artifacts []ident.Digest) bool {
	for _, d := range artifacts {
		a, ok := r.Cache.Artifact(d)
		if !ok || len(r.Cache.Missing(a)) > 0 {
			return false
		}
	}
	return len(artifacts) > 0
}

func (r *Reconciler) startLoad(ctx context.Context, action enginecontroller.Action, plan hostPlan) {
	event.LoadCommandIssued.Log(r.Logger, log.Fields{"set": action.Set, "fence": action.FencingToken})
	artifacts := plan.digests()
	if action.Set != plan.need.Set {
		artifacts = r.servedArtifacts
	}
	ctx, r.cancelLoad = context.WithCancel(ctx)
	go func() {
		result, err := r.Loader.Load(ctx, artifacts, action.FencingToken)
		if err != nil {
			event.LoadCommandFailed.Log(r.Logger, log.Fields{"set": action.Set, "error": err.Error()})
		}
		r.loadResults <- result
	}()
}

func (r *Reconciler) logGateClosed(action enginecontroller.Action, status gate.Status) {
	e := event.GateClosed
	if action.Set != "" {
		e = event.WeightSwitchStarted
	}
	e.Log(r.Logger, log.Fields{"set": status.Set, "next": action.Set})
}

func (r *Reconciler) finishLoad(result enginecontroller.LoadResult) {
	r.cancelLoad()
	r.controller.RecordLoadResult(time.Now(), result)
}
