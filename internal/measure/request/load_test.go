package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// mixedClasses are the shares of high-priority, normal and batch requests.
var mixedClasses = [3]float64{0.3, 0.5, 0.2}

// firstTokenBound bounds the 95th percentile of the time to first token of high-priority requests, in seconds.
const firstTokenBound = 0.67

// organisations returns ten organisations, two of them large. Together they offer load as a share of the capacity, each
// in proportion to its weight.
func organisations(load float64) []org {
	weights := []int{4, 4, 1, 1, 1, 1, 1, 1, 1, 1}
	out := make([]org, len(weights))
	for i, n := range weights {
		out[i] = org{name: ident.Organisation(fmt.Sprintf("org-%d", i)), weight: n, load: load * float64(n) / 16}
	}
	return out
}

func report(t *testing.T, name string, value float64, unit string) {
	t.Helper()
	measure.Report(t, measure.Figure{Name: "request." + name, Value: value, Unit: unit})
}

func bound(t *testing.T, name string, value float64, unit string, l measure.Limit, b float64) {
	t.Helper()
	measure.Report(t, measure.Figure{Name: "request." + name, Value: value, Unit: unit, Limit: l, Bound: b})
}

func TestMeasureRequestLoad(t *testing.T) {
	for _, s := range []site{agency, schools} {
		for _, load := range []float64{0.5, 1, 1.5, 2} {
			sim := runScenario(t, scenario{site: s, orgs: organisations(load), classShares: mixedClasses, duration: time.Minute})
			name := fmt.Sprintf("load.%s.%g.", s.name, load)
			high := sim.byClass[0]
			highGoodput := 100 * float64(high.succeeded) / float64(high.offered)
			goodput := 100 * sim.goodput()
			if load == 2 {
				bound(t, name+"goodput.high", highGoodput, "% of offered", measure.AtLeast, 95)
				bound(t, name+"goodput.all", goodput, "% of capacity", measure.AtLeast, 90)
			} else {
				report(t, name+"goodput.high", highGoodput, "% of offered")
				report(t, name+"goodput.all", goodput, "% of capacity")
			}
			report(t, name+"first.high.p50", quantile(high, 50), "s")
			bound(t, name+"first.high.p95", quantile(high, 95), "s", measure.AtMost, firstTokenBound)
			report(t, name+"first.high.p99", quantile(high, 99), "s")
			for c, class := range []string{"high", "normal", "batch"} {
				x := sim.byClass[c]
				report(t, name+"answered."+class, 100*float64(x.succeeded)/float64(x.offered), "% of offered")
				report(t, name+"refusals."+class, float64(x.refused)/float64(x.offered), "a request")
			}
			report(t, name+"first.all.p95", quantile(sim.all, 95), "s")
		}
	}
}

// TestMeasureRequestShares measures how much goodput small organisations lose when one large organisation sends ten
// times its share of requests.
func TestMeasureRequestShares(t *testing.T) {
	for _, s := range []site{agency, schools} {
		fair := scenario{site: s, orgs: organisations(0.8), classShares: [3]float64{0, 1, 0}, duration: time.Minute}
		before := runScenario(t, fair)
		greedy := fair
		greedy.orgs = organisations(0.8)
		greedy.orgs[0].load *= 10
		after := runScenario(t, greedy)
		worstLoss := 0.0
		for i := 2; i < len(fair.orgs); i++ {
			b, a := before.byOrg[i], after.byOrg[i]
			loss := 100 * (float64(b.succeeded)/float64(b.offered) - float64(a.succeeded)/float64(a.offered))
			worstLoss = max(worstLoss, loss)
		}
		name := fmt.Sprintf("shares.%s.", s.name)
		bound(t, name+"loss.small", worstLoss, "% of goodput, worst", measure.AtMost, 5)
		bound(t, name+"goodput.all", 100*after.goodput(), "% of capacity", measure.AtLeast, 90)
		report(t, name+"answered.large", 100*float64(after.byOrg[0].succeeded)/float64(after.byOrg[0].offered), "% of offered")
	}
}
