// Package rolloutlimiter decides when a host may stop serving one weight set to load another, so that enough replicas of each
// deployment go on serving. There is no coordinator: hosts rank each other alike, and each assumes that all hosts of a
// higher rank that still have to switch are doing so now.
package rolloutlimiter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// FreshTime is how long counts may be used after they were asked for.
	FreshTime = 2 * time.Second
	// Patience is the time without progress after which the floor counts for one less, so that a host of a higher rank
	// that is stuck is stepped over, and a floor that only just all replicas reach does not stop a change for ever.
	Patience = time.Minute
)

// Replica is an endpoint host as another host knows it.
type Replica struct {
	Host ident.Host
	Set  ident.WeightSet
	Want ident.WeightSet
	// Offset is the configuration offset that Want was decided at.
	Offset ident.Offset
}

// Count tells how many other hosts serve a weight set.
type Count struct {
	Set ident.WeightSet `json:"set"`
	// Steady counts those that serve the set and are to keep it, by a configuration that is new enough.
	Steady int `json:"steady"`
	// After counts those that are to leave the set and rank after the host that asks.
	After int `json:"after,omitempty"`
}

// rankKey is the rendezvous key of the order in which hosts switch.
const rankKey = "wave"

// Precedes tells whether host a switches before host b.
func Precedes(a, b ident.Host) bool {
	return precedes(a, score(a), b)
}

func score(h ident.Host) uint64 {
	return ranker.Score(rankKey, string(h))
}

func precedes(a ident.Host, scoreA uint64, b ident.Host) bool {
	scoreB := score(b)
	if scoreA == scoreB {
		return a < b
	}
	return scoreA > scoreB
}

// Tally counts the replicas whose gates are open, as self needs them. Since is the offset of the change that self
// follows: a replica whose configuration is older may have to leave its set as well.
func Tally(self ident.Host, since ident.Offset, open []Replica) []Count {
	var out []Count
	own := score(self)
	index := make(map[ident.WeightSet]int)
	for _, r := range open {
		if r.Host == self || r.Set == "" {
			continue
		}
		i, ok := index[r.Set]
		if !ok {
			i = len(out)
			index[r.Set] = i
			out = append(out, Count{Set: r.Set})
		}
		switch {
		case r.Want == r.Set && r.Offset >= since:
			out[i].Steady++
		case precedes(self, own, r.Host):
			out[i].After++
		}
	}
	return out
}

// Group is the weight sets that can answer for one deployment, with the number of replicas that have to serve.
type Group struct {
	Sets  []ident.WeightSet
	Floor int
}

// Limiter holds the counts that one host was given. The zero value has none. It is not safe for concurrent use.
type Limiter struct {
	sources  map[ident.Host]source
	steady   int
	progress time.Time
}

type source struct {
	asked  time.Time
	counts map[ident.WeightSet]Count
}

// Hear takes the counts that an entry host answered with to a report that was sent at a time.
func (l *Limiter) Hear(from ident.Host, asked time.Time, counts []Count) {
	if l.sources == nil {
		l.sources = make(map[ident.Host]source)
	}
	s := source{asked: asked, counts: make(map[ident.WeightSet]Count, len(counts))}
	for _, c := range counts {
		s.counts[c.Set] = c
	}
	l.sources[from] = s
}

// Permit tells whether the host may stop serving the set now. Each source's counts are a lower bound, so that one
// source whose counts suffice is enough.
func (l *Limiter) Permit(now time.Time, set ident.WeightSet, groups []Group) bool {
	affected := groups[:0:0]
	for _, g := range groups {
		if g.has(set) && g.Floor > 0 {
			affected = append(affected, g)
		}
	}
	if len(affected) == 0 {
		return true
	}
	l.watch(now, affected)
	stuck := int(now.Sub(l.progress) / Patience)
	for host, s := range l.sources {
		if now.Sub(s.asked) > FreshTime {
			delete(l.sources, host)
			continue
		}
		if s.permits(affected, stuck) {
			return true
		}
	}
	return false
}

// watch restarts the clock of Patience when more hosts are seen to have switched.
func (l *Limiter) watch(now time.Time, groups []Group) {
	steady := 0
	for _, s := range l.sources {
		n := 0
		for _, g := range groups {
			n += s.sum(g).Steady
		}
		steady = max(steady, n)
	}
	if steady != l.steady || l.progress.IsZero() {
		l.steady = steady
		l.progress = now
	}
}

// Reset forgets what was seen of an earlier wave.
func (l *Limiter) Reset() {
	l.progress = time.Time{}
	l.steady = 0
}

func (g Group) has(set ident.WeightSet) bool {
	for _, s := range g.Sets {
		if s == set {
			return true
		}
	}
	return false
}

func (s source) sum(g Group) Count {
	var out Count
	for _, set := range g.Sets {
		c := s.counts[set]
		out.Steady += c.Steady
		out.After += c.After
	}
	return out
}

func (s source) permits(groups []Group, stuck int) bool {
	for _, g := range groups {
		c := s.sum(g)
		if c.Steady+c.After+stuck < g.Floor {
			return false
		}
	}
	return true
}
