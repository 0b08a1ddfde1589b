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

// grow starts three entry hosts, appends ten changes and lets their records expire.
func grow(t *testing.T, w *world) *oracle {
	t.Helper()
	w.log.retention = retention
	w.startAll()
	for i := range 10 {
		w.change(t, i)
	}
	time.Sleep(retention + 10*time.Second)
	o := newOracle()
	o.follow(w.log.all(logclient.ConfigStream))
	return o
}

func (w *world) startAll() {
	for i := range 3 {
		w.start(ident.Host(fmt.Sprintf("h%d", i)), "z", true)
	}
	w.list()
}

func (w *world) killAll() {
	for _, p := range w.live() {
		p.unfreeze()
		p.kill(false)
		<-p.done
	}
}

func (w *world) change(t *testing.T, i int) {
	t.Helper()
	rec := catalog.Record{
		ID: ident.ChangeID(fmt.Sprintf("c%d", i)), Object: "organisation/acme", Base: ident.Revision(i),
		Organisation: &catalog.Organisation{Key: "k", Weight: i},
	}
	data, err := rec.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := w.log.append(logclient.ConfigStream, data); err != nil {
		t.Fatal(err)
	}
}

// TestCheckpointCarriesRestartOfAll ends every process after all records of the configuration have expired.
func TestCheckpointCarriesRestartOfAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{interval: pointEvery}
		defer w.stop()
		o := grow(t, w)
		w.killAll()
		w.startAll()
		time.Sleep(settleTime)
		w.change(t, 10)
		o.follow(w.log.all(logclient.ConfigStream))
		time.Sleep(time.Second)
		for _, p := range w.live() {
			is.True(p.follow.Ready())
			is.Equal(p.snapshot().Offset(), ident.Offset(11))
			is.Equal(stateOf(p.snapshot()), o.states[11])
		}
	})
}

// TestExpiredLogIsNotEmpty has neither a peer nor a checkpoint: no process may be ready, and it says why.
func TestExpiredLogIsNotEmpty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{}
		defer w.stop()
		grow(t, w)
		w.killAll()
		w.startAll()
		time.Sleep(time.Minute)
		for _, p := range w.live() {
			is.True(!p.follow.Ready())
			is.True(strings.Contains(p.replicator.NotReadyReason(), "log starts at offset 10"))
		}
	})
}

// TestSurvivorsCheckpointAfterOutage lets an outage outlast the retention of records and checkpoints.
func TestSurvivorsCheckpointAfterOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{interval: pointEvery}
		defer w.stop()
		o := grow(t, w)
		w.log.setDown(true)
		time.Sleep(2 * retention)
		w.log.setDown(false)
		time.Sleep(2 * pointEvery)
		w.killAll()
		w.startAll()
		time.Sleep(settleTime)
		for _, p := range w.live() {
			is.True(p.follow.Ready())
			is.Equal(stateOf(p.snapshot()), o.states[10])
		}
	})
}

// TestFrozenWriterDoesNoHarm wakes a writer between its parts and its mark, after newer checkpoints were written.
func TestFrozenWriterDoesNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{interval: pointEvery}
		defer w.stop()
		w.log.retention = retention
		w.startAll()
		w.change(t, 0)
		time.Sleep(time.Second)
		p := w.procs["h0"]
		old := p.snapshot()
		p.freeze()
		done := make(chan error)
		go func() { done <- p.points.Write(context.Background(), old) }()
		for i := 1; i < 10; i++ {
			w.change(t, i)
		}
		time.Sleep(retention + 10*time.Second)
		p.unfreeze()
		is.NoErr(<-done)
		marks := w.log.all(checkpointer.MarkStream)
		is.True(strings.Contains(string(marks[len(marks)-1]), `"offset":1,`)) // the late mark is the last one
		state, err := w.procs["h1"].points.Restore(t.Context())
		is.NoErr(err)
		is.Equal(state.Offset(), ident.Offset(10))
		w.killAll()
		w.startAll()
		time.Sleep(settleTime)
		for _, q := range w.live() {
			is.True(q.follow.Ready())
			is.Equal(q.snapshot().Offset(), ident.Offset(10))
		}
	})
}
