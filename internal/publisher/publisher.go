// Package publisher appends a change to the configuration log and finds out what became of it.
package publisher

import (
	"context"
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
)

const (
	acceptTime = 5 * time.Second
	retryWait  = 200 * time.Millisecond
)

// Publisher publishes changes. Set its fields before use.
type Publisher struct {
	// Append adds a record to the configuration log.
	Append func(ctx context.Context, data []byte) (ident.Offset, error)
	// Find returns what became of a change that this process has folded.
	Find func(id ident.Change) (reducer.Audit, bool)
	// Changed returns a channel that is closed at the next change of the state.
	Changed func() <-chan struct{}
}

// UnknownError reports a change that the log service did not confirm in time. It may take effect later.
type UnknownError struct {
	ID ident.Change
	// Cause is the last error of the log service, if there was one.
	Cause error
}

// Error names the change.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("log service did not confirm change %s; ask again with the same id: %v", e.ID, e.Cause)
}

// Unwrap returns the last error of the log service.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// Publish appends the record until it is seen in the fold, and returns what became of it there. Publishing the same
// id again returns the first verdict.
func (p *Publisher) Publish(ctx context.Context, rec catalog.Record) (reducer.Audit, error) {
	if audit, ok := p.Find(rec.ID); ok {
		return audit, nil
	}
	data, err := rec.Encode()
	if err != nil {
		return reducer.Audit{}, fmt.Errorf("change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		_, err := p.Append(ctx, data)
		wait := acceptTime
		if err != nil {
			wait = retryWait
		}
		if audit, ok := p.await(ctx, rec.ID, wait); ok {
			return audit, nil
		}
		if ctx.Err() != nil {
			return reducer.Audit{}, &UnknownError{ID: rec.ID, Cause: err}
		}
	}
}

func (p *Publisher) await(ctx context.Context, id ident.Change, wait time.Duration) (reducer.Audit, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := p.Changed()
		if audit, ok := p.Find(id); ok {
			return audit, true
		}
		select {
		case <-ctx.Done():
			return reducer.Audit{}, false
		case <-timer.C:
			return reducer.Audit{}, false
		case <-changed:
		}
	}
}
