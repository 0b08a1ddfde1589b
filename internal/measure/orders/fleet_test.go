// Package orders measures waves of switching and the placement.
package orders

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	oldSet ident.WeightSet = "old"
	newSet ident.WeightSet = "new"

	reportTime = 250 * time.Millisecond
	// askTime is how often a host that waits to switch is given counts.
	askTime   = time.Second
	staleTime = 5 * time.Second
	loadTime  = 10 * time.Second
)

// replica is one endpoint host with the real controller, gate and limiter, and an engine that loads in a given time.
type replica struct {
	id         ident.Host
	engine     engineapi.State
	ready      time.Time // when the load in progress ends
	controller enginecontroller.Controller
	gate       gate.Gate
	limiter    rolloutlimiter.Limiter
	want       ident.WeightSet
	fetched    time.Time // when all chunks are held
	frozen     time.Time
	asked      time.Time
	offset     ident.Offset
	dead       bool
}

type sample struct {
	time time.Time
	open []rolloutlimiter.Replica
}

// fleet is the replicas of one deployment and the view that an entry host has of them.
type fleet struct {
	minServing int
	load       func() time.Duration
	replicas   []*replica
	reports    map[ident.Host]rolloutlimiter.Replica
	heard      map[ident.Host]time.Time
	past       []sample
	lag        time.Duration
	least      int
	dead       int
}

func newFleet(n, minServing int) *fleet {
	f := &fleet{minServing: minServing, least: n, reports: make(map[ident.Host]rolloutlimiter.Replica), heard: make(map[ident.Host]time.Time)}
	f.load = func() time.Duration { return loadTime }
	for i := range n {
		f.replicas = append(f.replicas, &replica{
			id: ident.Host(fmt.Sprintf("host-%d", i)), want: oldSet,
			engine: engineapi.State{StartTime: 1, WeightSet: oldSet},
		})
	}
	for range 4 {
		f.step()
	}
	f.least = n
	return f
}

// change asks all replicas for the new set, whose chunks they hold at once.
func (f *fleet) change() {
	for _, r := range f.replicas {
		r.want = newSet
		r.offset++
		r.fetched = time.Now()
	}
}

// step passes one report interval.
func (f *fleet) step() {
	time.Sleep(reportTime)
	now := time.Now()
	open := f.view(now)
	serving := 0
	for _, r := range f.replicas {
		if r.dead {
			continue
		}
		if !r.ready.IsZero() && !now.Before(r.ready) {
			r.ready = time.Time{}
			r.engine.WeightSet = r.want
			r.controller.RecordLoadResult(now, enginecontroller.LoadDone)
		}
		if now.Before(r.frozen) {
			if st := r.gate.Status(); st.Open && r.engine.WeightSet == st.Set {
				serving++
			}
			continue
		}
		f.report(now, r, open)
		r.act(now, f)
		if st := r.gate.Status(); st.Open && r.engine.WeightSet == st.Set {
			serving++
		}
	}
	f.least = min(f.least, serving)
}

// view returns the open replicas as the entry host knew them a lag ago.
func (f *fleet) view(now time.Time) []rolloutlimiter.Replica {
	s := sample{time: now}
	for _, r := range f.replicas {
		rep, ok := f.reports[r.id]
		if ok && now.Sub(f.heard[r.id]) < staleTime {
			s.open = append(s.open, rep)
		}
	}
	f.past = append(f.past, s)
	for len(f.past) > 1 && now.Sub(f.past[1].time) >= f.lag {
		f.past = f.past[1:]
	}
	return f.past[0].open
}

func (f *fleet) report(now time.Time, r *replica, open []rolloutlimiter.Replica) {
	st := r.gate.Status()
	delete(f.reports, r.id)
	if !st.Open {
		return
	}
	f.reports[r.id] = rolloutlimiter.Replica{Host: r.id, ServedSet: st.Set, AssignedSet: r.want, Offset: r.offset}
	f.heard[r.id] = now
	if st.Set != r.want && now.Sub(r.asked) >= askTime {
		r.asked = now
		r.limiter.RecordCounts("entry", now, rolloutlimiter.CountReplicas(r.id, r.offset, open))
	}
}

func (r *replica) act(now time.Time, f *fleet) {
	groups := []rolloutlimiter.DeploymentSets{{Sets: []ident.WeightSet{newSet, oldSet}, MinServing: f.minServing}}
	for {
		st := r.gate.Status()
		w := enginecontroller.Target{
			Set: r.want, Offset: 1, AcceptedSets: []ident.WeightSet{oldSet, newSet},
			Verified: !now.Before(r.fetched), SwitchAllowed: !st.Open || r.limiter.MayStopServing(now, st.Set, groups),
		}
		a := r.controller.NextAction(now, w, 0)
		switch a.Kind {
		case enginecontroller.ActionWait, enginecontroller.ActionCancelLoad:
			return
		case enginecontroller.ActionReadState:
			r.controller.RecordState(now, r.engine)
		case enginecontroller.ActionOpenGate:
			r.gate.OpenUntil(a.Set, a.Epoch, a.Until)
		case enginecontroller.ActionCloseGate:
			r.gate.Close()
		case enginecontroller.ActionLoad:
			r.engine.WeightSet = ""
			r.engine.AcceptedLoads++
			r.engine.FencingToken = a.Fence
			r.ready = now.Add(f.load())
		}
	}
}

func (f *fleet) kill(r *replica) {
	if !r.dead {
		r.dead = true
		f.dead++
	}
}

// done tells whether all replicas that live serve the set.
func (f *fleet) done(set ident.WeightSet) bool {
	for _, r := range f.replicas {
		st := r.gate.Status()
		if !r.dead && (!st.Open || st.Set != set) {
			return false
		}
	}
	return true
}

// wave runs until the change is everywhere or the time is over, and returns how long it took.
func (f *fleet) wave(most time.Duration, each func()) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < most {
		each()
		f.step()
		if f.done(newSet) {
			return time.Since(begin), true
		}
	}
	return most, false
}

func seeded(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
