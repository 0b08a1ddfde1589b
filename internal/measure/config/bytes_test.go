package config_test

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/measure"
)

func (f *field) logReads() int {
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	return f.log.reads
}

func (f *field) reportReads(name string, before int, began time.Time) {
	f.t.Helper()
	measure.Report(f.t, measure.Figure{
		Name: name, Value: float64(f.logReads()-before) / time.Since(began).Seconds(), Unit: "reads/s",
	})
}

// TestMeasureConfigBytes counts messages between processes.
func TestMeasureConfigBytes(t *testing.T) {
	run(t, false, 330, 13, func(f *field) { f.bytesOfDay("330.13") })
}

// bytesOfDay reports the bytes a second that each process causes, sent and received: idle; within a burst; and over a
// day of 8,000 changes that come in bursts of 100, one each 18 minutes, computed from both.
func (f *field) bytesOfDay(size string) {
	f.t.Helper()
	const window = 5 * time.Second
	const cycle = 24 * time.Hour / 80
	reads, began := f.logReads(), time.Now()
	idle := f.bytesOver(func() { time.Sleep(window) })
	f.reportReads("config.reads."+size, reads, began)
	burst := f.bytesOver(func() {
		f.burst(100)
		time.Sleep(window - 100*time.Second/burstRate)
	})
	day := make([]float64, len(idle))
	for i := range day {
		day[i] = (burst[i]*window.Seconds() + idle[i]*(cycle-window).Seconds()) / cycle.Seconds()
	}
	f.reportRate("config.bytes.idle."+size, idle, measure.AtMost)
	f.reportRate("config.bytes.day."+size, day, measure.AtMost)
	// While a burst lasts the rate is above the mean that the bound is for.
	f.reportRate("config.bytes.burst5s."+size, burst, measure.NoBound)
}

// bytesOver returns each process's bytes a second while fn runs.
func (f *field) bytesOver(fn func()) []float64 {
	for _, p := range f.all() {
		p.bytes.Store(0)
	}
	began := time.Now()
	fn()
	var out []float64
	for _, p := range f.all() {
		out = append(out, float64(p.bytes.Load())/time.Since(began).Seconds())
	}
	return out
}

func (f *field) reportRate(name string, rates []float64, limit measure.Limit) {
	f.t.Helper()
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	figure := measure.Figure{Unit: "B/s", Limit: limit, Bound: boundBytes}
	figure.Name, figure.Value = name+".mean", sum/float64(len(rates))
	measure.Report(f.t, figure)
	figure.Name, figure.Value = name+".max", slices.Max(rates)
	measure.Report(f.t, figure)
}
