package burst

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// plotPath is the file that the plot is written to, relative to this package.
const plotPath = "../../../docs/measures/burst.png"

// plotCurves holds the curves of the plot: percentages over time in seconds.
type plotCurves struct {
	ready, store, peers plotter.XYs
}

func sampleCurves(t *testing.T, topo topology) plotCurves {
	t.Helper()
	var out plotCurves
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(topo, catalog.MinimizeOriginReads, seed)
		sim.publish(1, sim.newGoal("1", chunkCount, chunkBytes, nil))
		var sample func()
		sample = func() {
			seconds := time.Since(sim.startTime).Seconds()
			var received ident.Bytes
			for _, h := range sim.hosts {
				received += h.down.bytes
			}
			total := float64(topo.hosts) * setBytes
			out.ready = append(out.ready, plotter.XY{X: seconds, Y: 100 * float64(len(sim.readyTimes)) / float64(topo.hosts)})
			out.store = append(out.store, plotter.XY{X: seconds, Y: 100 * float64(sim.store.bytes) / setBytes})
			out.peers = append(out.peers, plotter.XY{X: seconds, Y: 100 * float64(received-sim.store.bytes) / total})
			sim.schedule(2*time.Second, sample)
		}
		sample()
		sim.run(runTimeout, func() bool { return len(sim.readyTimes) == topo.hosts })
		sample()
	})
	return out
}

// TestMeasureBurstPicture plots a burst over time: the share of ready replicas, and the bytes read from the store and
// from other hosts.
func TestMeasureBurstPicture(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: script/bench draws the plot")
		return
	}
	is := is.New(t)
	curves := sampleCurves(t, threeRegionTopology(50))
	p := plot.New()
	p.Title.Text = "Burst to 50 hosts in 3 regions and 6 zones"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "percent"
	p.Legend.Top, p.Legend.Left = true, true
	is.NoErr(plotutil.AddLines(p,
		"replicas with all chunks", curves.ready, "read from the store, of one copy", curves.store, "read from other hosts, of N copies", curves.peers))
	is.NoErr(p.Save(18*vg.Centimeter, 11*vg.Centimeter, plotPath))
}
