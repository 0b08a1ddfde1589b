package fetchplanner

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/nutmegdock/nutmegdock/internal/core/chunkcache"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	maxStrikes  = 3
	strikeShare = 8
	banTime     = time.Minute
	// longestFactor times the first pause after a failure is the longest.
	longestFactor = 16
	metTime       = 10 * time.Second
)

// health is what is known of a source's behaviour.
type health struct {
	good    int
	strikes int
	fails   int
	retry   time.Time
}

func (h *health) isUsable(now time.Time) bool {
	return !now.Before(h.retry)
}

// judge counts the outcome of a fetch for or against its source.
func (h *health) judge(o Outcome, now time.Time, busy, retry time.Duration) {
	switch o {
	case Stored:
		h.good++
		h.fails = 0
	case Corrupt:
		h.strikes++
		h.retry = now.Add(retry)
		if h.strikes >= maxStrikes && h.strikes*strikeShare > h.good {
			h.retry = now.Add(banTime)
		}
	case Busy:
		h.retry = now.Add(busy)
	case Failed:
		h.retry = now.Add(min(retry<<h.fails, longestFactor*retry))
		h.fails = min(h.fails+1, 5)
	}
}

// node is a host whose holdings this host follows.
type node struct {
	Peer
	health
	have    *bitset.BitSet
	cursor  chunkcache.Cursor
	watched time.Time
	heard   time.Time
	signs   []time.Time
	running int
}

func (p *Planner) judge(f *Fetch, o Outcome) {
	now := time.Now()
	if f.Source.Host == "" {
		if o == Corrupt {
			// A source outside may be the only one, so that it is never banned like a host.
			o = Failed
		}
		p.sources[f.Source.Outside].judge(o, now, p.Busy, p.Retry)
		return
	}
	if n := p.nodes[f.Source.Host]; n != nil {
		n.judge(o, now, p.Busy, p.Retry)
	}
}

// SetPeers replaces the list of hosts that want the same weight set. The list may lag and differ between hosts.
func (p *Planner) SetPeers(peers []Peer) {
	p.fillDefaults()
	now := time.Now()
	fresh := make(map[ident.Host]Peer, len(peers))
	for _, q := range peers {
		fresh[q.Host] = q
	}
	for h, m := range p.met {
		if now.Sub(m.time) > metTime {
			delete(p.met, h)
			continue
		}
		fresh[h] = m.peer
	}
	fresh[p.Self.Host] = p.Self
	changed := len(fresh) != len(p.peers)
	for h, q := range fresh {
		changed = changed || p.peers[h] != q
	}
	if !changed {
		return
	}
	p.peers = fresh
	p.plan()
}

// Meet tells of a host that asked this one for its holdings. It is taken for a peer even if the list does not name it
// yet.
func (p *Planner) Meet(q Peer) {
	p.fillDefaults()
	p.met[q.Host] = met{peer: q, time: time.Now()}
	if _, ok := p.peers[q.Host]; ok || q.Host == p.Self.Host {
		return
	}
	p.peers[q.Host] = q
	p.plan()
}

// Watch returns the hosts whose holdings this host has to follow.
func (p *Planner) Watch() []ident.Host {
	out := make([]ident.Host, len(p.watched))
	for i, n := range p.watched {
		out[i] = n.Host
	}
	return out
}

// watch starts to follow a host. It returns nil if the host is not a peer.
func (p *Planner) watch(h ident.Host) *node {
	if n, ok := p.nodes[h]; ok {
		return n
	}
	q, ok := p.peers[h]
	if !ok || h == p.Self.Host {
		return nil
	}
	n := &node{Peer: q, watched: time.Now(), have: bitset.New(uint(len(p.chunks))), signs: make([]time.Time, len(p.stripes))}
	p.nodes[h] = n
	p.watched = append(p.watched, n)
	return n
}

// forget drops the nodes that are no peers any more.
func (p *Planner) forget() {
	kept := p.watched[:0]
	for _, n := range p.watched {
		if _, ok := p.peers[n.Host]; ok {
			kept = append(kept, n)
			continue
		}
		p.clear(n)
		delete(p.nodes, n.Host)
	}
	p.watched = kept
}

func (p *Planner) clear(n *node) {
	counts := p.countsOf(n)
	for i, ok := n.have.NextSet(0); ok; i, ok = n.have.NextSet(i + 1) {
		counts[i]--
	}
	n.have.ClearAll()
}

// Cursor returns the place in a host's sequence of arrivals from which to ask it for its next delta.
func (p *Planner) Cursor(h ident.Host) chunkcache.Cursor {
	if n := p.nodes[h]; n != nil {
		return n.cursor
	}
	return chunkcache.Cursor{}
}

// Heard takes the answer of a host that is followed to the question from the cursor since. A delta from another cursor
// than the host's present one is left out, because it would leave a gap. ages holds the milliseconds since the last
// sign of each stripe at that host, below zero if there was none.
func (p *Planner) Heard(h ident.Host, since chunkcache.Cursor, d chunkcache.Delta, ages []int) {
	n := p.nodes[h]
	if n == nil {
		return
	}
	now := time.Now()
	n.heard = now
	if d.Full || since == n.cursor {
		p.take(n, d)
	}
	for k, age := range ages {
		if k < len(n.signs) && age >= 0 {
			n.signs[k] = now.Add(-time.Duration(age) * time.Millisecond)
		}
	}
}

func (p *Planner) take(n *node, d chunkcache.Delta) {
	if d.Full {
		p.clear(n)
	}
	n.cursor = d.Next
	for k, list := range d.Added {
		for _, i := range list {
			p.add(n, k, i)
		}
	}
}

// add notes one chunk of a node. Indices out of range come from a faulty sender and are left out.
func (p *Planner) add(n *node, artifact, i int) {
	if artifact >= len(p.offsets) || i < 0 || p.offsets[artifact]+i >= p.end(artifact) {
		return
	}
	at := uint(p.alias[p.offsets[artifact]+i])
	if n.have.Test(at) {
		return
	}
	n.have.Set(at)
	p.countsOf(n)[at]++
}

// countsOf returns the numbers of holders of each chunk, in this zone or in the others, as the node's zone asks.
func (p *Planner) countsOf(n *node) []int {
	if n.Zone == p.Self.Zone {
		return p.counts
	}
	return p.far
}

func (p *Planner) end(artifact int) int {
	if artifact+1 < len(p.offsets) {
		return p.offsets[artifact+1]
	}
	return len(p.chunks)
}

// Ages returns what Heard takes as ages, for the artifacts that another host asks for.
func (p *Planner) Ages(artifacts []ident.Digest) []int {
	now := time.Now()
	out := make([]int, len(artifacts)*Stripes)
	for k, d := range artifacts {
		own := p.ownStripes(d)
		for j := range Stripes {
			out[k*Stripes+j] = -1
			if own == nil {
				continue
			}
			if s := own[j]; s.isWhole {
				out[k*Stripes+j] = 0
			} else if !s.sign.IsZero() {
				out[k*Stripes+j] = int(now.Sub(s.sign) / time.Millisecond)
			}
		}
	}
	return out
}

func (p *Planner) ownStripes(d ident.Digest) []*stripe {
	for k, a := range p.artifacts {
		if a == d {
			return p.stripes[k*Stripes : (k+1)*Stripes]
		}
	}
	return nil
}
