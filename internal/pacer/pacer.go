// Package pacer limits the rate of weight transfers while live requests use the host's link.
package pacer

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// MaxTransferBytes is the maximum number of bytes that are sent or received after one call of Wait.
const MaxTransferBytes = 64 << 10

// Pacer limits the rate of transfers in one direction. A nil Pacer sets no limit. Set its fields before use.
type Pacer struct {
	// Rate is the limit in bytes per second; zero means no limit.
	Rate ident.Bytes
	// IsBusy reports whether live requests are in progress. The limit applies only while there are some.
	IsBusy func() bool

	once    sync.Once
	limiter *rate.Limiter
}

// Wait blocks until n more bytes, at most MaxTransferBytes, may be sent or received.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	if p == nil || p.Rate == 0 || !p.IsBusy() {
		return nil
	}
	p.once.Do(func() { p.limiter = rate.NewLimiter(rate.Limit(p.Rate), MaxTransferBytes) })
	if err := p.limiter.WaitN(ctx, min(n, MaxTransferBytes)); err != nil {
		return fmt.Errorf("limit the rate of weight transfers: %w", err)
	}
	return nil
}
