package chunkreplicator_test

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/weightclient"
)

// A response of the origin that goes on beyond the size of the chunk is given up, and the chunk is read again.
func TestOriginResponseWithoutEndIsGivenUp(t *testing.T) {
	is := is.New(t)
	const partBytes, floodBytes = 1 << 10, 8 << 20
	o := &origin{}
	var isEndless atomic.Bool
	var received atomic.Int64
	host := hosts(t, o, 1, 0)[0]
	host.ReadChunk = func(ctx context.Context, address string, s fleetconfig.ServedModel, i int, p weightclient.ProgressFunc) ([]byte, error) {
		if isEndless.Swap(true) {
			return o.chunk(ctx, address, s, i, p)
		}
		for n := partBytes; n < floodBytes; n += partBytes {
			received.Store(int64(n))
			if err := p(ctx, n); err != nil {
				return nil, err
			}
		}
		return make([]byte, floodBytes), nil
	}
	fetch(t, fleetconfig.ServedModel{Model: "m", Release: 1}, host)
	is.Equal(received.Load(), int64(chunkBytes+partBytes))
}
