// Package deduplicator ensures that a non-idempotent request with an idempotency key runs at most once across all entry
// hosts.
package deduplicator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/claimwriter"
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
	"github.com/nutmegdock/nutmegdock/internal/dispatcher"
	"github.com/nutmegdock/nutmegdock/internal/headers"
)

const (
	// ForwardTimeout is how long after its arrival a claimed request may be forwarded to an endpoint host.
	ForwardTimeout = 3 * time.Second
	// attemptTimeout limits the run of a claimed request, which continues when its caller disconnects.
	attemptTimeout = 60 * time.Second
	retryAfter     = time.Second
	digestBytes    = 16
	// bodyDigestLength is the number of hexadecimal digits of the digest that distinguishes requests with the same key.
	bodyDigestLength = 16
)

// Deduplicator claims the idempotency key of a request before it passes the request to the dispatcher. Set its fields
// before use.
type Deduplicator struct {
	// ControlAddress is this entry host's control address.
	ControlAddress string
	// ClaimKey claims a key in the log.
	ClaimKey func(ctx context.Context, c claimreducer.Claim) (claimwriter.Decision, error)
	// ReleaseClaim withdraws a claim whose attempt was not run.
	ReleaseClaim func(k claimreducer.KeyDigest, attempt ident.RequestID)
	// Results caches the results of this host's attempts.
	Results *resultcache.Cache
	// Dispatch runs a request.
	Dispatch func(ctx context.Context, j dispatcher.Request) (*http.Response, error)
	// FetchResult requests the result of a claim's attempt from another entry host, which waits up to wait for the attempt
	// to end.
	FetchResult func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error)
}

// Do runs a job, or returns the response that an earlier request with the same key got. Every error is an
// *outcome.Error.
func (d *Deduplicator) Do(ctx context.Context, j dispatcher.Request) (*http.Response, error) {
	if j.IdempotencyKey == "" || j.Repeatable {
		return d.Dispatch(ctx, j)
	}
	j.DispatchDeadline = time.Now().Add(ForwardTimeout)
	c := claimreducer.Claim{Key: KeyOf(j), RequestDigest: bodyDigest(j), Attempt: j.ID, ControlAddress: d.ControlAddress}
	d.Results.Start(j.ID)
	claimCtx, cancel := context.WithDeadline(ctx, j.DispatchDeadline)
	defer cancel()
	decision, err := d.ClaimKey(claimCtx, c)
	if err != nil || !decision.Won {
		d.Results.End(j.ID, resultcache.Result{State: resultcache.NotRun})
		if decision.MayBeLogged {
			d.ReleaseClaim(c.Key, c.Attempt)
		}
	}
	if err != nil {
		return nil, err
	}
	if !decision.Won {
		return d.follow(ctx, c, decision.Holder)
	}
	j.ClaimID = fmt.Sprintf("%s/%d/%s", decision.Stream, decision.Offset, j.ID)
	return d.run(ctx, j, c)
}

// run runs a request that won its claim. The request continues when its caller disconnects, because the caller may
// retry with the same key and then gets the result.
func (d *Deduplicator) run(ctx context.Context, j dispatcher.Request, c claimreducer.Claim) (*http.Response, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	resp, err := d.Dispatch(runCtx, j)
	if err == nil {
		resp.Body = newRecordingBody(resp, func(r resultcache.Result) {
			cancel()
			d.Results.End(j.ID, r)
		})
		return resp, nil
	}
	cancel()
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) && outcomeErr.Kind == outcome.NotRun {
		d.Results.End(j.ID, resultcache.Result{State: resultcache.NotRun})
		d.ReleaseClaim(c.Key, c.Attempt)
		return nil, err
	}
	d.Results.End(j.ID, resultcache.Result{State: resultcache.Unknown})
	return nil, err
}

// KeyOf returns the digest of a job's organisation, deployment and idempotency key.
func KeyOf(j dispatcher.Request) claimreducer.KeyDigest {
	return claimreducer.KeyDigest(digest(string(j.Deployment.Organisation), string(j.Deployment.Name), j.IdempotencyKey))
}

// bodyDigest returns the digest of a job's method, path and body.
func bodyDigest(j dispatcher.Request) string {
	return digest(j.Method, j.Path, string(j.Body))[:bodyDigestLength]
}

// digest returns the digest of strings, each prefixed with its length so that different lists never coincide.
func digest(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

// replayResponse returns the recorded response of an attempt, marked with the attempt's request ID.
func replayResponse(attempt ident.RequestID, r resultcache.Result) *http.Response {
	h := http.Header(r.Header).Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(headers.Replayed, string(attempt))
	return newResponse(r.Status, h, r.Body)
}
