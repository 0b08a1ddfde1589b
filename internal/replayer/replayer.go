// Package replayer folds the configuration log anew up to an offset, to look at a past or a possible state.
package replayer

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
)

const pageRecords = 1000

// Replayer reads the log. Set its fields before use.
type Replayer struct {
	// Read returns records of the configuration stream from an offset on.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error)
}

// ExpiredError reports that the log no longer keeps the records that a replay needs.
type ExpiredError struct {
	// First is the lowest offset that the log still keeps.
	First ident.Offset
}

// Error names the offset.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("log keeps records from offset %d on only; a state cannot be worked out anew", e.First)
}

// RangeError reports an offset that the log has not reached.
type RangeError struct {
	Want ident.Offset
	Next ident.Offset
}

// Error names both offsets.
func (e *RangeError) Error() string {
	return fmt.Sprintf("offset %d is beyond the log, which ends at %d", e.Want, e.Next)
}

// Replay returns the state after the first `to` records.
func (p *Replayer) Replay(ctx context.Context, to ident.Offset) (*reducer.Reducer, error) {
	state := reducer.New()
	for state.Offset() < to {
		page, err := p.Read(ctx, state.Offset(), pageRecords, 0)
		if err != nil {
			return nil, fmt.Errorf("replay: %w", err)
		}
		if page.First > state.Offset() {
			return nil, &ExpiredError{First: page.First}
		}
		if len(page.Records) == 0 {
			return nil, &RangeError{Want: to, Next: page.Next}
		}
		apply(state, page.Records, to)
	}
	return state, nil
}

func apply(state *reducer.Reducer, records []logclient.Record, to ident.Offset) {
	for _, rec := range records {
		if rec.Offset == state.Offset() && rec.Offset < to {
			state.Apply(rec.Data)
		}
	}
}
