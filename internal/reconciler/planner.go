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

// plan is what the configuration and the list of hosts ask of this host.
type plan struct {
	need     placer.Need
	offset   ident.Offset
	accepted []ident.WeightSet
	groups   []rolloutlimiter.Group
}

func (p plan) digests() []ident.Digest {
	out := make([]ident.Digest, len(p.need.Refs))
	for i, r := range p.need.Refs {
		out[i] = r.Digest
	}
	return out
}

const (
	// planTime is the least time between two looks at the configuration.
	planTime = 200 * time.Millisecond
	// placeTime is the least time between two evaluations of the placement for a change of the hosts alone.
	placeTime = time.Second
)

// planner evaluates the placement again only when the configuration or the hosts have changed.
type planner struct {
	valid       bool
	evaluated   time.Time
	placed      time.Time
	nodes       []placer.Node
	needs       []placer.Need
	counts      map[ident.WeightSet]int
	deployments []catalog.Effective
	last        plan
}

func (p *planner) plan(s *Reconciler) plan {
	if time.Since(p.evaluated) < planTime {
		return p.last
	}
	var nodes []placer.Node
	for _, m := range s.Hosts() {
		if m.Pool == s.Pool && (!m.Leaving || m.Host == s.Self) {
			nodes = append(nodes, placer.Node{Host: m.Host, Zone: m.Zone, Pool: m.Pool})
		}
	}
	var offset ident.Offset
	s.View(func(st *reducer.Reducer) {
		offset = st.Offset()
		if !p.valid || offset != p.last.offset {
			p.valid = false
			p.deployments = st.Deployments()
		}
	})
	if p.valid && slices.Equal(nodes, p.nodes) {
		return p.last
	}
	if p.valid && time.Since(p.placed) < placeTime {
		return p.last
	}
	needs := placer.Needs(slices.DeleteFunc(slices.Clone(p.deployments), func(d catalog.Effective) bool {
		return d.Spec.Pool != s.Pool
	}))
	need := p.last.need
	if !slices.EqualFunc(needs, p.needs, isSame) || !slices.Equal(nodes, p.nodes) {
		placed := placer.Place(needs, nodes)
		need = placed[s.Self]
		p.placed = time.Now()
		p.counts = make(map[ident.WeightSet]int)
		for _, n := range placed {
			p.counts[n.Set]++
		}
	}
	p.needs = needs
	p.valid = true
	p.evaluated = time.Now()
	p.nodes = nodes
	p.last = plan{offset: offset, need: need}
	for _, d := range p.deployments {
		if d.Set == "" || d.Spec.Pool != s.Pool {
			continue
		}
		g := rolloutlimiter.Group{Sets: []ident.WeightSet{d.Set}, Floor: p.floor(d)}
		if d.Previous != "" {
			g.Sets = append(g.Sets, d.Previous)
		}
		p.last.accepted = append(p.last.accepted, g.Sets...)
		p.last.groups = append(p.last.groups, g)
	}
	return p.last
}

// floor returns the replicas of a deployment that must go on serving. Where the template states none, it is half of
// those that the hosts there are allow.
func (p *planner) floor(d catalog.Effective) int {
	if d.Spec.Floor > 0 {
		return d.Spec.Floor
	}
	d.Spec.Replicas = min(d.Spec.Replicas, p.counts[d.Set])
	return placer.Floor(d.Spec)
}

func isSame(a, b placer.Need) bool {
	return reflect.DeepEqual(a, b)
}
