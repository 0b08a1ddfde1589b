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
	// followTimeout limits the wait for the result of another attempt with the same key.
	followTimeout = 10 * time.Second
	// pollTimeout limits the wait of one query for that result.
	pollTimeout = time.Second
)

// follow waits for the attempt that holds the key and returns its result.
func (d *Deduplicator) follow(ctx context.Context, claim, holder claimreducer.Claim) (*http.Response, error) {
	if holder.RequestDigest != claim.RequestDigest {
		return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.KeyConflict, NoRetry: true, Message: "the idempotency key was used with another request; send a new key"}
	}
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	for {
		r, err := d.holderResult(ctx, holder)
		if err != nil {
			return nil, unknownOutcome(outcome.Unreachable, retryAfter, "the entry host that runs the request with this key does not answer: "+err.Error())
		}
		switch r.State {
		case resultcache.Answered:
			return replayResponse(holder.Attempt, r), nil
		case resultcache.NotRun:
			return nil, &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Refused, RetryAfter: retryAfter, NoRetry: true, Message: "the earlier request with this key was not run; ask again with the same key"}
		case resultcache.Unknown:
			return nil, unknownOutcome(outcome.ConnectionLost, 0, "the earlier request with this key may have been run; it is not run again")
		case resultcache.NotFound:
			return nil, unknownOutcome(outcome.ConnectionLost, 0, "the result of the earlier request with this key is lost; it is not run again")
		}
		if ctx.Err() != nil {
			return nil, unknownOutcome(outcome.AlreadyRunning, retryAfter, "the earlier request with this key is still running; ask again with the same key")
		}
	}
}

func (d *Deduplicator) holderResult(ctx context.Context, holder claimreducer.Claim) (resultcache.Result, error) {
	if holder.ControlAddress == d.ControlAddress {
		return d.Result(ctx, holder, pollTimeout), nil
	}
	// The call may take twice as long as the other host may wait.
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*pollTimeout)
	defer cancel()
	return d.FetchResult(callCtx, holder, pollTimeout)
}

// Result returns the state and result of one of this host's attempts. It waits at most the given time for its end.
func (d *Deduplicator) Result(ctx context.Context, c claimreducer.Claim, wait time.Duration) resultcache.Result {
	r, done := d.Results.Get(c.Attempt)
	if r.State == resultcache.NotRun {
		// The log may still hold the claim, if its append was delayed or got no response.
		d.ReleaseClaim(c.Key, c.Attempt)
	}
	if r.State != resultcache.Running {
		return r
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-time.After(min(wait, pollTimeout)):
	}
	r, _ = d.Results.Get(c.Attempt)
	return r
}

func unknownOutcome(reason outcome.Reason, after time.Duration, text string) *outcome.Error {
	return &outcome.Error{Kind: outcome.Unknown, Reason: reason, RetryAfter: after, NoRetry: true, Message: text}
}
