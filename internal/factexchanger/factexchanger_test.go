package factexchanger_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
)

const (
	zones           = 3
	maxMessageBytes = 16 << 10
)

type host struct {
	*factexchanger.Exchanger
	address netip.AddrPort
	zone    int
}

// announceCrash records a crash at the host and announces it.
func (h *host) announceCrash(id crashsuspector.CrashID, suspects ...crashsuspector.Feature) {
	h.Announce(h.Suspector.RecordCrash(id, suspects))
}

// suspects returns the suspects of a crash that the host holds.
func (h *host) suspects(id crashsuspector.CrashID) []crashsuspector.Feature {
	for _, c := range h.Suspector.Facts().Crashes {
		if c.ID == id {
			return c.Suspects
		}
	}
	return nil
}

// fleet is a number of hosts and the network between them.
type fleet struct {
	t     *testing.T
	hosts []*host
	// loss is the share of messages that are lost, and cutZone a zone that is cut off, or -1.
	loss    float64
	cutZone int

	mu                sync.Mutex
	sent, bytes       int
	sentByKind        map[factexchanger.Kind]int
	largest           int
	clearingsSentFrom map[netip.AddrPort]bool
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{t: t, cutZone: -1}
	f.resetCounts()
	for i := range n {
		h := &host{zone: i % zones, address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(1 + i%250)}), 7000)}
		peers := func() []netip.AddrPort {
			var out []netip.AddrPort
			for _, other := range f.hosts {
				if other != h {
					out = append(out, other.address)
				}
			}
			return out
		}
		h.Exchanger = &factexchanger.Exchanger{
			Suspector: &crashsuspector.Suspector{}, LivePeers: peers, Peers: peers, MaxMessageBytes: maxMessageBytes,
			Send: func(m factexchanger.Message, to ...netip.AddrPort) { f.send(h, m, to) },
		}
		h.Init()
		f.hosts = append(f.hosts, h)
	}
	ctx, cancel := context.WithCancel(context.Background())
	for _, h := range f.hosts {
		go func() { _ = h.Run(ctx) }()
	}
	t.Cleanup(cancel)
	return f
}

func (f *fleet) resetCounts() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent, f.bytes = 0, 0
	f.sentByKind = make(map[factexchanger.Kind]int)
	f.clearingsSentFrom = make(map[netip.AddrPort]bool)
}

func (f *fleet) setCutZone(zone int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutZone = zone
}

func (f *fleet) send(from *host, m factexchanger.Message, to []netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	data, err := cbor.Marshal(m)
	is.New(f.t).NoErr(err)
	f.largest = max(f.largest, len(data))
	if len(m.Facts.Clearings) > 0 && m.Kind == factexchanger.Announcement {
		f.clearingsSentFrom[from.address] = true
	}
	for _, a := range to {
		f.sent++
		f.sentByKind[m.Kind]++
		f.bytes += len(data)
		i := slices.IndexFunc(f.hosts, func(h *host) bool { return h.address == a })
		isCut := f.cutZone >= 0 && (from.zone == f.cutZone) != (f.hosts[i].zone == f.cutZone)
		if isCut || rand.Float64() < f.loss {
			continue
		}
		latency := 500*time.Microsecond + rand.N(3*time.Millisecond)
		time.AfterFunc(latency, func() {
			var received factexchanger.Message
			if err := cbor.Unmarshal(data, &received); err != nil {
				f.t.Error(err)
				return
			}
			f.hosts[i].Receive(received, from.address)
		})
	}
}

// lacking counts the hosts that do not hold a crash with a number of suspects.
func (f *fleet) lacking(id crashsuspector.CrashID, suspects int) int {
	n := 0
	for _, h := range f.hosts {
		if len(h.suspects(id)) < suspects {
			n++
		}
	}
	return n
}

func TestFactsReachAllHostsDespiteLoss(t *testing.T) {
	for _, n := range []int{2, 9, 38, 149} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for range max(1, 200/n) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, n)
					f.loss = 0.3
					f.hosts[0].announceCrash(1, 1, 2)
					f.hosts[n-1].announceCrash(1, 2, 3)
					time.Sleep(time.Second)
					synctest.Wait()
					is.Equal(f.lacking(1, 3), 0)
				})
			}
		})
	}
}

// The crashes happen while a zone is cut off, on both sides.
func TestZoneThatWasCutOffLearnsFacts(t *testing.T) {
	for _, n := range []int{9, 38, 149} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			for range max(1, 100/n) {
				synctest.Test(t, func(t *testing.T) {
					is := is.New(t)
					f := newFleet(t, n)
					f.setCutZone(1)
					f.hosts[0].announceCrash(1, 1)
					f.hosts[1].announceCrash(2, 2)
					time.Sleep(8 * time.Second)
					synctest.Wait()
					is.True(f.lacking(1, 1) > 0)
					is.True(f.lacking(2, 1) > 0)
					f.setCutZone(-1)
					time.Sleep(2 * time.Second)
					synctest.Wait()
					is.Equal(f.lacking(1, 1), 0)
					is.Equal(f.lacking(2, 1), 0)
				})
			}
		})
	}
}

// A host has missed all announcements, and those who made them are gone.
func TestHostThatWasPausedLearnsFacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9)
		for _, h := range f.hosts[1:] {
			h.Suspector.Merge(crashsuspector.Facts{Crashes: []crashsuspector.Crash{{ID: 1, Suspects: []crashsuspector.Feature{1}}}})
			h.Notify()
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		is.Equal(f.lacking(1, 1), 0)
	})
}

func TestNothingIsSentWithoutFacts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9)
		f.hosts[0].Announce(crashsuspector.Facts{})
		f.hosts[0].Notify()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(f.sent, 0)
		f.hosts[0].announceCrash(1, 1)
		time.Sleep(crashsuspector.Retention + 2*time.Second)
		synctest.Wait()
		is.True(f.sent > 0)
		f.resetCounts()
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(f.sent, 0) // the facts have expired
	})
}

// An announcement goes to each host once and is acknowledged by it. After that, each host sends a digest to three hosts in each
// round of 500 ms, whatever the number of hosts and facts.
func TestMessageCounts(t *testing.T) {
	for _, n := range []int{9, 149} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, n)
			for id := range crashsuspector.CrashID(20) {
				f.hosts[0].announceCrash(id, 1, 2, 3)
				synctest.Wait() // the first crash is announced at once, the others together
			}
			time.Sleep(time.Second)
			synctest.Wait()
			is.Equal(f.sentByKind[factexchanger.Announcement], 2*(n-1))
			is.Equal(f.sentByKind[factexchanger.Acknowledgement], 2*(n-1))
			f.resetCounts()
			time.Sleep(10 * time.Second)
			synctest.Wait()
			const rounds, peers, maxRoundBytes = 20, 3, 16
			is.Equal(f.sent, f.sentByKind[factexchanger.Round]) // the hosts agree
			is.True(f.sent <= (rounds+1)*peers*n)
			is.True(f.sent >= (rounds-1)*peers*n)
			is.True(f.bytes <= f.sent*maxRoundBytes)
		})
	}
}

// Hosts that are gone still stand in the list. They get each announcement ten times at first, and then once.
func TestHostsThatAreGoneAreNotSentRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9)
		f.setCutZone(1)
		const gone, others = 3, 5
		for id, sends := range []int{10, 1} {
			f.hosts[0].announceCrash(crashsuspector.CrashID(id), 1)
			time.Sleep(2 * time.Second)
			synctest.Wait()
			is.Equal(f.sentByKind[factexchanger.Announcement], others+gone*sends)
			f.resetCounts()
		}
	})
}

// All hosts have answered a request with a feature that an announced crash suspects, such as the part with which all
// prompts of a route begin.
func TestClearingIsNotSentByAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 149)
		for _, h := range f.hosts[1:] {
			time.Sleep(rand.N(8 * time.Millisecond))
			h.Announce(h.Suspector.RecordSuccess([]crashsuspector.Feature{1}))
		}
		f.hosts[0].announceCrash(1, 1, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		// Messages take up to 3.5 ms, a fourteenth of the longest delay.
		is.True(len(f.clearingsSentFrom) > 0)
		is.True(len(f.clearingsSentFrom) < 149/3)
		for _, h := range f.hosts {
			is.Equal(h.suspects(1), []crashsuspector.Feature{2})
		}
	})
}

// A zone was cut off while a feature was cleared in the others, a long time ago, and the host that cleared it is gone.
func TestZoneThatWasCutOffLearnsOldClearing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9)
		f.hosts[0].announceCrash(1, 1, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		f.setCutZone(1)
		clearing := crashsuspector.Facts{Clearings: []crashsuspector.Clearing{{Feature: 1, ID: 77}}}
		for _, h := range f.hosts {
			if h.zone != 1 {
				h.Suspector.Merge(clearing)
			}
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		is.Equal(f.hosts[1].suspects(1), []crashsuspector.Feature{1, 2})
		f.setCutZone(-1)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		for _, h := range f.hosts {
			is.Equal(h.suspects(1), []crashsuspector.Feature{2})
		}
	})
}

func TestFactsAreSplitOverMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		const crashes, suspects, cleared = 500, 250, 2000
		for id := range crashsuspector.CrashID(crashes) {
			features := make([]crashsuspector.Feature, suspects)
			for i := range features {
				features[i] = crashsuspector.Feature(rand.Uint64())
			}
			f.hosts[0].Suspector.RecordCrash(id, features)
		}
		var facts crashsuspector.Facts
		for range cleared {
			facts.Clearings = append(facts.Clearings, crashsuspector.Clearing{Feature: crashsuspector.Feature(rand.Uint64())})
		}
		f.hosts[0].Suspector.Merge(facts)
		f.hosts[0].Notify()
		time.Sleep(3 * time.Second)
		synctest.Wait()
		got := f.hosts[1].Suspector.Facts()
		is.Equal(len(got.Crashes), crashes)
		is.Equal(len(got.Clearings), cleared)
		for id := range crashsuspector.CrashID(crashes) {
			is.Equal(f.hosts[1].suspects(id), f.hosts[0].suspects(id))
		}
		const hostBytes = 100 // for the name of the sender around the message
		is.True(f.largest <= maxMessageBytes-hostBytes)
		f.resetCounts()
		time.Sleep(time.Second)
		synctest.Wait()
		is.Equal(f.sent, f.sentByKind[factexchanger.Round])
	})
}
