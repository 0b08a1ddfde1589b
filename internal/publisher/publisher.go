// Package publisher appends a change to the configuration log and waits for the verdict on it.
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
	publishTimeout = 5 * time.Second
	retryDelay     = 200 * time.Millisecond
)

// Publisher publishes changes. Set its fields before use.
type Publisher struct {
	// Append adds a record to the configuration log.
	Append func(ctx context.Context, data []byte) (ident.Offset, error)
	// FindAudit returns the audit entry of a change that this process has applied.
	FindAudit func(id ident.ChangeID) (reducer.AuditEntry, bool)
	// Changed returns a channel that is closed at the next change of the state.
	Changed func() <-chan struct{}
}

// UnconfirmedError reports a change that the log service did not confirm in time. It may take effect later.
type UnconfirmedError struct {
	ID ident.ChangeID
	// Cause is the last error of the log service, or nil if there was none.
	Cause error
}

// Error returns a text with the change's id and the cause.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("log service did not confirm change %s; ask again with the same id: %v", e.ID, e.Cause)
}

// Unwrap returns the last error of the log service.
func (e *UnconfirmedError) Unwrap() error {
	return e.Cause
}

// Publish appends the record, repeatedly if necessary, until this process has applied it from the log, and returns its
// audit entry. Publishing the same id again returns the first verdict.
func (p *Publisher) Publish(ctx context.Context, rec catalog.Record) (reducer.AuditEntry, error) {
	if audit, ok := p.FindAudit(rec.ID); ok {
		return audit, nil
	}
	data, err := rec.Encode()
	if err != nil {
		return reducer.AuditEntry{}, fmt.Errorf("change: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	for {
		_, err := p.Append(ctx, data)
		wait := publishTimeout
		if err != nil {
			wait = retryDelay
		}
		if audit, ok := p.awaitAudit(ctx, rec.ID, wait); ok {
			return audit, nil
		}
		if ctx.Err() != nil {
			return reducer.AuditEntry{}, &UnconfirmedError{ID: rec.ID, Cause: err}
		}
	}
}

// awaitAudit waits up to wait for the audit entry of a change.
func (p *Publisher) awaitAudit(ctx context.Context, id ident.ChangeID, wait time.Duration) (reducer.AuditEntry, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := p.Changed()
		if audit, ok := p.FindAudit(id); ok {
			return audit, true
		}
		select {
		case <-ctx.Done():
			return reducer.AuditEntry{}, false
		case <-timer.C:
			return reducer.AuditEntry{}, false
		case <-changed:
		}
	}
}
