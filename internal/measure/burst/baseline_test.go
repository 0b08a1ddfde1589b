package burst

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

// ahead is the number of chunks that a host of a baseline reads at a time.
const ahead = 3

// relay is a baseline without decisions: each host reads the chunks in order from a fixed parent, or from the store.
type relay struct {
	w       *world
	parent  func(i int) int
	got     [][]bool
	next    []int
	flying  []int
	left    int
	seconds float64
}

func (r *relay) pump(i int) {
	p := r.parent(i)
	for r.flying[i] < ahead && r.next[i] < chunkCount && (p < 0 || r.got[p][r.next[i]]) {
		r.send(p, i, r.next[i])
		r.next[i]++
		r.flying[i]++
	}
}

func (r *relay) send(p, i, c int) {
	to := r.w.hosts[i]
	from, region := r.w.store, r.w.places[0].region
	if p >= 0 {
		from, region = r.w.hosts[p].up, r.w.hosts[p].Region
	}
	path := []*link{from}
	if l := r.w.between(region, to.Region); l != nil {
		path = append(path, l)
	}
	t := &transfer{
		path: append(path, to.down), size: chunkBytes, isOpen: func() bool { return true }, progress: func(ident.Bytes) {},
	}
	t.finish = func() {
		r.got[i][c] = true
		r.left--
		r.flying[i]--
		r.pump(i)
		for k := range r.w.hosts {
			if r.parent(k) == i {
				r.pump(k)
			}
		}
	}
	t.start()
}

func runRelay(t *testing.T, s shape, parent func(i int) int) result {
	t.Helper()
	var out result
	synctest.Test(t, func(*testing.T) {
		w := newWorld(s, "", seed)
		r := &relay{w: w, parent: parent, next: make([]int, s.hosts), flying: make([]int, s.hosts), left: s.hosts * chunkCount}
		for range s.hosts {
			r.got = append(r.got, make([]bool, chunkCount))
		}
		for i := range s.hosts {
			r.pump(i)
		}
		out.done = w.run(1000*burstWindow, func() bool { return r.left == 0 })
		out.seconds = time.Since(w.began).Seconds()
		out.origin = float64(w.store.bytes) / setBytes
	})
	return out
}

// TestMeasureBurstBaselines reads the time and copies of the ways that were ruled out.
func TestMeasureBurstBaselines(t *testing.T) {
	baselines := map[string]func(i int) int{
		"store": func(int) int { return -1 },
		"chain": func(i int) int { return i - 1 },
		"tree":  func(i int) int { return (i+1)/2 - 1 },
	}
	chosen := []setting{{"agency", agency(), 0}}
	if measure.IsBenchRun() {
		chosen = append(chosen, setting{"schools", schools(), 0}, setting{"flat-50", flat(50), 0}, setting{"flat-200", flat(200), 0})
	}
	for _, s := range chosen {
		for b, parent := range baselines {
			name := fmt.Sprintf("burst.%s.baseline.%s", s.name, b)
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				r := runRelay(t, s.shape, parent)
				measure.Report(t, measure.Figure{Name: name + ".ratio", Value: r.seconds / s.shape.bound(), Unit: "x"})
				measure.Report(t, measure.Figure{Name: name + ".origin", Value: r.origin, Unit: "copies"})
			})
		}
	}
}
