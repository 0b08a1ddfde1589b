package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestSeenOffsetIsCaughtUp shows a process an offset that its own sources do not have, as a message does.
func TestSeenOffsetIsCaughtUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := &world{}
		defer w.stop()
		behind := w.start("h0", "z0", true)
		ahead := w.start("h1", "z1", true)
		w.list()
		w.change(t, 0)
		time.Sleep(warmUp)
		w.setCut("z0", false, true)
		w.change(t, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(behind.snapshot().Offset()+1, ahead.snapshot().Offset())
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		is.NoErr(behind.replicator.CatchUp(ctx, "h1", ahead.snapshot().Offset()))
	})
}
