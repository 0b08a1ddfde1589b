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
	// countsInterval is how often a host that waits to switch receives counts of the serving replicas.
	countsInterval = time.Second
	reportTTL      = 5 * time.Second
	loadTime       = 10 * time.Second
)

// replica is one endpoint host. Its controller, gate and rollout limiter are the real ones, its engine is simulated.
type replica struct {
	host         ident.Host
	engine       engineapi.State
	loadEnd      time.Time // zero if no load is in progress
	controller   enginecontroller.Controller
	gate         gate.Gate
	limiter      rolloutlimiter.Limiter
	assignedSet  ident.WeightSet
	fetchedAt    time.Time // when the host holds all chunks of wantedSet
	pausedUntil  time.Time // zero if the host was never paused
	lastCountsAt time.Time
	offset       ident.Offset
	crashed      bool
}

// viewSample holds the replicas with an open gate that the entry host knew at one time.
type viewSample struct {
	time time.Time
	open []rolloutlimiter.Replica
}

// fleet holds the replicas of one deployment and what one entry host knows of them.
type fleet struct {
	floor         int
	nextLoadTime  func() time.Duration
	replicas      []*replica
	reports       map[ident.Host]rolloutlimiter.Replica
	reportedAt    map[ident.Host]time.Time
	samples       []viewSample
	viewLag       time.Duration // time until the entry host knows of a report
	lowestServing int           // lowest number of serving replicas in any step
	crashes       int           // number of replicas that have crashed
}

// newFleet returns a fleet of n replicas that serve the old set.
func newFleet(n, floor int) *fleet {
	f := &fleet{floor: floor, lowestServing: n, reports: make(map[ident.Host]rolloutlimiter.Replica), reportedAt: make(map[ident.Host]time.Time)}
	f.nextLoadTime = func() time.Duration { return loadTime }
	for i := range n {
		f.replicas = append(f.replicas, &replica{
			host: ident.Host(fmt.Sprintf("host-%d", i)), assignedSet: oldSet,
			engine: engineapi.State{StartTime: 1, WeightSet: oldSet},
		})
	}
	for range 4 {
		f.step()
	}
	f.lowestServing = n
	return f
}

// changeVersion assigns the new set to all replicas. They have its chunks immediately.
func (f *fleet) changeVersion() {
	for _, r := range f.replicas {
		r.assignedSet = newSet
		r.offset++
		r.fetchedAt = time.Now()
	}
}

// step simulates one report interval. A paused host neither reports nor runs its controller, but its engine serves as
// long as the gate is open.
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
			r.engine.WeightSet = r.assignedSet
			r.controller.RecordLoadResult(now, enginecontroller.LoadDone)
		}
		if now.Before(r.pausedUntil) {
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
	f.lowestServing = min(f.lowestServing, serving)
}

// view returns the replicas with an open gate as the entry host knew them viewLag ago.
func (f *fleet) view(now time.Time) []rolloutlimiter.Replica {
	sample := viewSample{time: now}
	for _, r := range f.replicas {
		report, ok := f.reports[r.host]
		if ok && now.Sub(f.reportedAt[r.host]) < reportTTL {
			sample.open = append(sample.open, report)
		}
	}
	f.samples = append(f.samples, sample)
	for len(f.samples) > 1 && now.Sub(f.samples[1].time) >= f.viewLag {
		f.samples = f.samples[1:]
	}
	return f.samples[0].open
}

// report updates what the entry host knows of a replica. A replica that has to switch receives the counts of the
// replicas in open, at most once in a countsInterval.
func (f *fleet) report(now time.Time, r *replica, open []rolloutlimiter.Replica) {
	st := r.gate.Status()
	delete(f.reports, r.host)
	if !st.Open {
		return
	}
	f.reports[r.host] = rolloutlimiter.Replica{Host: r.host, ServedSet: st.Set, AssignedSet: r.assignedSet, Offset: r.offset}
	f.reportedAt[r.host] = now
	if st.Set != r.assignedSet && now.Sub(r.lastCountsAt) >= countsInterval {
		r.lastCountsAt = now
		r.limiter.RecordCounts("entry", now, rolloutlimiter.CountReplicas(r.host, r.offset, open))
	}
}

// runController executes the controller's actions until there is none left for now.
func (r *replica) runController(now time.Time, f *fleet) {
	groups := []rolloutlimiter.DeploymentSets{{Sets: []ident.WeightSet{newSet, oldSet}, MinServing: f.floor}}
	for {
		st := r.gate.Status()
		target := enginecontroller.Target{
			Set: r.assignedSet, Offset: 1, AcceptedSets: []ident.WeightSet{oldSet, newSet},
			Verified: !now.Before(r.fetchedAt), SwitchAllowed: !st.Open || r.limiter.MayStopServing(now, st.Set, groups),
		}
		action := r.controller.NextAction(now, target, 0)
		switch action.Kind {
		case enginecontroller.ActionWait, enginecontroller.ActionCancelLoad:
			return
		case enginecontroller.ActionReadState:
			r.controller.RecordState(now, r.engine)
		case enginecontroller.ActionOpenGate:
			r.gate.OpenUntil(action.Set, action.Epoch, action.Until)
		case enginecontroller.ActionCloseGate:
			r.gate.Close()
		case enginecontroller.ActionLoad:
			r.engine.WeightSet = ""
			r.engine.AcceptedLoads++
			r.engine.FencingToken = action.FencingToken
			r.loadEnd = now.Add(f.nextLoadTime())
		}
	}
}

func (f *fleet) crash(r *replica) {
	if !r.crashed {
		r.crashed = true
		f.crashes++
	}
}

// allServe reports whether all replicas that have not crashed serve the set.
func (f *fleet) allServe(set ident.WeightSet) bool {
	for _, r := range f.replicas {
		st := r.gate.Status()
		if !r.crashed && (!st.Open || st.Set != set) {
			return false
		}
	}
	return true
}

// runRollout simulates steps until all replicas serve the new set or the timeout has passed. It returns how long that
// took, and whether all replicas serve the new set. It calls beforeStep before each step.
func (f *fleet) runRollout(timeout time.Duration, beforeStep func()) (time.Duration, bool) {
	begin := time.Now()
	for time.Since(begin) < timeout {
		beforeStep()
		f.step()
		if f.allServe(newSet) {
			return time.Since(begin), true
		}
	}
	return timeout, false
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed))
}
