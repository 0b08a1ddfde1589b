// Package presencetracker tracks which entry hosts are alive, with a number of messages that grows with the hosts and
// not with their square. In each availability zone, the two live hosts with the lowest addresses are leaders. They send
// beats to all hosts of their zone, and the list of its live hosts to the leaders of the other zones. The others send
// beats to the leaders of their zone alone.
package presencetracker

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// Interval is the time between two calls of Due.
	Interval = 150 * time.Millisecond
	// rareBeatPeriod is the period, in calls of Due, of the beats to leaders and to other zones.
	rareBeatPeriod = 3
	leaderCount    = 2
	// aliveTimeout is the time without a beat after which a host is not relied on: several beats of a leader.
	aliveTimeout = 500 * time.Millisecond
	// remoteAliveTimeout is the same for a host of another zone: two of its rare beats.
	remoteAliveTimeout = 1100 * time.Millisecond
	// listTimeout is how long a host counts as live after the last beat that another host has received from it or has
	// heard of: several of the rare beats.
	listTimeout = 1500 * time.Millisecond
	// memberTimeout is the time without any sign of life after which a host is left out of the list.
	memberTimeout = 5 * time.Second
)

// Host is one entry host.
type Host struct {
	Zone    ident.Zone
	Address netip.AddrPort
}

// Beat is a sign of life of an entry host. The host that receives it adds the sender.
type Beat struct {
	// Zone lists the live hosts of the sender's zone from which the sender has received beats itself.
	Zone []netip.Addr `cbor:"zone,omitempty"`
	// Others lists the live hosts of other zones, as their leaders report them.
	Others []netip.Addr `cbor:"others,omitempty"`
}

// Message is a beat to send.
type Message struct {
	To   []netip.AddrPort
	Beat Beat
}

// Tracker tracks the hosts for one of them. Set its fields before use. It is safe for concurrent use.
type Tracker struct {
	Self netip.Addr
	Zone ident.Zone

	mu    sync.Mutex
	hosts []Host
	zones map[netip.Addr]ident.Zone
	// heardAt is when a beat of a host was last received, reportedAt when a leader of its own zone last listed it, and
	// relayedAt when a leader of this host's zone last passed that on.
	heardAt, reportedAt, relayedAt map[netip.Addr]time.Time
	startedAt                      time.Time
	ticks                          int
}

func (t *Tracker) init() {
	if t.heardAt != nil {
		return
	}
	t.heardAt, t.reportedAt, t.relayedAt = make(map[netip.Addr]time.Time), make(map[netip.Addr]time.Time), make(map[netip.Addr]time.Time)
	t.startedAt = time.Now()
}

// SetHosts replaces the list of entry hosts.
func (t *Tracker) SetHosts(hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.hosts = slices.SortedFunc(slices.Values(hosts), func(a, b Host) int { return a.Address.Addr().Compare(b.Address.Addr()) })
	t.zones = make(map[netip.Addr]ident.Zone, len(hosts))
	for _, h := range hosts {
		t.zones[h.Address.Addr()] = h.Zone
	}
}

// Receive records a beat.
func (t *Tracker) Receive(from netip.Addr, b Beat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	t.heardAt[from] = now
	isSameZone := t.zones[from] == t.Zone
	for _, a := range b.Zone {
		if isSameZone {
			t.relayedAt[a] = now
		} else {
			t.reportedAt[a] = now
		}
	}
	if !isSameZone {
		return
	}
	for _, a := range b.Others {
		t.relayedAt[a] = now
	}
}

// Due returns the beats to send now. It is called every Interval.
func (t *Tracker) Due() []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.ticks++
	now := time.Now()
	isRareDue := t.ticks%rareBeatPeriod == 1
	if !t.isLeader(now) {
		if !isRareDue {
			return nil
		}
		return []Message{{To: t.leadersOf(t.Zone, now)}}
	}
	beat := Beat{}
	for _, h := range t.hosts {
		a := h.Address.Addr()
		switch {
		case h.Zone == t.Zone && (a == t.Self || now.Sub(t.heardAt[a]) <= listTimeout):
			beat.Zone = append(beat.Zone, a)
		case h.Zone != t.Zone && now.Sub(t.reportedAt[a]) <= listTimeout:
			beat.Others = append(beat.Others, a)
		}
	}
	var inZone, remote []netip.AddrPort
	remoteZones := make(map[ident.Zone]bool)
	for _, h := range t.hosts {
		switch {
		case h.Address.Addr() == t.Self:
		case h.Zone == t.Zone:
			inZone = append(inZone, h.Address)
		case isRareDue && !remoteZones[h.Zone]:
			remoteZones[h.Zone] = true
			remote = append(remote, t.leadersOf(h.Zone, now)...)
		}
	}
	out := []Message{{To: inZone, Beat: beat}}
	if len(remote) > 0 {
		out = append(out, Message{To: remote, Beat: Beat{Zone: beat.Zone}})
	}
	return out
}

// isLeader reports whether fewer than leaderCount hosts of the zone with lower addresses are live. The caller must hold
// t.mu.
func (t *Tracker) isLeader(now time.Time) bool {
	lower := 0
	for _, h := range t.hosts {
		a := h.Address.Addr()
		if h.Zone != t.Zone || !a.Less(t.Self) {
			continue
		}
		silence := now.Sub(t.heardAt[a])
		hasFallenSilent := silence > aliveTimeout && silence <= memberTimeout
		if silence <= aliveTimeout || !hasFallenSilent && now.Sub(t.relayedAt[a]) <= aliveTimeout {
			lower++
		}
	}
	return lower < leaderCount
}

// leadersOf returns the hosts of a zone with the lowest addresses that are live as far as this host knows, or just the
// lowest ones if none is known to be. The caller must hold t.mu.
func (t *Tracker) leadersOf(z ident.Zone, now time.Time) []netip.AddrPort {
	var live, all []netip.AddrPort
	for _, h := range t.hosts {
		if h.Zone != z || h.Address.Addr() == t.Self {
			continue
		}
		if len(all) < leaderCount+1 {
			all = append(all, h.Address)
		}
		if len(live) < leaderCount && t.silence(h.Address.Addr(), now) <= listTimeout {
			live = append(live, h.Address)
		}
	}
	if len(live) == 0 {
		return all
	}
	return live
}

// silence returns the time since the last sign of life of a host. The caller must hold t.mu.
func (t *Tracker) silence(a netip.Addr, now time.Time) time.Duration {
	return min(now.Sub(t.heardAt[a]), now.Sub(t.reportedAt[a]), now.Sub(t.relayedAt[a]))
}

// IsResponsive reports whether a beat of the host was received a moment ago. A host that is not a leader receives beats
// of the leaders of its zone alone, and leaders also those of the leaders of other zones, which are rare.
func (t *Tracker) IsResponsive(a netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	timeout := aliveTimeout
	if t.zones[a] != t.Zone {
		timeout = remoteAliveTimeout
	}
	return time.Since(t.heardAt[a]) <= timeout
}

// IsAlive reports whether the host is live as far as the leaders know.
func (t *Tracker) IsAlive(a netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return a == t.Self || t.silence(a, time.Now()) <= listTimeout
}

// IsMember reports whether the host has shown a sign of life within the last seconds. All hosts count as members in the
// first seconds after the start of this one.
func (t *Tracker) IsMember(a netip.Addr) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	return a == t.Self || now.Sub(t.startedAt) < memberTimeout || t.silence(a, now) <= memberTimeout
}
