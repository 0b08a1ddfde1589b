package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCatchFetchesOffsetFromPeer checks that a process that learns of a newer offset from a peer fetches the records up
// to it from that peer. The zone of the process is cut off from the log, so there is no other source.
func TestCatchFetchesOffsetFromPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &cluster{}
		defer c.stop()
		behind := c.start("h0", "z0", true)
		ahead := c.start("h1", "z1", true)
		c.updatePeerList()
		c.appendChange(t, 0)
		time.Sleep(warmUpTime)
		c.setCut("z0", false, true)
		c.appendChange(t, 1)
		time.Sleep(100 * time.Millisecond)
		is.Equal(behind.snapshot().Offset()+1, ahead.snapshot().Offset())
		ctx, cancel := context.WithTimeout(t.Context(), 250*time.Millisecond)
		defer cancel()
		is.NoErr(behind.replicator.CatchUp(ctx, "h1", ahead.snapshot().Offset()))
	})
}
