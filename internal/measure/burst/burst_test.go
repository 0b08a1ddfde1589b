package burst

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/fetchplanner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// The users' figures: in the window the origin's link carries four copies and a host's link two.
const (
	burstWindow = 240 * time.Second
	chunkBytes  = 4 << 20
	chunkCount  = 256
	setBytes    = chunkBytes * chunkCount
	regionRate  = 20e6 / 8
	limit       = 10 * burstWindow
	seed        = 1
)

func newShape(hosts int, places ...place) shape {
	s := burstWindow.Seconds()
	return shape{hosts: hosts, places: places, store: 4 * setBytes / s, host: 2 * setBytes / s}
}

// flat is one region of four zones.
func flat(n int) shape {
	return newShape(n, place{"a", "r"}, place{"b", "r"}, place{"c", "r"}, place{"d", "r"})
}

// regional is three regions of two zones each, with the thin links between regions.
func regional(n int) shape {
	s := newShape(n, place{"a", "r"}, place{"b", "s"}, place{"c", "t"}, place{"d", "r"}, place{"e", "s"}, place{"f", "t"})
	s.region = regionRate
	return s
}

func agency() shape {
	s := newShape(16, place{"rijeka-1", "kvarner"}, place{"split-1", "dalmatia"}, place{"zagreb-1", "panonija"})
	s.region = regionRate
	return s
}

func schools() shape {
	s := newShape(9, place{"walvis-a", "erongo"}, place{"windhoek-a", "khomas"}, place{"luderitz-a", "karas"})
	s.region = regionRate
	return s
}

// bound is the shortest possible time in seconds. Where regions are joined by links, each remote region takes its
// copy over the links from all other regions, and the home region gives one copy over all its links.
func (s shape) bound() float64 {
	n := float64(s.hosts)
	b := max(setBytes/s.store, setBytes/s.host, n*setBytes/(s.store+n*s.host))
	if s.region > 0 {
		regions := make(map[ident.Region]bool)
		for _, p := range s.places {
			regions[p.region] = true
		}
		b = max(b, setBytes/(s.region*float64(len(regions)-1)))
	}
	return b
}

// fault disturbs a run. It returns the number of the set that all hosts are to end with.
type fault struct {
	name  string
	apply func(w *world) int
}

type result struct {
	done    bool
	seconds float64
	origin  float64
	link    float64
	control float64
	times   []time.Duration
}

func run(t *testing.T, s shape, fetchGoal catalog.FetchGoal, choice fetchplanner.SelectionPolicy, f fault) result {
	t.Helper()
	var r result
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s, fetchGoal, seed)
		w.counted = true
		for _, h := range w.hosts {
			h.planner.Selection = choice
		}
		w.publish(1, w.artifact("1", chunkCount, chunkBytes, nil))
		set := 1
		if f.apply != nil {
			set = f.apply(w)
		}
		isReady := false
		var check func()
		check = func() {
			isReady = w.isAllReady(set)
			w.after(tick, check)
		}
		check()
		r.done = w.run(limit, func() bool { return isReady })
		r.seconds = time.Since(w.began).Seconds()
		r.origin = w.copies(set)
		for _, l := range w.regions {
			r.link = max(r.link, float64(l.bytes)/setBytes)
		}
		r.control = float64(w.control) / float64(s.hosts) / r.seconds
		r.times = w.ready
	})
	return r
}

// copies is how often the store gave the chunks of the set that the hosts end with.
func (w *world) copies(set int) float64 {
	var sum ident.Bytes
	for _, h := range w.hosts {
		if h.set != set || h.dead {
			continue
		}
		for _, g := range h.goal {
			for _, c := range g.Artifact.Chunks {
				sum += w.outside[c.Digest]
			}
		}
		break
	}
	return float64(sum) / setBytes
}

func faults() []fault {
	return []fault{
		{"kill", killSome},
		{"freeze", freezeFirst},
		{"corrupt", func(w *world) int { w.corrupt = 0.01; return 1 }},
		{"cut", cutZone},
		{"stall", stallFirst},
		{"version", publishHalfway},
	}
}

func killSome(w *world) int {
	for i := range max(1, w.shape.hosts/20) {
		h := w.hosts[(i*7+3)%w.shape.hosts]
		w.after(burstWindow/12+time.Duration(i)*burstWindow/60, h.kill)
	}
	return 1
}

func freezeFirst(w *world) int {
	w.onRead = func(h *host) {
		w.onRead = func(*host) {}
		w.after(2*time.Second, func() { h.frozen = true })
	}
	return 1
}

// stallFirst lets the first reader's link stall while it goes on to answer.
func stallFirst(w *world) int {
	w.onRead = func(h *host) {
		w.onRead = func(*host) {}
		w.after(2*time.Second, func() { h.isStalled = true })
	}
	return 1
}

func cutZone(w *world) int {
	from, until := w.began.Add(burstWindow/12), w.began.Add(burstWindow/12+burstWindow/3)
	zone := w.places[len(w.places)-1].zone
	w.isCut = func(a, b place) bool {
		now := time.Now()
		return a.zone != b.zone && (a.zone == zone || b.zone == zone) && now.After(from) && now.Before(until)
	}
	return 1
}

func publishHalfway(w *world) int {
	old := w.artifact("1", chunkCount, chunkBytes, nil)
	half := time.Duration(w.bound() / 2 * float64(time.Second))
	w.after(half, func() { w.publish(2, w.artifact("2", chunkCount, chunkBytes, &old.Artifact)) })
	return 2
}

func (h *host) kill() {
	h.dead, h.died = true, time.Now()
}

type setting struct {
	name  string
	shape shape
	ratio float64
}

// settings are the shapes to measure. The large ones take long and run in script/bench only.
func settings() []setting {
	out := []setting{{"agency", agency(), 0}, {"schools", schools(), 0}, {"flat-50", flat(50), 0}, {"region-50", regional(50), 0}}
	if measure.Wanted() {
		out = append(out, setting{"flat-200", flat(200), 1.2}, setting{"region-200", regional(200), 1.3})
	}
	return out
}

var originLimit = map[catalog.FetchGoal]float64{catalog.MinimizeOriginReads: 1.05, catalog.MinimizeFetchTime: 4}

func reportRun(t *testing.T, name string, s setting, fetchGoal catalog.FetchGoal, r result) {
	t.Helper()
	if !r.done {
		t.Errorf("%s: not all hosts that can be reached were ready after %s", name, limit)
	}
	ratio := measure.Figure{Name: name + ".ratio", Value: r.seconds / s.shape.bound(), Unit: "x"}
	if s.ratio > 0 {
		ratio.Limit, ratio.Bound = measure.AtMost, s.ratio
	}
	measure.Report(t, ratio)
	measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.origin, Unit: "copies", Limit: measure.AtMost, Bound: originLimit[fetchGoal]})
	if s.shape.region > 0 {
		measure.Report(t, measure.Figure{Name: name + ".link", Value: r.link, Unit: "copies", Limit: measure.AtMost, Bound: 1.1})
	}
	measure.Report(t, measure.Figure{Name: name + ".control", Value: r.control / 1000, Unit: "kB/s", Limit: measure.AtMost, Bound: 9})
}

// TestMeasureBurstUndisturbed reads time to all ready, copies and control bytes without faults.
func TestMeasureBurstUndisturbed(t *testing.T) {
	for _, s := range settings() {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			name := fmt.Sprintf("burst.%s.%s", s.name, fetchGoal)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				reportRun(t, name, s, fetchGoal, run(t, s.shape, fetchGoal, fetchplanner.RarestFirst, fault{}))
			})
		}
	}
}

// TestMeasureBurstFaults reads time and copies with each fault, against the undisturbed run.
func TestMeasureBurstFaults(t *testing.T) {
	chosen := []setting{{"agency", agency(), 0}, {"schools", schools(), 0}}
	if measure.Wanted() {
		chosen = append(chosen, setting{"flat-50", flat(50), 0}, setting{"region-50", regional(50), 0})
	}
	for _, s := range chosen {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			if s.name == "flat-50" && fetchGoal == catalog.MinimizeFetchTime {
				continue
			}
			t.Run(s.name+string(fetchGoal), func(t *testing.T) {
				t.Parallel()
				base := run(t, s.shape, fetchGoal, fetchplanner.RarestFirst, fault{})
				for _, f := range faults() {
					reportFault(t, fmt.Sprintf("burst.%s.%s.%s", s.name, fetchGoal, f.name), fetchGoal, base, run(t, s.shape, fetchGoal, fetchplanner.RarestFirst, f))
				}
			})
		}
	}
}

func reportFault(t *testing.T, name string, fetchGoal catalog.FetchGoal, base, r result) {
	t.Helper()
	if !r.done {
		t.Errorf("%s: not all hosts that can be reached were ready after %s", name, limit)
	}
	measure.Report(t, measure.Figure{Name: name + ".slowdown", Value: r.seconds / base.seconds, Unit: "x", Limit: measure.AtMost, Bound: 2})
	copies := measure.Figure{Name: name + ".origin", Value: r.origin, Unit: "copies"}
	if fetchGoal == catalog.MinimizeOriginReads {
		copies.Limit, copies.Bound = measure.AtMost, 1.3
	}
	measure.Report(t, copies)
}

// TestMeasureBurstPartialList reads the copies when each host sees half of the list for the first two seconds.
func TestMeasureBurstPartialList(t *testing.T) {
	chosen := []setting{{"agency", agency(), 0}}
	if measure.Wanted() {
		chosen = append(chosen, setting{"flat-50", flat(50), 0})
	}
	for _, s := range chosen {
		name := "burst." + s.name + ".origin.partial.origin"
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fault{"partial", func(w *world) int { w.partial = 2 * time.Second; return 1 }}
			r := run(t, s.shape, catalog.MinimizeOriginReads, fetchplanner.RarestFirst, f)
			measure.Report(t, measure.Figure{Name: name, Value: r.origin, Unit: "copies", Limit: measure.AtMost, Bound: 1.3})
		})
	}
}

// TestMeasureBurstChoice compares rarest first with the choice of chunks, of holders, or of both in turn.
func TestMeasureBurstChoice(t *testing.T) {
	if !measure.Wanted() {
		t.Log("takes long; script/bench runs it")
		return
	}
	choices := map[string]fetchplanner.SelectionPolicy{"rarest": fetchplanner.RarestFirst, "turn": fetchplanner.RoundRobin, "holder": fetchplanner.RarestRoundRobin}
	for _, f := range []fault{{name: "undisturbed"}, {"kill", killSome}} {
		for choice, c := range choices {
			name := "burst.choice." + f.name + "." + choice + ".ratio"
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := flat(50)
				r := run(t, s, catalog.MinimizeOriginReads, c, f)
				measure.Report(t, measure.Figure{Name: name, Value: r.seconds / s.bound(), Unit: "x"})
			})
		}
	}
}
