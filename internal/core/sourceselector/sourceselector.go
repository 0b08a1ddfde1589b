// Package sourceselector decides from which host a host reads the records of a topic of the store next, how long that host may wait
// for news, and when the store itself is read. It bounds the age of what a host knows, and the number of hosts of an availability
// zone that read the store at the same time, however many of them fail or start together.
//
// In a good state, the host with the lowest address of all reads the store, the one with the lowest address of each other zone
// reads from it, and all others read from that of their zone. A host that is behind does not count: it is asked last, and reads from any
// host that is current. While no host of a zone is current, its hosts take turns at reading from outside the zone, in
// the order of their addresses.
package sourceselector

import "time"

// Store names the store as a source.
const Store = "store"

const (
	// overdue is how much older than a period the state of a host may become before it looks for another source if it reads from
	// outside its zone. The second host of a zone waits for secondDelay longer, and the others for followerDelay, so that they find that a
	// host before them has switched already.
	overdue       = 300 * time.Millisecond
	secondDelay   = 150 * time.Millisecond
	followerDelay = 350 * time.Millisecond
	// behindDelay is how much older than a period the state of a host that counts as current may be. Hosts switch before that.
	behindDelay = 1300 * time.Millisecond
	// startDelay is how much older than a period the state may be that a host takes when it starts: it learns soon what has changed since.
	startDelay = time.Second
	// lostDelay is how much longer than that a host asks only hosts that come before it: all hosts of a zone become behind at about the
	// same time, and it takes two beats until they know it of each other.
	lostDelay = 300 * time.Millisecond
	// retryWait is how long a source may wait for news if the state is already too old.
	retryWait = 250 * time.Millisecond
	// Turn is the time between two hosts of a zone that begin to read from outside it while none is current.
	Turn = 250 * time.Millisecond
	// minBan and maxBan limit the time for which a source that has failed is not asked. The longest is the shortest time within
	// which a change must be in force.
	minBan = 300 * time.Millisecond
	maxBan = 2 * time.Second
	// maxRemoteTries is the number of hosts of other zones that are tried before the store is read.
	maxRemoteTries = 2
	// beatWait is how long a host that has heard no other host of its zone, or that starts, waits for beats of current hosts before it
	// reads from outside the zone. All hosts of the zone may have started, or stood still, together.
	beatWait = 200 * time.Millisecond
	// pollInterval is the time between two decisions while no other host is known.
	pollInterval = 25 * time.Millisecond
	// maxWaitGap is the longest time between two decisions while a host waits, unless it stands still.
	maxWaitGap = time.Second
	// maxFirstReaders is the number of hosts of a zone that read from outside it at once when all of them start.
	maxFirstReaders = 2
)

// State is what a host says of itself in its beats.
type State uint8

// States of a host. A host that is behind does not hold the state, or does not know whether it is up to date. One that is
// fetching is behind and receives the state at the moment.
const (
	Current State = iota
	Behind
	Fetching
)

// Contact says how a host knows that another one is alive.
type Contact uint8

// Contacts: a beat was received a moment ago; another host has reported the host as alive; or the list of hosts has it, and
// there was no time for a beat yet.
const (
	Heard Contact = iota
	Reported
	Listed
)

// Peer is another host as this host sees it.
type Peer struct {
	Address string
	// IsLocal says that the host is in the zone of this one, and IsLower that its address is lower.
	IsLocal, IsLower bool
	Contact          Contact
	// State is the state in the last beat. It is Current for hosts that are reported, and not known for listed ones.
	State State
}

// Own is the state of this host for the topic.
type Own struct {
	// IsLoaded says that this host holds the topic, and Age is the time since that was known to be the newest state.
	IsLoaded bool
	Age      time.Duration
}

// Decision names the next source.
type Decision struct {
	// Source is the address of a host, or Store. It is empty if this host waits for signs of life of others.
	Source string
	// Wait is how long the source may wait for news, or how long this host waits.
	Wait time.Duration
	// IsTurnAwaited says that the source need not be current: this host waits for its turn.
	IsTurnAwaited bool
	// IsWhole says that the newest values are read and not each change, since values may have changed several times.
	IsWhole bool
	// MaxAge is the age up to which an answer of the source counts as current.
	MaxAge time.Duration
	// IsOutside says that the source is outside the zone, so that other hosts of the zone wait for what it gives.
	IsOutside bool
}

// ageResolution is the resolution of ages in answers.
const ageResolution = time.Millisecond

// Accepts reports whether an answer with an age counts as current.
func (d Decision) Accepts(age time.Duration) bool {
	return age < d.MaxAge-ageResolution
}

type ban struct {
	until    time.Time
	duration time.Duration
}

// Selector decides for one topic. Set its fields before use. It is not safe for concurrent use.
type Selector struct {
	// Period is the longest time between two calls to the store by the host that reads it.
	Period time.Duration

	bans map[string]ban
	// aloneSince is when this host last began to have no source in its zone; zero if it has one. lastTurn is the last turn that it has
	// used since.
	aloneSince time.Time
	lastTurn   int
	// waitedAt is when this host last waited for its turn or for beats; zero if its last decision was another one.
	waitedAt       time.Time
	remoteFailures int
}

// IsBehind reports whether a host with this state does not count as current.
func (s *Selector) IsBehind(own Own) bool {
	return !own.IsLoaded || own.Age > s.Period+behindDelay
}

// MaxStartAge returns the age up to which a host that starts takes the state of another one.
func (s *Selector) MaxStartAge() time.Duration {
	return s.Period + startDelay
}

// isLost reports whether this host has been behind for so long that it asks any host that is current.
func (s *Selector) isLost(own Own) bool {
	return !own.IsLoaded || own.Age > s.Period+behindDelay+lostDelay
}

// MaxAge returns the age from which a host looks for another source, if there are the given number of hosts before it in its
// zone.
func (s *Selector) MaxAge(hostsBefore int) time.Duration {
	switch hostsBefore {
	case 0:
		return s.Period + overdue
	case 1:
		return s.Period + overdue + secondDelay
	}
	return s.Period + overdue + followerDelay
}

// view is what matters of the peers.
type view struct {
	// sources are the current hosts of the zone that this one may read from, fetching those that receive the state, and lower all that
	// are alive and come before it. others are all of the zone that are alive.
	sources, fetching, lower, others []Peer
	// hasHeard says that a beat was received from any host of the zone.
	hasHeard bool
}

func (s *Selector) look(now time.Time, own Own, peers []Peer) (v view) {
	isLost := s.isLost(own)
	for _, p := range peers {
		if !p.IsLocal {
			continue
		}
		v.hasHeard = v.hasHeard || p.Contact == Heard
		if s.isBanned(now, p.Address) {
			continue
		}
		v.others = append(v.others, p)
		if p.IsLower {
			v.lower = append(v.lower, p)
		}
		if p.Contact != Heard || !p.IsLower && !isLost {
			continue
		}
		switch p.State {
		case Current:
			v.sources = append(v.sources, p)
		case Fetching:
			v.fetching = append(v.fetching, p)
		}
	}
	return v
}

// Next returns the next source. Peers must be in the order of their addresses.
func (s *Selector) Next(now time.Time, own Own, peers []Peer) Decision {
	if !s.waitedAt.IsZero() && now.Sub(s.waitedAt) > maxWaitGap {
		// This host stood still, and has heard of no other host for as long.
		s.aloneSince = time.Time{}
	}
	d := s.next(now, own, peers)
	s.waitedAt = time.Time{}
	if d.IsTurnAwaited {
		s.waitedAt = now
	}
	return d
}

func (s *Selector) next(now time.Time, own Own, peers []Peer) Decision {
	v := s.look(now, own, peers)
	if len(v.sources) > 0 {
		s.aloneSince = time.Time{}
		first := v.sources[0]
		if !own.IsLoaded {
			// Hosts that start together need the whole state, so they share the hosts that hold it.
			first = v.sources[len(v.lower)%len(v.sources)]
		}
		maxAge := s.MaxAge(len(v.sources))
		return Decision{Source: first.Address, Wait: max(retryWait, maxAge-own.Age), MaxAge: maxAge}
	}
	if s.aloneSince.IsZero() {
		s.aloneSince, s.lastTurn = now, -1
	}
	maxAge := s.MaxAge(0)
	elapsed := now.Sub(s.aloneSince)
	switch {
	case len(v.fetching) > 0 && s.IsBehind(own):
		return Decision{Source: v.fetching[0].Address, Wait: retryWait, IsTurnAwaited: true, MaxAge: maxAge}
	case elapsed < beatWait && len(v.others) == 0 && !v.hasHeard:
		return Decision{Wait: min(pollInterval, beatWait-elapsed), IsTurnAwaited: true}
	case elapsed < beatWait && (!own.IsLoaded || !v.hasHeard) && len(v.others) > 0:
		return Decision{Source: v.others[0].Address, Wait: beatWait - elapsed, IsTurnAwaited: true, MaxAge: maxAge}
	case len(v.lower) == 0, !own.IsLoaded && len(v.lower) < maxFirstReaders:
		return s.outside(now, own, peers)
	}
	// Each host has a turn, so that those that cannot read from outside do not keep the others from it.
	turn, hosts := int(elapsed/Turn), len(v.others)+1
	if turn%hosts == len(v.lower) && turn > s.lastTurn {
		s.lastTurn = turn
		return s.outside(now, own, peers)
	}
	untilNext := Turn - elapsed%Turn
	return Decision{Source: v.lower[0].Address, Wait: untilNext, IsTurnAwaited: true, MaxAge: maxAge}
}

// outside returns a source outside the zone, or any if the store cannot be read.
func (s *Selector) outside(now time.Time, own Own, peers []Peer) Decision {
	isLost, maxAge := s.isLost(own), s.MaxAge(0)
	d := Decision{Source: Store, IsWhole: own.IsLoaded && own.Age > maxAge, MaxAge: maxAge, IsOutside: true}
	if s.remoteFailures < maxRemoteTries {
		for _, p := range peers {
			if !p.IsLocal && p.Contact == Heard && p.State == Current && (p.IsLower || isLost) && !s.isBanned(now, p.Address) {
				return Decision{Source: p.Address, Wait: max(retryWait, maxAge-own.Age), MaxAge: maxAge, IsOutside: true}
			}
		}
	}
	if !s.isBanned(now, Store) {
		return d
	}
	for _, p := range peers {
		if p.Contact == Heard && p.State == Current && !s.isBanned(now, p.Address) {
			return Decision{Source: p.Address, Wait: retryWait, MaxAge: maxAge}
		}
	}
	return d
}

// IsUsable reports whether a query to the source of a decision is worth waiting for.
func (s *Selector) IsUsable(now time.Time, d Decision, own Own, peers []Peer) bool {
	if d.Source == Store || d.Source == "" {
		return true
	}
	if d.IsTurnAwaited && len(s.look(now, own, peers).sources) > 0 {
		return false
	}
	for _, p := range peers {
		if p.Address == d.Source {
			return d.IsTurnAwaited || p.Contact == Heard && p.State == Current
		}
	}
	return false
}

// RecordAnswer records an answer of a source, with the age of its state, and whether the source receives a newer one at the moment. It
// reports whether the answer counts as current.
func (s *Selector) RecordAnswer(now time.Time, d Decision, age time.Duration, isFetching bool) bool {
	if !d.Accepts(age) {
		if !d.IsTurnAwaited && !isFetching {
			s.RecordFailure(now, d)
		}
		return false
	}
	delete(s.bans, d.Source)
	s.remoteFailures = 0
	return true
}

// RecordFailure records that a source did not answer, does not hold what was asked for, or is too old.
func (s *Selector) RecordFailure(now time.Time, d Decision) {
	if s.bans == nil {
		s.bans = make(map[string]ban)
	}
	if d.IsOutside && d.Source != Store {
		s.remoteFailures++
	}
	duration := min(maxBan, max(minBan, 2*s.bans[d.Source].duration))
	s.bans[d.Source] = ban{until: now.Add(duration), duration: duration}
}

// BannedFor returns how long a source is not asked.
func (s *Selector) BannedFor(now time.Time, source string) time.Duration {
	return max(0, s.bans[source].until.Sub(now))
}

func (s *Selector) isBanned(now time.Time, source string) bool {
	return now.Before(s.bans[source].until)
}
