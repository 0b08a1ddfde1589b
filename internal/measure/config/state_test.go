package config_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

const (
	retention    = 60 * time.Second
	pointEvery   = 15 * time.Second
	answerTime   = 4 * time.Second
	settleTime   = 4 * time.Second
	recoveryTime = 60 * time.Second
)

// machine draws faults and changes over a world, and compares the processes with the oracle.
type machine struct {
	t       *rapid.T
	w       *world
	oracle  *oracle
	changes int

	operators sync.WaitGroup
	mu        sync.Mutex
	results   []reducer.AuditEntry
}

func TestStateConfiguration(t *testing.T) {
	rapidtest.Check(t, checkConfiguration)
}

// Seed 805442: the only holder of the state was passed over for up to 16 s after a long cut.
func TestStateConfigurationSeeds(t *testing.T) {
	rapidtest.Replay(t, 805442, checkConfiguration)
}

func checkConfiguration(_ *testing.T, rt *rapid.T) {
	m := &machine{t: rt, w: &world{interval: pointEvery}, oracle: newOracle()}
	m.w.log.retention = retention
	defer m.w.stop()
	defer m.operators.Wait()
	defer m.thawAll()
	for i := range 7 {
		m.w.start(ident.Host(fmt.Sprintf("h%d", i)), ident.Zone(fmt.Sprintf("z%d", i%2)), i < 4)
	}
	m.w.list()
	m.append(logclient.ConfigStream, catalog.Record{
		ID: "org", Object: "organisation/acme", Author: "op", Organisation: &catalog.Organisation{Key: "k"},
	})
	time.Sleep(2 * time.Second)
	rt.Repeat(map[string]func(*rapid.T){
		"operate":     m.operate,
		"corrupt":     m.corrupt,
		"outage":      func(rt *rapid.T) { m.w.log.setDown(rapid.Bool().Draw(rt, "down")) },
		"lose":        func(rt *rapid.T) { m.w.log.setLose(rapid.IntRange(1, 3).Draw(rt, "answers")) },
		"cut":         m.cut,
		"restart":     m.restart,
		"restartAll":  m.restartAllButOne,
		"freeze":      m.freeze,
		"list":        func(*rapid.T) { m.w.list() },
		"sleep":       func(rt *rapid.T) { m.sleep(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond) },
		"longOutage":  m.longOutage,
		"longFreeze":  m.longFreeze,
		"checkpoints": func(*rapid.T) { m.sleep(2 * pointEvery) },
		"":            func(*rapid.T) { m.check() },
	})
	m.settle()
}

func (m *machine) sleep(d time.Duration) {
	time.Sleep(d)
	m.check()
}

func (m *machine) append(s logclient.Stream, rec catalog.Record) {
	data, err := rec.Encode()
	if err != nil {
		m.t.Fatalf("encode: %v", err)
	}
	_, _ = m.w.log.append(s, data)
}

func (m *machine) draw(rt *rapid.T) *proc {
	live := m.w.live()
	return live[rapid.IntRange(0, len(live)-1).Draw(rt, "process")]
}

// operate lets one to three operators race, each by the view of one process.
func (m *machine) operate(rt *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(rt, "operators") {
		m.changes++
		p := m.draw(rt)
		rec := catalog.Record{ID: ident.ChangeID(fmt.Sprintf("c%d", m.changes)), Author: ident.Author(p.host)}
		name := rapid.SampledFrom([]ident.Template{"chat", "help"}).Draw(rt, "template")
		switch rapid.IntRange(0, 3).Draw(rt, "kind") {
		case 0:
			rec.Object = ident.DeploymentObject("acme", "d")
			rec.Deployment = &catalog.Deployment{Template: name}
		case 1:
			rec.Object, rec.Delete = ident.TemplateObject(name), true
		default:
			rec.Object = ident.TemplateObject(name)
			rec.Template = &catalog.Template{
				Kind: catalog.KindService, Pool: "p", Replicas: rapid.IntRange(0, 3).Draw(rt, "replicas"), MinServing: 1,
			}
		}
		e, _ := p.snapshot().Object(rec.Object)
		rec.Base = e.Revision
		m.operators.Go(func() { m.publish(p, rec) })
	}
}

// publish appends the record until the process has read it back, as the admin API does.
func (m *machine) publish(p *proc, rec catalog.Record) {
	data, err := rec.Encode()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	for ctx.Err() == nil && !p.dead.Load() {
		_, _ = p.append(ctx, logclient.ConfigStream, data)
		time.Sleep(500 * time.Millisecond)
		if a, ok := p.snapshot().FindChange(rec.ID); ok && !p.dead.Load() {
			m.mu.Lock()
			m.results = append(m.results, a)
			m.mu.Unlock()
			return
		}
	}
}

func (m *machine) corrupt(rt *rapid.T) {
	data := rapid.SampledFrom([]string{"", "{", "null", `{"id":1}`, `{"id":"x"}`, "\xff\x00", `{"offset":9999999,"sum":"x","parts":[0]}`}).Draw(rt, "data")
	s := rapid.SampledFrom([]logclient.Stream{logclient.ConfigStream, checkpointer.PartStream, checkpointer.MarkStream}).Draw(rt, "stream")
	_, _ = m.w.log.append(s, []byte(data))
}

func (m *machine) cut(rt *rapid.T) {
	z := rapid.SampledFrom([]ident.Zone{"z0", "z1"}).Draw(rt, "zone")
	m.w.setCut(z, rapid.Bool().Draw(rt, "from zones"), rapid.Bool().Draw(rt, "from log"))
}

// restart replaces a process, if another one holds what it holds.
func (m *machine) restart(rt *rapid.T) {
	p := m.draw(rt)
	for _, q := range m.w.live() {
		if q != p && q.snapshot().Offset() >= p.snapshot().Offset() {
			m.replace(p, rapid.Bool().Draw(rt, "silent"))
			return
		}
	}
}

func (m *machine) replace(p *proc, silent bool) {
	p.unfreeze()
	p.kill(silent)
	<-p.done
	m.w.start(p.host, p.zone, p.entry)
}

func (m *machine) highest() *proc {
	return slices.MaxFunc(m.w.live(), func(a, b *proc) int { return int(a.snapshot().Offset() - b.snapshot().Offset()) })
}

func (m *machine) restartAllButOne(*rapid.T) {
	keep := m.highest()
	for _, p := range m.w.live() {
		if p != keep {
			m.replace(p, false)
		}
	}
}

func (m *machine) freeze(rt *rapid.T) {
	p := m.draw(rt)
	if rapid.Bool().Draw(rt, "freeze") {
		p.freeze()
		return
	}
	p.unfreeze()
}

// longOutage keeps the log down until all its records have expired.
func (m *machine) longOutage(rt *rapid.T) {
	m.w.log.setDown(true)
	m.sleep(retention + 10*time.Second)
	m.w.log.setDown(rapid.Bool().Draw(rt, "still down"))
	m.sleep(time.Second)
}

// longFreeze lets a process sleep past several checkpoints and wake.
func (m *machine) longFreeze(rt *rapid.T) {
	p := m.draw(rt)
	p.freeze()
	m.sleep(3 * pointEvery)
	p.unfreeze()
	m.sleep(time.Second)
}

func (m *machine) thawAll() {
	for _, p := range m.w.all() {
		p.unfreeze()
	}
}

// check holds all processes against the oracle.
func (m *machine) check() {
	m.oracle.follow(m.w.log.all(logclient.ConfigStream))
	for _, p := range m.w.live() {
		ready := p.follow.Ready()
		s := p.snapshot()
		if s.Offset() < p.last {
			m.t.Fatalf("%s went back from offset %d to %d", p.host, p.last, s.Offset())
		}
		p.last = s.Offset()
		if int(s.Offset()) >= len(m.oracle.states) {
			m.t.Fatalf("%s is at offset %d of %d", p.host, s.Offset(), len(m.oracle.states)-1)
		}
		if got, want := stateOf(s), m.oracle.states[s.Offset()]; got != want {
			m.t.Fatalf("%s differs at offset %d:\n%s\nwant:\n%s", p.host, s.Offset(), got, want)
		}
		if ready && s.Offset() == 0 {
			m.t.Fatalf("%s took a log of %d records for an empty one", p.host, len(m.oracle.states)-1)
		}
	}
	if m.w.differs.Load() > 0 {
		m.t.Fatalf("digests differ at one offset")
	}
	m.checkResults()
}

func (m *machine) checkResults() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, a := range m.results {
		rev, ok := m.oracle.accepted[string(a.ID)]
		if ok != (a.Verdict == reducer.Accepted) || ok && rev != a.Revision {
			m.t.Fatalf("change %s was answered %s at revision %d, the log says accepted=%t at %d", a.ID, a.Verdict, a.Revision, ok, rev)
		}
	}
}

// settle ends the faults step by step and checks that all processes get level.
func (m *machine) settle() {
	m.thawAll()
	m.operators.Wait()
	for _, z := range []ident.Zone{"z0", "z1"} {
		m.w.setCut(z, false, true)
	}
	m.w.list()
	m.sleep(settleTime + 2*time.Second)
	for _, p := range m.w.live() {
		if top := m.highest().snapshot().Offset(); p.snapshot().Offset() < top {
			m.t.Fatalf("%s is at %d with the log cut off, others at %d", p.host, p.snapshot().Offset(), top)
		}
	}
	m.w.log.setDown(false)
	recoverable := m.isRecoverable()
	for _, z := range []ident.Zone{"z0", "z1"} {
		m.w.setCut(z, false, false)
	}
	m.sleep(settleTime)
	end := m.w.log.end(logclient.ConfigStream)
	for _, p := range m.w.live() {
		if recoverable && p.snapshot().Offset() < end {
			m.t.Fatalf("%s is at %d of %d after all faults ended: %s", p.host, p.snapshot().Offset(), end, p.replicator.NotReadyReason())
		}
		if recoverable && !p.follow.Ready() {
			m.t.Fatalf("%s is not ready after all faults ended: %s", p.host, p.replicator.NotReadyReason())
		}
	}
}

// isRecoverable tells whether the log's records follow the state of some process. If not, the platform has lost
// records that no process could read.
func (m *machine) isRecoverable() bool {
	page, _, _ := m.w.log.page(logclient.ConfigStream, 0, 1)
	return m.highest().snapshot().Offset() >= page.FirstOffset
}
