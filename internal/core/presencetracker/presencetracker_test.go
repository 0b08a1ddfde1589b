package presencetracker_test

import (
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
)

const latency = 3 * time.Millisecond

// fleet is a number of hosts that send each other beats.
type fleet struct {
	hosts    []presencetracker.Host
	trackers map[netip.Addr]*presencetracker.Tracker
	down     map[netip.Addr]bool
	messages int
}

func newFleet(zones, hostsPerZone int) *fleet {
	f := &fleet{trackers: make(map[netip.Addr]*presencetracker.Tracker), down: make(map[netip.Addr]bool)}
	for z := range zones {
		for i := range hostsPerZone {
			f.hosts = append(f.hosts, presencetracker.Host{
				Zone: ident.Zone(fmt.Sprint("z", z)), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(z), byte(i + 1)}), 7700),
			})
		}
	}
	for _, h := range f.hosts {
		f.start(h)
	}
	return f
}

func (f *fleet) start(h presencetracker.Host) {
	t := &presencetracker.Tracker{Self: h.Address.Addr(), Zone: h.Zone}
	t.SetHosts(f.hosts)
	f.trackers[h.Address.Addr()] = t
	delete(f.down, h.Address.Addr())
}

// run lets the time pass.
func (f *fleet) run(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(presencetracker.Interval - latency) {
		type delivery struct {
			from, to netip.Addr
			beat     presencetracker.Beat
		}
		var deliveries []delivery
		for _, h := range f.hosts {
			a := h.Address.Addr()
			if f.down[a] {
				continue
			}
			for _, m := range f.trackers[a].Due() {
				for _, to := range m.To {
					deliveries = append(deliveries, delivery{a, to.Addr(), m.Beat})
				}
			}
		}
		f.messages += len(deliveries)
		time.Sleep(latency)
		for _, d := range deliveries {
			if !f.down[d.to] {
				f.trackers[d.to].Receive(d.from, d.beat)
			}
		}
	}
}

// check fails unless each live host takes exactly the live hosts for members, and the same live host of its zone for
// the lowest that responds.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	for _, h := range f.hosts {
		a := h.Address.Addr()
		if f.down[a] {
			continue
		}
		var lowest, want netip.Addr
		for _, other := range f.hosts {
			b := other.Address.Addr()
			if got := f.trackers[a].IsMember(b); got == f.down[b] {
				t.Errorf("host %s: member %s is %t, down %t", a, b, got, f.down[b])
			}
			if got := f.trackers[a].IsAlive(b); got == f.down[b] {
				t.Errorf("host %s: %s is alive %t, down %t", a, b, got, f.down[b])
			}
			if other.Zone != h.Zone {
				continue
			}
			if !want.IsValid() && !f.down[b] {
				want = b
			}
			if !lowest.IsValid() && (b == a || f.trackers[a].IsResponsive(b)) {
				lowest = b
			}
		}
		if lowest != want {
			t.Errorf("host %s takes %s for the lowest live host of its zone, it is %s", a, lowest, want)
		}
	}
}

// The number of messages grows with the hosts, not with their square.
func TestMessagesOfLargeFleet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		rate := func(zones, hostsPerZone int) float64 {
			f := newFleet(zones, hostsPerZone)
			f.run(10 * time.Second)
			f.check(t)
			f.messages = 0
			f.run(10 * time.Second)
			return float64(f.messages) / 10 / float64(zones*hostsPerZone)
		}
		small, large := rate(3, 3), rate(5, 30)
		t.Logf("messages a second and host: %.1f with 9 hosts, %.1f with 150", small, large)
		is.True(large < 2*small)
	})
}

// The leaders of a zone fail one after the other, and a whole zone is lost and returns.
func TestFailedLeadersAreReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, 8)
		f.run(10 * time.Second)
		f.check(t)
		for i := range 3 {
			f.down[f.hosts[i].Address.Addr()] = true
			f.run(8 * time.Second)
			f.check(t)
		}
		for _, h := range f.hosts[8:16] {
			f.down[h.Address.Addr()] = true
		}
		f.run(8 * time.Second)
		f.check(t)
		for _, h := range f.hosts[:16] {
			f.start(h)
		}
		f.run(8 * time.Second)
		f.check(t)
	})
}

// A leader fails: within a second, the hosts of its zone agree on the next one.
func TestReaderIsReplacedWithinASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2, 10)
		f.run(10 * time.Second)
		f.down[f.hosts[0].Address.Addr()] = true
		f.run(time.Second)
		for _, h := range f.hosts[2:10] {
			tracker := f.trackers[h.Address.Addr()]
			is.True(!tracker.IsResponsive(f.hosts[0].Address.Addr()))
			is.True(tracker.IsResponsive(f.hosts[1].Address.Addr()))
		}
	})
}
