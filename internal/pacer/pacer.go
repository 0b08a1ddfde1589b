// Package pacer holds the transfer of weights back while live requests use the host's link.
package pacer

import (
	"context"
	"fmt"
	"sync"

	"golang.org/x/time/rate"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Piece is the number of bytes that are sent or received between two calls of Wait.
const Piece = 64 << 10

// Pacer bounds the rate of transfers in one direction. Set its fields before use.
type Pacer struct {
	// Rate is in bytes a second; zero means no bound.
	Rate ident.Bytes
	// IsBusy tells whether live requests are running. The rate is not bounded while there are none.
	IsBusy func() bool

	once    sync.Once
	limiter *rate.Limiter
}

// Wait returns when n more bytes, at most Piece, may be moved.
func (p *Pacer) Wait(ctx context.Context, n int) error {
	if p == nil || p.Rate == 0 || !p.IsBusy() {
		return nil
	}
	p.once.Do(func() { p.limiter = rate.NewLimiter(rate.Limit(p.Rate), Piece) })
	if err := p.limiter.WaitN(ctx, min(n, Piece)); err != nil {
		return fmt.Errorf("pace weights: %w", err)
	}
	return nil
}
