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

// plotPath is the file of the plot, relative to this package.
const plotPath = "../../../docs/measures/burst.png"

// plotCurves holds percentages over time in seconds.
type plotCurves struct {
	ready, store, peers plotter.XYs
}

func samplePlot(t *testing.T, s topology) plotCurves {
	t.Helper()
	var out plotCurves
	synctest.Test(t, func(*testing.T) {
		sim := newSimulation(s, catalog.MinimizeOriginReads, seed)
		sim.publish(1, sim.artifact("1", chunkCount, chunkBytes, nil))
		var read func()
		read = func() {
			x := time.Since(sim.startTime).Seconds()
			var received ident.Bytes
			for _, h := range sim.hosts {
				received += h.down.bytes
			}
			total := float64(s.hosts) * setBytes
			out.ready = append(out.ready, plotter.XY{X: x, Y: 100 * float64(len(sim.readyTimes)) / float64(s.hosts)})
			out.store = append(out.store, plotter.XY{X: x, Y: 100 * float64(sim.store.bytes) / setBytes})
			out.peers = append(out.peers, plotter.XY{X: x, Y: 100 * float64(received-sim.store.bytes) / total})
			sim.schedule(2*time.Second, read)
		}
		read()
		sim.run(runTimeout, func() bool { return len(sim.readyTimes) == s.hosts })
		read()
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
	c := samplePlot(t, threeRegions(50))
	p := plot.New()
	p.Title.Text = "Burst to 50 hosts in 3 regions and 6 zones"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "percent"
	p.Legend.Top, p.Legend.Left = true, true
	is.NoErr(plotutil.AddLines(p,
		"replicas with all chunks", c.ready, "read from the store, of one copy", c.store, "read from other hosts, of N copies", c.peers))
	is.NoErr(p.Save(18*vg.Centimeter, 11*vg.Centimeter, plotPath))
}
