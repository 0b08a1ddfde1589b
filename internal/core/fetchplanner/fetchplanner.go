// Package fetchplanner decides, for one host, which chunk of a weight set to ask of whom next.
//
// The chunks of an artifact form a fixed number of stripes. Rendezvous order over the zones, and over the hosts of a
// zone, names the reader of each stripe: the one host that brings the stripe's chunks into its zone, from the reader
// of the zone before it in the order, or from the weight store and the origin if its zone is the first. Inside a zone
// the hosts exchange chunks as they arrive.
package fetchplanner

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
	DefaultBusy      = 400 * time.Millisecond
	DefaultRetry     = 500 * time.Millisecond
)

// Peer is a host that wants the same weight set.
type Peer struct {
	Host   ident.Host
	Zone   ident.Zone
	Region ident.Region
	// Seed marks a host whose link is much wider than those of the others. The hosts of its zone read from it alone while
	// it can be asked, so that their own uplinks stay free for live traffic.
	Seed bool
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
	// RarestInTurn asks for the chunk that the fewest neighbours hold, of the holders in turn.
	RarestInTurn
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
	// Busy is how long a source without a free upload slot is not asked again; zero means the default.
	Busy time.Duration
	// Retry is how long a source that failed is not asked again; it doubles with each failure. Zero means the default.
	Retry time.Duration
	// Patience is the time without progress after which a live reader is passed over; zero means some deadlines. Where the
	// source outside may be away for a while, it must be longer than that: otherwise every zone reads a copy of its own as
	// soon as the source is back.
	Patience time.Duration
	// Choice picks chunks and holders.
	Choice Choice
	// Rank orders the chunks of an artifact, by number: those of a lower rank are read before all others. Nil ranks them
	// alike.
	Rank func(number int) int

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
	if p.Busy == 0 {
		p.Busy = DefaultBusy
	}
	if p.Retry == 0 {
		p.Retry = DefaultRetry
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
		own[k] = &stripe{id: len(p.stripes) + k}
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
