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
	boundForce    = 4 * time.Second
	boundNewcomer = 5 * time.Second
	// boundBytes is the control traffic that a daemon may cause, in bytes a second.
	boundBytes  = 9_000
	burstRate   = 50
	warmUp      = 5 * time.Second
	changePause = 730 * time.Millisecond
)

// field is a world with a watch on when each record is in force in each process.
type field struct {
	*world
	t     *testing.T
	times []time.Time

	mu       sync.Mutex
	delays   []time.Duration
	watchers sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
}

// run calls fn in virtual time with a world of procs processes over zones zones.
func run(t *testing.T, baseline bool, procs, zones int, fn func(f *field)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &field{world: &world{baseline: baseline}, t: t}
		f.ctx, f.cancel = context.WithCancel(context.Background())
		for i := range procs {
			f.start(ident.Host(fmt.Sprintf("h%d", i)), ident.Zone(fmt.Sprintf("z%d", i%zones)), i%8 == 0)
		}
		f.list()
		f.publish(0)
		time.Sleep(warmUp)
		fn(f)
		f.cancel()
		f.stop()
		f.watchers.Wait()
	})
}

// publish appends one change of the only organisation.
func (f *field) publish(i int) {
	rec := catalog.Record{
		ID: ident.ChangeID(fmt.Sprintf("change-%d", i)), Object: "organisation/acme", Base: ident.Revision(i), Author: "operator",
		Time: time.Now(), Organisation: &catalog.Organisation{Key: "key", Weight: i % 100},
	}
	data, err := rec.Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.times = append(f.times, time.Now())
	f.mu.Unlock()
	if _, err := f.log.append(logclient.ConfigStream, data); err != nil {
		f.t.Fatal(err)
	}
}

// watch records for each process how long each later change takes to be in force.
func (f *field) watch(procs []*proc) {
	for _, p := range procs {
		f.watchers.Go(func() {
			at := p.snapshot().Offset()
			for {
				changed := p.follow.Changed()
				now := p.snapshot().Offset()
				f.note(at, now)
				at = now
				select {
				case <-f.ctx.Done():
					return
				case <-changed:
				}
			}
		})
	}
}

func (f *field) note(from, to ident.Offset) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for o := from; o < to; o++ {
		f.delays = append(f.delays, time.Since(f.times[o]))
	}
}

// report gives the delays of all processes; want is the number of records and processes that have to be covered.
func (f *field) report(name string, want int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.delays) != want {
		f.t.Errorf("%s: %d changes came into force, want %d", name, len(f.delays), want)
		return
	}
	slices.Sort(f.delays)
	n := len(f.delays)
	seconds(f.t, name+".p50", f.delays[n/2], boundForce)
	seconds(f.t, name+".p99", f.delays[n*99/100], boundForce)
	seconds(f.t, name+".max", f.delays[n-1], boundForce)
}

func seconds(t *testing.T, name string, d, bound time.Duration) {
	t.Helper()
	measure.Report(t, measure.Figure{
		Name: name, Value: d.Seconds(), Unit: "s", Limit: measure.AtMost, Bound: bound.Seconds(),
	})
}

// singles publishes changes one by one.
func (f *field) singles(n int) {
	for range n {
		f.publish(len(f.times))
		time.Sleep(changePause)
	}
}

// burst publishes n changes at the burst's rate.
func (f *field) burst(n int) {
	for range n {
		f.publish(len(f.times))
		time.Sleep(time.Second / burstRate)
	}
}

var sizes = []struct{ procs, zones int }{{20, 3}, {20, 13}, {330, 3}, {330, 13}}

func TestMeasureConfigIdle(t *testing.T) {
	for _, size := range sizes {
		run(t, false, size.procs, size.zones, func(f *field) {
			f.watch(f.live())
			f.singles(5)
			time.Sleep(boundForce)
			f.report(fmt.Sprintf("config.idle.%d.%d", size.procs, size.zones), 5*size.procs)
		})
	}
}

func TestMeasureConfigBurst(t *testing.T) {
	for _, size := range sizes {
		run(t, false, size.procs, size.zones, func(f *field) {
			f.watch(f.live())
			f.burst(50)
			time.Sleep(boundForce)
			f.report(fmt.Sprintf("config.burst.%d.%d", size.procs, size.zones), 50*size.procs)
		})
	}
}

func TestMeasureConfigLarge(t *testing.T) {
	if !measure.Wanted() {
		t.Log("runs in script/bench only")
		return
	}
	run(t, false, 2700, 13, func(f *field) {
		f.bytesOfDay("2700.13")
		f.delays = nil
		f.watch(f.live())
		f.singles(5)
		f.report("config.idle.2700.13", 5*2700)
	})
}

func TestMeasureConfigRestarts(t *testing.T) {
	const procs = 330
	run(t, false, procs, 13, func(f *field) {
		all := f.live()
		var stay, restart []*proc
		for i, p := range all {
			if i%10 == 0 {
				restart = append(restart, p)
				continue
			}
			stay = append(stay, p)
		}
		f.watch(stay)
		var started []*proc
		for i, p := range restart {
			f.publish(len(f.times))
			p.kill(i%2 == 0)
			time.Sleep(50 * time.Millisecond)
			started = append(started, f.start(p.host, p.zone, p.entry))
		}
		time.Sleep(boundForce)
		f.report("config.restarts.330.13", len(restart)*len(stay))
		for _, p := range started {
			if !p.follow.Ready() || int(p.snapshot().Offset()) != len(f.times) {
				t.Errorf("%s is not level within %s of its restart", p.host, boundForce)
			}
		}
	})
}

// TestMeasureConfigReaders kills the two readers of a zone without a sign, right before changes.
func TestMeasureConfigReaders(t *testing.T) {
	const procs = 330
	run(t, false, procs, 13, func(f *field) {
		var hosts []ident.Host
		for _, p := range f.live() {
			if p.zone == "z0" {
				hosts = append(hosts, p.host)
			}
		}
		for _, h := range ranker.Rank("config/z0", hosts)[:2] {
			f.procs[h].kill(true)
		}
		live := f.live()
		f.watch(live)
		f.singles(5)
		time.Sleep(boundForce)
		f.report("config.readers.330.13", 5*len(live))
	})
}

func TestMeasureConfigHeal(t *testing.T) {
	procs := 39
	if measure.Wanted() {
		procs = 330
	}
	run(t, false, procs, 13, func(f *field) {
		f.setCut("z0", true, true)
		for range 5 {
			f.burst(10)
			time.Sleep(time.Minute)
		}
		f.setCut("z0", false, false)
		took := f.level(boundForce)
		seconds(t, fmt.Sprintf("config.heal.%d.13", procs), took, boundForce)
	})
}

// level returns how long it takes until all processes hold all records, looking for at most twice the bound.
func (f *field) level(bound time.Duration) time.Duration {
	began := time.Now()
	for time.Since(began) < 2*bound {
		if !slices.ContainsFunc(f.live(), func(p *proc) bool { return int(p.snapshot().Offset()) < len(f.times) }) {
			break
		}
		time.Sleep(time.Millisecond)
	}
	return time.Since(began)
}

func TestMeasureConfigNewcomer(t *testing.T) {
	const procs = 330
	run(t, false, procs, 13, func(f *field) {
		f.burst(100)
		time.Sleep(warmUp)
		f.log.setDown(true)
		time.Sleep(20 * time.Second)
		began := time.Now()
		p := f.start("newcomer", "z0", true)
		for !p.follow.Ready() && time.Since(began) < 2*boundNewcomer {
			time.Sleep(time.Millisecond)
		}
		if got := int(p.snapshot().Offset()); got != len(f.times) {
			t.Errorf("newcomer is at offset %d of %d", got, len(f.times))
		}
		seconds(t, "config.newcomer.log_down", time.Since(began), boundNewcomer)
	})
}

// TestMeasureConfigBaseline lets every process poll the log by itself.
func TestMeasureConfigBaseline(t *testing.T) {
	const procs = 330
	run(t, true, procs, 13, func(f *field) {
		before, began := f.logReads(), time.Now()
		time.Sleep(20 * time.Second)
		f.reportReads("config.baseline.reads.330.13", before, began)
		f.watch(f.live())
		f.burst(50)
		time.Sleep(boundForce)
		f.report("config.baseline.burst.330.13", 50*procs)
	})
	run(t, true, procs, 13, func(f *field) {
		f.log.setDown(true)
		p := f.start("newcomer", "z0", true)
		time.Sleep(2 * boundNewcomer)
		ready := 0.0
		if p.follow.Ready() {
			ready = 1
		}
		measure.Report(t, measure.Figure{Name: "config.baseline.newcomer_ready.log_down", Value: ready, Unit: "processes"})
	})
}
