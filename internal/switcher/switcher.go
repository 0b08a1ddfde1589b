// Package switcher moves an endpoint host's engine to the weight set that the configuration asks for.
package switcher

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/holder"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/loader"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const checkInterval = 500 * time.Millisecond

// Switcher serves one engine. Set its fields before Run.
type Switcher struct {
	// Self is the host's own id.
	Self ident.Host
	// Gate is closed while the engine changes its weights.
	Gate *gate.Gate
	// Holder keeps the chunks.
	Holder *holder.Holder
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

	mu   sync.Mutex
	want ident.WeightSet
}

// Want returns the weight set that the host is to serve.
func (s *Switcher) Want() ident.WeightSet {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.want
}

// Run keeps the engine on the wanted set until ctx ends.
func (s *Switcher) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := s.Changed()
		need, offset, ok := s.need()
		if ok {
			s.reach(ctx, need, offset)
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(checkInterval):
		}
	}
	return nil
}

func (s *Switcher) need() (placer.Need, ident.Offset, bool) {
	var needs []placer.Need
	var offset ident.Offset
	s.View(func(st *reducer.Reducer) {
		needs = placer.Needs(st.Deployments())
		offset = st.Offset()
	})
	var nodes []placer.Node
	for _, m := range s.Hosts() {
		if !m.Leaving {
			nodes = append(nodes, placer.Node{Host: m.Host, Zone: m.Zone, Pool: m.Pool})
		}
	}
	need, ok := placer.Place(needs, nodes)[s.Self]
	if ok {
		s.mu.Lock()
		s.want = need.Set
		s.mu.Unlock()
	}
	return need, offset, ok
}

// reach fetches and loads the set. It gives up early when another set is wanted while chunks are fetched.
func (s *Switcher) reach(ctx context.Context, need placer.Need, offset ident.Offset) {
	st := s.Gate.Status()
	if st.Open && st.Set == need.Set {
		s.verify(ctx, need)
		return
	}
	artifacts := digests(need)
	fetchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go s.watch(fetchCtx, cancel, need.Set)
	event.BurstStarted.Log(s.Logger, log.Fields{"set": need.Set})
	if err := s.Fetch(fetchCtx, artifacts); err != nil {
		event.FetchFailed.Log(s.Logger, log.Fields{"set": need.Set, "error": err.Error()})
		return
	}
	event.BurstFinished.Log(s.Logger, log.Fields{"set": need.Set})
	s.load(ctx, need, offset)
}

// watch cancels a fetch once its set is superseded.
func (s *Switcher) watch(ctx context.Context, cancel context.CancelFunc, set ident.WeightSet) {
	for {
		changed := s.Changed()
		if need, _, ok := s.need(); !ok || need.Set != set {
			cancel()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (s *Switcher) load(ctx context.Context, need placer.Need, offset ident.Offset) {
	select {
	case <-s.Gate.Close():
	case <-ctx.Done():
		return
	}
	if err := s.Loader.Load(ctx, digests(need), ident.Fence(offset)); err != nil {
		event.OrderFailed.Log(s.Logger, log.Fields{"set": need.Set, "error": err.Error()})
		return
	}
	s.Gate.Open(need.Set)
	s.Holder.Retain(digests(need))
	event.SetLoaded.Log(s.Logger, log.Fields{"set": need.Set})
}

// verify closes the gate when the engine serves another set than it was ordered to.
func (s *Switcher) verify(ctx context.Context, need placer.Need) {
	st, err := s.Loader.State(ctx)
	if err == nil && st.Set == need.Set {
		return
	}
	s.Gate.Close()
}

func digests(need placer.Need) []ident.Digest {
	out := make([]ident.Digest, len(need.Refs))
	for i, r := range need.Refs {
		out[i] = r.Digest
	}
	return out
}
