// Package planner decides, for one host, which chunk of a weight set to ask of whom next.
//
// The chunks of an artifact form a fixed number of stripes. Rendezvous order over the zones, and over the hosts of a
// zone, names the reader of each stripe: the one host that brings the stripe's chunks into its zone, from the reader
// of the zone before it in the order, or from the weight store and the origin if its zone is the first. Inside a zone
// the hosts exchange chunks as they arrive.
package planner

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Stripes is the number of stripes of each artifact.
const Stripes = 8

// Defaults of a planner's fields.
const (
	DefaultNeighbors = 12
	DefaultFetches   = 3
	DefaultDeadline  = 4 * time.Second
	DefaultSettle    = time.Second
)

// Peer is a host that wants the same weight set.
type Peer struct {
	Host   ident.Host
	Zone   ident.Zone
	Region ident.Region
}

// Source is where a chunk is read from: a host, or one of the sources outside, by its place in the order of cost.
type Source struct {
	Host    ident.Host
	Outside int
}

// Fetch is the order to read one chunk from one source.
type Fetch struct {
	ID     int64
	Chunk  manifest.Chunk
	Source Source

	index   int
	stripe  *stripe
	last    time.Time
	started time.Time
	done    ident.Bytes
}

// Outcome is how a fetch ended.
type Outcome int

// Outcomes of a fetch.
const (
	// Stored means that the chunk was verified and is held.
	Stored Outcome = iota
	// Corrupt means that the content did not match its digest and was dropped.
	Corrupt
	// Failed means that the source refused, broke off, or does not have the chunk.
	Failed
	// Busy means that the source has no upload slot free.
	Busy
)

// Choice is the rule that picks chunks and holders inside a zone.
type Choice int

// Choices of chunk and holder.
const (
	// RarestFirst asks for the chunk that the fewest neighbours hold, of the holder with the fewest fetches.
	RarestFirst Choice = iota
	// RoundRobin asks for chunks in their order, of the holders in turn.
	RoundRobin
)

// Planner is the state of one host. It is not safe for concurrent use. Set its fields before SetGoal.
type Planner struct {
	// Self is the host itself.
	Self Peer
	// Home is the region of the weight store and the origin; its zones come first in every stripe's order.
	Home ident.Region
	// Outside is the number of sources outside, the weight store and the origin.
	Outside int
	// Bias tells whether reads from outside or time matter more.
	Bias catalog.Bias
	// Neighbors is the number of hosts of the zone to exchange with; zero means the default.
	Neighbors int
	// Fetches is the number of chunks to read at a time from the zone; zero means the default.
	Fetches int
	// Deadline is the time without progress after which a source loses a chunk; zero means the default.
	Deadline time.Duration
	// Settle is the time that a reader listens before it reads from outside; zero means the default.
	Settle time.Duration
	// Choice picks chunks and holders.
	Choice Choice

	artifacts []ident.Digest
	offsets   []int
	chunks    []manifest.Chunk
	alias     []int
	held      *bitset.BitSet
	left      int
	flight    []int
	counts    []int
	far       []int
	order     []int
	stripes   []*stripe
	peers     map[ident.Host]Peer
	met       map[ident.Host]met
	nodes     map[ident.Host]*node
	watched   []*node
	sources   []health
	fetches   map[int64]*Fetch
	running   []*Fetch
	inside    int
	next      int64
	turn      int
	start     time.Time
}

type met struct {
	peer Peer
	time time.Time
}

// Goal is one artifact of the weight set to hold.
type Goal struct {
	Digest   ident.Digest
	Artifact manifest.Artifact
}

// SetGoal starts on a weight set. held tells which chunks the host holds already. The fetches of the goal before are
// forgotten; the caller stops them.
func (p *Planner) SetGoal(goals []Goal, held func(d ident.Digest) bool) {
	p.fillDefaults()
	p.start = time.Now()
	p.artifacts, p.offsets, p.chunks, p.alias, p.stripes = nil, nil, nil, nil, nil
	p.fetches = make(map[int64]*Fetch)
	p.running = nil
	p.inside = 0
	p.nodes = make(map[ident.Host]*node)
	p.watched = nil
	p.sources = make([]health, p.Outside)
	first := make(map[ident.Digest]int)
	for _, g := range goals {
		p.addGoal(g, first)
	}
	p.held = bitset.New(uint(len(p.chunks)))
	p.flight = make([]int, len(p.chunks))
	p.counts = make([]int, len(p.chunks))
	p.far = make([]int, len(p.chunks))
	p.left = 0
	p.order = p.order[:0]
	for i, c := range p.chunks {
		switch {
		case p.alias[i] != i:
		case held(c.Digest):
			p.held.Set(uint(i))
		default:
			p.left++
			p.order = append(p.order, i)
		}
	}
	for _, s := range p.stripes {
		s.update(p.held)
	}
	p.shuffle()
	p.plan()
}

func (p *Planner) fillDefaults() {
	if p.Neighbors == 0 {
		p.Neighbors = DefaultNeighbors
	}
	if p.Fetches == 0 {
		p.Fetches = DefaultFetches
	}
	if p.Deadline == 0 {
		p.Deadline = DefaultDeadline
	}
	if p.Settle == 0 {
		p.Settle = DefaultSettle
	}
	if p.met == nil {
		p.met = make(map[ident.Host]met)
		p.peers = make(map[ident.Host]Peer)
	}
}

func (p *Planner) addGoal(g Goal, first map[ident.Digest]int) {
	offset := len(p.chunks)
	p.artifacts = append(p.artifacts, g.Digest)
	p.offsets = append(p.offsets, offset)
	own := make([]*stripe, Stripes)
	for k := range own {
		own[k] = &stripe{id: len(p.stripes) + k, key: stripeKey(g.Digest, k)}
	}
	for i, c := range g.Artifact.Chunks {
		at := offset + i
		p.chunks = append(p.chunks, c)
		if f, ok := first[c.Digest]; ok {
			p.alias = append(p.alias, f)
			continue
		}
		first[c.Digest] = at
		p.alias = append(p.alias, at)
		own[i%Stripes].chunks = append(own[i%Stripes].chunks, at)
	}
	p.stripes = append(p.stripes, own...)
}

// shuffle gives each host an order of its own for chunks that are equally rare.
func (p *Planner) shuffle() {
	if p.Choice == RoundRobin {
		return
	}
	names := make([]string, len(p.order))
	at := make(map[string]int, len(p.order))
	for k, i := range p.order {
		names[k] = string(p.chunks[i].Digest)
		at[names[k]] = i
	}
	for k, n := range ranker.Rank(string(p.Self.Host), names) {
		p.order[k] = at[n]
	}
}

// Left returns the number of chunks that are still to be fetched.
func (p *Planner) Left() int {
	return p.left
}

// Total returns the number of different chunks of the goal.
func (p *Planner) Total() int {
	n := 0
	for i, a := range p.alias {
		if a == i {
			n++
		}
	}
	return n
}

// Artifacts returns the digests of the goal's manifests, in the order that deltas use.
func (p *Planner) Artifacts() []ident.Digest {
	return p.artifacts
}

// Progress tells that a fetch has received bytes, done in all.
func (p *Planner) Progress(id int64, done ident.Bytes) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	f.last = time.Now()
	f.done = done
	if f.stripe != nil {
		f.stripe.sign = f.last
	}
}

// Finish tells how a fetch ended. Fetches of the same chunk that are still running are returned by the next Next.
func (p *Planner) Finish(id int64, o Outcome) {
	f, ok := p.fetches[id]
	if !ok {
		return
	}
	p.drop(f)
	p.judge(f, o)
	if o != Stored || p.held.Test(uint(f.index)) {
		return
	}
	p.held.Set(uint(f.index))
	p.left--
	for _, s := range p.stripes {
		if s.owns(f.index, p.offsets) {
			s.sign = time.Now()
			s.slow = max(s.slow-1, 0)
			s.update(p.held)
		}
	}
}

func (p *Planner) begin(i int, src Source, s *stripe) *Fetch {
	p.next++
	now := time.Now()
	f := &Fetch{ID: p.next, Chunk: p.chunks[i], Source: src, index: i, stripe: s, last: now, started: now}
	p.fetches[f.ID] = f
	p.running = append(p.running, f)
	p.flight[i]++
	if s != nil {
		s.fetch = f
	} else {
		p.inside++
	}
	if n := p.nodes[src.Host]; n != nil {
		n.running++
	}
	return f
}

func (p *Planner) drop(f *Fetch) {
	delete(p.fetches, f.ID)
	for k, r := range p.running {
		if r == f {
			p.running = append(p.running[:k], p.running[k+1:]...)
			break
		}
	}
	p.flight[f.index]--
	if f.stripe != nil {
		f.stripe.fetch = nil
	} else {
		p.inside--
	}
	if n := p.nodes[f.Source.Host]; n != nil {
		n.running--
	}
}

// Next returns the fetches to start and the ids of those to stop. Call it after each event, and four times a second.
func (p *Planner) Next() (start []Fetch, stop []int64) {
	stop = p.expire()
	if p.left == 0 {
		return nil, stop
	}
	for _, s := range p.stripes {
		if f := p.bring(s); f != nil {
			start = append(start, *f)
		}
	}
	for p.inside < p.Fetches {
		f := p.exchange()
		if f == nil {
			break
		}
		start = append(start, *f)
	}
	return start, stop
}

// expire stops fetches that make no progress, that are not needed any more, or that another reader has taken over.
func (p *Planner) expire() []int64 {
	var out []int64
	now := time.Now()
	for _, f := range append([]*Fetch(nil), p.running...) {
		switch {
		case p.held.Test(uint(f.index)):
		case now.Sub(f.last) > p.allowance(f):
			p.judge(f, Failed)
			if f.stripe != nil {
				f.stripe.slow = min(f.stripe.slow+1, maxSlow)
			}
		case p.isSuperfluous(f):
		default:
			continue
		}
		p.drop(f)
		out = append(out, f.ID)
	}
	return out
}

// allowance is the time that a fetch may go without progress.
func (p *Planner) allowance(f *Fetch) time.Duration {
	if f.stripe == nil {
		return p.Deadline
	}
	return p.Deadline << f.stripe.slow
}
