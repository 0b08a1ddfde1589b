package assigner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// TestMeasureAssign measures the processor time of one decision at fleets of four sizes, and the shares of the replays
// of a large fleet. Wall time is measured only by script/bench.
func TestMeasureAssign(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Skip("measures wall time")
	}
	for _, endpoints := range []int{27, 99, 265, 2000} {
		measure.Report(t, measure.Figure{
			Name: fmt.Sprintf("assign.decision.%d", endpoints), Value: decisionTime(t, &assigner.Assigner{Zone: "z0"}, endpoints, 5, false), Unit: "µs", BoundKind: measure.AtMost, Bound: 20,
		})
	}
	var messages float64
	for _, load := range []float64{0.85, 1.2} {
		got := replay{hosts: 149, engines: 156, load: load, roundTrip: 3 * time.Millisecond, messages: &messages}.run(t)
		inTime := map[float64]float64{0.85: 0.98, 1.2: 0.75}[load]
		for _, f := range []measure.Figure{
			{Name: "time", Value: got.inTime, Unit: "share", BoundKind: measure.AtLeast, Bound: inTime},
			{Name: "late", Value: got.late / (got.inTime + got.late), Unit: "share of accepted", BoundKind: measure.AtMost, Bound: 0.05},
			{Name: "refused", Value: got.refused, Unit: "share"},
			{Name: "messages", Value: messages, Unit: "per request"},
		} {
			f.Name = fmt.Sprintf("assign.%.2f.%s", load, f.Name)
			measure.Report(t, f)
		}
	}
}

// decisionTime returns the mean time in microseconds of one assignment with its candidates, reports and release. isFull says
// that the endpoints of the own zone, z0, are full.
func decisionTime(t *testing.T, a *assigner.Assigner, endpoints, zones int, isFull bool) float64 {
	is := is.New(t)
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: engineProfile}})
	var all []fleetconfig.Endpoint
	for i := range endpoints {
		all = append(all, fleetconfig.Endpoint{
			ID: fmt.Sprint("i-", i), Pool: "p", Zone: ident.Zone(fmt.Sprint("z", i%zones)), Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
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
