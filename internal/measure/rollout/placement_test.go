package rollout

import (
	"fmt"
	"testing"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

const trials = 50

// newPool returns the hosts of a pool, and requirements of different priorities that leave a twentieth of the hosts
// idle.
func newPool(hosts, zones, deployments int) ([]placer.Requirement, []placer.Node) {
	var requirements []placer.Requirement
	for i := range deployments {
		requirements = append(requirements, placer.Requirement{
			Key: fmt.Sprintf("deployment/o/d%d", i), Set: ident.WeightSet(fmt.Sprintf("s%d", i)), Pool: "p",
			Replicas: hosts * 95 / 100 / deployments, MinServing: hosts / deployments / 2, Priority: deployments - i,
		})
	}
	var nodes []placer.Node
	for i := range hosts {
		nodes = append(nodes, placer.Node{
			Host: ident.Host(fmt.Sprintf("host-%d", i)), Zone: ident.Zone(fmt.Sprintf("zone-%d", i%zones)), Pool: "p",
		})
	}
	return requirements, nodes
}

// placeInOrder is the baseline: it ranks all hosts once by rendezvous hashing and gives each requirement the next hosts
// of that order.
func placeInOrder(requirements []placer.Requirement, nodes []placer.Node) map[ident.Host]placer.Requirement {
	var hosts []ident.Host
	for _, n := range nodes {
		hosts = append(hosts, n.Host)
	}
	ranked := ranker.Rank("p", hosts)
	out := make(map[ident.Host]placer.Requirement)
	for _, n := range requirements {
		k := min(n.Replicas, len(ranked))
		for _, h := range ranked[:k] {
			out[h] = n
		}
		ranked = ranked[k:]
	}
	return out
}

// countMoves returns how many hosts are assigned to another requirement than before, without the host that was added or
// removed.
func countMoves(before, after map[ident.Host]placer.Requirement, changed ident.Host) int {
	n := 0
	for h, requirement := range after {
		if h != changed && before[h].Key != requirement.Key {
			n++
		}
	}
	return n
}

// TestMeasureOrdersPlacement measures how many hosts change their set when one host is lost or added.
func TestMeasureOrdersPlacement(t *testing.T) {
	for _, s := range []struct{ hosts, zones, requirements int }{{200, 3, 5}, {2400, 13, 20}} {
		requirements, nodes := newPool(s.hosts, s.zones, s.requirements)
		rng := newRand(1)
		for _, method := range []struct {
			name  string
			place func([]placer.Requirement, []placer.Node) map[ident.Host]placer.Requirement
		}{{"place", placer.Place}, {"row", placeInOrder}} {
			complete := method.place(requirements, nodes)
			lost, gained := 0, 0
			for range trials {
				i := rng.IntN(len(nodes))
				rest := append(append([]placer.Node{}, nodes[:i]...), nodes[i+1:]...)
				reduced := method.place(requirements, rest)
				lost += countMoves(complete, reduced, nodes[i].Host)
				gained += countMoves(reduced, complete, nodes[i].Host)
			}
			name := fmt.Sprintf("burst.place.%d.%s", s.hosts, method.name)
			measure.Report(t, measure.Figure{Name: name + ".lost", Value: float64(lost) / trials, Unit: "moves a host lost"})
			measure.Report(t, measure.Figure{Name: name + ".gained", Value: float64(gained) / trials, Unit: "moves a host gained"})
		}
	}
}

// TestMeasureOrdersPlacementCost measures the time of one placement.
func TestMeasureOrdersPlacementCost(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench measures wall time")
		return
	}
	for _, hosts := range []int{200, 1200, 2400} {
		requirements, nodes := newPool(hosts, 13, 20)
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placer.Place(requirements, nodes)
			}
		})
		name := fmt.Sprintf("burst.place.%d.cost", hosts)
		measure.Report(t, measure.Figure{Name: name, Value: float64(r.NsPerOp()), Unit: "ns an evaluation"})
		measure.Report(t, measure.Figure{Name: name + ".allocs", Value: float64(r.AllocsPerOp()), Unit: "allocations"})
	}
	specs := make([]catalog.EffectiveDeployment, 0, 1000)
	for i := range cap(specs) {
		m := &catalog.ArtifactRef{Name: "m", Version: "1", Digest: ident.Digest(fmt.Sprintf("x%d", i%20))}
		s := catalog.Template{Pool: "p", Model: m, Replicas: 10}
		specs = append(specs, catalog.EffectiveDeployment{Organisation: "o", Name: ident.Deployment(fmt.Sprintf("d%d", i)), Spec: s, WeightSet: s.WeightSet()})
	}
	r := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			placer.Requirements(specs)
		}
	})
	measure.Report(t, measure.Figure{Name: "burst.place.needs.1000.cost", Value: float64(r.NsPerOp()), Unit: "ns an evaluation"})
}
