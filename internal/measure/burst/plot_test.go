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

// picture is where the plot is written, from this folder.
const picture = "../../../docs/measures/burst.png"

// curves are percentages over seconds.
type curves struct {
	ready, store, peers plotter.XYs
}

func sample(t *testing.T, s shape) curves {
	t.Helper()
	var out curves
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s, catalog.MinimizeOriginReads, seed)
		w.publish(1, w.artifact("1", chunkCount, chunkBytes, nil))
		var read func()
		read = func() {
			x := time.Since(w.began).Seconds()
			var received ident.Bytes
			for _, h := range w.hosts {
				received += h.down.bytes
			}
			total := float64(s.hosts) * setBytes
			out.ready = append(out.ready, plotter.XY{X: x, Y: 100 * float64(len(w.ready)) / float64(s.hosts)})
			out.store = append(out.store, plotter.XY{X: x, Y: 100 * float64(w.store.bytes) / setBytes})
			out.peers = append(out.peers, plotter.XY{X: x, Y: 100 * float64(received-w.store.bytes) / total})
			w.after(2*time.Second, read)
		}
		read()
		w.run(limit, func() bool { return len(w.ready) == s.hosts })
		read()
	})
	return out
}

// TestMeasureBurstPicture draws a burst: replicas ready, and bytes from the store and from other hosts, over time.
func TestMeasureBurstPicture(t *testing.T) {
	if !measure.Wanted() {
		t.Log("script/bench draws the picture")
		return
	}
	is := is.New(t)
	c := sample(t, regional(50))
	p := plot.New()
	p.Title.Text = "Burst to 50 hosts in 3 regions and 6 zones"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "percent"
	p.Legend.Top, p.Legend.Left = true, true
	is.NoErr(plotutil.AddLines(p,
		"replicas with all chunks", c.ready, "read from the store, of one copy", c.store, "read from other hosts, of N copies", c.peers))
	is.NoErr(p.Save(18*vg.Centimeter, 11*vg.Centimeter, picture))
}
