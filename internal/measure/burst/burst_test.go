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

// Within the burst window, the store can send four copies of the set and a host two. These figures are the users'
// requirements.
const (
	burstWindow    = 240 * time.Second
	chunkBytes     = 4 << 20
	chunkCount     = 256
	setBytes       = chunkBytes * chunkCount
	regionLinkRate = 20e6 / 8
	runTimeout     = 10 * burstWindow
	seed           = 1
)

func newTopology(hosts int, locations ...location) topology {
	seconds := burstWindow.Seconds()
	return topology{hosts: hosts, locations: locations, storeRate: 4 * setBytes / seconds, hostRate: 2 * setBytes / seconds}
}

// singleRegion returns a topology of one region with four zones.
func singleRegion(n int) topology {
	return newTopology(n, location{"a", "r"}, location{"b", "r"}, location{"c", "r"}, location{"d", "r"})
}

// threeRegions returns a topology of three regions with two zones each and slow links between the regions.
func threeRegions(n int) topology {
	s := newTopology(n, location{"a", "r"}, location{"b", "s"}, location{"c", "t"}, location{"d", "r"}, location{"e", "s"}, location{"f", "t"})
	s.regionRate = regionLinkRate
	return s
}

func agency() topology {
	s := newTopology(16, location{"rijeka-1", "kvarner"}, location{"split-1", "dalmatia"}, location{"zagreb-1", "panonija"})
	s.regionRate = regionLinkRate
	return s
}

func schools() topology {
	s := newTopology(9, location{"walvis-a", "erongo"}, location{"windhoek-a", "khomas"}, location{"luderitz-a", "karas"})
	s.regionRate = regionLinkRate
	return s
}

// minSeconds returns the shortest possible duration in seconds. If there are links between regions, each remote region
// receives its copy over the links from all other regions, and the home region sends one copy over all its links.
func (s topology) minSeconds() float64 {
	n := float64(s.hosts)
	bound := max(setBytes/s.storeRate, setBytes/s.hostRate, n*setBytes/(s.storeRate+n*s.hostRate))
	if s.regionRate > 0 {
		regions := make(map[ident.Region]bool)
		for _, p := range s.locations {
			regions[p.region] = true
		}
		bound = max(bound, setBytes/(s.regionRate*float64(len(regions)-1)))
	}
	return bound
}

// fault disturbs a run. Its apply returns the number of the set that all hosts should have at the end.
type fault struct {
	name  string
	apply func(sim *simulation) int
}

type result struct {
	done        bool
	seconds     float64
	storeCopies float64
	linkCopies  float64
	controlRate float64
	readyTimes  []time.Duration
}

func runBurst(t *testing.T, s topology, fetchGoal catalog.FetchGoal, selection fetchplanner.SelectionPolicy, f fault) result {
	t.Helper()
	var r result
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s, fetchGoal, seed)
		sim.countsBytes = true
		for _, h := range sim.hosts {
			h.planner.Selection = selection
		}
		sim.publish(1, sim.artifact("1", chunkCount, chunkBytes, nil))
		set := 1
		if f.apply != nil {
			set = f.apply(sim)
		}
		isReady := false
		var check func()
		check = func() {
			isReady = sim.isAllReady(set)
			sim.schedule(tickInterval, check)
		}
		check()
		r.done = sim.run(runTimeout, func() bool { return isReady })
		r.seconds = time.Since(sim.startTime).Seconds()
		r.storeCopies = sim.storeCopies(set)
		for _, l := range sim.regionLinks {
			r.linkCopies = max(r.linkCopies, float64(l.bytes)/setBytes)
		}
		r.controlRate = float64(sim.controlBytes) / float64(s.hosts) / r.seconds
		r.readyTimes = sim.readyTimes
	})
	return r
}

// storeCopies returns how many copies of the given set were read from the store.
func (sim *simulation) storeCopies(set int) float64 {
	var sum ident.Bytes
	for _, h := range sim.hosts {
		if h.set != set || h.crashed {
			continue
		}
		for _, g := range h.goals {
			for _, c := range g.Artifact.Chunks {
				sum += sim.storeBytes[c.Digest]
			}
		}
		break
	}
	return float64(sum) / setBytes
}

func faults() []fault {
	return []fault{
		{"kill", crashSome},
		{"freeze", freezeFirstReader},
		{"corrupt", func(sim *simulation) int { sim.corruptShare = 0.01; return 1 }},
		{"cut", cutLastZone},
		{"stall", stallFirstReader},
		{"version", publishHalfway},
	}
}

func crashSome(sim *simulation) int {
	for i := range max(1, sim.topology.hosts/20) {
		h := sim.hosts[(i*7+3)%sim.topology.hosts]
		sim.schedule(burstWindow/12+time.Duration(i)*burstWindow/60, h.crash)
	}
	return 1
}

func freezeFirstReader(sim *simulation) int {
	sim.onStoreRead = func(h *host) {
		sim.onStoreRead = func(*host) {}
		sim.schedule(2*time.Second, func() { h.frozen = true })
	}
	return 1
}

// stallFirstReader stalls the transfers of the first host that reads from the store. The host continues to respond.
func stallFirstReader(sim *simulation) int {
	sim.onStoreRead = func(h *host) {
		sim.onStoreRead = func(*host) {}
		sim.schedule(2*time.Second, func() { h.isStalled = true })
	}
	return 1
}

func cutLastZone(sim *simulation) int {
	from, until := sim.startTime.Add(burstWindow/12), sim.startTime.Add(burstWindow/12+burstWindow/3)
	zone := sim.locations[len(sim.locations)-1].zone
	sim.isCut = func(a, b location) bool {
		now := time.Now()
		return a.zone != b.zone && (a.zone == zone || b.zone == zone) && now.After(from) && now.Before(until)
	}
	return 1
}

func publishHalfway(sim *simulation) int {
	old := sim.artifact("1", chunkCount, chunkBytes, nil)
	half := time.Duration(sim.minSeconds() / 2 * float64(time.Second))
	sim.schedule(half, func() { sim.publish(2, sim.artifact("2", chunkCount, chunkBytes, &old.Artifact)) })
	return 2
}

func (h *host) crash() {
	h.crashed, h.crashedAt = true, time.Now()
}

type measuredTopology struct {
	name     string
	topology topology
	maxRatio float64
}

// measuredTopologies returns the topologies to measure. The large ones run only in script/bench because of their run
// time.
func measuredTopologies() []measuredTopology {
	out := []measuredTopology{{"agency", agency(), 0}, {"schools", schools(), 0}, {"flat-50", singleRegion(50), 0}, {"region-50", threeRegions(50), 0}}
	if measure.IsBenchRun() {
		out = append(out, measuredTopology{"flat-200", singleRegion(200), 1.2}, measuredTopology{"region-200", threeRegions(200), 1.3})
	}
	return out
}

var maxStoreCopies = map[catalog.FetchGoal]float64{catalog.MinimizeOriginReads: 1.05, catalog.MinimizeFetchTime: 4}

func reportRun(t *testing.T, name string, s measuredTopology, fetchGoal catalog.FetchGoal, r result) {
	t.Helper()
	if !r.done {
		t.Errorf("%s: not all reachable hosts were ready after %s", name, runTimeout)
	}
	ratio := measure.Figure{Name: name + ".ratio", Value: r.seconds / s.topology.minSeconds(), Unit: "x"}
	if s.maxRatio > 0 {
		ratio.Limit, ratio.Bound = measure.AtMost, s.maxRatio
	}
	measure.Report(t, ratio)
	measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies", Limit: measure.AtMost, Bound: maxStoreCopies[fetchGoal]})
	if s.topology.regionRate > 0 {
		measure.Report(t, measure.Figure{Name: name + ".link", Value: r.linkCopies, Unit: "copies", Limit: measure.AtMost, Bound: 1.1})
	}
	measure.Report(t, measure.Figure{Name: name + ".control", Value: r.controlRate / 1000, Unit: "kB/s", Limit: measure.AtMost, Bound: 9})
}

// TestMeasureBurstUndisturbed measures, without faults, the time until all hosts are ready, the copies read from the
// store and the control traffic.
func TestMeasureBurstUndisturbed(t *testing.T) {
	for _, s := range measuredTopologies() {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			name := fmt.Sprintf("burst.%s.%s", s.name, fetchGoal)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				reportRun(t, name, s, fetchGoal, runBurst(t, s.topology, fetchGoal, fetchplanner.RarestFirst, fault{}))
			})
		}
	}
}

// TestMeasureBurstFaults measures the slowdown by each fault, compared with a run without faults, and the copies read
// from the store.
func TestMeasureBurstFaults(t *testing.T) {
	topologies := []measuredTopology{{"agency", agency(), 0}, {"schools", schools(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"flat-50", singleRegion(50), 0}, measuredTopology{"region-50", threeRegions(50), 0})
	}
	for _, s := range topologies {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			if s.name == "flat-50" && fetchGoal == catalog.MinimizeFetchTime {
				continue
			}
			t.Run(s.name+string(fetchGoal), func(t *testing.T) {
				t.Parallel()
				base := runBurst(t, s.topology, fetchGoal, fetchplanner.RarestFirst, fault{})
				for _, f := range faults() {
					reportFault(t, fmt.Sprintf("burst.%s.%s.%s", s.name, fetchGoal, f.name), fetchGoal, base, runBurst(t, s.topology, fetchGoal, fetchplanner.RarestFirst, f))
				}
			})
		}
	}
}

func reportFault(t *testing.T, name string, fetchGoal catalog.FetchGoal, base, r result) {
	t.Helper()
	if !r.done {
		t.Errorf("%s: not all reachable hosts were ready after %s", name, runTimeout)
	}
	measure.Report(t, measure.Figure{Name: name + ".slowdown", Value: r.seconds / base.seconds, Unit: "x", Limit: measure.AtMost, Bound: 2})
	copies := measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies"}
	if fetchGoal == catalog.MinimizeOriginReads {
		copies.Limit, copies.Bound = measure.AtMost, 1.3
	}
	measure.Report(t, copies)
}

// TestMeasureBurstPartialList measures the copies read from the store if each host knows only half of the other hosts
// for the first two seconds.
func TestMeasureBurstPartialList(t *testing.T) {
	topologies := []measuredTopology{{"agency", agency(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"flat-50", singleRegion(50), 0})
	}
	for _, s := range topologies {
		name := "burst." + s.name + ".origin.partial.origin"
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fault{"partial", func(sim *simulation) int { sim.partialListTime = 2 * time.Second; return 1 }}
			r := runBurst(t, s.topology, catalog.MinimizeOriginReads, fetchplanner.RarestFirst, f)
			measure.Report(t, measure.Figure{Name: name, Value: r.storeCopies, Unit: "copies", Limit: measure.AtMost, Bound: 1.3})
		})
	}
}

// TestMeasureBurstChoice compares the rarest-first selection of chunks and holders with round robin, and with
// rarest-first chunks from holders in turn.
func TestMeasureBurstChoice(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: takes long, runs in script/bench only")
		return
	}
	choices := map[string]fetchplanner.SelectionPolicy{"rarest": fetchplanner.RarestFirst, "turn": fetchplanner.RoundRobin, "holder": fetchplanner.RarestRoundRobin}
	for _, f := range []fault{{name: "undisturbed"}, {"kill", crashSome}} {
		for selection, c := range choices {
			name := "burst.choice." + f.name + "." + selection + ".ratio"
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				s := singleRegion(50)
				r := runBurst(t, s, catalog.MinimizeOriginReads, c, f)
				measure.Report(t, measure.Figure{Name: name, Value: r.seconds / s.minSeconds(), Unit: "x"})
			})
		}
	}
}
