package reporter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const (
	// nearTargets is the number of entry hosts of the own zone that are kept up to date with the load.
	nearTargets = 8
	// farTargets is the number of entry hosts of each other zone that know the endpoint, so that they can spill to it.
	farTargets = 2
	// loadBytes is the size of one load on the wire.
	loadBytes = 140
	// loadBudget is the rate in bytes a second at which loads may come in at one entry host.
	loadBudget = 2500
)

// Targets are the entry hosts that one endpoint host reports to.
type Targets struct {
	// Near get every load.
	Near []membership.Member
	// Far get full reports only: the others of the own zone, and a few of each other zone.
	Far []membership.Member
	// Interval is the time between loads that keeps an entry host within its budget of bytes.
	Interval time.Duration
}

// All returns all targets.
func (t Targets) All() []membership.Member {
	return append(append([]membership.Member(nil), t.Near...), t.Far...)
}

// Choose returns the targets of an endpoint host by rendezvous rank, so that each entry host of a zone is kept up to
// date by an equal part of the endpoints.
func Choose(self ident.Host, zone ident.Zone, entries, endpoints []membership.Member) Targets {
	zones := make(map[ident.Zone][]ident.Host)
	members := make(map[ident.Host]membership.Member, len(entries))
	for _, m := range entries {
		zones[m.Zone] = append(zones[m.Zone], m.Host)
		members[m.Host] = m
	}
	var t Targets
	for z, hosts := range zones {
		for i, h := range ranker.Rank(string(self), hosts) {
			switch {
			case z == zone && i < nearTargets:
				t.Near = append(t.Near, members[h])
			case z == zone || i < farTargets:
				t.Far = append(t.Far, members[h])
			}
		}
	}
	t.Interval = interval(zone, len(zones[zone]), endpoints)
	return t
}

func interval(zone ident.Zone, entries int, endpoints []membership.Member) time.Duration {
	n := 0
	for _, m := range endpoints {
		if m.Zone == zone {
			n++
		}
	}
	each := float64(n*min(entries, nearTargets)) / float64(max(1, entries))
	return time.Duration(each * loadBytes / loadBudget * float64(time.Second))
}
