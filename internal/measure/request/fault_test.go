package request

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// faultLoad is the offered load as a share of the capacity. It is slightly above the capacity of two thirds of the
// engines.
const faultLoad = 0.7

var faults = []struct {
	name  string
	lag   time.Duration
	fault func(sim *simulation)
}{
	{"none", 0, nil},
	{"slow", 0, func(sim *simulation) { sim.engines[0].slowdown = 10 }},
	{"frozen", 0, func(sim *simulation) { sim.engines[0].state = frozen }},
	{"refusing", 0, func(sim *simulation) { sim.engines[0].refuseAll() }},
	{"third", 0, func(sim *simulation) {
		for i := 0; i < len(sim.engines); i += 3 {
			sim.engines[i].crash()
		}
	}},
	{"lag", 5 * time.Second, nil},
}

var policies = []struct {
	name string
	policy
}{
	{"ours", policy{}},
	{"round-robin", policy{selectEngine: roundRobin}},
	{"least-reported", policy{selectEngine: leastReported}},
	{"no-budget", policy{noBudget: true}},
}

// refuseAll fails the active attempts of the engine and makes it refuse every request from now on. Its reports then
// show an idle engine.
func (e *engine) refuseAll() {
	e.state = refusing
	active := slices.SortedFunc(maps.Keys(e.active), func(a, b *attempt) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, a := range active {
		e.sim.schedule(hostLatency, func() { a.entry.fail(a, connectionLostError()) })
	}
	e.active, e.queue = nil, nil
}

func TestMeasureRequestFaults(t *testing.T) {
	for _, f := range faults {
		for _, p := range policies {
			sim := runScenario(t, scenario{
				site: agency, orgs: organisations(faultLoad), classShares: mixedClasses, duration: 30 * time.Second,
				reportLag: f.lag, policy: p.policy, fault: f.fault, faultAt: 5 * time.Second,
			})
			name := fmt.Sprintf("fault.%s.%s.", f.name, p.name)
			report(t, name+"first.all.p95", firstTokenPercentile(sim.all, 95), "s")
			report(t, name+"failed", 100*float64(sim.all.failed)/float64(sim.all.offered), "% of offered")
			retries := 100 * float64(sim.all.retries) / float64(sim.all.sent)
			if p.name == "ours" {
				reportBounded(t, name+"retries", retries, "% of offered", measure.AtMost, 10)
				reportBounded(t, name+"first.high.p95", firstTokenPercentile(sim.byClass[0], 95), "s", measure.AtMost, firstTokenBound)
			} else {
				report(t, name+"retries", retries, "% of offered")
				report(t, name+"first.high.p95", firstTokenPercentile(sim.byClass[0], 95), "s")
			}
		}
	}
}

// TestMeasureRequestPrefix compares the prefix cache hits and the balance between engines with prefix affinity, with
// affinity bounded to an even load, and without affinity.
func TestMeasureRequestPrefix(t *testing.T) {
	for _, p := range []struct {
		name string
		policy
	}{{"affinity", policy{}}, {"even", policy{affinityBound: 1}}, {"none", policy{noAffinity: true}}} {
		sim := runScenario(t, scenario{
			site: agency, orgs: organisations(0.7), classShares: [3]float64{0, 1, 0}, duration: 30 * time.Second,
			policy: p.policy, prefixes: 64,
		})
		name := "prefix." + p.name + "."
		report(t, name+"hits", 100*float64(sim.all.hits)/float64(sim.all.lookups), "%")
		maxReceived := 0
		for _, e := range sim.engines {
			maxReceived = max(maxReceived, e.received)
		}
		report(t, name+"balance", float64(maxReceived)*float64(len(sim.engines))/float64(totalReceived(sim.engines)), "most loaded engine to mean")
		report(t, name+"first.all.p95", firstTokenPercentile(sim.all, 95), "s")
		report(t, name+"failed", 100*float64(sim.all.failed)/float64(sim.all.offered), "% of offered")
	}
}

func totalReceived(engines []*engine) int {
	n := 0
	for _, e := range engines {
		n += e.received
	}
	return n
}
