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
	// Fetch brings all chunks of the artifacts into the holder.
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
func (s *Reconciler) Want() (ident.WeightSet, ident.Offset) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.want, s.since
}

// Slots returns the number of requests that the engine said it runs at once.
func (s *Reconciler) Slots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slots
}

// Hear takes the counts with which an entry host answered a report that was sent at a time.
func (s *Reconciler) Hear(from ident.Host, asked time.Time, counts []rolloutlimiter.Count) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limiter.Hear(from, asked, counts)
}

// Run keeps the engine on the wanted set until ctx ends.
func (s *Reconciler) Run(ctx context.Context) error {
	s.results = make(chan enginecontroller.Result, 1)
	s.fetching.done = make(chan struct{}, 1)
	defer s.stop()
	for ctx.Err() == nil {
		changed := s.Changed()
		p := s.plan()
		s.fetch(ctx, p)
		s.act(ctx, p)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-s.fetching.done:
		case r := <-s.results:
			s.ended(r)
		case <-time.After(enginecontroller.FreshTime):
		}
	}
	return nil
}

// stop waits for what Run has started.
func (s *Reconciler) stop() {
	if s.controller.Running() {
		s.cancel()
		s.ended(<-s.results)
	}
	s.fetching.stop()
}

func (s *Reconciler) plan() plan {
	p := s.planner.plan(s)
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.need.Set != s.want {
		s.limiter.Reset()
		s.since = p.offset
	}
	s.want = p.need.Set
	return p
}

// act does what the orderer says until it has nothing more to do.
func (s *Reconciler) act(ctx context.Context, p plan) {
	for ctx.Err() == nil {
		st := s.Gate.Status()
		a := s.controller.Next(time.Now(), s.wanted(p, st), st.Running)
		switch a.Kind {
		case enginecontroller.Wait:
			return
		case enginecontroller.Read:
			s.read(ctx)
		case enginecontroller.Open:
			s.open(a, p)
		case enginecontroller.Close:
			s.Gate.Close()
			s.closed(a, st)
		case enginecontroller.Cancel:
			s.cancel()
		case enginecontroller.Order:
			s.order(ctx, a, p)
		}
	}
}

func (s *Reconciler) wanted(p plan, st gate.Status) enginecontroller.Want {
	w := enginecontroller.Want{Set: p.need.Set, Offset: p.offset, Accepted: p.accepted, Verified: s.fetching.held(p.need)}
	if s.opened != "" {
		w.Accepted = append(w.Accepted[:len(w.Accepted):len(w.Accepted)], s.opened)
	}
	if !w.Verified && s.holds(s.openedDigests) {
		w.Held = s.opened
	}
	if !w.Verified || st.Set == w.Set {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Permitted = !st.Open || s.limiter.Permit(time.Now(), st.Set, p.groups)
	return w
}

func (s *Reconciler) read(ctx context.Context) {
	asked := time.Now()
	st, err := s.Loader.State(ctx)
	if err != nil {
		s.controller.Unreachable(time.Now())
		return
	}
	s.controller.Observe(asked, st)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = st.Slots
}

func (s *Reconciler) open(a enginecontroller.Action, p plan) {
	s.Gate.OpenUntil(a.Set, a.Epoch, a.Until)
	if a.Set == s.opened {
		return
	}
	s.opened = a.Set
	event.SetLoaded.Log(s.Logger, log.Fields{"set": a.Set})
	s.openedDigests = nil
	if a.Set == p.need.Set {
		s.openedDigests = p.digests()
		s.Cache.Retain(s.openedDigests)
	}
}

// holds tells whether all chunks of the artifacts are held, which the holder verified when it took them.
func (s *Reconciler) holds(artifacts []ident.Digest) bool {
	for _, d := range artifacts {
		a, ok := s.Cache.Artifact(d)
		if !ok || len(s.Cache.Missing(a)) > 0 {
			return false
		}
	}
	return len(artifacts) > 0
}

func (s *Reconciler) order(ctx context.Context, a enginecontroller.Action, p plan) {
	event.OrderGiven.Log(s.Logger, log.Fields{"set": a.Set, "fence": a.Fence})
	artifacts := p.digests()
	if a.Set != p.need.Set {
		artifacts = s.openedDigests
	}
	ctx, s.cancel = context.WithCancel(ctx)
	go func() {
		r, err := s.Loader.Order(ctx, artifacts, a.Fence)
		if err != nil {
			event.OrderFailed.Log(s.Logger, log.Fields{"set": a.Set, "error": err.Error()})
		}
		s.results <- r
	}()
}

func (s *Reconciler) closed(a enginecontroller.Action, st gate.Status) {
	e := event.GateClosed
	if a.Set != "" {
		e = event.SwitchBegan
	}
	e.Log(s.Logger, log.Fields{"set": st.Set, "next": a.Set})
}

func (s *Reconciler) ended(r enginecontroller.Result) {
	s.cancel()
	s.controller.Ended(time.Now(), r)
}
