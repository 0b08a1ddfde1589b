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
	// maxNearTargets is the maximum number of near targets in the host's own zone. A fleet with no more entry hosts than
	// that has only near targets.
	maxNearTargets = 8
	// minFarTargets is the minimum number of entry hosts of each other zone that an endpoint reports to.
	minFarTargets = 3
	// meanKnownReplicas is the mean number of endpoints with the same weight set that report to an entry host of another
	// zone.
	meanKnownReplicas = 8
	// loadMessageBytes is the size of one load message on the wire, including the headers of TCP and IP.
	loadMessageBytes = 210
	// loadBudgetBytesPerSecond is the rate of load messages that one entry host may receive.
	loadBudgetBytesPerSecond = 3000
)

// Target is an entry host that receives reports.
type Target struct {
	membership.Member
	// Near marks a target that receives the load when it has changed by a step. The others receive it every
	// MaxFarInterval.
	Near bool
}

// maxIntervalSeconds returns the maximum time in seconds between two messages to the target.
func (t Target) maxIntervalSeconds() int {
	if t.Near {
		return int(maxNearInterval.Seconds())
	}
	return int(MaxFarInterval.Seconds())
}

// Targets are the entry hosts that one endpoint host reports to.
type Targets struct {
	List []Target
	// MinLoadInterval is the minimum time between load messages that keeps an entry host within loadBudgetBytesPerSecond.
	MinLoadInterval time.Duration
}

func (t Targets) near() []Target {
	return slices.DeleteFunc(slices.Clone(t.List), func(t Target) bool { return !t.Near })
}

// TargetSelector selects the targets of one endpoint host by rendezvous hashing, so that each entry host is a near
// target of an equal share of the endpoints. Set its fields before use.
type TargetSelector struct {
	// Host and Zone are those of the endpoint host.
	Host ident.Host
	Zone ident.Zone
}

// Select selects the targets among the entry hosts: all of the host's own zone, and enough of each other zone that
// an entry host there receives reports from meanKnownReplicas replicas of the weight set on average. endpoints holds
// the endpoint hosts of all pools.
func (c TargetSelector) Select(entries, endpoints []membership.Member, replicas int) Targets {
	zones := make(map[ident.Zone][]ident.Host)
	members := make(map[ident.Host]membership.Member, len(entries))
	for _, m := range entries {
		zones[m.Zone] = append(zones[m.Zone], m.Host)
		members[m.Host] = m
	}
	allNear := len(entries) <= maxNearTargets
	var out Targets
	isZoneWithoutEntries := len(zones[c.Zone]) == 0
	for zone, hosts := range zones {
		far := max(minFarTargets, (meanKnownReplicas*len(hosts)+replicas-1)/max(1, replicas))
		for i, host := range ranker.Rank(string(c.Host), hosts) {
			if zone == c.Zone || i < far {
				// In a zone without entry hosts, requests are routed and replicas counted by entry hosts of other zones.
				near := allNear || zone == c.Zone && i < maxNearTargets || isZoneWithoutEntries && i < minFarTargets
				out.List = append(out.List, Target{Member: members[host], Near: near})
			}
		}
	}
	slices.SortFunc(out.List, func(a, b Target) int { return strings.Compare(string(a.Host), string(b.Host)) })
	if allNear {
		out.MinLoadInterval = loadInterval(len(entries), len(endpoints))
		return out
	}
	endpointsInZone := 0
	for _, m := range endpoints {
		if m.Zone == c.Zone {
			endpointsInZone++
		}
	}
	out.MinLoadInterval = loadInterval(len(zones[c.Zone]), endpointsInZone)
	return out
}

// loadInterval returns the time between load messages at which the given numbers of endpoints and of entry hosts keep
// the load budget, if the near targets of all endpoints are among these entry hosts.
func loadInterval(entries, endpoints int) time.Duration {
	endpointsPerEntry := float64(endpoints*min(entries, maxNearTargets)) / float64(max(1, entries))
	return time.Duration(endpointsPerEntry * loadMessageBytes / loadBudgetBytesPerSecond * float64(time.Second))
}
