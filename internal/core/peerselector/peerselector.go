// Package peerselector decides whether a host receives the configuration from the log or from peers, and from which.
//
// The hosts of an availability zone are ranked in rendezvous order. The first two read the log. Each other host
// receives the configuration from two hosts that precede it. The relative order of two hosts does not depend on the
// other hosts in a list, so that there is no cycle even if hosts have different lists.
package peerselector

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// SourcesPerHost is the number of sources from which each host receives the configuration at the same time.
	SourcesPerHost = 2
	// Fanout is the number of hosts that share a source with the same index.
	Fanout = 8
	// StandbyReaders is the number of hosts after the first readers that also read the log while their sources are stale.
	StandbyReaders = 4
	// MinBackoff is the time for which a host is not selected after its first failure. It doubles with each further one.
	MinBackoff = time.Second
	// MaxBackoff is the upper limit of the backoff. All hosts must be up to date within 4 s after a network partition
	// ends. The limit is half of that, because the host in backoff may be the only one with the state.
	MaxBackoff = 2 * time.Second
)

// Peer is another host that holds the configuration.
type Peer struct {
	Host           ident.Host
	Zone           ident.Zone
	ControlAddress string
}

// failure is the latest of a host's consecutive failures.
type failure struct {
	failedAt time.Time
	backoff  time.Duration
}

// Selector selects the sources of one host among its peers. It is not safe for concurrent use.
type Selector struct {
	Self ident.Host
	Zone ident.Zone

	peers         map[ident.Host]Peer
	predecessors  []ident.Host
	otherZones    map[ident.Zone][]ident.Host
	failures      map[ident.Host]failure
	fallbackCalls int
}

// Update replaces the list of peers.
func (s *Selector) Update(peers []Peer) {
	s.peers = make(map[ident.Host]Peer, len(peers))
	zones := make(map[ident.Zone][]ident.Host)
	for _, p := range peers {
		s.peers[p.Host] = p
		zones[p.Zone] = append(zones[p.Zone], p.Host)
	}
	s.otherZones = make(map[ident.Zone][]ident.Host)
	for z, hosts := range zones {
		if z != s.Zone {
			s.otherZones[z] = ranker.Rank(rankKey(z), hosts)
		}
	}
	s.predecessors = nil
	for _, h := range ranker.Rank(rankKey(s.Zone), append(zones[s.Zone], s.Self)) {
		if h == s.Self {
			break
		}
		s.predecessors = append(s.predecessors, h)
	}
	for h := range s.failures {
		if _, ok := s.peers[h]; !ok {
			delete(s.failures, h)
		}
	}
}

// rankKey returns the rendezvous key of a zone.
func rankKey(z ident.Zone) string {
	return "config/" + string(z)
}

// RecordFailure records that a host did not respond. Failures during the backoff do not extend it.
func (s *Selector) RecordFailure(h ident.Host, now time.Time) {
	if s.failures == nil {
		s.failures = make(map[ident.Host]failure)
	}
	if s.inBackoff(h, now) {
		return
	}
	s.failures[h] = failure{failedAt: now, backoff: min(max(2*s.failures[h].backoff, MinBackoff), MaxBackoff)}
}

// RecordSuccess records that a host responded, which ends its backoff.
func (s *Selector) RecordSuccess(h ident.Host) {
	delete(s.failures, h)
}

// inBackoff reports whether a host is excluded from the selection after a failure.
func (s *Selector) inBackoff(h ident.Host, now time.Time) bool {
	f, ok := s.failures[h]
	return ok && now.Sub(f.failedAt) < f.backoff
}

// available returns the hosts that are not in backoff, in the same order.
func (s *Selector) available(hosts []ident.Host, now time.Time) []ident.Host {
	var out []ident.Host
	for _, h := range hosts {
		if !s.inBackoff(h, now) {
			out = append(out, h)
		}
	}
	return out
}

// ShouldReadLog reports whether this host reads the log itself. Stale means that its sources lag behind the log or do
// not respond.
func (s *Selector) ShouldReadLog(stale bool, now time.Time) bool {
	count := len(s.available(s.predecessors, now))
	return count < SourcesPerHost || stale && count < SourcesPerHost+StandbyReaders
}

// Source returns the source with the given index, which is less than SourcesPerHost. A host that has fewer than
// SourcesPerHost available predecessors reads the log and has no source.
func (s *Selector) Source(index int, now time.Time) (Peer, bool) {
	available := s.available(s.predecessors, now)
	if len(available) < SourcesPerHost {
		return Peer{}, false
	}
	i := (len(available)-SourcesPerHost)/Fanout + index
	return s.peers[available[i]], true
}

// FallbackPeer returns a peer to query while the log is unavailable. Successive calls rotate through the first
// available predecessors in the zone and the first available host of each other zone.
func (s *Selector) FallbackPeer(now time.Time) (Peer, bool) {
	var hosts []ident.Host
	available := s.available(s.predecessors, now)
	hosts = append(hosts, available[:min(len(available), SourcesPerHost)]...)
	for _, z := range sortedZones(s.otherZones) {
		remote := s.available(s.otherZones[z], now)
		hosts = append(hosts, remote[:min(len(remote), 1)]...)
	}
	if len(hosts) == 0 {
		return Peer{}, false
	}
	s.fallbackCalls++
	return s.peers[hosts[s.fallbackCalls%len(hosts)]], true
}

// BootstrapPeers returns the peers from which a host without state can fetch it: up to limit of its zone first, then
// the first available ones of other zones.
func (s *Selector) BootstrapPeers(limit int, now time.Time) []Peer {
	hosts := make([]ident.Host, 0, len(s.peers))
	for h, p := range s.peers {
		if p.Zone == s.Zone {
			hosts = append(hosts, h)
		}
	}
	hosts = s.available(ranker.Rank(rankKey(s.Zone), hosts), now)
	hosts = hosts[:min(len(hosts), limit)]
	for _, z := range sortedZones(s.otherZones) {
		if len(hosts) >= limit+SourcesPerHost {
			break
		}
		remote := s.available(s.otherZones[z], now)
		hosts = append(hosts, remote[:min(len(remote), 1)]...)
	}
	out := make([]Peer, len(hosts))
	for i, h := range hosts {
		out[i] = s.peers[h]
	}
	return out
}

// Lookup returns a known peer.
func (s *Selector) Lookup(h ident.Host) (Peer, bool) {
	p, ok := s.peers[h]
	return p, ok
}
