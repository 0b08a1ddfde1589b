// Package roster tracks the hosts that are known from the platform's host list, which lags, and from direct contact.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// GoneTimeout is how long a host must be missing from the list and not be seen directly before it is gone. Shorter
	// absences have no effect, so that nothing is reassigned to other hosts.
	GoneTimeout = 10 * time.Second
	// MaxHostsPerZone is the maximum number of hosts that are tracked in one availability zone.
	MaxHostsPerZone = 512
)

// State is the state of a host.
type State string

// States of hosts.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Observation is one observation of a host: an entry of the list, a report or a response.
type Observation struct {
	Host      ident.Host
	Zone      ident.Zone
	StartTime int64
	Leaving   bool
}

type hostEntry struct {
	zone      ident.Zone
	startTime int64
	leaving   bool
	// lastListed is when the list last named this incarnation.
	lastListed time.Time
	// lastSeen is when this incarnation was last seen directly.
	lastSeen time.Time
	// lastFailure is when the host was last unreachable.
	lastFailure time.Time
}

// Roster holds the known hosts. The zero value is empty. It is not safe for concurrent use.
type Roster struct {
	hosts     map[ident.Host]*hostEntry
	zoneSizes map[ident.Zone]int
	// listTime is when the last list was received. Hosts do not age without new lists.
	listTime time.Time
}

// ApplyList applies the platform's host list, which may be out of date.
func (r *Roster) ApplyList(now time.Time, list []Observation) {
	r.listTime = now
	for _, s := range list {
		if e := r.upsert(now, s); e != nil {
			e.lastListed = now
		}
	}
	r.removeExpired(now)
}

// Observe records that a host was seen directly. It returns false if it ignores the observation, because it is of an
// earlier incarnation than the known one or the zone is full.
func (r *Roster) Observe(now time.Time, s Observation) bool {
	e := r.upsert(now, s)
	if e == nil {
		return false
	}
	e.lastSeen = now
	return true
}

// MarkUnreachable records that a host was unreachable.
func (r *Roster) MarkUnreachable(now time.Time, h ident.Host) {
	if e := r.hosts[h]; e != nil {
		e.lastFailure = now
	}
}

// MarkLeaving records that a host refused a request because it is leaving. The host counts as leaving until its next
// incarnation.
func (r *Roster) MarkLeaving(h ident.Host) {
	if e := r.hosts[h]; e != nil {
		e.leaving = true
	}
}

// upsert adds or updates the entry of the host. It returns nil if the observation is of an earlier incarnation or the
// zone is full.
func (r *Roster) upsert(now time.Time, s Observation) *hostEntry {
	e := r.hosts[s.Host]
	if e != nil && s.StartTime < e.startTime {
		return nil
	}
	if e == nil {
		if r.zoneSizes[s.Zone] >= MaxHostsPerZone && !r.evictGone(now, s.Zone) {
			return nil
		}
		r.init()
		e = &hostEntry{zone: s.Zone, startTime: s.StartTime}
		r.hosts[s.Host] = e
		r.zoneSizes[s.Zone]++
	}
	if s.StartTime > e.startTime {
		*e = hostEntry{zone: e.zone, startTime: s.StartTime}
	}
	if s.Zone != e.zone {
		r.zoneSizes[e.zone]--
		r.zoneSizes[s.Zone]++
		e.zone = s.Zone
	}
	e.leaving = e.leaving || s.Leaving
	return e
}

func (r *Roster) init() {
	if r.hosts == nil {
		r.hosts = make(map[ident.Host]*hostEntry)
		r.zoneSizes = make(map[ident.Zone]int)
	}
}

// evictGone removes one host of the zone that is gone. It returns false if there is none.
func (r *Roster) evictGone(now time.Time, z ident.Zone) bool {
	for h, e := range r.hosts {
		if e.zone == z && r.state(now, e) == Gone {
			r.remove(h, e)
			return true
		}
	}
	return false
}

// removeExpired removes hosts that have been missing for twice GoneTimeout.
func (r *Roster) removeExpired(now time.Time) {
	for h, e := range r.hosts {
		if r.missingFor(e) > 2*GoneTimeout && now.Sub(e.lastSeen) > 2*GoneTimeout {
			r.remove(h, e)
		}
	}
}

// missingFor returns the time between the last list that named the host and the last list.
func (r *Roster) missingFor(e *hostEntry) time.Duration {
	return r.listTime.Sub(e.lastListed)
}

func (r *Roster) remove(h ident.Host, e *hostEntry) {
	delete(r.hosts, h)
	r.zoneSizes[e.zone]--
	if r.zoneSizes[e.zone] == 0 {
		delete(r.zoneSizes, e.zone)
	}
}

func (r *Roster) state(now time.Time, e *hostEntry) State {
	switch {
	case r.missingFor(e) > GoneTimeout && now.Sub(e.lastSeen) > GoneTimeout:
		return Gone
	case e.leaving:
		return Leaving
	case !e.lastFailure.IsZero() && !e.lastFailure.Before(e.lastSeen):
		return Suspect
	}
	return Live
}

// State returns the state of a host; unknown hosts are gone.
func (r *Roster) State(now time.Time, h ident.Host) State {
	e := r.hosts[h]
	if e == nil {
		return Gone
	}
	return r.state(now, e)
}

// Host is a known host with its state.
type Host struct {
	Host      ident.Host
	Zone      ident.Zone
	StartTime int64
	State     State
}

// Hosts returns all hosts that are not gone, in the order of their names.
func (r *Roster) Hosts(now time.Time) []Host {
	var out []Host
	for h, e := range r.hosts {
		if state := r.state(now, e); state != Gone {
			out = append(out, Host{Host: h, Zone: e.zone, StartTime: e.startTime, State: state})
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
