// Package fetchplanner decides, for one host, which chunk of a weight set to fetch next and from which source.
//
// The chunks of an artifact are divided into a fixed number of stripes. Rendezvous hashing over the zones, and over the
// hosts of a zone, determines the reader of each stripe: the one host that fetches the stripe's chunks into its zone.
// It fetches them from the reader of the preceding zone in the order, or from the external sources (the weight store
// and the origin) if its zone is the first. Hosts of the same zone exchange chunks as they arrive.
package fetchplanner

import (
	"time"

	"github.com/bits-and-blooms/bitset"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

// Stripes is the number of stripes into which each artifact is divided.
const Stripes = 8

// Default values of the planner's fields.
const (
	DefaultMaxNeighbors = 12
	DefaultMaxFetches   = 3
	DefaultStallTimeout = 4 * time.Second
	DefaultSettleDelay  = time.Second
	DefaultBusyDelay    = 400 * time.Millisecond
	DefaultRetryDelay   = 500 * time.Millisecond
)

// Peer is a host that wants the same weight set.
type Peer struct {
	Host   ident.Host
	Zone   ident.Zone
	Region ident.Region
	// Seed marks a host whose link has much more bandwidth than those of the other hosts. The hosts of its zone read only
	// from seeds while one is available, so that their own uplinks stay free for live traffic.
	Seed bool
}

// Source is where a chunk is read from: a host, or an external source.
type Source struct {
	// Host is the host to read from; empty for an external source.
	Host ident.Host
	// ExternalIndex is the index of an external source. The sources are in the order of their cost, the cheapest first.
	ExternalIndex int
}

// Fetch is a read of one chunk from one source.
type Fetch struct {
	ID     int64
	Chunk  manifest.Chunk
	Source Source

	index int
	// stripe is the stripe for which the host acts as reader; nil for an exchange inside the zone.
	stripe       *stripe
	lastProgress time.Time
	startedAt    time.Time
	received     ident.Bytes
}

// Outcome is the result of a fetch.
type Outcome int

// Outcomes of a fetch.
const (
	// Stored means that the chunk was verified and is held.
	Stored Outcome = iota
	// Corrupt means that the content did not match its digest and was discarded.
	Corrupt
	// Failed means that the source rejected the request, closed the connection early, or does not hold the chunk.
	Failed
	// Busy means that the source has no free upload slot.
	Busy
)

// SelectionPolicy is the policy that selects chunks and their holders inside a zone.
type SelectionPolicy int

// Selection policies.
const (
	// RarestFirst selects the chunk that the fewest neighbours hold, and its holder with the fewest fetches in flight.
	RarestFirst SelectionPolicy = iota
	// RoundRobin selects the chunks in their order, and the holders in rotation.
	RoundRobin
	// RarestRoundRobin selects the chunk that the fewest neighbours hold, and the holders in rotation.
	RarestRoundRobin
)

// Planner plans the fetches of one host. It is not safe for concurrent use. Set its fields before SetGoal.
type Planner struct {
	// Self is the local host.
	Self Peer
	// HomeRegion is the region of the weight store and the origin; its zones come first in every stripe's order.
	HomeRegion ident.Region
	// ExternalSources is the number of external sources, such as the weight store and the origin.
	ExternalSources int
	// FetchGoal states whether to minimise reads from external sources or the time until all hosts hold the weights.
	FetchGoal catalog.FetchGoal
	// MaxNeighbors is the maximum number of hosts of the zone to exchange chunks with; zero means the default.
	MaxNeighbors int
	// MaxFetches is the maximum number of concurrent chunk reads from the zone; zero means the default.
	MaxFetches int
	// StallTimeout is the stall timeout: the time without progress after which a fetch is given up. Zero means the
	// default.
	StallTimeout time.Duration
	// SettleDelay is how long a new reader collects reports from its peers before its first fetch; zero means the default.
	SettleDelay time.Duration
	// BusyDelay is the delay before the next request to a source that had no free upload slot; zero means the default.
	BusyDelay time.Duration
	// RetryDelay is the delay before the next request to a source that failed; it doubles with each failure. Zero means
	// the default.
	RetryDelay time.Duration
	// ProgressTimeout is the time without progress after which a live reader is replaced; zero means a few times the stall
	// timeout. It must be longer than any expected outage of the external sources: otherwise every zone reads its own copy
	// as soon as a source is available again.
	ProgressTimeout time.Duration
	// Selection selects chunks and holders.
	Selection SelectionPolicy
	// ReadsExternalDirectly reports whether each zone reads its own copy from the external sources at present, because they
	// are faster than another zone. Nil means that it does not.
	ReadsExternalDirectly func() bool
	// PriorityClass returns the priority class of a chunk of an artifact, given its index: chunks of a lower class are
	// read before all others. Nil puts all chunks into one class.
	PriorityClass func(index int) int

	artifacts []ident.Digest
	// offsets holds the index in chunks of each artifact's first chunk.
	offsets []int
	chunks  []manifest.Chunk
	// firstIndexes maps each index in chunks to the first index with the same digest.
	firstIndexes []int
	held         *bitset.BitSet
	// remaining counts the distinct chunks that are not held.
	remaining int
	// chunkFetches counts the fetches in flight for each chunk.
	chunkFetches []int
	// zoneHolders and otherZoneHolders count the watched holders of each chunk in this zone and in others.
	zoneHolders      []int
	otherZoneHolders []int
	// fetchOrder lists the missing chunks in the order in which equally urgent ones are fetched.
	fetchOrder []int
	stripes    []*stripe
	peers      map[ident.Host]Peer
	discovered map[ident.Host]discoveredPeer
	nodes      map[ident.Host]*node
	watched    []*node
	// externalHealth holds the state of each external source.
	externalHealth []health
	fetches        map[int64]*Fetch
	// active lists the fetches in flight, the oldest first.
	active []*Fetch
	// zoneFetches counts the fetches in flight that belong to no stripe.
	zoneFetches int
	lastFetchID int64
	// holderOffset rotates the choice among the holders of a chunk.
	holderOffset int
	goalStart    time.Time
}

// discoveredPeer is a peer that sent a request to this host.
type discoveredPeer struct {
	peer   Peer
	seenAt time.Time
}

// Goal is one artifact of the weight set that the host must hold.
type Goal struct {
	Digest   ident.Digest
	Artifact manifest.Artifact
}

// SetGoal replaces the weight set to fetch. held reports whether the host already holds a chunk. The planner drops the
// fetches of the previous goal; the caller must stop them.
func (p *Planner) SetGoal(goals []Goal, held func(d ident.Digest) bool) {
	p.fillDefaults()
	p.goalStart = time.Now()
	p.artifacts, p.offsets, p.chunks, p.firstIndexes, p.stripes = nil, nil, nil, nil, nil
	p.fetches = make(map[int64]*Fetch)
	p.active = nil
	p.zoneFetches = 0
	p.nodes = make(map[ident.Host]*node)
	p.watched = nil
	p.externalHealth = make([]health, p.ExternalSources)
	firstByDigest := make(map[ident.Digest]int)
	for _, g := range goals {
		p.addGoal(g, firstByDigest)
	}
	p.held = bitset.New(uint(len(p.chunks)))
	p.chunkFetches = make([]int, len(p.chunks))
	p.zoneHolders = make([]int, len(p.chunks))
	p.otherZoneHolders = make([]int, len(p.chunks))
	p.remaining = 0
	p.fetchOrder = p.fetchOrder[:0]
	for i, c := range p.chunks {
		switch {
		case p.firstIndexes[i] != i:
		case held(c.Digest):
			p.held.Set(uint(i))
		default:
			p.remaining++
			p.fetchOrder = append(p.fetchOrder, i)
		}
	}
	for _, s := range p.stripes {
		s.updateComplete(p.held)
	}
	p.shuffle()
	p.assignReaders()
}

func (p *Planner) fillDefaults() {
	if p.MaxNeighbors == 0 {
		p.MaxNeighbors = DefaultMaxNeighbors
	}
	if p.MaxFetches == 0 {
		p.MaxFetches = DefaultMaxFetches
	}
	if p.StallTimeout == 0 {
		p.StallTimeout = DefaultStallTimeout
	}
	if p.SettleDelay == 0 {
		p.SettleDelay = DefaultSettleDelay
	}
	if p.BusyDelay == 0 {
		p.BusyDelay = DefaultBusyDelay
	}
	if p.RetryDelay == 0 {
		p.RetryDelay = DefaultRetryDelay
	}
	if p.discovered == nil {
		p.discovered = make(map[ident.Host]discoveredPeer)
		p.peers = make(map[ident.Host]Peer)
	}
}

// addGoal appends the chunks and stripes of one artifact. A chunk that occurs more than once belongs only to the stripe
// of its first occurrence.
func (p *Planner) addGoal(g Goal, firstByDigest map[ident.Digest]int) {
	offset := len(p.chunks)
	p.artifacts = append(p.artifacts, g.Digest)
	p.offsets = append(p.offsets, offset)
	stripes := make([]*stripe, Stripes)
	for k := range stripes {
		stripes[k] = &stripe{id: len(p.stripes) + k}
	}
	for i, c := range g.Artifact.Chunks {
		index := offset + i
		p.chunks = append(p.chunks, c)
		if first, ok := firstByDigest[c.Digest]; ok {
			p.firstIndexes = append(p.firstIndexes, first)
			continue
		}
		firstByDigest[c.Digest] = index
		p.firstIndexes = append(p.firstIndexes, index)
		stripes[i%Stripes].chunks = append(stripes[i%Stripes].chunks, index)
	}
	p.stripes = append(p.stripes, stripes...)
}

// shuffle sorts the fetch order by a hash that differs between hosts, so that the hosts of a zone start with different
// chunks among those that are equally rare.
func (p *Planner) shuffle() {
	if p.Selection == RoundRobin {
		return
	}
	digests := make([]string, len(p.fetchOrder))
	indexes := make(map[string]int, len(p.fetchOrder))
	for k, i := range p.fetchOrder {
		digests[k] = string(p.chunks[i].Digest)
		indexes[digests[k]] = i
	}
	for k, d := range ranker.Rank(string(p.Self.Host), digests) {
		p.fetchOrder[k] = indexes[d]
	}
}

// Remaining returns the number of distinct chunks that are not held yet.
func (p *Planner) Remaining() int {
	return p.remaining
}

// Total returns the number of distinct chunks of the goal.
func (p *Planner) Total() int {
	n := 0
	for i, first := range p.firstIndexes {
		if first == i {
			n++
		}
	}
	return n
}

// Artifacts returns the digests of the goal's manifests, in the order in which deltas list them.
func (p *Planner) Artifacts() []ident.Digest {
	return p.artifacts
}
