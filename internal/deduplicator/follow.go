package deduplicator

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
)

const (
	// followTime bounds the wait for the result of another attempt with the same key.
	followTime = 10 * time.Second
	pollTime   = time.Second
)

// follow returns the result of the attempt that holds the key.
func (d *Deduplicator) follow(ctx context.Context, own, holder claimreducer.Claim) (*http.Response, error) {
	if holder.Body != own.Body {
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.KeyConflict, Final: true, Text: "the idempotency key was used with another request; send a new key"}
	}
	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()
	for {
		r, err := d.result(ctx, holder)
		if err != nil {
			return nil, unknown(outcome.Unreachable, comeBack, "the entry host that runs the request with this key does not answer: "+err.Error())
		}
		switch r.State {
		case resultcache.Answered:
			return replay(holder.Attempt, r), nil
		case resultcache.NotRun:
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, After: comeBack, Final: true, Text: "the earlier request with this key was not run; ask again with the same key"}
		case resultcache.Unknown:
			return nil, unknown(outcome.Lost, 0, "the earlier request with this key may have been run; it is not run again")
		case resultcache.None:
			return nil, unknown(outcome.Lost, 0, "the result of the earlier request with this key is lost; it is not run again")
		}
		if ctx.Err() != nil {
			return nil, unknown(outcome.Running, comeBack, "the earlier request with this key is still running; ask again with the same key")
		}
	}
}

func (d *Deduplicator) result(ctx context.Context, holder claimreducer.Claim) (resultcache.Result, error) {
	if holder.Control == d.Control {
		return d.Result(ctx, holder, pollTime), nil
	}
	// The call gets twice the time that the other host may wait.
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*pollTime)
	defer cancel()
	return d.Fetch(call, holder, pollTime)
}

// Result returns what is known of an own attempt. It waits for its end up to wait.
func (d *Deduplicator) Result(ctx context.Context, c claimreducer.Claim, wait time.Duration) resultcache.Result {
	r, done := d.Results.Get(c.Attempt)
	if r.State == resultcache.NotRun {
		// A lost or late claim may still stand in the log.
		d.Release(c.Key, c.Attempt)
	}
	if r.State != resultcache.Running {
		return r
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(min(wait, pollTime)):
	}
	r, _ = d.Results.Get(c.Attempt)
	return r
}

func unknown(reason outcome.Reason, after time.Duration, text string) *outcome.Error {
	return &outcome.Error{Kind: outcome.Unknown, Reason: reason, After: after, Final: true, Text: text}
}
