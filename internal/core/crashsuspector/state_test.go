package crashsuspector_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// errorCounts adds up the errors of both kinds over all checks of the state test.
type errorCounts struct {
	checks, crashers, crashes, reachedAfterBound int
	soundParts, soundPartsQuarantined            int
	sound, soundRefused                          int
}

func drawMs(rt *rapid.T, label string, low, high int) time.Duration {
	return time.Duration(rapid.IntRange(low, high).Draw(rt, label)) * time.Millisecond
}

func drawScenario(rt *rapid.T) scenario {
	intn := func(label string, low, high int) int { return rapid.IntRange(low, high).Draw(rt, label) }
	s := scenario{
		seed: rapid.Uint64().Draw(rt, "seed"), hosts: intn("hosts", 1, 6), engines: intn("engines", 12, 30),
		crashersFrom: warmUp, duration: warmUp + 20*time.Second, recovery: drawMs(rt, "recovery", 500, 4000),
		transit: drawMs(rt, "transit", 1, 100), loss: rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(rt, "loss"),
	}
	for range intn("routes", 1, 3) {
		s.routes = append(s.routes, route{
			rate: float64(intn("rate", 1, 40)), groups: intn("groups", 1, 10), rareShare: rapid.SampledFrom([]float64{0, 0.2, 0.9}).Draw(rt, "rare share"),
		})
	}
	for range intn("crashers", 0, 3) {
		s.crashers = append(s.crashers, crasher{
			route: intn("route", 0, len(s.routes)-1), isFirst: intn("first part", 0, 9) == 0,
			hasGroup: rapid.Bool().Draw(rt, "has group"), rate: float64(intn("crash rate", 1, 10)),
			probability: rapid.SampledFrom([]float64{1, 1, 1, 0.5}).Draw(rt, "probability"), repeats: intn("repeats", 0, 4) == 0,
		})
	}
	for range intn("disturbances", 0, 3) {
		s.disturbances = append(s.disturbances, drawDisturbance(rt, s))
	}
	return s
}

func drawDisturbance(rt *rapid.T, s scenario) disturbance {
	d := disturbance{
		kind: rapid.SampledFrom([]string{
			"engines end", "engine flaps", "engine hangs", "host is paused", "host is cut off", "host restarts",
		}).Draw(rt, "disturbance"),
		at: drawMs(rt, "at", 0, int(s.duration.Milliseconds())),
		n:  rapid.IntRange(0, 30).Draw(rt, "n"), lasts: drawMs(rt, "lasts", 200, 4000),
	}
	if d.kind == "engines end" {
		d.n = rapid.SampledFrom([]int{3, 8, 30}).Draw(rt, "engines that end")
		d.lasts = drawMs(rt, "within", 0, 90)
	}
	return d
}

func TestCrashingPartsAreFoundAndSoundOnesServed(t *testing.T) {
	var total errorCounts
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		s := drawScenario(rt)
		f := simulate(s)
		checkReached(rt, f, &total)
		checkServed(rt, f, &total)
		total.checks++
		total.soundParts += len(f.soundParts)
		total.soundPartsQuarantined += len(f.quarantined)
	})
	t.Logf("%+v", total)
}

// checkReached checks that few requests with a crashing part reach engines after the bound.
func checkReached(rt *rapid.T, f *fleet, total *errorCounts) {
	for i, c := range f.crashers {
		if c.probability < 1 {
			continue
		}
		total.crashers++
		total.crashes += len(f.byCrasher[i].crashes)
		n := f.reachedAfterBound(i)
		total.reachedAfterBound += n
		if n > 3 {
			rt.Fatalf("%d requests with crasher %d reached engines after the bound, crashes at %v, requests reached engines at %v",
				n, i, f.byCrasher[i].crashes, f.byCrasher[i].reached)
		}
	}
}

// checkServed checks that at most half of the sound requests of a route are refused. As the rule on lost requests, it
// holds if there are enough sound requests before the crashes and after them.
func checkServed(rt *rapid.T, f *fleet, total *errorCounts) {
	const enough = 20
	for i := range f.routes {
		from := time.Duration(0)
		isEnough := true
		for k, c := range f.crashers {
			if c.route != i {
				continue
			}
			_, before := f.refusedShare(i, 0, f.crashersFrom)
			isEnough = before >= enough
			if crashes := f.byCrasher[k].crashes; len(crashes) > 0 {
				from = max(from, crashes[min(crashesBeforeBound, len(crashes))-1]+serveTime)
			}
		}
		share, sent := f.refusedShare(i, from, f.duration)
		if !isEnough || sent < enough {
			continue
		}
		total.sound += sent
		total.soundRefused += int(share*float64(sent) + 0.5)
		if share > 0.5 {
			rt.Fatalf("%.0f%% of %d sound requests of route %d were refused", 100*share, sent, i)
		}
	}
}
