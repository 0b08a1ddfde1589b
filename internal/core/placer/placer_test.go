package placer

import (
	"fmt"
	"maps"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

func deployment(name string, digest ident.Digest, t catalog.Template) catalog.EffectiveDeployment {
	t.Pool = "p"
	t.Model = &catalog.ArtifactRef{Name: "m", Version: "1", Digest: digest}
	return catalog.EffectiveDeployment{Organisation: "o", Name: ident.Deployment(name), Spec: t, WeightSet: t.WeightSet()}
}

func nodes(n, zones int) []Node {
	var out []Node
	for i := range n {
		zone := ident.Zone(fmt.Sprintf("z%d", i%zones))
		out = append(out, Node{Host: ident.Host(fmt.Sprintf("h%d", i)), Zone: zone, Pool: "p"})
	}
	return out
}

func countReplicas(placed map[ident.Host]Requirement, key string) int {
	n := 0
	for _, requirement := range placed {
		if requirement.Key == key {
			n++
		}
	}
	return n
}

func TestReplicasOfAnotherRequirementWithSameSetCount(t *testing.T) {
	is := is.New(t)
	requirements := Requirements([]catalog.EffectiveDeployment{
		deployment("a", "x", catalog.Template{Replicas: 2, Zones: []ident.Zone{"z0"}}),
		deployment("b", "x", catalog.Template{Replicas: 3}),
		deployment("c", "x", catalog.Template{Replicas: 4}),
	})
	is.Equal(len(requirements), 2)
	placed := Place(requirements, nodes(9, 3))
	zones := make(map[ident.Zone]int)
	for _, n := range nodes(9, 3) {
		if _, ok := placed[n.Host]; ok {
			zones[n.Zone]++
		}
	}
	is.Equal(len(placed), 4) // the replicas of deployment a count towards those of b and c
	is.Equal(zones["z0"], 2)
}

func TestVersionChangeKeepsHosts(t *testing.T) {
	is := is.New(t)
	specs := catalog.Template{Replicas: 5}
	before := Place(Requirements([]catalog.EffectiveDeployment{deployment("a", "x", specs), deployment("b", "y", specs)}), nodes(12, 3))
	after := Place(Requirements([]catalog.EffectiveDeployment{deployment("a", "z", specs), deployment("b", "y", specs)}), nodes(12, 3))
	for h, n := range before {
		is.Equal(after[h].Key, n.Key)
	}
}

func TestIdleHostsAreAssignedByPriority(t *testing.T) {
	is := is.New(t)
	requirements := Requirements([]catalog.EffectiveDeployment{
		deployment("low", "x", catalog.Template{Replicas: 2, MaxReplicas: 10}),
		deployment("high", "y", catalog.Template{Replicas: 3, MaxReplicas: 6, Priority: 1}),
	})
	placed := Place(requirements, nodes(10, 2))
	is.Equal(countReplicas(placed, "deployment/o/high"), 6)
	is.Equal(countReplicas(placed, "deployment/o/low"), 4)
}

// TestStatePlacement verifies the number and the spread of replicas for random configurations and hosts, and that the
// order of the hosts does not matter.
func TestStatePlacement(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		var ds []catalog.EffectiveDeployment
		for i := range rapid.IntRange(1, 5).Draw(rt, "deployments") {
			s := catalog.Template{
				Replicas: rapid.IntRange(0, 8).Draw(rt, "replicas"), Priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
			}
			s.MinServing = rapid.IntRange(0, s.Replicas).Draw(rt, "floor")
			s.MaxReplicas = s.Replicas + rapid.IntRange(0, 4).Draw(rt, "more")
			ds = append(ds, deployment(fmt.Sprintf("d%d", i), ident.Digest(fmt.Sprintf("x%d", i)), s))
		}
		all := nodes(rapid.IntRange(0, 24).Draw(rt, "hosts"), rapid.IntRange(1, 4).Draw(rt, "zones"))
		requirements := Requirements(ds)
		placed := Place(requirements, all)
		if again := Place(requirements, rapid.Permutation(all).Draw(rt, "order")); !maps.EqualFunc(placed, again, hasSameKey) {
			rt.Fatalf("placement depends on the order of the nodes")
		}
		checkCounts(rt, requirements, all, placed)
		checkSpread(rt, requirements, all, placed)
	})
}

func hasSameKey(a, b Requirement) bool { return a.Key == b.Key }

func checkCounts(rt *rapid.T, requirements []Requirement, all []Node, placed map[ident.Host]Requirement) {
	free := len(all)
	want := make(map[string]int)
	for _, target := range []func(Requirement) int{
		func(n Requirement) int { return n.MinServing },
		func(n Requirement) int { return max(n.Replicas, n.MinServing) },
		func(n Requirement) int { return n.MaxReplicas },
	} {
		for _, n := range requirements {
			more := min(free, max(0, target(n)-want[n.Key]))
			want[n.Key] += more
			free -= more
		}
	}
	for _, n := range requirements {
		if got := countReplicas(placed, n.Key); got != want[n.Key] {
			rt.Fatalf("%s has %d hosts, want %d", n.Key, got, want[n.Key])
		}
	}
}

// checkSpread verifies for a single requirement that no zone exceeds a zone with an idle host by two or more replicas.
func checkSpread(rt *rapid.T, requirements []Requirement, all []Node, placed map[ident.Host]Requirement) {
	if len(requirements) != 1 {
		return
	}
	replicas, hosts := make(map[ident.Zone]int), make(map[ident.Zone]int)
	for _, n := range all {
		hosts[n.Zone]++
		if _, ok := placed[n.Host]; ok {
			replicas[n.Zone]++
		}
	}
	for a := range hosts {
		for b := range hosts {
			if replicas[a] > replicas[b]+1 && replicas[b] < hosts[b] {
				rt.Fatalf("zone %s has %d replicas, zone %s with %d hosts has %d", a, replicas[a], b, hosts[b], replicas[b])
			}
		}
	}
}
