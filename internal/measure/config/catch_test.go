package config_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// TestCatchFetchesOffsetFromPeer checks that a process which learns of a newer offset, as from a message, fetches the
// records from the peer that has them. Its zone is cut off from the log, so no other source has the offset.
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
