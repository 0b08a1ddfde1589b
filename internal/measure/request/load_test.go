package request

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// mixed are the parts of high priority, normal and batch work.
var mixed = [3]float64{0.3, 0.5, 0.2}

const firstBound = 0.67

// organisations returns ten organisations, two of them large, that ask for load of the capacity by their weights.
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
	for _, s := range []size{agency, schools} {
		for _, load := range []float64{0.5, 1, 1.5, 2} {
			w := run(t, scenario{size: s, orgs: organisations(load), classes: mixed, length: time.Minute})
			name := fmt.Sprintf("load.%s.%g.", s.name, load)
			high := w.byClass[0]
			kept := 100 * float64(high.good) / float64(high.offered)
			total := 100 * w.goodput()
			if load == 2 {
				bound(t, name+"goodput.high", kept, "% of offered", measure.AtLeast, 95)
				bound(t, name+"goodput.all", total, "% of capacity", measure.AtLeast, 90)
			} else {
				report(t, name+"goodput.high", kept, "% of offered")
				report(t, name+"goodput.all", total, "% of capacity")
			}
			report(t, name+"first.high.p50", quantile(high, 50), "s")
			bound(t, name+"first.high.p95", quantile(high, 95), "s", measure.AtMost, firstBound)
			report(t, name+"first.high.p99", quantile(high, 99), "s")
			for c, class := range []string{"high", "normal", "batch"} {
				x := w.byClass[c]
				report(t, name+"answered."+class, 100*float64(x.good)/float64(x.offered), "% of offered")
				report(t, name+"refusals."+class, float64(x.refused)/float64(x.offered), "a request")
			}
			report(t, name+"first.all.p95", quantile(w.all, 95), "s")
		}
	}
}

// TestMeasureRequestShares lets one large organisation ask for ten times its share.
func TestMeasureRequestShares(t *testing.T) {
	for _, s := range []size{agency, schools} {
		fair := scenario{size: s, orgs: organisations(0.8), classes: [3]float64{0, 1, 0}, length: time.Minute}
		before := run(t, fair)
		greedy := fair
		greedy.orgs = organisations(0.8)
		greedy.orgs[0].load *= 10
		after := run(t, greedy)
		worst := 0.0
		for i := 2; i < len(fair.orgs); i++ {
			b, a := before.byOrg[i], after.byOrg[i]
			loss := 100 * (float64(b.good)/float64(b.offered) - float64(a.good)/float64(a.offered))
			worst = max(worst, loss)
		}
		name := fmt.Sprintf("shares.%s.", s.name)
		bound(t, name+"loss.small", worst, "% of goodput, worst", measure.AtMost, 5)
		bound(t, name+"goodput.all", 100*after.goodput(), "% of capacity", measure.AtLeast, 90)
		report(t, name+"answered.large", 100*float64(after.byOrg[0].good)/float64(after.byOrg[0].offered), "% of offered")
	}
}
