// Package rollout measures rollouts of a new weight set and the placement of deployments on hosts.
package rollout

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

	reportInterval = 250 * time.Millisecond
	// permitInterval is how often a host that waits to switch receives counts of the serving replicas.
	permitInterval = time.Second
	reportTTL      = 5 * time.Second
	loadTime       = 10 * time.Second
)

// replica is one endpoint host with the real controller, gate and rollout limiter, and a simulated engine.
type replica struct {
	host        ident.Host
	engine      engineapi.State
	loadEnd     time.Time // zero if no load is in progress
	controller  enginecontroller.Controller
	gate        gate.Gate
	limiter     rolloutlimiter.Limiter
	wantedSet   ident.WeightSet
	fetchedAt   time.Time // when the host holds all chunks of wantedSet
	frozenUntil time.Time
	lastPermit  time.Time
	offset      ident.Offset
	crashed     bool
}

// viewSample is the view of the open replicas at one time.
type viewSample struct {
	time time.Time
	open []rolloutlimiter.Replica
}

// fleet holds the replicas of one deployment and the view that an entry host has of them.
type fleet struct {
	floor        int
	drawLoadTime func() time.Duration
	replicas     []*replica
	reports      map[ident.Host]rolloutlimiter.Replica
	reportedAt   map[ident.Host]time.Time
	samples      []viewSample
	viewLag      time.Duration
	minServing   int
	crashed      int
}

func newFleet(n, floor int) *fleet {
	f := &fleet{floor: floor, minServing: n, reports: make(map[ident.Host]rolloutlimiter.Replica), reportedAt: make(map[ident.Host]time.Time)}
	f.drawLoadTime = func() time.Duration { return loadTime }
	for i := range n {
		f.replicas = append(f.replicas, &replica{
			host: ident.Host(fmt.Sprintf("host-%d", i)), wantedSet: oldSet,
			engine: engineapi.State{StartTime: 1, WeightSet: oldSet},
		})
	}
	for range 4 {
		f.step()
	}
	f.minServing = n
	return f
}

// changeVersion makes all replicas want the new set. They hold its chunks immediately.
func (f *fleet) changeVersion() {
	for _, r := range f.replicas {
		r.wantedSet = newSet
		r.offset++
		r.fetchedAt = time.Now()
	}
}

// step simulates one report interval.
func (f *fleet) step() {
	time.Sleep(reportInterval)
	now := time.Now()
	open := f.view(now)
	serving := 0
	for _, r := range f.replicas {
		if r.crashed {
			continue
		}
		if !r.loadEnd.IsZero() && !now.Before(r.loadEnd) {
			r.loadEnd = time.Time{}
			r.engine.WeightSet = r.wantedSet
			r.controller.RecordLoadResult(now, enginecontroller.LoadDone)
		}
		if now.Before(r.frozenUntil) {
			if st := r.gate.Status(); st.Open && r.engine.WeightSet == st.Set {
				serving++
			}
			continue
		}
		f.report(now, r, open)
		r.runController(now, f)
		if st := r.gate.Status(); st.Open && r.engine.WeightSet == st.Set {
			serving++
		}
	}
	f.minServing = min(f.minServing, serving)
}

// view returns the open replicas as the entry host knew them viewLag ago.
func (f *fleet) view(now time.Time) []rolloutlimiter.Replica {
	s := viewSample{time: now}
	for _, r := range f.replicas {
		report, ok := f.reports[r.host]
		if ok && now.Sub(f.reportedAt[r.host]) < reportTTL {
			s.open = append(s.open, report)
		}
	}
	f.samples = append(f.samples, s)
	for len(f.samples) > 1 && now.Sub(f.samples[1].time) >= f.viewLag {
		f.samples = f.samples[1:]
	}
	return f.samples[0].open
}

func (f *fleet) report(now time.Time, r *replica, open []rolloutlimiter.Replica) {
	st := r.gate.Status()
	delete(f.reports, r.host)
	if !st.Open {
		return
	}
	f.reports[r.host] = rolloutlimiter.Replica{Host: r.host, ServedSet: st.Set, AssignedSet: r.wantedSet, Offset: r.offset}
	f.reportedAt[r.host] = now
	if st.Set != r.wantedSet && now.Sub(r.lastPermit) >= permitInterval {
		r.lastPermit = now
		r.limiter.RecordCounts("entry", now, rolloutlimiter.CountReplicas(r.host, r.offset, open))
	}
}

func (r *replica) runController(now time.Time, f *fleet) {
	groups := []rolloutlimiter.DeploymentSets{{Sets: []ident.WeightSet{newSet, oldSet}, MinServing: f.floor}}
	for {
		st := r.gate.Status()
		w := enginecontroller.Target{
			Set: r.wantedSet, Offset: 1, AcceptedSets: []ident.WeightSet{oldSet, newSet},
			Verified: !now.Before(r.fetchedAt), SwitchAllowed: !st.Open || r.limiter.MayStopServing(now, st.Set, groups),
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
			r.engine.FencingToken = a.FencingToken
			r.loadEnd = now.Add(f.drawLoadTime())
		}
	}
}

func (f *fleet) crash(r *replica) {
	if !r.crashed {
		r.crashed = true
		f.crashed++
	}
}

// isDone reports whether all replicas that have not crashed serve the set.
func (f *fleet) isDone(set ident.WeightSet) bool {
	for _, r := range f.replicas {
		st := r.gate.Status()
		if !r.crashed && (!st.Open || st.Set != set) {
			return false
		}
	}
	return true
}

// runRollout runs until all replicas serve the new set or the timeout has passed. It returns how long that took, and
// whether the rollout ended. It calls beforeStep before each step.
func (f *fleet) runRollout(timeout time.Duration, beforeStep func()) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < timeout {
		beforeStep()
		f.step()
		if f.isDone(newSet) {
			return time.Since(begin), true
		}
	}
	return timeout, false
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
