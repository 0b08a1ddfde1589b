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

// newPool returns requirements of different priorities and the hosts of a pool. The requirements leave a twentieth of
// the hosts idle.
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
	for _, node := range nodes {
		hosts = append(hosts, node.Host)
	}
	ranked := ranker.Rank("p", hosts)
	out := make(map[ident.Host]placer.Requirement)
	for _, requirement := range requirements {
		count := min(requirement.Replicas, len(ranked))
		for _, host := range ranked[:count] {
			out[host] = requirement
		}
		ranked = ranked[count:]
	}
	return out
}

// countMoves returns how many hosts are assigned to another requirement than before. It does not count changed, which
// is the host that was added or removed.
func countMoves(before, after map[ident.Host]placer.Requirement, changed ident.Host) int {
	moves := 0
	for host, requirement := range after {
		if host != changed && before[host].Key != requirement.Key {
			moves++
		}
	}
	return moves
}

// TestMeasureOrdersPlacement measures how many of the other hosts are assigned to another requirement when one host is
// lost or added.
func TestMeasureOrdersPlacement(t *testing.T) {
	for _, size := range []struct{ hosts, zones, requirements int }{{200, 3, 5}, {2400, 13, 20}} {
		requirements, nodes := newPool(size.hosts, size.zones, size.requirements)
		rng := newRand(1)
		for _, method := range []struct {
			name  string
			place func([]placer.Requirement, []placer.Node) map[ident.Host]placer.Requirement
		}{{"place", placer.Place}, {"row", placeInOrder}} {
			withHost := method.place(requirements, nodes)
			movesOnLoss, movesOnGain := 0, 0
			for range trials {
				i := rng.IntN(len(nodes))
				rest := append(append([]placer.Node{}, nodes[:i]...), nodes[i+1:]...)
				withoutHost := method.place(requirements, rest)
				movesOnLoss += countMoves(withHost, withoutHost, nodes[i].Host)
				movesOnGain += countMoves(withoutHost, withHost, nodes[i].Host)
			}
			name := fmt.Sprintf("burst.place.%d.%s", size.hosts, method.name)
			measure.Report(t, measure.Figure{Name: name + ".lost", Value: float64(movesOnLoss) / trials, Unit: "moves a host lost"})
			measure.Report(t, measure.Figure{Name: name + ".gained", Value: float64(movesOnGain) / trials, Unit: "moves a host gained"})
		}
	}
}

// TestMeasureOrdersPlacementCost measures the time of one placement, and that of computing the requirements of 1000
// deployments.
func TestMeasureOrdersPlacementCost(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench measures wall time")
		return
	}
	for _, hosts := range []int{200, 1200, 2400} {
		requirements, nodes := newPool(hosts, 13, 20)
		result := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placer.Place(requirements, nodes)
			}
		})
		name := fmt.Sprintf("burst.place.%d.cost", hosts)
		measure.Report(t, measure.Figure{Name: name, Value: float64(result.NsPerOp()), Unit: "ns an evaluation"})
		measure.Report(t, measure.Figure{Name: name + ".allocs", Value: float64(result.AllocsPerOp()), Unit: "allocations"})
	}
	deployments := make([]catalog.EffectiveDeployment, 0, 1000)
	for i := range cap(deployments) {
		model := &catalog.ArtifactRef{Name: "m", Version: "1", Digest: ident.Digest(fmt.Sprintf("x%d", i%20))}
		template := catalog.Template{Pool: "p", Model: model, Replicas: 10}
		deployments = append(deployments, catalog.EffectiveDeployment{Organisation: "o", Name: ident.Deployment(fmt.Sprintf("d%d", i)), Spec: template, WeightSet: template.WeightSet()})
	}
	result := testing.Benchmark(func(b *testing.B) {
		for b.Loop() {
			placer.Requirements(deployments)
		}
	})
	measure.Report(t, measure.Figure{Name: "burst.place.needs.1000.cost", Value: float64(result.NsPerOp()), Unit: "ns an evaluation"})
}
