// Package roster joins the platform's lagging list of hosts with what is seen of the hosts directly.
package roster

import (
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// GoneTime is how long a host must be missing from the list, and not heard of, before it is gone. A shorter
	// absence moves nothing.
	GoneTime = 10 * time.Second
	// MaxZone bounds the hosts that are kept of one availability zone.
	MaxZone = 512
)

// State is what is known of a host.
type State string

// States of hosts.
const (
	Live    State = "live"
	Suspect State = "suspect"
	Leaving State = "leaving"
	Gone    State = "gone"
)

// Sighting is one sign of a host: a line of the list, a report or an answer.
type Sighting struct {
	Host    ident.Host
	Zone    ident.Zone
	Birth   int64
	Leaving bool
}

type entry struct {
	zone    ident.Zone
	birth   int64
	leaving bool
	// listed is when the list last named this incarnation, heard when it last gave a sign itself, failed when it was
	// last found unreachable.
	listed time.Time
	heard  time.Time
	failed time.Time
}

// Roster holds the hosts that are known. The zero value is empty. It is not safe for concurrent use.
type Roster struct {
	hosts map[ident.Host]*entry
	zones map[ident.Zone]int
	// listed is when the list was last had. Hosts do not age while there is none.
	listed time.Time
}

// List takes the platform's list, which may be old.
func (r *Roster) List(now time.Time, list []Sighting) {
	r.listed = now
	for _, s := range list {
		if e := r.admit(now, s); e != nil {
			e.listed = now
		}
	}
	r.sweep(now)
}

// Hear takes a sign that the host itself gave. It tells whether the sign is of the host's latest known incarnation.
func (r *Roster) Hear(now time.Time, s Sighting) bool {
	e := r.admit(now, s)
	if e == nil {
		return false
	}
	e.heard = now
	return true
}

// Fail records that a host could not be reached.
func (r *Roster) Fail(now time.Time, h ident.Host) {
	if e := r.hosts[h]; e != nil {
		e.failed = now
	}
}

// Leave records that a host refused work because it is leaving. The mark stays until the next incarnation.
func (r *Roster) Leave(h ident.Host) {
	if e := r.hosts[h]; e != nil {
		e.leaving = true
	}
}

// admit returns the entry of the host, or nil if the sign is of an earlier incarnation or the zone is full.
func (r *Roster) admit(now time.Time, s Sighting) *entry {
	e := r.hosts[s.Host]
	if e != nil && s.Birth < e.birth {
		return nil
	}
	if e == nil {
		if r.zones[s.Zone] >= MaxZone && !r.evict(now, s.Zone) {
			return nil
		}
		r.init()
		e = &entry{zone: s.Zone, birth: s.Birth}
		r.hosts[s.Host] = e
		r.zones[s.Zone]++
	}
	if s.Birth > e.birth {
		*e = entry{zone: e.zone, birth: s.Birth}
	}
	if s.Zone != e.zone {
		r.zones[e.zone]--
		r.zones[s.Zone]++
		e.zone = s.Zone
	}
	e.leaving = e.leaving || s.Leaving
	return e
}

func (r *Roster) init() {
	if r.hosts == nil {
		r.hosts = make(map[ident.Host]*entry)
		r.zones = make(map[ident.Zone]int)
	}
}

// evict makes room for one host in a zone by dropping one that is gone.
func (r *Roster) evict(now time.Time, z ident.Zone) bool {
	for h, e := range r.hosts {
		if e.zone == z && r.state(now, e) == Gone {
			r.drop(h, e)
			return true
		}
	}
	return false
}

// sweep drops hosts that are long gone.
func (r *Roster) sweep(now time.Time) {
	for h, e := range r.hosts {
		if r.absent(e) > 2*GoneTime && now.Sub(e.heard) > 2*GoneTime {
			r.drop(h, e)
		}
	}
}

// absent returns how long the list has been without the host.
func (r *Roster) absent(e *entry) time.Duration {
	return r.listed.Sub(e.listed)
}

func (r *Roster) drop(h ident.Host, e *entry) {
	delete(r.hosts, h)
	r.zones[e.zone]--
	if r.zones[e.zone] == 0 {
		delete(r.zones, e.zone)
	}
}

func (r *Roster) state(now time.Time, e *entry) State {
	switch {
	case r.absent(e) > GoneTime && now.Sub(e.heard) > GoneTime:
		return Gone
	case e.leaving:
		return Leaving
	case !e.failed.IsZero() && !e.failed.Before(e.heard):
		return Suspect
	}
	return Live
}

// State returns the state of a host. A host that is not known is gone.
func (r *Roster) State(now time.Time, h ident.Host) State {
	e := r.hosts[h]
	if e == nil {
		return Gone
	}
	return r.state(now, e)
}

// Host is a known host with its state.
type Host struct {
	Host  ident.Host
	Zone  ident.Zone
	Birth int64
	State State
}

// Hosts returns all hosts that are not gone, in the order of their names.
func (r *Roster) Hosts(now time.Time) []Host {
	var out []Host
	for h, e := range r.hosts {
		if st := r.state(now, e); st != Gone {
			out = append(out, Host{Host: h, Zone: e.zone, Birth: e.birth, State: st})
		}
	}
	slices.SortFunc(out, func(a, b Host) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}
