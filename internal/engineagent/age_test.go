package engineagent_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

// The host counted the rollout from when it learned of the release, not from its publication.
func TestEngineSwitchesLateAfterReleaseIsFoundLate(t *testing.T) {
	const longRolloutTimeout = time.Minute
	for name, isRestarted := range map[string]bool{"known host": false, "restarted host": true} {
		t.Run(name, func(t *testing.T) {
			var release atomic.Int64
			release.Store(1)
			if isRestarted {
				release.Store(2)
			}
			// The agent's own control server stands for that of an entry host, as both have the same address.
			fleet := func(_ context.Context, _ messages.FleetQuery) (messages.FleetResponse, error) {
				resp := messages.FleetResponse{Known: true, Digest: uint64(release.Load()), Model: "m", NewestRelease: release.Load(), OriginAddress: "origin"}
				if resp.NewestRelease > 1 {
					resp.ReleaseAgeMs = longRolloutTimeout.Milliseconds()
				}
				return resp, nil
			}
			b := start(t, &engine{staged: make(map[int][]byte), startTime: 1, release: 1}, func(h *engineagent.Agent) {
				h.RolloutTimeout = longRolloutTimeout
				h.Replicator.ControlMethods = map[string]rpc.Handler{messages.FleetMethod: rpc.TypedHandler(fleet)}
			})
			time.Sleep(time.Second)
			release.Store(2)
			b.awaitRelease(t, fleetconfig.Release(2))
		})
	}
}
