package assigner_test

import (
	"fmt"
	"testing"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
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
			f := measure.Figure{Name: fmt.Sprintf("assign.balanced.%s.%d", name, endpoints), Value: decisionTime(t, &assigner.Assigner{Zone: "z0", Balancer: &zonebalancer.Balancer{Zone: "z0"}}, endpoints, 3, isFull), Unit: "µs"}
			if !isFull {
				f.BoundKind, f.Bound = measure.AtMost, 20
			}
			measure.Report(t, f)
		}
	}
}
