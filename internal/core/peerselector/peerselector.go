// Package peerselector chooses from where a process takes configuration: from the log, or from which peers.
//
// The hosts of an availability zone stand in rendezvous order. The first two read the log; each other one takes from
// two hosts before it. The order of any two hosts does not depend on the list that a process holds, so that lists
// which differ never make a cycle.
package peerselector

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
)

const (
	// Lanes is the number of sources that each process takes from at the same time.
	Lanes = 2
	// Fanout is the number of hosts that take from one host in each lane.
	Fanout = 8
	// Substitutes is the number of hosts after the readers that read the log too while their sources are stale.
	Substitutes = 4
	// MinFailed is how long a host is passed over after its first failure. The time doubles with each further one.
	MinFailed = time.Second
	// MaxFailed bounds that time: half of the 4 s within which all processes must be level after a cut has healed, as a
	// host that was passed over may be the only one with the state.
	MaxFailed = 2 * time.Second
)

// Peer is another process.
type Peer struct {
	Host    ident.Host
	Zone    ident.Zone
	Control string
}

// failure is a host's latest series of failures.
type failure struct {
	at   time.Time
	time time.Duration
}

// Selector holds what one process knows of its peers. It is not safe for concurrent use.
type Selector struct {
	Self ident.Host
	Zone ident.Zone

	peers  map[ident.Host]Peer
	ahead  []ident.Host
	others map[ident.Zone][]ident.Host
	failed map[ident.Host]failure
	turn   int
}

// Update takes a new list of peers.
func (s *Selector) Update(peers []Peer) {
	s.peers = make(map[ident.Host]Peer, len(peers))
	zones := make(map[ident.Zone][]ident.Host)
	for _, p := range peers {
		s.peers[p.Host] = p
		zones[p.Zone] = append(zones[p.Zone], p.Host)
	}
	s.others = make(map[ident.Zone][]ident.Host)
	for z, hosts := range zones {
		if z != s.Zone {
			s.others[z] = ranker.Rank(key(z), hosts)
		}
	}
	s.ahead = nil
	for _, h := range ranker.Rank(key(s.Zone), append(zones[s.Zone], s.Self)) {
		if h == s.Self {
			break
		}
		s.ahead = append(s.ahead, h)
	}
	for h := range s.failed {
		if _, ok := s.peers[h]; !ok {
			delete(s.failed, h)
		}
	}
}

func key(z ident.Zone) string {
	return "config/" + string(z)
}

// Fail notes that a host did not answer.
func (s *Selector) Fail(h ident.Host, now time.Time) {
	if s.failed == nil {
		s.failed = make(map[ident.Host]failure)
	}
	if s.isFailed(h, now) {
		return
	}
	s.failed[h] = failure{at: now, time: min(max(2*s.failed[h].time, MinFailed), MaxFailed)}
}

// Answer notes that a host answered.
func (s *Selector) Answer(h ident.Host) {
	delete(s.failed, h)
}

func (s *Selector) isFailed(h ident.Host, now time.Time) bool {
	f, ok := s.failed[h]
	return ok && now.Sub(f.at) < f.time
}

func (s *Selector) live(hosts []ident.Host, now time.Time) []ident.Host {
	var out []ident.Host
	for _, h := range hosts {
		if !s.isFailed(h, now) {
			out = append(out, h)
		}
	}
	return out
}

// Reads tells whether the process reads the log itself. Stale says that its sources are behind the log or silent.
func (s *Selector) Reads(stale bool, now time.Time) bool {
	n := len(s.live(s.ahead, now))
	return n < Lanes || stale && n < Lanes+Substitutes
}

// Source returns the peer that the process takes from in a lane. A reader has none.
func (s *Selector) Source(lane int, now time.Time) (Peer, bool) {
	live := s.live(s.ahead, now)
	if len(live) < Lanes {
		return Peer{}, false
	}
	i := (len(live)-Lanes)/Fanout + lane
	return s.peers[live[i]], true
}

// Remote returns a peer to ask while the log cannot be read: in turn one ahead in the zone, or the first of each other zone.
func (s *Selector) Remote(now time.Time) (Peer, bool) {
	var hosts []ident.Host
	live := s.live(s.ahead, now)
	hosts = append(hosts, live[:min(len(live), Lanes)]...)
	for _, z := range sortedZones(s.others) {
		l := s.live(s.others[z], now)
		hosts = append(hosts, l[:min(len(l), 1)]...)
	}
	if len(hosts) == 0 {
		return Peer{}, false
	}
	s.turn++
	return s.peers[hosts[s.turn%len(hosts)]], true
}

// Newcomer returns the peers that a process without state asks, the zone's own first.
func (s *Selector) Newcomer(limit int, now time.Time) []Peer {
	hosts := make([]ident.Host, 0, len(s.peers))
	for h, p := range s.peers {
		if p.Zone == s.Zone {
			hosts = append(hosts, h)
		}
	}
	hosts = s.live(ranker.Rank(key(s.Zone), hosts), now)
	hosts = hosts[:min(len(hosts), limit)]
	for _, z := range sortedZones(s.others) {
		if len(hosts) >= limit+Lanes {
			break
		}
		l := s.live(s.others[z], now)
		hosts = append(hosts, l[:min(len(l), 1)]...)
	}
	out := make([]Peer, len(hosts))
	for i, h := range hosts {
		out[i] = s.peers[h]
	}
	return out
}

// Peer returns a known peer.
func (s *Selector) Peer(h ident.Host) (Peer, bool) {
	p, ok := s.peers[h]
	return p, ok
}
