// Package placer decides which weight set each endpoint serves, from the configuration and the list of hosts.
package placer

import (
	"slices"
	"sort"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Node is an endpoint host that can be given a weight set.
type Node struct {
	Host ident.Host
	Zone ident.Zone
	Pool ident.Pool
}

// Need is what the deployments that share one weight set ask for together.
type Need struct {
	Set      ident.WeightSet
	Pool     ident.Pool
	Refs     []catalog.Ref
	Replicas int
	Floor    int
	Priority int
	Bias     catalog.Bias
	Zones    []ident.Zone
}

// Needs groups deployments by pool and weight set, the highest priority first.
func Needs(deployments []catalog.Effective) []Need {
	var out []Need
	for _, d := range deployments {
		if d.Set == "" {
			continue
		}
		out = merge(out, d)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Priority != out[j].Priority {
			return out[i].Priority > out[j].Priority
		}
		return out[i].Set < out[j].Set
	})
	return out
}

func merge(needs []Need, d catalog.Effective) []Need {
	for i := range needs {
		n := &needs[i]
		if n.Set == d.Set && n.Pool == d.Spec.Pool {
			n.Replicas = max(n.Replicas, d.Spec.Replicas)
			n.Floor = max(n.Floor, d.Spec.Floor)
			n.Priority = max(n.Priority, d.Spec.Priority)
			return needs
		}
	}
	return append(needs, Need{
		Set: d.Set, Pool: d.Spec.Pool, Refs: d.Spec.Refs(), Replicas: d.Spec.Replicas,
		Floor: d.Spec.Floor, Priority: d.Spec.Priority, Bias: d.Spec.Bias, Zones: d.Spec.Zones,
	})
}

// Place assigns hosts to needs in order of priority. A host takes part in one need at most.
func Place(needs []Need, nodes []Node) map[ident.Host]Need {
	out := make(map[ident.Host]Need)
	for _, n := range needs {
		var free []ident.Host
		for _, node := range nodes {
			if _, taken := out[node.Host]; !taken && n.admits(node) {
				free = append(free, node.Host)
			}
		}
		ranked := ranker.Rank(string(n.Pool), free)
		for _, h := range ranked[:min(n.Replicas, len(ranked))] {
			out[h] = n
		}
	}
	return out
}

func (n Need) admits(node Node) bool {
	if node.Pool != n.Pool {
		return false
	}
	return len(n.Zones) == 0 || slices.Contains(n.Zones, node.Zone)
}
