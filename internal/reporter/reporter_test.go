package reporter

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

func hosts(role membership.Role, zones, each int) []membership.Member {
	var out []membership.Member
	for z := range zones {
		for i := range each {
			out = append(out, membership.Member{Host: ident.Host(fmt.Sprintf("%s-%d-%d", role, z, i)), Role: role, Zone: zone(z)})
		}
	}
	return out
}

func zone(i int) ident.Zone {
	return ident.Zone(fmt.Sprint(i))
}

func TestFewEntryHostsAreAllNearTargets(t *testing.T) {
	is := is.New(t)
	entries, endpoints := hosts(membership.RoleEntry, 3, 2), hosts(membership.RoleEndpoint, 3, 6)
	got := TargetSelector{Host: "h", Zone: "0"}.Select(entries, endpoints, 18)
	is.Equal(len(got.near()), 6)
	is.True(got.MinLoadInterval < 2*time.Second)
}

func TestNineEntryHostsAreAllTargets(t *testing.T) {
	is := is.New(t)
	entries, endpoints := hosts(membership.RoleEntry, 3, 3), hosts(membership.RoleEndpoint, 3, 6)
	for _, e := range endpoints {
		is.Equal(len(TargetSelector{Host: e.Host, Zone: e.Zone}.Select(entries, endpoints, 18).List), 9)
	}
}

func TestLargeFleetHasBoundedTargets(t *testing.T) {
	is := is.New(t)
	entries, endpoints := hosts(membership.RoleEntry, 13, 25), hosts(membership.RoleEndpoint, 13, 154)
	got := TargetSelector{Host: "h", Zone: "0"}.Select(entries, endpoints, 2000)
	is.Equal(len(got.near()), maxNearTargets)
	is.Equal(len(got.List), 25+12*minFarTargets) // all of the host's own zone, minFarTargets of each other zone
	for _, target := range got.near() {
		is.Equal(target.Zone, zone(0))
	}
	is.True(got.MinLoadInterval > 3*time.Second)
}

func TestFewReplicasReportToAllEntryHosts(t *testing.T) {
	is := is.New(t)
	entries, endpoints := hosts(membership.RoleEntry, 13, 25), hosts(membership.RoleEndpoint, 13, 154)
	got := TargetSelector{Host: "h", Zone: "0"}.Select(entries, endpoints, 3)
	is.Equal(len(got.List), 13*25)
}

func TestScheduleReturnsEachMessageWhenDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var s schedule
		targets := Targets{MinLoadInterval: time.Second}
		r := messages.Report{Host: "h", StartTime: 1, GateOpen: true, ServedSet: "s", AssignedSet: "s", Slots: 16}
		is.Equal(s.next(r, targets), fullToAll)
		is.Equal(s.next(r, targets), nothing)

		r.InFlight = 2 // an eighth of the slots
		is.Equal(s.next(r, targets), nothing)
		time.Sleep(time.Second)
		is.Equal(s.next(r, targets), loadToNear)
		time.Sleep(time.Second)
		r.InFlight = 3
		is.Equal(s.next(r, targets), nothing) // less than an eighth

		time.Sleep(maxNearInterval)
		is.Equal(s.next(r, targets), loadToNear)
		r.Leaving = true
		is.Equal(s.next(r, targets), fullToAll) // sent immediately

		r.AssignedSet = "t"
		is.Equal(s.next(r, targets), fullToAll)
		time.Sleep(progressInterval)
		is.Equal(s.next(r, targets), fullToNear) // the response carries the replica counts that the rollout needs
		r.AssignedSet = "s"
		is.Equal(s.next(r, targets), fullToAll)
		time.Sleep(MaxFarInterval)
		is.Equal(s.next(r, targets), loadToAll)
	})
}
