// Package rolloutlimiter limits how many hosts switch from one weight set to another at the same time, so that enough
// replicas of each deployment keep serving. There is no coordinator: all hosts compute the same ranking, and each host
// assumes that every host that precedes it and has not switched yet is not serving.
package rolloutlimiter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// CountsTTL is the time for which counts may be used, measured from when the report that they respond to was sent.
	CountsTTL = 2 * time.Second
	// StallTimeout is the time without progress after which the floor is lowered by one; it is lowered again after each
	// further StallTimeout. Otherwise a preceding host that is stuck, or a floor that needs all replicas, would block the
	// rollout forever.
	StallTimeout = time.Minute
)

// Replica is the last known state of an endpoint host.
type Replica struct {
	Host ident.Host
	// ServedSet is the weight set that the host serves, AssignedSet the one that it has to serve.
	ServedSet   ident.WeightSet
	AssignedSet ident.WeightSet
	// Offset is the configuration offset at which AssignedSet was computed.
	Offset ident.Offset
}

// SetCount holds the number of other hosts that serve a weight set.
type SetCount struct {
	Set ident.WeightSet `json:"set"`
	// Staying counts the hosts that serve the set and keep it according to a recent enough configuration.
	Staying int `json:"steady"`
	// Later counts the other hosts that serve the set and that the requesting host precedes. They may have to switch, but
	// later.
	Later int `json:"after,omitempty"`
}

// rankKey is the rendezvous key for the order in which hosts switch. It has to be the same in all hosts.
const rankKey = "wave"

// Precedes reports whether host a switches before host b.
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

// CountReplicas counts the replicas with an open gate from the point of view of self. since is the configuration offset
// of the change that makes self switch. A replica with an older configuration is not counted as staying, because the
// change may make it switch as well.
func CountReplicas(self ident.Host, since ident.Offset, open []Replica) []SetCount {
	var out []SetCount
	selfScore := score(self)
	index := make(map[ident.WeightSet]int)
	for _, r := range open {
		if r.Host == self || r.ServedSet == "" {
			continue
		}
		i, ok := index[r.ServedSet]
		if !ok {
			i = len(out)
			index[r.ServedSet] = i
			out = append(out, SetCount{Set: r.ServedSet})
		}
		switch {
		case r.AssignedSet == r.ServedSet && r.Offset >= since:
			out[i].Staying++
		case precedes(self, selfScore, r.Host):
			out[i].Later++
		}
	}
	return out
}

// DeploymentSets holds the weight sets that can serve one deployment and the number of replicas that have to keep
// serving.
type DeploymentSets struct {
	Sets       []ident.WeightSet
	MinServing int
}

// Limiter decides for one host, based on the counts that it received. The zero value has no counts. It is not safe for
// concurrent use.
type Limiter struct {
	sources      map[ident.Host]source
	lastStaying  int
	lastProgress time.Time
}

// source holds the latest counts from one entry host.
type source struct {
	sentAt time.Time
	counts map[ident.WeightSet]SetCount
}

// RecordCounts records the counts in an entry host's response to a report that was sent at sentAt.
func (l *Limiter) RecordCounts(from ident.Host, sentAt time.Time, counts []SetCount) {
	if l.sources == nil {
		l.sources = make(map[ident.Host]source)
	}
	s := source{sentAt: sentAt, counts: make(map[ident.WeightSet]SetCount, len(counts))}
	for _, c := range counts {
		s.counts[c.Set] = c
	}
	l.sources[from] = s
}

// MayStopServing reports whether the host may stop serving the set now. The counts of each source are a lower bound, so
// sufficient counts from one source allow it.
func (l *Limiter) MayStopServing(now time.Time, set ident.WeightSet, groups []DeploymentSets) bool {
	affected := groups[:0:0]
	for _, g := range groups {
		if g.contains(set) && g.MinServing > 0 {
			affected = append(affected, g)
		}
	}
	if len(affected) == 0 {
		return true
	}
	l.trackProgress(now, affected)
	stalls := int(now.Sub(l.lastProgress) / StallTimeout)
	for host, s := range l.sources {
		if now.Sub(s.sentAt) > CountsTTL {
			delete(l.sources, host)
			continue
		}
		if s.suffices(affected, stalls) {
			return true
		}
	}
	return false
}

// trackProgress restarts the stall timer when the number of staying replicas changes.
func (l *Limiter) trackProgress(now time.Time, affected []DeploymentSets) {
	staying := 0
	for _, s := range l.sources {
		n := 0
		for _, g := range affected {
			n += s.total(g).Staying
		}
		staying = max(staying, n)
	}
	if staying != l.lastStaying || l.lastProgress.IsZero() {
		l.lastStaying = staying
		l.lastProgress = now
	}
}

// Reset discards the progress of an earlier rollout.
func (l *Limiter) Reset() {
	l.lastProgress = time.Time{}
	l.lastStaying = 0
}

func (g DeploymentSets) contains(set ident.WeightSet) bool {
	for _, s := range g.Sets {
		if s == set {
			return true
		}
	}
	return false
}

// total adds up the counts of the group's weight sets.
func (s source) total(g DeploymentSets) SetCount {
	var out SetCount
	for _, set := range g.Sets {
		c := s.counts[set]
		out.Staying += c.Staying
		out.Later += c.Later
	}
	return out
}

// suffices reports whether every group keeps its floor, lowered by one for each stall.
func (s source) suffices(groups []DeploymentSets, stalls int) bool {
	for _, g := range groups {
		c := s.total(g)
		if c.Staying+c.Later+stalls < g.MinServing {
			return false
		}
	}
	return true
}
