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

// organisations returns ten organisations, of which the first two are large. Their combined offered load is the given
// share of the capacity, divided in proportion to their weights.
func organisations(load float64) []org {
	weights := []int{4, 4, 1, 1, 1, 1, 1, 1, 1, 1}
	out := make([]org, len(weights))
	for i, weight := range weights {
		out[i] = org{name: ident.Organisation(fmt.Sprintf("org-%d", i)), weight: weight, load: load * float64(weight) / 16}
	}
	return out
}

// report records a figure without a bound.
func report(t *testing.T, name string, value float64, unit string) {
	t.Helper()
	measure.Report(t, measure.Figure{Name: "request." + name, Value: value, Unit: unit})
}

// reportBounded records a figure with a bound.
func reportBounded(t *testing.T, name string, value float64, unit string, boundKind measure.BoundKind, bound float64) {
	t.Helper()
	measure.Report(t, measure.Figure{Name: "request." + name, Value: value, Unit: unit, BoundKind: boundKind, Bound: bound})
}

// TestMeasureRequestLoad measures goodput, time to first token and refusals from half of the capacity to twice the
// capacity.
func TestMeasureRequestLoad(t *testing.T) {
	for _, s := range []site{agency, schools} {
		for _, load := range []float64{0.5, 1, 1.5, 2} {
			sim := runScenario(t, scenario{site: s, orgs: organisations(load), classShares: mixedClasses, duration: time.Minute})
			name := fmt.Sprintf("load.%s.%g.", s.name, load)
			high := sim.byClass[0]
			highGoodput := 100 * float64(high.succeeded) / float64(high.offered)
			goodput := 100 * sim.goodput()
			if load == 2 {
				reportBounded(t, name+"goodput.high", highGoodput, "% of offered", measure.AtLeast, 95)
				reportBounded(t, name+"goodput.all", goodput, "% of capacity", measure.AtLeast, 90)
			} else {
				report(t, name+"goodput.high", highGoodput, "% of offered")
				report(t, name+"goodput.all", goodput, "% of capacity")
			}
			report(t, name+"first.high.p50", firstTokenPercentile(high, 50), "s")
			reportBounded(t, name+"first.high.p95", firstTokenPercentile(high, 95), "s", measure.AtMost, firstTokenBound)
			report(t, name+"first.high.p99", firstTokenPercentile(high, 99), "s")
			for c, class := range []string{"high", "normal", "batch"} {
				classResult := sim.byClass[c]
				report(t, name+"answered."+class, 100*float64(classResult.succeeded)/float64(classResult.offered), "% of offered")
				report(t, name+"refusals."+class, float64(classResult.refused)/float64(classResult.offered), "a request")
			}
			report(t, name+"first.all.p95", firstTokenPercentile(sim.all, 95), "s")
		}
	}
}

// TestMeasureRequestShares measures how much goodput small organisations lose when one large organisation sends ten
// times its share of requests.
func TestMeasureRequestShares(t *testing.T) {
	for _, s := range []site{agency, schools} {
		baseline := scenario{site: s, orgs: organisations(0.8), classShares: [3]float64{0, 1, 0}, duration: time.Minute}
		before := runScenario(t, baseline)
		overload := baseline
		overload.orgs = organisations(0.8)
		overload.orgs[0].load *= 10
		after := runScenario(t, overload)
		worstLoss := 0.0
		for i := 2; i < len(baseline.orgs); i++ {
			resultBefore, resultAfter := before.byOrg[i], after.byOrg[i]
			loss := 100 * (float64(resultBefore.succeeded)/float64(resultBefore.offered) - float64(resultAfter.succeeded)/float64(resultAfter.offered))
			worstLoss = max(worstLoss, loss)
		}
		name := fmt.Sprintf("shares.%s.", s.name)
		reportBounded(t, name+"loss.small", worstLoss, "% of goodput, worst", measure.AtMost, 5)
		reportBounded(t, name+"goodput.all", 100*after.goodput(), "% of capacity", measure.AtLeast, 90)
		report(t, name+"answered.large", 100*float64(after.byOrg[0].succeeded)/float64(after.byOrg[0].offered), "% of offered")
	}
}
