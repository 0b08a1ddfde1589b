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
	retention          = 60 * time.Second
	checkpointInterval = 15 * time.Second
	publishTimeout     = 4 * time.Second
	settleTime         = 4 * time.Second
	faultRecoveryTime  = 60 * time.Second
)

// stateTest makes random changes and faults in a cluster and compares its processes with the reference model.
type stateTest struct {
	t       *rapid.T
	cluster *cluster
	model   *referenceModel
	changes int // number of changes made

	operators sync.WaitGroup
	mu        sync.Mutex
	results   []reducer.AuditEntry // audit entries of the changes that publish found applied
}

// TestStateConfiguration checks that the states of all processes agree with the reference model during random faults,
// and that all processes are up to date some time after the faults have ended.
func TestStateConfiguration(t *testing.T) {
	rapidtest.Check(t, checkConfiguration)
}

// Seed 805442: after a long partition, the only process that had the state was not queried for up to 16 s.
func TestStateConfigurationSeeds(t *testing.T) {
	rapidtest.Replay(t, 805442, checkConfiguration)
}

func checkConfiguration(_ *testing.T, rt *rapid.T) {
	m := &stateTest{t: rt, cluster: &cluster{checkpointInterval: checkpointInterval}, model: newReferenceModel()}
	m.cluster.log.retention = retention
	defer m.cluster.stop()
	defer m.operators.Wait()
	defer m.unfreezeAll()
	for i := range 7 {
		m.cluster.start(ident.Host(fmt.Sprintf("h%d", i)), ident.Zone(fmt.Sprintf("z%d", i%2)), i < 4)
	}
	m.cluster.updatePeerList()
	m.append(logclient.ConfigStream, catalog.Record{
		ID: "org", Object: "organisation/acme", Author: "op", Organisation: &catalog.Organisation{Key: "k"},
	})
	time.Sleep(2 * time.Second)
	rt.Repeat(map[string]func(*rapid.T){
		"operate":     m.operate,
		"corrupt":     m.corrupt,
		"outage":      func(rt *rapid.T) { m.cluster.log.setDown(rapid.Bool().Draw(rt, "down")) },
		"lose":        func(rt *rapid.T) { m.cluster.log.loseResponses(rapid.IntRange(1, 3).Draw(rt, "answers")) },
		"cut":         m.cut,
		"restart":     m.restart,
		"restartAll":  m.restartAllButOne,
		"freeze":      m.freeze,
		"list":        func(*rapid.T) { m.cluster.updatePeerList() },
		"sleep":       func(rt *rapid.T) { m.sleep(time.Duration(rapid.IntRange(1, 5000).Draw(rt, "ms")) * time.Millisecond) },
		"longOutage":  m.longOutage,
		"longFreeze":  m.longFreeze,
		"checkpoints": func(*rapid.T) { m.sleep(2 * checkpointInterval) },
		"":            func(*rapid.T) { m.check() },
	})
	m.endFaults()
}

func (m *stateTest) sleep(d time.Duration) {
	time.Sleep(d)
	m.check()
}

func (m *stateTest) append(stream logclient.Stream, rec catalog.Record) {
	data, err := rec.Encode()
	if err != nil {
		m.t.Fatalf("encode: %v", err)
	}
	_, _ = m.cluster.log.append(stream, data)
}

func (m *stateTest) drawProcess(rt *rapid.T) *process {
	live := m.cluster.liveProcesses()
	return live[rapid.IntRange(0, len(live)-1).Draw(rt, "process")]
}

// operate lets one to three operators make changes concurrently, each based on the state of one process.
func (m *stateTest) operate(rt *rapid.T) {
	for range rapid.IntRange(1, 3).Draw(rt, "operators") {
		m.changes++
		p := m.drawProcess(rt)
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
		object, _ := p.snapshot().Object(rec.Object)
		rec.Base = object.Revision
		m.operators.Go(func() { m.publish(p, rec) })
	}
}

// publish appends the record repeatedly until the process has applied it, as the admin API does.
func (m *stateTest) publish(p *process, rec catalog.Record) {
	data, err := rec.Encode()
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	for ctx.Err() == nil && !p.killed.Load() {
		_, _ = p.append(ctx, logclient.ConfigStream, data)
		time.Sleep(500 * time.Millisecond)
		if result, ok := p.snapshot().FindChange(rec.ID); ok && !p.killed.Load() {
			m.mu.Lock()
			m.results = append(m.results, result)
			m.mu.Unlock()
			return
		}
	}
}

// corrupt appends an invalid record to the configuration or to the streams of the checkpoints.
func (m *stateTest) corrupt(rt *rapid.T) {
	data := rapid.SampledFrom([]string{"", "{", "null", `{"id":1}`, `{"id":"x"}`, "\xff\x00", `{"offset":9999999,"sum":"x","parts":[0]}`}).Draw(rt, "data")
	stream := rapid.SampledFrom([]logclient.Stream{logclient.ConfigStream, checkpointer.PartStream, checkpointer.MarkStream}).Draw(rt, "stream")
	_, _ = m.cluster.log.append(stream, []byte(data))
}

func (m *stateTest) cut(rt *rapid.T) {
	zone := rapid.SampledFrom([]ident.Zone{"z0", "z1"}).Draw(rt, "zone")
	m.cluster.setCut(zone, rapid.Bool().Draw(rt, "from zones"), rapid.Bool().Draw(rt, "from log"))
}

// restart restarts a process, but only if another live process has at least the same offset, so that no state is lost.
func (m *stateTest) restart(rt *rapid.T) {
	p := m.drawProcess(rt)
	for _, other := range m.cluster.liveProcesses() {
		if other != p && other.snapshot().Offset() >= p.snapshot().Offset() {
			m.replace(p, rapid.Bool().Draw(rt, "silent"))
			return
		}
	}
}

// replace ends a process and starts its next incarnation.
func (m *stateTest) replace(p *process, silent bool) {
	p.unfreeze()
	p.kill(silent)
	<-p.done
	m.cluster.start(p.host, p.zone, p.isEntryHost)
}

// mostAdvanced returns the live process with the highest offset.
func (m *stateTest) mostAdvanced() *process {
	return slices.MaxFunc(m.cluster.liveProcesses(), func(a, b *process) int { return int(a.snapshot().Offset() - b.snapshot().Offset()) })
}

// restartAllButOne restarts all live processes except one that has the highest offset.
func (m *stateTest) restartAllButOne(*rapid.T) {
	newest := m.mostAdvanced()
	for _, p := range m.cluster.liveProcesses() {
		if p != newest {
			m.replace(p, false)
		}
	}
}

// freeze freezes or unfreezes a process.
func (m *stateTest) freeze(rt *rapid.T) {
	p := m.drawProcess(rt)
	if rapid.Bool().Draw(rt, "freeze") {
		p.freeze()
		return
	}
	p.unfreeze()
}

// longOutage keeps the log service down until all its records have expired.
func (m *stateTest) longOutage(rt *rapid.T) {
	m.cluster.log.setDown(true)
	m.sleep(retention + 10*time.Second)
	m.cluster.log.setDown(rapid.Bool().Draw(rt, "still down"))
	m.sleep(time.Second)
}

// longFreeze freezes a process until the others have had the time to write several checkpoints, and then unfreezes it.
func (m *stateTest) longFreeze(rt *rapid.T) {
	p := m.drawProcess(rt)
	p.freeze()
	m.sleep(3 * checkpointInterval)
	p.unfreeze()
	m.sleep(time.Second)
}

func (m *stateTest) unfreezeAll() {
	for _, p := range m.cluster.allProcesses() {
		p.unfreeze()
	}
}

// check compares all processes with the reference model.
func (m *stateTest) check() {
	m.model.applyNew(m.cluster.log.allRecords(logclient.ConfigStream))
	for _, p := range m.cluster.liveProcesses() {
		ready := p.follower.Ready()
		state := p.snapshot()
		if state.Offset() < p.lastOffset {
			m.t.Fatalf("%s went back from offset %d to %d", p.host, p.lastOffset, state.Offset())
		}
		p.lastOffset = state.Offset()
		if int(state.Offset()) >= len(m.model.states) {
			m.t.Fatalf("%s is at offset %d of %d", p.host, state.Offset(), len(m.model.states)-1)
		}
		if got, want := formatState(state), m.model.states[state.Offset()]; got != want {
			m.t.Fatalf("state of %s at offset %d:\n%s\nwant:\n%s", p.host, state.Offset(), got, want)
		}
		if ready && state.Offset() == 0 {
			m.t.Fatalf("%s is ready at offset 0, but the log has %d records", p.host, len(m.model.states)-1)
		}
	}
	if m.cluster.digestMismatches.Load() > 0 {
		m.t.Fatalf("the state digests of two processes differ at the same offset")
	}
	m.checkResults()
}

// checkResults compares the verdicts and revisions in results with the reference model.
func (m *stateTest) checkResults() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, result := range m.results {
		rev, ok := m.model.accepted[string(result.ID)]
		if ok != (result.Verdict == reducer.Accepted) || ok && rev != result.Revision {
			m.t.Fatalf("change %s has verdict %s at revision %d, the reference model has accepted=%t at %d", result.ID, result.Verdict, result.Revision, ok, rev)
		}
	}
}

// endFaults first cuts off all zones from the log, ends the faults of the processes and of the network between them,
// and checks that all processes reach the highest offset among them. It then ends the faults of the log. If
// isRecoverable returns true, it checks that all processes reach the end of the log and are ready.
func (m *stateTest) endFaults() {
	m.unfreezeAll()
	m.operators.Wait()
	for _, zone := range []ident.Zone{"z0", "z1"} {
		m.cluster.setCut(zone, false, true)
	}
	m.cluster.updatePeerList()
	m.sleep(settleTime + 2*time.Second)
	for _, p := range m.cluster.liveProcesses() {
		if highest := m.mostAdvanced().snapshot().Offset(); p.snapshot().Offset() < highest {
			m.t.Fatalf("%s is at offset %d while the log is cut off, another process is at %d", p.host, p.snapshot().Offset(), highest)
		}
	}
	m.cluster.log.setDown(false)
	recoverable := m.isRecoverable()
	for _, zone := range []ident.Zone{"z0", "z1"} {
		m.cluster.setCut(zone, false, false)
	}
	m.sleep(settleTime)
	end := m.cluster.log.endOffset(logclient.ConfigStream)
	for _, p := range m.cluster.liveProcesses() {
		if recoverable && p.snapshot().Offset() < end {
			m.t.Fatalf("%s is at offset %d of %d after all faults ended: %s", p.host, p.snapshot().Offset(), end, p.replicator.NotReadyReason())
		}
		if recoverable && !p.follower.Ready() {
			m.t.Fatalf("%s is not ready after all faults ended: %s", p.host, p.replicator.NotReadyReason())
		}
	}
}

// isRecoverable reports whether some process has applied all records that have expired. If not, records expired before
// any process could read them.
func (m *stateTest) isRecoverable() bool {
	page, _, _ := m.cluster.log.readPage(logclient.ConfigStream, 0, 1)
	return m.mostAdvanced().snapshot().Offset() >= page.FirstOffset
}
