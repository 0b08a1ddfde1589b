// Package presencetracker tracks which entry hosts are alive, with a number of messages that grows with the hosts and
// not with their square. In each availability zone, the two live hosts with the lowest addresses are leaders. They send
// beats to all hosts of their zone, and the list of its live hosts to the leaders of the other zones. The others send
// beats to the leaders of their zone alone.
//
// Beats say whether their sender is up to date with the store. A host that is not becomes a leader only if fewer than two others are,
// so that a host that has started does not replace one that the others read from.
package presencetracker

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/sourceselector"
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
	// listedTime is how long after the list of hosts became known a host on it may be alive without a sign of life: two beats
	// of a leader and the time that they take.
	listedTime = 350 * time.Millisecond
	// reportTimeout is how long a host that leaders have listed may be alive after their last list: the time until their silence is
	// noticed, and two beats in which all live hosts of the zone then make themselves known.
	reportTimeout = aliveTimeout + 2*Interval + 50*time.Millisecond
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
	// State is the state of the sender.
	State sourceselector.State `cbor:"state,omitempty"`
	// HasResigned says that the sender is no leader any more and sends no further beats to the hosts of its zone.
	HasResigned bool `cbor:"resigned,omitempty"`
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
	// State returns the state of this host. Nil means that it is always current.
	State func() sourceselector.State

	mu    sync.Mutex
	hosts []Host
	// listedAt is when the list of hosts became known.
	listedAt time.Time
	zones    map[netip.Addr]ident.Zone
	states   map[netip.Addr]sourceselector.State
	// resigned holds the hosts whose last beat said so, and isLeading is set if this host was a leader when Due was last called.
	resigned  map[netip.Addr]bool
	isLeading bool
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
	t.resigned = make(map[netip.Addr]bool)
	t.states = make(map[netip.Addr]sourceselector.State)
	t.startedAt = time.Now()
}

// SetHosts replaces the list of entry hosts.
func (t *Tracker) SetHosts(hosts []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	if t.listedAt.IsZero() {
		t.listedAt = time.Now()
	}
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
	t.heardAt[from], t.states[from], t.resigned[from] = now, b.State, b.HasResigned
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
	state := sourceselector.Current
	if t.State != nil {
		state = t.State()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	t.ticks++
	now := time.Now()
	isRareDue := t.ticks%rareBeatPeriod == 1
	wasLeading := t.isLeading
	t.isLeading = t.isLeader(now, state != sourceselector.Current)
	if !t.isLeading {
		switch {
		case wasLeading:
			return []Message{{To: t.othersInZone(), Beat: Beat{State: state, HasResigned: true}}}
		case isRareDue:
			return []Message{{To: t.leadersOf(t.Zone, now), Beat: Beat{State: state, HasResigned: true}}}
		}
		return nil
	}
	beat := Beat{State: state}
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
		out = append(out, Message{To: remote, Beat: Beat{Zone: beat.Zone, State: state}})
	}
	return out
}

// othersInZone returns the other hosts of the zone. The caller must hold t.mu.
func (t *Tracker) othersInZone() []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range t.hosts {
		if h.Zone == t.Zone && h.Address.Addr() != t.Self {
			out = append(out, h.Address)
		}
	}
	return out
}

// isLeader reports whether fewer than leaderCount live hosts of the zone come before this one: those that are current if it is
// behind, and those with lower addresses in the same state. The caller must hold t.mu.
func (t *Tracker) isLeader(now time.Time, isBehind bool) bool {
	before := 0
	for _, h := range t.hosts {
		a := h.Address.Addr()
		if h.Zone != t.Zone || a == t.Self || !t.comesBefore(a, now, isBehind) {
			continue
		}
		if now.Sub(t.heardAt[a]) <= aliveTimeout || t.isReported(a, now, aliveTimeout) {
			before++
		}
	}
	return before < leaderCount
}

// comesBefore reports whether a host of the zone comes before this one if both are alive. The caller must hold t.mu.
func (t *Tracker) comesBefore(a netip.Addr, now time.Time, isBehind bool) bool {
	if isOtherBehind := t.isBehind(a, now); isOtherBehind != isBehind {
		return isBehind
	}
	return a.Less(t.Self)
}

// isBehind reports whether a host is known to be behind. The caller must hold t.mu.
func (t *Tracker) isBehind(a netip.Addr, now time.Time) bool {
	return t.states[a] != sourceselector.Current && now.Sub(t.heardAt[a]) <= listTimeout
}

// isReported reports whether another host has listed a host as live within a time, and this host has not noticed itself that it has
// fallen silent. The caller must hold t.mu.
func (t *Tracker) isReported(a netip.Addr, now time.Time, within time.Duration) bool {
	silence := now.Sub(t.heardAt[a])
	hasFallenSilent := silence > aliveTimeout && silence <= memberTimeout && !t.resigned[a]
	return !hasFallenSilent && now.Sub(t.relayedAt[a]) <= within
}

// leadersOf returns the leaders of a zone as far as this host knows: the live hosts with the lowest addresses that are not known to
// be behind, and then those that are. If no host is known to be live, it returns the lowest ones. The caller must hold t.mu.
func (t *Tracker) leadersOf(z ident.Zone, now time.Time) []netip.AddrPort {
	var live, behind, all []netip.AddrPort
	for _, h := range t.hosts {
		a := h.Address.Addr()
		if h.Zone != z || a == t.Self {
			continue
		}
		if len(all) < leaderCount+1 {
			all = append(all, h.Address)
		}
		switch {
		case t.silence(a, now) > listTimeout:
		case t.isBehind(a, now):
			behind = append(behind, h.Address)
		default:
			live = append(live, h.Address)
		}
	}
	live = append(live, behind...)
	if len(live) == 0 {
		return all
	}
	return live[:min(leaderCount, len(live))]
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

// Peers returns the hosts of the zone that may be alive, and those of other zones from which a beat was received a moment ago, in the
// order of their addresses. While the list of hosts is not known, it returns those from which a beat was received. name returns the
// address at which a host is asked.
func (t *Tracker) Peers(name func(a netip.Addr) string) []sourceselector.Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.init()
	now := time.Now()
	if len(t.hosts) == 0 {
		return t.unlistedPeers(now, name)
	}
	var out []sourceselector.Peer
	for _, h := range t.hosts {
		a := h.Address.Addr()
		p := sourceselector.Peer{IsLocal: h.Zone == t.Zone, IsLower: a.Less(t.Self), State: t.states[a]}
		timeout := aliveTimeout
		if !p.IsLocal {
			timeout = remoteAliveTimeout
		}
		switch {
		case a == t.Self:
			continue
		case now.Sub(t.heardAt[a]) <= timeout:
			p.Contact = sourceselector.Heard
		case !p.IsLocal:
			continue
		case t.isReported(a, now, reportTimeout):
			p.Contact, p.State = sourceselector.Reported, sourceselector.Current
		case t.heardAt[a].IsZero() && now.Sub(t.listedAt) <= listedTime:
			p.Contact, p.State = sourceselector.Listed, sourceselector.Behind
		default:
			continue
		}
		p.Address = name(a)
		out = append(out, p)
	}
	return out
}

// unlistedPeers returns the hosts from which a beat was received a moment ago. Hosts of other zones send beats to leaders alone, so
// that they are taken for hosts of the zone. The caller must hold t.mu.
func (t *Tracker) unlistedPeers(now time.Time, name func(a netip.Addr) string) []sourceselector.Peer {
	var out []sourceselector.Peer
	for _, a := range slices.SortedFunc(maps.Keys(t.heardAt), netip.Addr.Compare) {
		if now.Sub(t.heardAt[a]) <= aliveTimeout {
			out = append(out, sourceselector.Peer{Address: name(a), IsLocal: true, IsLower: a.Less(t.Self), State: t.states[a]})
		}
	}
	return out
}
