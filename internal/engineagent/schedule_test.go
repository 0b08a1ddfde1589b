package engineagent_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/engineagent"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// A release is published while the one before it is nearly complete, and the origin becomes unavailable. The older one must
// be finished and served until the origin is back, and then the newest.
func TestNearlyCompleteReleaseIsServedWhileOriginIsUnavailable(t *testing.T) {
	is := is.New(t)
	const chunkInterval = 600 * time.Millisecond
	e := &engine{staged: make(map[int][]byte), startTime: 1}
	var isAway atomic.Bool
	var b *testHost
	b = start(t, e, func(h *engineagent.Agent) {
		h.RolloutTimeout = 12 * time.Second
		readManifest, readChunk := h.Replicator.ReadManifest, h.Replicator.ReadChunk
		h.Replicator.ReadManifest = func(ctx context.Context, origin string, s fleetconfig.ServedModel) (manifest.Artifact, error) {
			if s.Release == 3 && isAway.Load() {
				return manifest.Artifact{}, errors.New("origin is unavailable")
			}
			return readManifest(ctx, origin, s)
		}
		h.Replicator.ReadChunk = func(ctx context.Context, origin string, s fleetconfig.ServedModel, i int, p weightclient.ProgressFunc) ([]byte, error) {
			if s.Release == 2 {
				// All chunks are read at the same time; they arrive one after the other.
				for end := time.Now().Add(time.Duration(i+1) * chunkInterval); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
					if err := errors.Join(ctx.Err(), p(ctx, 1)); err != nil {
						return nil, err
					}
				}
				if i == chunkCount/2 {
					isAway.Store(true)
					b.publishRelease(3)
				}
			}
			return readChunk(ctx, origin, s, i, p)
		}
	})
	b.awaitRelease(t, 1)
	b.publishRelease(2)
	b.awaitRelease(t, 2)
	is.True(isAway.Load())
	isAway.Store(false)
	b.awaitRelease(t, 3)
	is.Equal(e.wrongChunks, 0) // nothing but complete releases was loaded
}
