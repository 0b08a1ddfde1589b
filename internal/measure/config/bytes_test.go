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

func (m *measurement) reportReadRate(name string, readsBefore int, began time.Time) {
	m.t.Helper()
	measure.Report(m.t, measure.Figure{
		Name: name, Value: float64(m.logReads()-readsBefore) / time.Since(began).Seconds(), Unit: "reads/s",
	})
}

// TestMeasureConfigBytes measures the control traffic between processes and the rate of reads from the log.
func TestMeasureConfigBytes(t *testing.T) {
	runMeasurement(t, false, 330, 13, func(m *measurement) { m.reportTraffic("330.13") })
}

// reportTraffic reports the rate of reads from the log when idle, and the bytes per second that each process sends and
// receives when idle, during a burst, and on average over a day. The average is computed from the other two for 8,000
// changes a day, in bursts of 100 every 18 minutes.
func (m *measurement) reportTraffic(size string) {
	m.t.Helper()
	const window = 5 * time.Second
	const burstInterval = 24 * time.Hour / 80
	readsBefore, began := m.logReads(), time.Now()
	idle := m.measureByteRates(func() { time.Sleep(window) })
	m.reportReadRate("config.reads."+size, readsBefore, began)
	burst := m.measureByteRates(func() {
		m.publishBurst(100)
		time.Sleep(window - 100*time.Second/burstRate)
	})
	day := make([]float64, len(idle))
	for i := range day {
		day[i] = (burst[i]*window.Seconds() + idle[i]*(burstInterval-window).Seconds()) / burstInterval.Seconds()
	}
	m.reportByteRates("config.bytes.idle."+size, idle, measure.AtMost)
	m.reportByteRates("config.bytes.day."+size, day, measure.AtMost)
	// The bound is for the average over time. The rate during a burst is above it, so no bound applies here.
	m.reportByteRates("config.bytes.burst5s."+size, burst, measure.NoBound)
}

// measureByteRates calls fn and returns, for each process, the bytes per second that it sent and received meanwhile.
func (m *measurement) measureByteRates(fn func()) []float64 {
	for _, p := range m.allProcesses() {
		p.controlBytes.Store(0)
	}
	began := time.Now()
	fn()
	var rates []float64
	for _, p := range m.allProcesses() {
		rates = append(rates, float64(p.controlBytes.Load())/time.Since(began).Seconds())
	}
	return rates
}

func (m *measurement) reportByteRates(name string, rates []float64, boundKind measure.BoundKind) {
	m.t.Helper()
	sum := 0.0
	for _, rate := range rates {
		sum += rate
	}
	figure := measure.Figure{Unit: "B/s", BoundKind: boundKind, Bound: maxByteRate}
	figure.Name, figure.Value = name+".mean", sum/float64(len(rates))
	measure.Report(m.t, figure)
	figure.Name, figure.Value = name+".max", slices.Max(rates)
	measure.Report(m.t, figure)
}
