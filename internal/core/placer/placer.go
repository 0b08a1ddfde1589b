// Package placer assigns weight sets to endpoint hosts, based on the configuration and the list of hosts.
package placer

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Node is an endpoint host to which a weight set can be assigned.
type Node struct {
	Host ident.Host
	Zone ident.Zone
	Pool ident.Pool
}

// Requirement combines the requirements of all deployments with the same pool, weight set and zones.
type Requirement struct {
	// Key is the rendezvous key for ranking hosts. It does not depend on the weight set, so that a new version of the
	// weights keeps the same hosts.
	Key      string
	Set      ident.WeightSet
	Pool     ident.Pool
	Refs     []catalog.ArtifactRef
	Replicas int
	// MaxReplicas is the number of replicas up to which idle hosts may be used.
	MaxReplicas int
	MinServing  int
	Priority    int
	FetchGoal   catalog.FetchGoal
	Zones       []ident.Zone
}

// Requirements groups deployments by pool, weight set and zones. It returns the group with the highest priority first
// and ignores deployments without weights.
func Requirements(deployments []catalog.EffectiveDeployment) []Requirement {
	var out []Requirement
	index := make(map[string]int)
	for _, d := range deployments {
		if d.WeightSet == "" {
			continue
		}
		n := newRequirement(d)
		key := n.groupKey()
		i, ok := index[key]
		if !ok {
			index[key] = len(out)
			out = append(out, n)
			continue
		}
		out[i].merge(n)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Priority != out[j].Priority {
			return out[i].Priority > out[j].Priority
		}
		return out[i].Key < out[j].Key
	})
	return out
}

func newRequirement(d catalog.EffectiveDeployment) Requirement {
	zones := slices.Clone(d.Spec.Zones)
	slices.Sort(zones)
	return Requirement{
		Key: string(ident.DeploymentObject(d.Organisation, d.Name)),
		Set: d.WeightSet, Pool: d.Spec.Pool, Refs: d.Spec.Refs(), Replicas: d.Spec.Replicas,
		MaxReplicas: max(d.Spec.MaxReplicas, d.Spec.Replicas), MinServing: MinServing(d.Spec), Priority: d.Spec.Priority,
		FetchGoal: d.Spec.FetchGoal, Zones: slices.Compact(zones),
	}
}

func (n Requirement) groupKey() string {
	key := string(n.Pool) + "\x00" + string(n.Set)
	for _, z := range n.Zones {
		key += "\x00" + string(z)
	}
	return key
}

// merge adds the requirements of another deployment of the same group. The replicas serve both deployments, so that the
// larger number is sufficient. The fetch goal of the deployment with the higher priority applies.
func (n *Requirement) merge(o Requirement) {
	if o.Priority > n.Priority {
		n.FetchGoal = o.FetchGoal
	}
	n.Key = min(n.Key, o.Key)
	n.Replicas = max(n.Replicas, o.Replicas)
	n.MaxReplicas = max(n.MaxReplicas, o.MaxReplicas)
	n.MinServing = max(n.MinServing, o.MinServing)
	n.Priority = max(n.Priority, o.Priority)
}

// Place assigns hosts to requirements: first up to MinServing, then up to Replicas, then idle hosts up to MaxReplicas,
// in each step in the order of the requirements. A host is assigned to at most one requirement. The result depends
// neither on the order of the nodes nor on earlier placements.
func Place(requirements []Requirement, nodes []Node) map[ident.Host]Requirement {
	p := &placement{requirements: requirements, nodes: nodes, assigned: make([]int, len(nodes)), candidates: make([][]zoneCandidates, len(requirements))}
	p.hostHashes = make([]uint64, len(nodes))
	for i, n := range nodes {
		p.assigned[i] = none
		p.hostHashes[i] = xxhash.Sum64String(string(n.Host))
	}
	for _, target := range []func(Requirement) int{
		func(n Requirement) int { return n.MinServing },
		func(n Requirement) int { return max(n.MinServing, n.Replicas) },
		func(n Requirement) int { return max(n.MinServing, n.MaxReplicas) },
	} {
		for i, n := range requirements {
			p.assignUpTo(i, target(n))
		}
	}
	out := make(map[ident.Host]Requirement, len(nodes))
	for i, index := range p.assigned {
		if index != none {
			out[nodes[i].Host] = requirements[index]
		}
	}
	return out
}

// none is the index that stands for no requirement or no zone.
const none = -1

// placement is the state of one call of Place.
type placement struct {
	requirements []Requirement
	nodes        []Node
	// hostHashes holds the hash of each node's host.
	hostHashes []uint64
	// assigned holds the index of each node's requirement, or none.
	assigned []int
	// candidates holds the candidates of each requirement, computed when first used.
	candidates [][]zoneCandidates
}

// zoneCandidates holds the nodes of one zone that a requirement allows, the highest ranked first.
type zoneCandidates struct {
	zone  ident.Zone
	nodes []int
	// replicas is the number of nodes in the zone that serve the weight set.
	replicas int
}

// assignUpTo assigns nodes to requirement i, spread over the zones, until target nodes serve its weight set or no
// candidate is left. Nodes that serve the same weight set for another requirement count as well.
func (p *placement) assignUpTo(i, target int) {
	if p.candidates[i] == nil {
		p.candidates[i] = p.rankCandidates(p.requirements[i])
	}
	zones := p.candidates[i]
	total := 0
	for j := range zones {
		zones[j].replicas = 0
		for _, node := range zones[j].nodes {
			if p.servesSameSet(node, i) {
				zones[j].replicas++
			}
		}
		total += zones[j].replicas
	}
	nextNode := make([]int, len(zones))
	for ; total < target; total++ {
		j := p.leastUsedZone(zones, nextNode)
		if j == none {
			return
		}
		p.assigned[zones[j].nodes[nextNode[j]]] = i
		zones[j].replicas++
	}
}

// leastUsedZone returns the index of the zone with the fewest replicas among those with an unassigned candidate, or
// none. It advances nextNode to the first unassigned candidate of each zone.
func (p *placement) leastUsedZone(zones []zoneCandidates, nextNode []int) int {
	leastUsed := none
	for j, z := range zones {
		for nextNode[j] < len(z.nodes) && p.assigned[z.nodes[nextNode[j]]] != none {
			nextNode[j]++
		}
		if nextNode[j] < len(z.nodes) && (leastUsed == none || z.replicas < zones[leastUsed].replicas) {
			leastUsed = j
		}
	}
	return leastUsed
}

// servesSameSet reports whether a node is assigned to a requirement with the same weight set.
func (p *placement) servesSameSet(node, requirement int) bool {
	current := p.assigned[node]
	return current != none && p.requirements[current].Set == p.requirements[requirement].Set
}

// rankCandidates returns the nodes that a requirement allows, grouped by zone. Zones and nodes are in rendezvous
// order.
func (p *placement) rankCandidates(n Requirement) []zoneCandidates {
	key := xxhash.Sum64String(n.Key)
	scores := make([]uint64, len(p.nodes))
	index := make(map[ident.Zone]int)
	var out []zoneCandidates
	for i, node := range p.nodes {
		if !n.allows(node) {
			continue
		}
		scores[i] = mix(key ^ p.hostHashes[i])
		j, ok := index[node.Zone]
		if !ok {
			j = len(out)
			index[node.Zone] = j
			out = append(out, zoneCandidates{zone: node.Zone})
		}
		out[j].nodes = append(out[j].nodes, i)
	}
	for _, z := range out {
		slices.SortFunc(z.nodes, func(a, b int) int {
			return compare(scores[a], scores[b], p.nodes[a].Host, p.nodes[b].Host)
		})
	}
	slices.SortFunc(out, func(a, b zoneCandidates) int {
		return compare(ranker.Score(n.Key, string(a.zone)), ranker.Score(n.Key, string(b.zone)), a.zone, b.zone)
	})
	return out
}

// mix spreads the bits of a number with the final mixing steps of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// compare orders by descending score, and by name if the scores are equal.
func compare[T ~string](a, b uint64, nameA, nameB T) int {
	switch {
	case a > b || (a == b && nameA < nameB):
		return -1
	case a == b && nameA == nameB:
		return 0
	}
	return 1
}

// allows reports whether the node is in the requirement's pool and in one of its zones. No zones means any zone.
func (n Requirement) allows(node Node) bool {
	if node.Pool != n.Pool {
		return false
	}
	return len(n.Zones) == 0 || slices.Contains(n.Zones, node.Zone)
}
