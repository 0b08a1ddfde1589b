// Package placer decides which weight set each endpoint serves, from the configuration and the list of hosts.
package placer

import (
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

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

// Need is what the deployments that share one weight set and its placement ask for together.
type Need struct {
	// Key names the need for ranking. It stays the same when the weight set changes.
	Key      string
	Set      ident.WeightSet
	Pool     ident.Pool
	Refs     []catalog.Ref
	Replicas int
	// Most is the number of replicas that idle hosts may bring it to.
	Most     int
	Floor    int
	Priority int
	Bias     catalog.Bias
	Zones    []ident.Zone
}

// Needs groups deployments by pool, weight set and zones, the highest priority first.
func Needs(deployments []catalog.Effective) []Need {
	var out []Need
	index := make(map[string]int)
	for _, d := range deployments {
		if d.Set == "" {
			continue
		}
		n := newNeed(d)
		group := n.group()
		i, ok := index[group]
		if !ok {
			index[group] = len(out)
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

func newNeed(d catalog.Effective) Need {
	zones := slices.Clone(d.Spec.Zones)
	slices.Sort(zones)
	return Need{
		Key: string(ident.DeploymentObject(d.Organisation, d.Name)),
		Set: d.Set, Pool: d.Spec.Pool, Refs: d.Spec.Refs(), Replicas: d.Spec.Replicas,
		Most: max(d.Spec.Most, d.Spec.Replicas), Floor: Floor(d.Spec), Priority: d.Spec.Priority,
		Bias: d.Spec.Bias, Zones: slices.Compact(zones),
	}
}

func (n Need) group() string {
	key := string(n.Pool) + "\x00" + string(n.Set)
	for _, z := range n.Zones {
		key += "\x00" + string(z)
	}
	return key
}

// merge adds what another deployment of the same group asks for. The replicas serve both, so that the larger number
// is enough. The bias is that of the higher priority.
func (n *Need) merge(o Need) {
	if o.Priority > n.Priority {
		n.Bias = o.Bias
	}
	n.Key = min(n.Key, o.Key)
	n.Replicas = max(n.Replicas, o.Replicas)
	n.Most = max(n.Most, o.Most)
	n.Floor = max(n.Floor, o.Floor)
	n.Priority = max(n.Priority, o.Priority)
}

// Place assigns hosts to needs: first the floors, then the replicas, then what idle hosts can add, each in the order
// of the needs. A host takes part in one need at most. The result depends on neither the order of the nodes nor on
// what went before.
func Place(needs []Need, nodes []Node) map[ident.Host]Need {
	p := &placement{needs: needs, nodes: nodes, taken: make([]int, len(nodes)), ranks: make([][]zoneRank, len(needs))}
	p.names = make([]uint64, len(nodes))
	for i, n := range nodes {
		p.taken[i] = none
		p.names[i] = xxhash.Sum64String(string(n.Host))
	}
	for _, target := range []func(Need) int{
		func(n Need) int { return n.Floor },
		func(n Need) int { return max(n.Floor, n.Replicas) },
		func(n Need) int { return max(n.Floor, n.Most) },
	} {
		for i, n := range needs {
			p.extend(i, target(n))
		}
	}
	out := make(map[ident.Host]Need, len(nodes))
	for i, t := range p.taken {
		if t != none {
			out[nodes[i].Host] = needs[t]
		}
	}
	return out
}

const none = -1

type placement struct {
	needs []Need
	nodes []Node
	// names are the hashes of the nodes' hosts.
	names []uint64
	// taken is the index of each node's need, or none.
	taken []int
	// ranks holds each need's candidates, made when first used.
	ranks [][]zoneRank
}

// zoneRank is the candidates of one zone, the best first.
type zoneRank struct {
	zone  ident.Zone
	nodes []int
	held  int
}

// extend gives need i more nodes until it has as many as the target, spread over the zones. Nodes that serve the same
// set for another need count.
func (p *placement) extend(i, target int) {
	if p.ranks[i] == nil {
		p.ranks[i] = p.rank(p.needs[i])
	}
	zones := p.ranks[i]
	total := 0
	for j := range zones {
		zones[j].held = 0
		for _, node := range zones[j].nodes {
			if p.serves(node, i) {
				zones[j].held++
			}
		}
		total += zones[j].held
	}
	next := make([]int, len(zones))
	for ; total < target; total++ {
		j := p.emptiest(zones, next)
		if j == none {
			return
		}
		p.taken[zones[j].nodes[next[j]]] = i
		zones[j].held++
	}
}

// emptiest returns the zone with the fewest of the need's nodes that has a free one, and moves next to that node.
func (p *placement) emptiest(zones []zoneRank, next []int) int {
	best := none
	for j, z := range zones {
		for next[j] < len(z.nodes) && p.taken[z.nodes[next[j]]] != none {
			next[j]++
		}
		if next[j] < len(z.nodes) && (best == none || z.held < zones[best].held) {
			best = j
		}
	}
	return best
}

func (p *placement) serves(node, need int) bool {
	t := p.taken[node]
	return t != none && p.needs[t].Set == p.needs[need].Set
}

// rank returns the zones with the nodes that the need admits, both in rendezvous order.
func (p *placement) rank(n Need) []zoneRank {
	key := xxhash.Sum64String(n.Key)
	scores := make([]uint64, len(p.nodes))
	index := make(map[ident.Zone]int)
	var out []zoneRank
	for i, node := range p.nodes {
		if !n.admits(node) {
			continue
		}
		scores[i] = mix(key ^ p.names[i])
		j, ok := index[node.Zone]
		if !ok {
			j = len(out)
			index[node.Zone] = j
			out = append(out, zoneRank{zone: node.Zone})
		}
		out[j].nodes = append(out[j].nodes, i)
	}
	for _, z := range out {
		slices.SortFunc(z.nodes, func(a, b int) int {
			return compare(scores[a], scores[b], p.nodes[a].Host, p.nodes[b].Host)
		})
	}
	slices.SortFunc(out, func(a, b zoneRank) int {
		return compare(ranker.Score(n.Key, string(a.zone)), ranker.Score(n.Key, string(b.zone)), a.zone, b.zone)
	})
	return out
}

// mix spreads the bits of a number, as the finish of splitmix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// compare puts the higher score first, and equal scores in the order of the names.
func compare[T ~string](a, b uint64, nameA, nameB T) int {
	switch {
	case a > b || (a == b && nameA < nameB):
		return -1
	case a == b && nameA == nameB:
		return 0
	}
	return 1
}

func (n Need) admits(node Node) bool {
	if node.Pool != n.Pool {
		return false
	}
	return len(n.Zones) == 0 || slices.Contains(n.Zones, node.Zone)
}
