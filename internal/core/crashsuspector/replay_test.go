package crashsuspector_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// replay simulates a load pattern with and without the decision.
func replay(t *testing.T, s scenario) (got, former *fleet) {
	synctest.Test(t, func(*testing.T) { got = simulate(s) })
	s.withoutSuspects = true
	synctest.Test(t, func(*testing.T) { former = simulate(s) })
	for name, f := range map[string]*fleet{"quarantine of parts": got, "former decision": former} {
		sent, refused := 0, 0
		for i := range f.byRoute {
			sent += len(f.byRoute[i].sent)
			refused += len(f.byRoute[i].refused)
		}
		t.Logf("%s: %d crashes, %d requests with the part reached engines, %d of them after the bound; %d of %d sound requests refused, %d sound parts quarantined at some host",
			name, f.crashes, len(f.byCrasher[0].reached), f.reachedAfterBound(0), refused, sent, len(f.quarantined))
	}
	return got, former
}

// 8 hosts, 27 engines, 180 requests a second of three routes, and from 10 s on 8 a second with a part that crashes
// engines, which are back after 3 s.
func TestCrashingPartOnSmallFleet(t *testing.T) {
	is := is.New(t)
	got, former := replay(t, scenario{
		seed: 1, hosts: 8, engines: 27, duration: 40 * time.Second, recovery: 3 * time.Second, transit: 4 * time.Millisecond, loss: 0.01,
		routes:   []route{{rate: 100, groups: 20, rareShare: 0.2}, {rate: 50, groups: 10, rareShare: 0.2}, {rate: 30, groups: 10, rareShare: 0.2}},
		crashers: []crasher{{rate: 8, probability: 1}}, crashersFrom: 10 * time.Second,
	})
	is.True(got.reachedAfterBound(0) <= 3)
	is.True(former.reachedAfterBound(0) > 3)
	share, _ := got.refusedShare(0, 16*time.Second, time.Hour)
	is.True(share <= 0.5)
}

// 149 hosts, 265 engines, 1,284 requests a second of three routes, and from 10 s on 30 a second with a part that crashes
// engines, which are back after 3 s.
func TestCrashingPartOnLargeFleet(t *testing.T) {
	is := is.New(t)
	got, former := replay(t, scenario{
		seed: 1, hosts: 149, engines: 265, duration: 25 * time.Second, recovery: 3 * time.Second, transit: 6 * time.Millisecond, loss: 0.01,
		routes:   []route{{rate: 600, groups: 100, rareShare: 0.2}, {rate: 400, groups: 50, rareShare: 0.2}, {rate: 284, groups: 50, rareShare: 0.2}},
		crashers: []crasher{{rate: 30, probability: 1}}, crashersFrom: 10 * time.Second,
	})
	is.True(got.reachedAfterBound(0) <= 3)
	is.True(former.reachedAfterBound(0) > 3)
	share, _ := got.refusedShare(0, 16*time.Second, time.Hour)
	is.True(share <= 0.5)
}
