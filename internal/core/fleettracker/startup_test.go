package fleettracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/fleettracker"
)

// A host that starts while requests may no longer begin on the older release is exempt for three seconds. A request that
// it sent there began after that, because the engine was silent.
func TestStartedHostLeavesRequestsAtSilentEngineAfterItsExemption(t *testing.T) {
	const (
		exemption = 3 * time.Second
		silence   = 1500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		tracker := &fleettracker.Tracker{RolloutTimeout: 8 * time.Second}
		time.Sleep(300 * time.Millisecond) // the host reads the snapshot
		tracker.AddRelease("m", 2, true, 0)
		withdrawnAt := tracker.WithdrawDeadline("m", 1).Sub(startedAt)
		if withdrawnAt+silence > exemption {
			t.Errorf("requests are withdrawn %v after the start of the host, want %v before the end of the exemption at %v", withdrawnAt, silence, exemption)
		}
		// The snapshot may take up to a second or more, if no host of the zone responds.
		startedAt = time.Now()
		tracker = &fleettracker.Tracker{RolloutTimeout: 8 * time.Second}
		time.Sleep(time.Second)
		tracker.AddRelease("m", 2, true, 0)
		time.Sleep(time.Until(startedAt.Add(exemption)))
		if oldest := tracker.OldestAllowed("m"); oldest != fleetconfig.Release(2) {
			t.Errorf("requests are sent to release %d at the end of the exemption", oldest)
		}
	})
}
