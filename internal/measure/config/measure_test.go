// Package config_test measures how fast changes of the configuration reach all processes, and tests the replication of
// the configuration under faults.
package config_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/ranker"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/measure"
)

const (
	// maxApplyDelay bounds the time from the append of a record until a process has applied it.
	maxApplyDelay = 4 * time.Second
	// maxNewHostDelay bounds the time until a new host is ready.
	maxNewHostDelay = 5 * time.Second
	// maxByteRate bounds the control traffic that a daemon sends and receives, in bytes per second.
	maxByteRate    = 9_000
	burstRate      = 50 // changes per second
	warmUpTime     = 5 * time.Second
	changeInterval = 730 * time.Millisecond
)

// measurement is a cluster for which it is recorded how long each process takes to apply each change.
type measurement struct {
	*cluster
	t           *testing.T
	publishedAt []time.Time // by offset

	mu       sync.Mutex
	delays   []time.Duration
	watchers sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// runMeasurement calls fn in virtual time with a cluster whose processes are spread evenly over the zones. Every eighth
// process is an entry host.
func runMeasurement(t *testing.T, baseline bool, procs, zones int, fn func(m *measurement)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &measurement{cluster: &cluster{baseline: baseline}, t: t}
		m.ctx, m.cancel = context.WithCancel(context.Background())
		for i := range procs {
			m.start(ident.Host(fmt.Sprintf("h%d", i)), ident.Zone(fmt.Sprintf("z%d", i%zones)), i%8 == 0)
		}
		m.updatePeerList()
		m.publish(0)
		time.Sleep(warmUpTime)
		fn(m)
		m.cancel()
		m.stop()
		m.watchers.Wait()
	})
}

// publish appends the change with the number i of the only organisation. The numbers start at 0.
func (m *measurement) publish(i int) {
	rec := catalog.Record{
		ID: ident.ChangeID(fmt.Sprintf("change-%d", i)), Object: "organisation/acme", Base: ident.Revision(i), Author: "operator",
		Time: time.Now(), Organisation: &catalog.Organisation{Key: "key", Weight: i % 100},
	}
	data, err := rec.Encode()
	if err != nil {
		m.t.Fatal(err)
	}
	m.mu.Lock()
	m.publishedAt = append(m.publishedAt, time.Now())
	m.mu.Unlock()
	if _, err := m.log.append(logclient.ConfigStream, data); err != nil {
		m.t.Fatal(err)
	}
}

// recordDelays records, for each of the processes and each change from now on, how long the process takes to apply the
// change.
func (m *measurement) recordDelays(procs []*process) {
	for _, p := range procs {
		m.watchers.Go(func() {
			previous := p.snapshot().Offset()
			for {
				changed := p.follower.Changed()
				current := p.snapshot().Offset()
				m.addDelays(previous, current)
				previous = current
				select {
				case <-m.ctx.Done():
					return
				case <-changed:
				}
			}
		})
	}
}

// addDelays adds the delays of the records from one offset up to, but not including, another.
func (m *measurement) addDelays(from, to ident.Offset) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for offset := from; offset < to; offset++ {
		m.delays = append(m.delays, time.Since(m.publishedAt[offset]))
	}
}

// reportDelays reports the delays of all processes. The test fails if their number is not want, which is the number of
// changes times the number of processes.
func (m *measurement) reportDelays(name string, want int) {
	m.t.Helper()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) != want {
		m.t.Errorf("%s: %d changes were applied, want %d", name, len(m.delays), want)
		return
	}
	slices.Sort(m.delays)
	n := len(m.delays)
	reportSeconds(m.t, name+".p50", m.delays[n/2], maxApplyDelay)
	reportSeconds(m.t, name+".p99", m.delays[n*99/100], maxApplyDelay)
	reportSeconds(m.t, name+".max", m.delays[n-1], maxApplyDelay)
}

func reportSeconds(t *testing.T, name string, duration, bound time.Duration) {
	t.Helper()
	measure.Report(t, measure.Figure{
		Name: name, Value: duration.Seconds(), Unit: "s", BoundKind: measure.AtMost, Bound: bound.Seconds(),
	})
}

// publishSlowly publishes n changes with a pause after each.
func (m *measurement) publishSlowly(n int) {
	for range n {
		m.publish(len(m.publishedAt))
		time.Sleep(changeInterval)
	}
}

// publishBurst publishes n changes at burstRate per second.
func (m *measurement) publishBurst(n int) {
	for range n {
		m.publish(len(m.publishedAt))
		time.Sleep(time.Second / burstRate)
	}
}

var sizes = []struct{ procs, zones int }{{20, 3}, {20, 13}, {330, 3}, {330, 13}}

// TestMeasureConfigIdle measures the delays of changes that are published one at a time.
func TestMeasureConfigIdle(t *testing.T) {
	for _, size := range sizes {
		runMeasurement(t, false, size.procs, size.zones, func(m *measurement) {
			m.recordDelays(m.liveProcesses())
			m.publishSlowly(5)
			time.Sleep(maxApplyDelay)
			m.reportDelays(fmt.Sprintf("config.idle.%d.%d", size.procs, size.zones), 5*size.procs)
		})
	}
}

// TestMeasureConfigBurst measures the delays of changes that are published in a burst.
func TestMeasureConfigBurst(t *testing.T) {
	for _, size := range sizes {
		runMeasurement(t, false, size.procs, size.zones, func(m *measurement) {
			m.recordDelays(m.liveProcesses())
			m.publishBurst(50)
			time.Sleep(maxApplyDelay)
			m.reportDelays(fmt.Sprintf("config.burst.%d.%d", size.procs, size.zones), 50*size.procs)
		})
	}
}

// TestMeasureConfigLarge measures the traffic and the delays in a cluster of 2,700 processes.
func TestMeasureConfigLarge(t *testing.T) {
	if !measure.IsBenchRun() {
		t.Log("skipped: runs in script/bench only")
		return
	}
	runMeasurement(t, false, 2700, 13, func(m *measurement) {
		m.reportTraffic("2700.13")
		m.delays = nil
		m.recordDelays(m.liveProcesses())
		m.publishSlowly(5)
		m.reportDelays("config.idle.2700.13", 5*2700)
	})
}

// TestMeasureConfigRestarts measures the delays in nine tenths of the processes while the others are restarted one by
// one. It checks that the restarted processes apply all records as well.
func TestMeasureConfigRestarts(t *testing.T) {
	const procs = 330
	runMeasurement(t, false, procs, 13, func(m *measurement) {
		all := m.liveProcesses()
		var steady, restarting []*process
		for i, p := range all {
			if i%10 == 0 {
				restarting = append(restarting, p)
				continue
			}
			steady = append(steady, p)
		}
		m.recordDelays(steady)
		var started []*process
		for i, p := range restarting {
			m.publish(len(m.publishedAt))
			p.kill(i%2 == 0)
			time.Sleep(50 * time.Millisecond)
			started = append(started, m.start(p.host, p.zone, p.isEntryHost))
		}
		time.Sleep(maxApplyDelay)
		m.reportDelays("config.restarts.330.13", len(restarting)*len(steady))
		for _, p := range started {
			if !p.follower.Ready() || int(p.snapshot().Offset()) != len(m.publishedAt) {
				t.Errorf("%s has not applied all records %s after its restart", p.host, maxApplyDelay)
			}
		}
	})
}

// TestMeasureConfigReaders measures the delays of changes that are published right after the two processes that read
// the log for a zone were killed. Calls to the killed processes time out instead of being refused.
func TestMeasureConfigReaders(t *testing.T) {
	const procs = 330
	runMeasurement(t, false, procs, 13, func(m *measurement) {
		var hosts []ident.Host
		for _, p := range m.liveProcesses() {
			if p.zone == "z0" {
				hosts = append(hosts, p.host)
			}
		}
		for _, reader := range ranker.Rank("config/z0", hosts)[:2] {
			m.processes[reader].kill(true)
		}
		live := m.liveProcesses()
		m.recordDelays(live)
		m.publishSlowly(5)
		time.Sleep(maxApplyDelay)
		m.reportDelays("config.readers.330.13", 5*len(live))
	})
}

// TestMeasureConfigHeal measures how long it takes until all processes have applied all records after a zone was cut
// off for about five minutes.
func TestMeasureConfigHeal(t *testing.T) {
	procs := 39
	if measure.IsBenchRun() {
		procs = 330
	}
	runMeasurement(t, false, procs, 13, func(m *measurement) {
		m.setCut("z0", true, true)
		for range 5 {
			m.publishBurst(10)
			time.Sleep(time.Minute)
		}
		m.setCut("z0", false, false)
		duration := m.waitForAll(maxApplyDelay)
		reportSeconds(t, fmt.Sprintf("config.heal.%d.13", procs), duration, maxApplyDelay)
	})
}

// waitForAll waits until all live processes have applied all records, for at most twice the bound, and returns how long
// that took.
func (m *measurement) waitForAll(bound time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < 2*bound {
		if !slices.ContainsFunc(m.liveProcesses(), func(p *process) bool { return int(p.snapshot().Offset()) < len(m.publishedAt) }) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

// TestMeasureConfigNewcomer measures how long a new host takes to become ready while the log service is down.
func TestMeasureConfigNewcomer(t *testing.T) {
	const procs = 330
	runMeasurement(t, false, procs, 13, func(m *measurement) {
		m.publishBurst(100)
		time.Sleep(warmUpTime)
		m.log.setDown(true)
		time.Sleep(20 * time.Second)
		began := time.Now()
		p := m.start("newcomer", "z0", true)
		for !p.follower.Ready() && time.Since(began) < 2*maxNewHostDelay {
			time.Sleep(time.Millisecond)
		}
		if got := int(p.snapshot().Offset()); got != len(m.publishedAt) {
			t.Errorf("new host is at offset %d of %d", got, len(m.publishedAt))
		}
		reportSeconds(t, "config.newcomer.log_down", time.Since(began), maxNewHostDelay)
	})
}

// TestMeasureConfigBaseline measures the baseline in which every process polls the log by itself: the rate of reads,
// the delays in a burst, and whether a new host becomes ready while the log service is down.
func TestMeasureConfigBaseline(t *testing.T) {
	const procs = 330
	runMeasurement(t, true, procs, 13, func(m *measurement) {
		readsBefore, began := m.logReads(), time.Now()
		time.Sleep(20 * time.Second)
		m.reportReadRate("config.baseline.reads.330.13", readsBefore, began)
		m.recordDelays(m.liveProcesses())
		m.publishBurst(50)
		time.Sleep(maxApplyDelay)
		m.reportDelays("config.baseline.burst.330.13", 50*procs)
	})
	runMeasurement(t, true, procs, 13, func(m *measurement) {
		m.log.setDown(true)
		p := m.start("newcomer", "z0", true)
		time.Sleep(2 * maxNewHostDelay)
		ready := 0.0
		if p.follower.Ready() {
			ready = 1
		}
		measure.Report(t, measure.Figure{Name: "config.baseline.newcomer_ready.log_down", Value: ready, Unit: "processes"})
	})
}
