package reconciler

import (
	"reflect"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutlimiter"
)

// hostPlan is what the configuration and the list of hosts require of the local host.
type hostPlan struct {
	need     placer.Requirement
	offset   ident.Offset
	accepted []ident.WeightSet
	groups   []rolloutlimiter.DeploymentSets
}

func (p hostPlan) digests() []ident.Digest {
	out := make([]ident.Digest, len(p.need.Refs))
	for i, r := range p.need.Refs {
		out[i] = r.Digest
	}
	return out
}

const (
	// planInterval is the minimum time between two reads of the configuration state.
	planInterval = 200 * time.Millisecond
	// placementInterval is the minimum time between two placements if only the hosts have changed.
	placementInterval = time.Second
)

// planner caches the host plan, and computes the placement again only when the configuration or the hosts have changed.
type planner struct {
	valid       bool
	evaluatedAt time.Time
	placedAt    time.Time
	nodes       []placer.Node
	needs       []placer.Requirement
	hostCounts  map[ident.WeightSet]int
	deployments []catalog.EffectiveDeployment
	cached      hostPlan
}

func (p *planner) plan(r *Reconciler) hostPlan {
	if time.Since(p.evaluatedAt) < planInterval {
		return p.cached
	}
	var nodes []placer.Node
	for _, m := range r.Hosts() {
		if m.Pool == r.Pool && (!m.Leaving || m.Host == r.Self) {
			nodes = append(nodes, placer.Node{Host: m.Host, Zone: m.Zone, Pool: m.Pool})
		}
	}
	var offset ident.Offset
	r.View(func(state *reducer.Reducer) {
		offset = state.Offset()
		if !p.valid || offset != p.cached.offset {
			p.valid = false
			p.deployments = state.Deployments()
		}
	})
	if p.valid && slices.Equal(nodes, p.nodes) {
		return p.cached
	}
	if p.valid && time.Since(p.placedAt) < placementInterval {
		return p.cached
	}
	needs := placer.Requirements(slices.DeleteFunc(slices.Clone(p.deployments), func(d catalog.EffectiveDeployment) bool {
		return d.Spec.Pool != r.Pool
	}))
	need := p.cached.need
	if !slices.EqualFunc(needs, p.needs, equalNeeds) || !slices.Equal(nodes, p.nodes) {
		placed := placer.Place(needs, nodes)
		need = placed[r.Self]
		p.placedAt = time.Now()
		p.hostCounts = make(map[ident.WeightSet]int)
		for _, n := range placed {
			p.hostCounts[n.Set]++
		}
	}
	p.needs = needs
	p.valid = true
	p.evaluatedAt = time.Now()
	p.nodes = nodes
	p.cached = hostPlan{offset: offset, need: need}
	for _, d := range p.deployments {
		if d.WeightSet == "" || d.Spec.Pool != r.Pool {
			continue
		}
		group := rolloutlimiter.DeploymentSets{Sets: []ident.WeightSet{d.WeightSet}, MinServing: p.minServing(d)}
		if d.PreviousWeightSet != "" {
			group.Sets = append(group.Sets, d.PreviousWeightSet)
		}
		p.cached.accepted = append(p.cached.accepted, group.Sets...)
		p.cached.groups = append(p.cached.groups, group)
	}
	return p.cached
}

// minServing returns the minimum number of replicas of a deployment that must keep serving during a rollout. If the
// template sets none, it is half of the wanted replicas, or of the hosts that the placement assigned if these are
// fewer.
func (p *planner) minServing(d catalog.EffectiveDeployment) int {
	if d.Spec.MinServing > 0 {
		return d.Spec.MinServing
	}
	d.Spec.Replicas = min(d.Spec.Replicas, p.hostCounts[d.WeightSet])
	return placer.MinServing(d.Spec)
}

func equalNeeds(a, b placer.Requirement) bool {
	return reflect.DeepEqual(a, b)
}
