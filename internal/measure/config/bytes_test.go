package config_test

import (
	"slices"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/measure"
)

func (m *measurement) logReads() int {
	m.log.mu.Lock()
	defer m.log.mu.Unlock()
	return m.log.reads
}

func (m *measurement) reportReadRate(name string, before int, began time.Time) {
	m.t.Helper()
	measure.Report(m.t, measure.Figure{
		Name: name, Value: float64(m.logReads()-before) / time.Since(began).Seconds(), Unit: "reads/s",
	})
}

// TestMeasureConfigBytes measures the traffic of messages between processes.
func TestMeasureConfigBytes(t *testing.T) {
	runMeasurement(t, false, 330, 13, func(m *measurement) { m.reportDailyBytes("330.13") })
}

// reportDailyBytes reports the bytes per second that each process sends and receives when idle, during a burst, and on
// average over a day. The average is computed from the other two for 8,000 changes a day, in bursts of 100 every
// 18 minutes.
func (m *measurement) reportDailyBytes(size string) {
	m.t.Helper()
	const window = 5 * time.Second
	const cycle = 24 * time.Hour / 80
	reads, began := m.logReads(), time.Now()
	idle := m.measureByteRates(func() { time.Sleep(window) })
	m.reportReadRate("config.reads."+size, reads, began)
	burst := m.measureByteRates(func() {
		m.publishBurst(100)
		time.Sleep(window - 100*time.Second/burstRate)
	})
	day := make([]float64, len(idle))
	for i := range day {
		day[i] = (burst[i]*window.Seconds() + idle[i]*(cycle-window).Seconds()) / cycle.Seconds()
	}
	m.reportByteRates("config.bytes.idle."+size, idle, measure.AtMost)
	m.reportByteRates("config.bytes.day."+size, day, measure.AtMost)
	// No bound applies here: the bound is for the mean, and the rate during a burst is above it.
	m.reportByteRates("config.bytes.burst5s."+size, burst, measure.NoBound)
}

// measureByteRates calls fn and returns the bytes per second of each process meanwhile.
func (m *measurement) measureByteRates(fn func()) []float64 {
	for _, p := range m.all() {
		p.controlBytes.Store(0)
	}
	began := time.Now()
	fn()
	var out []float64
	for _, p := range m.all() {
		out = append(out, float64(p.controlBytes.Load())/time.Since(began).Seconds())
	}
	return out
}

func (m *measurement) reportByteRates(name string, rates []float64, limit measure.Limit) {
	m.t.Helper()
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	figure := measure.Figure{Unit: "B/s", Limit: limit, Bound: maxBytesRate}
	figure.Name, figure.Value = name+".mean", sum/float64(len(rates))
	measure.Report(m.t, figure)
	figure.Name, figure.Value = name+".max", slices.Max(rates)
	measure.Report(m.t, figure)
}
