package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// TestMeasureBalancedAssign measures the processor time of one decision with the balancer, for a request that is assigned
// in its zone and for one that finds the zone full and is assigned in another, with a second round of queries. The bound is
// that of assign.decision, which is one round; there is no target for two. Wall time is measured only by script/bench.
func TestMeasureBalancedAssign(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Skip("measures wall time")
	}
	for _, endpoints := range []int{58, 265} {
		for name, isFull := range map[string]bool{"own": false, "spill": true} {
			f := measure.Figure{Name: fmt.Sprintf("assign.balanced.%s.%d", name, endpoints), Value: balancedDecisionTime(t, endpoints, isFull), Unit: "µs"}
			if !isFull {
				f.BoundKind, f.Bound = measure.AtMost, 20
			}
			measure.Report(t, f)
		}
	}
}

// balancedDecisionTime returns the mean time in microseconds of one assignment with its candidates, reports and release.
func balancedDecisionTime(t *testing.T, endpoints int, isFull bool) float64 {
	is := is.New(t)
	a := &assigner.Assigner{Zone: "z0", Balancer: &zonebalancer.Balancer{Zone: "z0"}}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: engineProfile}})
	var all []fleetconfig.Endpoint
	for i := range endpoints {
		all = append(all, fleetconfig.Endpoint{
			ID: fmt.Sprint("i-", i), Pool: "p", Zone: ident.Zone(fmt.Sprint("z", i%3)), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}},
		})
	}
	a.SetEndpoints(all)
	const decisions = 20000
	startedAt := time.Now()
	for range decisions {
		q := assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 900, TimeLeft: objective, Among: make(map[string]bool)}
		refusal := assigner.Overload
		var choice *assigner.Assignment
		for round := 0; round < assigner.MaxRounds && refusal != ""; round++ {
			for _, e := range a.Candidates(q, q.Among, round > 0) {
				load := assigner.Load{Requests: 8, PendingPromptTokens: 900}
				if isFull && e.Zone == "z0" {
					load = assigner.Load{Requests: 30, PendingPromptTokens: 20000}
				}
				a.SetReport(e, load)
			}
			choice, refusal = a.Assign(q)
		}
		is.Equal(refusal, assigner.Refusal(""))
		a.Release(choice, assigner.Served)
	}
	return float64(time.Since(startedAt).Microseconds()) / decisions
}
