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

// Within the burst window, the store can send four copies of the weight set and each host two. These figures are the
// users' requirements.
const (
	burstWindow = 240 * time.Second
	chunkBytes  = 4 << 20
	chunkCount  = 256
	setBytes    = chunkBytes * chunkCount
	// regionLinkRate is in bytes per second.
	regionLinkRate = 20e6 / 8
	runTimeout     = 10 * burstWindow
	seed           = 1
)

// newTopology returns a topology whose store and hosts can send the required copies within the burst window.
func newTopology(hosts int, locations ...location) topology {
	seconds := burstWindow.Seconds()
	return topology{hosts: hosts, locations: locations, storeRate: 4 * setBytes / seconds, hostRate: 2 * setBytes / seconds}
}

// singleRegionTopology returns a topology of one region with four zones.
func singleRegionTopology(n int) topology {
	return newTopology(n, location{"a", "r"}, location{"b", "r"}, location{"c", "r"}, location{"d", "r"})
}

// threeRegionTopology returns a topology of three regions with two zones each and slow links between the regions.
func threeRegionTopology(n int) topology {
	topo := newTopology(n, location{"a", "r"}, location{"b", "s"}, location{"c", "t"}, location{"d", "r"}, location{"e", "s"}, location{"f", "t"})
	topo.regionRate = regionLinkRate
	return topo
}

func agencyTopology() topology {
	topo := newTopology(16, location{"rijeka-1", "kvarner"}, location{"split-1", "dalmatia"}, location{"zagreb-1", "panonija"})
	topo.regionRate = regionLinkRate
	return topo
}

func schoolsTopology() topology {
	topo := newTopology(9, location{"walvis-a", "erongo"}, location{"windhoek-a", "khomas"}, location{"luderitz-a", "karas"})
	topo.regionRate = regionLinkRate
	return topo
}

// minSeconds returns the shortest possible duration of a burst in seconds. If the links between regions are limited, a
// remote region can receive parts of its copy from all other regions at once, and the home region must send at least
// one copy in total over all its links.
func (topo topology) minSeconds() float64 {
	n := float64(topo.hosts)
	bound := max(setBytes/topo.storeRate, setBytes/topo.hostRate, n*setBytes/(topo.storeRate+n*topo.hostRate))
	if topo.regionRate > 0 {
		regions := make(map[ident.Region]bool)
		for _, loc := range topo.locations {
			regions[loc.region] = true
		}
		bound = max(bound, setBytes/(topo.regionRate*float64(len(regions)-1)))
	}
	return bound
}

// fault is a fault that is injected into a run. apply schedules it and returns the number of the weight set that all
// hosts must hold at the end.
type fault struct {
	name  string
	apply func(sim *simulation) int
}

// result holds the measurements of a run. done is false if the run timed out. linkCopies is the number of copies sent
// over the region link with the most traffic. controlRate is in bytes per second and host.
type result struct {
	done        bool
	seconds     float64
	storeCopies float64
	linkCopies  float64
	controlRate float64
	readyTimes  []time.Duration
}

func runBurst(t *testing.T, topo topology, fetchGoal catalog.FetchGoal, selection fetchplanner.SelectionPolicy, f fault) result {
	t.Helper()
	var r result
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(topo, fetchGoal, seed)
		sim.countsControlBytes = true
		for _, h := range sim.hosts {
			h.planner.Selection = selection
		}
		sim.publish(1, sim.newGoal("1", chunkCount, chunkBytes, nil))
		set := 1
		if f.apply != nil {
			set = f.apply(sim)
		}
		allReady := false
		var check func()
		check = func() {
			allReady = sim.areAllReady(set)
			sim.schedule(tickInterval, check)
		}
		check()
		r.done = sim.run(runTimeout, func() bool { return allReady })
		r.seconds = time.Since(sim.startTime).Seconds()
		r.storeCopies = sim.storeCopies(set)
		for _, l := range sim.regionLinks {
			r.linkCopies = max(r.linkCopies, float64(l.bytes)/setBytes)
		}
		r.controlRate = float64(sim.controlBytes) / float64(topo.hosts) / r.seconds
		r.readyTimes = sim.readyTimes
	})
	return r
}

// storeCopies returns how many copies of the given weight set were read from the store. It takes the list of chunks
// from any host that has the weight set as its goal.
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
		{"kill", crashSomeHosts},
		{"freeze", freezeFirstReader},
		{"corrupt", func(sim *simulation) int { sim.corruptShare = 0.01; return 1 }},
		{"cut", cutLastZone},
		{"stall", stallFirstReader},
		{"version", publishHalfway},
	}
}

func crashSomeHosts(sim *simulation) int {
	for i := range max(1, sim.topology.hosts/20) {
		h := sim.hosts[(i*7+3)%sim.topology.hosts]
		sim.schedule(burstWindow/12+time.Duration(i)*burstWindow/60, h.crash)
	}
	return 1
}

// freezeFirstReader freezes the first host that reads from the store, shortly after its first read starts.
func freezeFirstReader(sim *simulation) int {
	sim.onStoreRead = func(h *host) {
		sim.onStoreRead = func(*host) {}
		sim.schedule(2*time.Second, func() { h.frozen = true })
	}
	return 1
}

// stallFirstReader stalls all transfers of the first host that reads from the store, shortly after its first read
// starts. The host continues to respond to queries.
func stallFirstReader(sim *simulation) int {
	sim.onStoreRead = func(h *host) {
		sim.onStoreRead = func(*host) {}
		sim.schedule(2*time.Second, func() { h.isStalled = true })
	}
	return 1
}

// cutLastZone interrupts the links between the last zone and all other zones for a third of the burst window.
func cutLastZone(sim *simulation) int {
	from, until := sim.startTime.Add(burstWindow/12), sim.startTime.Add(burstWindow/12+burstWindow/3)
	zone := sim.locations[len(sim.locations)-1].zone
	sim.isCut = func(a, b location) bool {
		now := time.Now()
		return a.zone != b.zone && (a.zone == zone || b.zone == zone) && now.After(from) && now.Before(until)
	}
	return 1
}

// publishHalfway publishes a second weight set after half of the shortest possible duration. It shares every other
// chunk with the first one.
func publishHalfway(sim *simulation) int {
	old := sim.newGoal("1", chunkCount, chunkBytes, nil)
	half := time.Duration(sim.minSeconds() / 2 * float64(time.Second))
	sim.schedule(half, func() { sim.publish(2, sim.newGoal("2", chunkCount, chunkBytes, &old.Artifact)) })
	return 2
}

func (h *host) crash() {
	h.crashed, h.crashedAt = true, time.Now()
}

// measuredTopology is a topology with its name in the figures. maxRatio bounds the duration as a multiple of the
// shortest possible one; zero means no bound.
type measuredTopology struct {
	name     string
	topology topology
	maxRatio float64
}

// measuredTopologies returns the topologies to measure. The large ones take long and are measured only in script/bench.
func measuredTopologies() []measuredTopology {
	out := []measuredTopology{{"agency", agencyTopology(), 0}, {"schools", schoolsTopology(), 0}, {"flat-50", singleRegionTopology(50), 0}, {"region-50", threeRegionTopology(50), 0}}
	if measure.IsBenchRun() {
		out = append(out, measuredTopology{"flat-200", singleRegionTopology(200), 1.2}, measuredTopology{"region-200", threeRegionTopology(200), 1.3})
	}
	return out
}

var maxStoreCopies = map[catalog.FetchGoal]float64{catalog.MinimizeOriginReads: 1.05, catalog.MinimizeFetchTime: 4}

func reportRun(t *testing.T, name string, measured measuredTopology, fetchGoal catalog.FetchGoal, r result) {
	t.Helper()
	if !r.done {
		t.Errorf("%s: not all reachable hosts were ready after %s", name, runTimeout)
	}
	ratio := measure.Figure{Name: name + ".ratio", Value: r.seconds / measured.topology.minSeconds(), Unit: "x"}
	if measured.maxRatio > 0 {
		ratio.BoundKind, ratio.Bound = measure.AtMost, measured.maxRatio
	}
	measure.Report(t, ratio)
	measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies", BoundKind: measure.AtMost, Bound: maxStoreCopies[fetchGoal]})
	if measured.topology.regionRate > 0 {
		measure.Report(t, measure.Figure{Name: name + ".link", Value: r.linkCopies, Unit: "copies", BoundKind: measure.AtMost, Bound: 1.1})
	}
	measure.Report(t, measure.Figure{Name: name + ".control", Value: r.controlRate / 1000, Unit: "kB/s", BoundKind: measure.AtMost, Bound: 9})
}

// TestMeasureBurstUndisturbed measures, without faults, the time until all hosts are ready, the copies read from the
// store and the control traffic.
func TestMeasureBurstUndisturbed(t *testing.T) {
	for _, measured := range measuredTopologies() {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			name := fmt.Sprintf("burst.%s.%s", measured.name, fetchGoal)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				reportRun(t, name, measured, fetchGoal, runBurst(t, measured.topology, fetchGoal, fetchplanner.RarestFirst, fault{}))
			})
		}
	}
}

// TestMeasureBurstFaults measures the slowdown that each fault causes, compared with a run without faults, and the
// copies read from the store.
func TestMeasureBurstFaults(t *testing.T) {
	topologies := []measuredTopology{{"agency", agencyTopology(), 0}, {"schools", schoolsTopology(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"flat-50", singleRegionTopology(50), 0}, measuredTopology{"region-50", threeRegionTopology(50), 0})
	}
	for _, measured := range topologies {
		for _, fetchGoal := range []catalog.FetchGoal{catalog.MinimizeOriginReads, catalog.MinimizeFetchTime} {
			if measured.name == "flat-50" && fetchGoal == catalog.MinimizeFetchTime {
				continue
			}
			t.Run(measured.name+string(fetchGoal), func(t *testing.T) {
				t.Parallel()
				base := runBurst(t, measured.topology, fetchGoal, fetchplanner.RarestFirst, fault{})
				for _, f := range faults() {
					reportFault(t, fmt.Sprintf("burst.%s.%s.%s", measured.name, fetchGoal, f.name), fetchGoal, base, runBurst(t, measured.topology, fetchGoal, fetchplanner.RarestFirst, f))
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
	measure.Report(t, measure.Figure{Name: name + ".slowdown", Value: r.seconds / base.seconds, Unit: "x", BoundKind: measure.AtMost, Bound: 2})
	copies := measure.Figure{Name: name + ".origin", Value: r.storeCopies, Unit: "copies"}
	if fetchGoal == catalog.MinimizeOriginReads {
		copies.BoundKind, copies.Bound = measure.AtMost, 1.3
	}
	measure.Report(t, copies)
}

// TestMeasureBurstPartialList measures the copies read from the store if each host knows only about half of the other
// hosts for the first two seconds.
func TestMeasureBurstPartialList(t *testing.T) {
	topologies := []measuredTopology{{"agency", agencyTopology(), 0}}
	if measure.IsBenchRun() {
		topologies = append(topologies, measuredTopology{"flat-50", singleRegionTopology(50), 0})
	}
	for _, measured := range topologies {
		name := "burst." + measured.name + ".origin.partial.origin"
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := fault{"partial", func(sim *simulation) int { sim.partialListTime = 2 * time.Second; return 1 }}
			r := runBurst(t, measured.topology, catalog.MinimizeOriginReads, fetchplanner.RarestFirst, f)
			measure.Report(t, measure.Figure{Name: name, Value: r.storeCopies, Unit: "copies", BoundKind: measure.AtMost, Bound: 1.3})
		})
	}
}

// TestMeasureBurstChoice compares three policies for the selection of chunks and their holders: rarest first, round
// robin, and rarest chunk first with the holders in rotation.
func TestMeasureBurstChoice(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: takes long, runs in script/bench only")
		return
	}
	policies := map[string]fetchplanner.SelectionPolicy{"rarest": fetchplanner.RarestFirst, "turn": fetchplanner.RoundRobin, "holder": fetchplanner.RarestRoundRobin}
	for _, f := range []fault{{name: "undisturbed"}, {"kill", crashSomeHosts}} {
		for policyName, policy := range policies {
			name := "burst.choice." + f.name + "." + policyName + ".ratio"
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				topo := singleRegionTopology(50)
				r := runBurst(t, topo, catalog.MinimizeOriginReads, policy, f)
				measure.Report(t, measure.Figure{Name: name, Value: r.seconds / topo.minSeconds(), Unit: "x"})
			})
		}
	}
}
