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

// faultLoad is just above what two thirds of the engines can answer.
const faultLoad = 0.7

var faults = []struct {
	name  string
	lag   time.Duration
	fault func(w *world)
}{
	{"none", 0, nil},
	{"slow", 0, func(w *world) { w.engines[0].pace = 10 }},
	{"frozen", 0, func(w *world) { w.engines[0].state = frozen }},
	{"refusing", 0, func(w *world) { w.engines[0].refuse() }},
	{"third", 0, func(w *world) {
		for i := 0; i < len(w.engines); i += 3 {
			w.engines[i].die()
		}
	}},
	{"lag", 5 * time.Second, nil},
}

var policies = []struct {
	name string
	policy
}{
	{"ours", policy{}},
	{"round-robin", policy{choose: roundRobin}},
	{"least-reported", policy{choose: leastReported}},
	{"no-budget", policy{noBudget: true}},
}

// refuse turns an engine into one that refuses at once and so seems to be idle.
func (e *engine) refuse() {
	e.state = refusing
	running := slices.SortedFunc(maps.Keys(e.running), func(a, b *attempt) int { return strings.Compare(string(a.id), string(b.id)) })
	for _, a := range running {
		e.world.after(hop, func() { a.entry.failed(a, lost()) })
	}
	e.running, e.queue = nil, nil
}

func TestMeasureRequestFaults(t *testing.T) {
	for _, f := range faults {
		for _, p := range policies {
			w := run(t, scenario{
				size: agency, orgs: organisations(faultLoad), classes: mixed, length: 30 * time.Second,
				lag: f.lag, policy: p.policy, fault: f.fault, faultAt: 5 * time.Second,
			})
			name := fmt.Sprintf("fault.%s.%s.", f.name, p.name)
			report(t, name+"first.all.p95", quantile(w.all, 95), "s")
			report(t, name+"failed", 100*float64(w.all.failed)/float64(w.all.offered), "% of offered")
			retries := 100 * float64(w.all.retries) / float64(w.all.asks)
			if p.name == "ours" {
				bound(t, name+"retries", retries, "% of offered", measure.AtMost, 10)
				bound(t, name+"first.high.p95", quantile(w.byClass[0], 95), "s", measure.AtMost, firstBound)
			} else {
				report(t, name+"retries", retries, "% of offered")
				report(t, name+"first.high.p95", quantile(w.byClass[0], 95), "s")
			}
		}
	}
}

// TestMeasureRequestPrefix compares the cache hits with affinity and without, and how evenly the engines are used.
func TestMeasureRequestPrefix(t *testing.T) {
	for _, p := range []struct {
		name string
		policy
	}{{"affinity", policy{}}, {"even", policy{bound: 1}}, {"none", policy{noAffinity: true}}} {
		w := run(t, scenario{
			size: agency, orgs: organisations(0.7), classes: [3]float64{0, 1, 0}, length: 30 * time.Second,
			policy: p.policy, prefixes: 64,
		})
		name := "prefix." + p.name + "."
		report(t, name+"hits", 100*float64(w.all.hits)/float64(w.all.lookups), "%")
		most := 0
		for _, e := range w.engines {
			most = max(most, e.given)
		}
		report(t, name+"balance", float64(most)*float64(len(w.engines))/float64(sum(w.engines)), "most loaded engine to mean")
		report(t, name+"first.all.p95", quantile(w.all, 95), "s")
		report(t, name+"failed", 100*float64(w.all.failed)/float64(w.all.offered), "% of offered")
	}
}

func sum(es []*engine) int {
	n := 0
	for _, e := range es {
		n += e.given
	}
	return n
}
