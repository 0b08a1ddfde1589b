package assigner_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

var (
	billingHosts   = [3]int{13, 15, 12}
	billingEngines = [3]int{20, 19, 19}
)

// Some engines fail every request at once for 5.6 s while they report good health. They always seem idle: the former
// decision sent them most requests. The bounds are those of docs/design/hard-load.md.
func TestEnginesThatFailAtOnceAttractNoRequests(t *testing.T) {
	is := is.New(t)
	const failing = 7
	from, to := 3*time.Second, 8600*time.Millisecond
	fails := func(engine int, at time.Duration, _ ident.Zone) bool {
		return engine%8 == 1 && engine/8 < failing && at >= from && at < to
	}
	r := unevenReplay{hosts: billingHosts, engines: billingEngines, load: 0.85, seconds: 12, fails: fails, from: from, to: to, seed: 1}
	got := r.run(t)
	r.isFormer = true
	former := r.run(t)
	busiest, sum := 0, 0
	for _, n := range got.assigned {
		busiest = max(busiest, n)
		sum += n
	}
	mean := float64(sum) / float64(len(got.assigned))
	t.Logf("assigner: %v, busiest engine %d, mean %.1f, ratio %.2f; former: %v", got, busiest, mean, float64(busiest)/mean, former)
	is.True(float64(got.failedAttempts) <= 0.1*float64(former.failedAttempts))
	is.True(float64(busiest) <= 1.3*mean)
	is.True(got.inTime/got.total > former.inTime/former.total)
}

// Some requests fail at any endpoint, as 14% of those of account-read do. An ejection would take a sound endpoint out of use.
func TestEndpointsWithNaturalFailuresAreNotEjected(t *testing.T) {
	is := is.New(t)
	r := unevenReplay{hosts: billingHosts, engines: [3]int{3, 2, 2}, load: 0.85, seconds: 300, naturalFailures: 0.14, seed: 2}
	got := r.run(t)
	t.Logf("assigner: %v", got)
	is.Equal(got.ejections, 0)
	is.True(got.failedAttempts > 1000) // the replay has enough failures to tell
}

// All endpoints of a pool fail at the same time, at once or half of the requests. An ejection would only concentrate the load.
func TestPoolThatFailsAsAWholeStaysInUse(t *testing.T) {
	for _, c := range []struct {
		name    string
		engines [3]int
		share   int // one of share requests is served
	}{
		{"58 engines, all requests", billingEngines, 0},
		{"58 engines, half of the requests", billingEngines, 2},
		{"7 endpoints, all requests", [3]int{3, 2, 2}, 0},
		{"3 endpoints, all requests", [3]int{1, 1, 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range uint64(4) {
				var mu sync.Mutex
				n := 0
				fails := func(_ int, at time.Duration, _ ident.Zone) bool {
					mu.Lock()
					defer mu.Unlock()
					n++
					return at >= 2*time.Second && at < 6*time.Second && (c.share == 0 || n%c.share != 0)
				}
				got := unevenReplay{hosts: billingHosts, engines: c.engines, load: 0.85, seconds: 8, fails: fails, seed: seed}.run(t)
				t.Logf("seed %d: %v", seed, got)
				is.Equal(got.ejections, 0)
			}
		})
	}
}

// An engine fails only the requests of one zone. The hosts of that zone must avoid it, and those of the others use it.
func TestEngineThatFailsForOneZoneStaysInUseForTheOthers(t *testing.T) {
	is := is.New(t)
	from, to := 3*time.Second, 58*time.Second
	fails := func(engine int, at time.Duration, z ident.Zone) bool {
		return engine == 3 && z == "z1" && at >= from && at < to
	}
	r := unevenReplay{hosts: billingHosts, engines: [3]int{6, 2, 6}, load: 0.85, seconds: 60, fails: fails, from: from, to: to, seed: 3}
	got := r.run(t)
	r.isFormer = true
	former := r.run(t)
	t.Logf("assigner: %v, assigned %v; former: %v, assigned %v", got, got.assigned, former, former.assigned)
	is.True(got.failedAttempts < former.failedAttempts)
	mean := 0
	for _, n := range got.assigned {
		mean += n
	}
	mean /= len(got.assigned)
	is.True(got.assigned[3] >= mean/2)
	// Both are within 0.002 of each other from run to run.
	is.True(got.inTime/got.total >= former.inTime/former.total-0.005)
}
