package reporter

import (
	"slices"
	"strings"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/membership"
)

const (
	// nearTargets is the number of entry hosts that are kept up to date with the load: those of the own zone, and of all
	// zones where there are no more.
	nearTargets = 8
	// minFar is the least number of entry hosts of each other zone that know an endpoint.
	minFar = 3
	// knownEach is the mean number of endpoints with the same weight set that an entry host of another zone knows.
	knownEach = 8
	// loadBytes is the size of one load on the wire, with the headers of TCP and IP.
	loadBytes = 210
	// loadBudget is the rate in bytes a second at which loads may come in at one entry host.
	loadBudget = 3000
)

// Target is an entry host that is reported to.
type Target struct {
	membership.Member
	// Near marks one that is kept up to date with the load.
	Near bool
}

func (t Target) every() int {
	if t.Near {
		return int(nearInterval.Seconds())
	}
	return int(FarInterval.Seconds())
}

// Targets are the entry hosts that one endpoint host reports to.
type Targets struct {
	List []Target
	// Interval is the time between loads that keeps an entry host within its budget of bytes.
	Interval time.Duration
}

func (t Targets) near() []Target {
	return slices.DeleteFunc(slices.Clone(t.List), func(t Target) bool { return !t.Near })
}

// Chooser chooses the targets of one endpoint host by rendezvous rank, so that each entry host is kept up to date by
// an equal part of the endpoints. Set its fields before use.
type Chooser struct {
	// Host and Zone are the endpoint host's own.
	Host ident.Host
	Zone ident.Zone
}

// Targets returns the targets among the entry hosts: all of the own zone, and of each other zone enough that every one
// there knows some of the replicas that serve the same weight set. Endpoints are those of all pools.
func (c Chooser) Targets(entries, endpoints []membership.Member, replicas int) Targets {
	zones := make(map[ident.Zone][]ident.Host)
	members := make(map[ident.Host]membership.Member, len(entries))
	for _, m := range entries {
		zones[m.Zone] = append(zones[m.Zone], m.Host)
		members[m.Host] = m
	}
	small := len(entries) <= nearTargets
	var out Targets
	lone := len(zones[c.Zone]) == 0
	for z, hosts := range zones {
		far := max(minFar, (knownEach*len(hosts)+replicas-1)/max(1, replicas))
		for i, h := range ranker.Rank(string(c.Host), hosts) {
			if z == c.Zone || i < far {
				// A zone without entry hosts of its own is served, and its switches are counted, from the others.
				near := small || z == c.Zone && i < nearTargets || lone && i < minFar
				out.List = append(out.List, Target{Member: members[h], Near: near})
			}
		}
	}
	slices.SortFunc(out.List, func(a, b Target) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if small {
		out.Interval = interval(len(entries), len(endpoints))
		return out
	}
	n := 0
	for _, m := range endpoints {
		if m.Zone == c.Zone {
			n++
		}
	}
	out.Interval = interval(len(zones[c.Zone]), n)
	return out
}

// interval returns the time between loads when n endpoints keep entries up to date.
func interval(entries, n int) time.Duration {
	each := float64(n*min(entries, nearTargets)) / float64(max(1, entries))
	return time.Duration(each * loadBytes / loadBudget * float64(time.Second))
}
