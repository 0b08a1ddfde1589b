package peerselector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

func newPeers(n int) []Peer {
	out := make([]Peer, n)
	for i := range out {
		out[i] = Peer{Host: ident.Host(fmt.Sprintf("h%d", i)), Zone: ident.Zone(fmt.Sprintf("z%d", i%3))}
	}
	return out
}

func newSelector(self Peer, list []Peer) *Selector {
	s := &Selector{Self: self.Host, Zone: self.Zone}
	var others []Peer
	for _, p := range list {
		if p.Host != self.Host {
			others = append(others, p)
		}
	}
	s.Update(others)
	return s
}

// TestSourcesFormNoCycle gives each host a different incomplete list of peers and different failures.
func TestSourcesFormNoCycle(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		now := time.Unix(0, 0)
		all := newPeers(rapid.IntRange(1, 60).Draw(rt, "hosts"))
		sources := make(map[ident.Host][]ident.Host)
		for _, self := range all {
			var list []Peer
			missing := rapid.SliceOfN(rapid.Bool(), len(all), len(all)).Draw(rt, "missing")
			failed := rapid.SliceOfN(rapid.Bool(), len(all), len(all)).Draw(rt, "failed")
			for i, p := range all {
				if !missing[i] {
					list = append(list, p)
				}
			}
			s := newSelector(self, list)
			for i, p := range all {
				if failed[i] {
					s.RecordFailure(p.Host, now)
				}
			}
			for index := range SourcesPerHost {
				if p, ok := s.Source(index, now); ok {
					sources[self.Host] = append(sources[self.Host], p.Host)
				} else if !s.ShouldReadLog(false, now) {
					rt.Fatalf("%s has no source and does not read the log", self.Host)
				}
			}
		}
		for h := range sources {
			checkNoCycle(rt, sources, h, 0)
		}
	})
}

func checkNoCycle(rt *rapid.T, sources map[ident.Host][]ident.Host, h ident.Host, depth int) {
	if depth > 60 {
		rt.Fatalf("cycle at %s", h)
	}
	for _, source := range sources[h][:min(len(sources[h]), 1)] {
		checkNoCycle(rt, sources, source, depth+1)
	}
}

func TestLoadOfSourcesIsBounded(t *testing.T) {
	is := is.New(t)
	all := newPeers(600)
	now := time.Unix(0, 0)
	load := make(map[ident.Host]int)
	readers := 0
	for _, self := range all {
		s := newSelector(self, all)
		if s.ShouldReadLog(false, now) {
			readers++
		}
		for index := range SourcesPerHost {
			if p, ok := s.Source(index, now); ok {
				load[p.Host]++
			}
		}
	}
	is.Equal(readers, 3*SourcesPerHost)
	for _, n := range load {
		is.True(n <= SourcesPerHost*Fanout)
	}
}

func TestFailedHostIsSelectedAfterBackoff(t *testing.T) {
	is := is.New(t)
	s := newSelector(Peer{Host: "h0", Zone: "z0"}, newPeers(30))
	now := time.Unix(0, 0)
	p, ok := s.BootstrapPeers(1, now)[0], true
	is.True(ok)
	s.RecordFailure(p.Host, now)
	is.True(s.BootstrapPeers(1, now)[0] != p)
	is.Equal(s.BootstrapPeers(1, now.Add(MinBackoff))[0], p)
	now = now.Add(MinBackoff)
	s.RecordFailure(p.Host, now)
	is.True(s.BootstrapPeers(1, now.Add(MinBackoff))[0] != p) // the second backoff is longer
	s.RecordSuccess(p.Host)
	is.Equal(s.BootstrapPeers(1, now)[0], p)
}

// TestFailedHostIsSelectedInTime guards against a backoff that keeps growing: after repeated failures, a host has to be
// selected early enough for all hosts to be up to date within 4 s of its recovery.
func TestFailedHostIsSelectedInTime(t *testing.T) {
	is := is.New(t)
	const recoveryLimit = 4 * time.Second
	s := newSelector(Peer{Host: "h0", Zone: "z0"}, newPeers(30))
	now := time.Unix(0, 0)
	p := s.BootstrapPeers(1, now)[0]
	for range 100 {
		s.RecordFailure(p.Host, now)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(s.BootstrapPeers(1, now.Add(recoveryLimit/2))[0], p)
}
