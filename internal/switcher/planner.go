package switcher

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/core/waver"
)

// plan is what the configuration and the list of hosts ask of this host.
type plan struct {
	need     placer.Need
	offset   ident.Offset
	accepted []ident.WeightSet
	groups   []waver.Group
}

func (p plan) digests() []ident.Digest {
	out := make([]ident.Digest, len(p.need.Refs))
	for i, r := range p.need.Refs {
		out[i] = r.Digest
	}
	return out
}

// planTime is the least time between two evaluations of the placement.
const planTime = 200 * time.Millisecond

// planner evaluates the placement again only when the configuration or the hosts have changed.
type planner struct {
	valid       bool
	evaluated   time.Time
	nodes       []placer.Node
	deployments []catalog.Effective
	last        plan
}

func (p *planner) plan(s *Switcher) plan {
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
	p.valid = true
	p.evaluated = time.Now()
	p.nodes = nodes
	p.last = plan{offset: offset, need: placer.Place(placer.Needs(p.deployments), nodes)[s.Self]}
	for _, d := range p.deployments {
		if d.Set == "" || d.Spec.Pool != s.Pool {
			continue
		}
		g := waver.Group{Sets: []ident.WeightSet{d.Set}, Floor: placer.Floor(d.Spec)}
		if d.Previous != "" {
			g.Sets = append(g.Sets, d.Previous)
		}
		p.last.accepted = append(p.last.accepted, g.Sets...)
		p.last.groups = append(p.last.groups, g)
	}
	return p.last
}
