package assigner_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// slowPhases makes a random share of the engines slower by factor in each phase of the given length between from and to.
func slowPhases(share, factor float64, phase, from, to time.Duration) func(engine int, at time.Duration) float64 {
	return func(engine int, at time.Duration) float64 {
		if at < from || at >= to {
			return 1
		}
		rng := rand.New(rand.NewPCG(uint64(engine), uint64((at-from)/phase)))
		if rng.Float64() < share {
			return factor
		}
		return 1
	}
}

// Engines become slow for a short time, and responses differ in length by a factor of ten. What each host learns of an engine
// by its own requests is older than such a phase.
var (
	shortPhases = slowPhases(0.15, 2.5, 600*time.Millisecond, 0, 15*time.Second)
	longPhase   = slowPhases(0.15, 4, 8*time.Second, 3*time.Second, 11*time.Second)
)

func unevenEngines(load float64, pace func(engine int, at time.Duration) float64, lengthSpread float64) unevenReplay {
	return unevenReplay{hosts: billingHosts, engines: billingEngines, load: load, seconds: 15, pace: pace, hasHints: true, lengthSpread: lengthSpread, seed: 4}
}

// The bound is that of docs/design/hard-load.md for 0.85 of the capacity.
func checkBelowCapacity(t *testing.T, pace func(engine int, at time.Duration) float64, lengthSpread float64) {
	is := is.New(t)
	got, former := unevenEngines(0.85, pace, lengthSpread).compare(t)
	t.Logf("assigner: %v\n  former: %v", got, former)
	is.True(got.inTime/got.total >= 0.985)
}

// Guards against refusals and late responses below capacity because responses differ in length.
func TestLengthsDifferBelowCapacity(t *testing.T) {
	checkBelowCapacity(t, nil, 10)
}

// Guards against requests that are sent to an engine in a slow phase.
func TestShortSlowPhasesBelowCapacity(t *testing.T) {
	checkBelowCapacity(t, shortPhases, 1)
}

// Guards against requests that are sent to an engine that stays slow.
func TestLongSlowPhaseBelowCapacity(t *testing.T) {
	checkBelowCapacity(t, longPhase, 1)
}

// Guards against the sum of both: long responses at engines in a slow phase.
func TestSlowPhasesAndLengthsBelowCapacity(t *testing.T) {
	checkBelowCapacity(t, shortPhases, 10)
}

// At 1.2 of the capacity, the decision must come close to one that knows the lengths of all responses and the future pace of all
// engines. The bound is that of docs/design/hard-load.md.
func TestUnevenEnginesAboveCapacity(t *testing.T) {
	for _, c := range []struct {
		name         string
		pace         func(engine int, at time.Duration) float64
		lengthSpread float64
	}{
		{"15% of the engines 2.5 times slower, 0.6 s each", shortPhases, 1},
		{"15% of the engines 4 times slower for 8 s", longPhase, 1},
		{"lengths that differ by a factor of ten", nil, 10},
		{"slow phases and lengths", shortPhases, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := unevenEngines(1.2, c.pace, c.lengthSpread)
			got, former := r.compare(t)
			oracle := r.bestOracle(t)
			t.Logf("assigner: %v\n  former: %v\n  oracle: %v\n  share of the oracle: %.4f", got, former, oracle, got.inTime/oracle.inTime)
			is.True(got.inTime >= 0.95*oracle.inTime)
		})
	}
}

// compare runs the replay with the decision and the former one.
func (r unevenReplay) compare(t *testing.T) (got, former unevenResult) {
	got = r.run(t)
	r.isFormer = true
	return got, r.run(t)
}

// bestOracle runs the replay with the oracle. Without a margin, requests that join a pass make earlier ones late.
func (r unevenReplay) bestOracle(t *testing.T) (best unevenResult) {
	r.oracle = true
	for _, r.oracleMargin = range []time.Duration{50 * time.Millisecond, 100 * time.Millisecond, 150 * time.Millisecond} {
		if o := r.run(t); o.inTime > best.inTime {
			best = o
		}
	}
	return best
}
