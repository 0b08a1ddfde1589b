package config_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

// expireTenChanges starts three entry hosts, appends ten changes and waits until their records have expired. It returns
// a model that has applied the changes.
func expireTenChanges(t *testing.T, c *cluster) *referenceModel {
	t.Helper()
	c.log.retention = retention
	c.startEntryHosts()
	for i := range 10 {
		c.appendChange(t, i)
	}
	time.Sleep(retention + 10*time.Second)
	model := newReferenceModel()
	model.applyNew(c.log.allRecords(logclient.ConfigStream))
	return model
}

// startEntryHosts starts three entry hosts in one zone.
func (c *cluster) startEntryHosts() {
	for i := range 3 {
		c.start(ident.Host(fmt.Sprintf("h%d", i)), "z", true)
	}
	c.updatePeerList()
}

func (c *cluster) killAll() {
	for _, p := range c.liveProcesses() {
		p.unfreeze()
		p.kill(false)
		<-p.done
	}
}

// appendChange appends the change with the number i of the only organisation. The numbers start at 0.
func (c *cluster) appendChange(t *testing.T, i int) {
	t.Helper()
	rec := catalog.Record{
		ID: ident.ChangeID(fmt.Sprintf("c%d", i)), Object: "organisation/acme", Base: ident.Revision(i),
		Organisation: &catalog.Organisation{Key: "k", Weight: i},
	}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.log.append(logclient.ConfigStream, data); err != nil {
		t.Fatal(err)
	}
}

// TestCheckpointRestoresStateAfterAllRestart checks that processes restore the state from a checkpoint if all of them
// restart after the records of all changes have expired.
func TestCheckpointRestoresStateAfterAllRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{checkpointInterval: checkpointInterval}
		defer c.stop()
		model := expireTenChanges(t, c)
		c.killAll()
		c.startEntryHosts()
		time.Sleep(settleTime)
		c.appendChange(t, 10)
		model.applyNew(c.log.allRecords(logclient.ConfigStream))
		time.Sleep(time.Second)
		for _, p := range c.liveProcesses() {
			is.True(p.follower.Ready())
			is.Equal(p.snapshot().Offset(), ident.Offset(11))
			is.Equal(formatState(p.snapshot()), model.states[11])
		}
	})
}

// TestExpiredLogWithoutCheckpointIsNotReady checks that no process becomes ready if the records have expired and there
// is neither a checkpoint nor a peer that has the state. Each process must give the reason.
func TestExpiredLogWithoutCheckpointIsNotReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{}
		defer c.stop()
		expireTenChanges(t, c)
		c.killAll()
		c.startEntryHosts()
		time.Sleep(time.Minute)
		for _, p := range c.liveProcesses() {
			is.True(!p.follower.Ready())
			is.True(strings.Contains(p.replicator.NotReadyReason(), "log starts at offset 10"))
		}
	})
}

// TestRunningProcessesCheckpointAfterLongOutage checks that the running processes write a new checkpoint after a log
// outage that is longer than the retention of records and checkpoints.
func TestRunningProcessesCheckpointAfterLongOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{checkpointInterval: checkpointInterval}
		defer c.stop()
		model := expireTenChanges(t, c)
		c.log.setDown(true)
		time.Sleep(2 * retention)
		c.log.setDown(false)
		time.Sleep(2 * checkpointInterval)
		c.killAll()
		c.startEntryHosts()
		time.Sleep(settleTime)
		for _, p := range c.liveProcesses() {
			is.True(p.follower.Ready())
			is.Equal(formatState(p.snapshot()), model.states[10])
		}
	})
}

// TestLateMarkOfFrozenWriterKeepsNewestCheckpoint checks that the newest checkpoint is restored even if the last mark
// in the log belongs to an older one. The older one is from a process that was frozen while others wrote newer ones.
func TestLateMarkOfFrozenWriterKeepsNewestCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{checkpointInterval: checkpointInterval}
		defer c.stop()
		c.log.retention = retention
		c.startEntryHosts()
		c.appendChange(t, 0)
		time.Sleep(time.Second)
		p := c.processes["h0"]
		oldState := p.snapshot()
		p.freeze()
		done := make(chan error)
		go func() { done <- p.checkpointer.Write(context.Background(), oldState) }()
		for i := 1; i < 10; i++ {
			c.appendChange(t, i)
		}
		time.Sleep(retention + 10*time.Second)
		p.unfreeze()
		is.NoErr(<-done)
		marks := c.log.allRecords(checkpointer.MarkStream)
		is.True(strings.Contains(string(marks[len(marks)-1]), `"offset":1,`)) // the last mark is that of the old checkpoint
		state, err := c.processes["h1"].checkpointer.Restore(t.Context())
		is.NoErr(err)
		is.Equal(state.Offset(), ident.Offset(10))
		c.killAll()
		c.startEntryHosts()
		time.Sleep(settleTime)
		for _, restarted := range c.liveProcesses() {
			is.True(restarted.follower.Ready())
			is.Equal(restarted.snapshot().Offset(), ident.Offset(10))
		}
	})
}
