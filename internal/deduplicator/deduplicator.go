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
	// retryAfter is the retry delay sent with a response that does not contain the result.
	retryAfter = time.Second
	// digestBytes is the number of bytes to which SHA-256 digests are truncated.
	digestBytes = 16
	// requestDigestLength is the number of hexadecimal digits of the digest that distinguishes requests with the same key.
	requestDigestLength = 16
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
	Dispatch func(ctx context.Context, req dispatcher.Request) (*http.Response, error)
	// FetchResult requests the result of a claim's attempt from another entry host, which waits at most the given time
	// for the attempt to end.
	FetchResult func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error)
}

// Do runs a request, or returns the response to an earlier request with the same key. Every error is an
// *outcome.Error.
func (d *Deduplicator) Do(ctx context.Context, req dispatcher.Request) (*http.Response, error) {
	if req.IdempotencyKey == "" || req.Repeatable {
		return d.Dispatch(ctx, req)
	}
	req.DispatchDeadline = time.Now().Add(ForwardTimeout)
	c := claimreducer.Claim{Key: KeyOf(req), RequestDigest: requestDigest(req), Attempt: req.ID, ControlAddress: d.ControlAddress}
	d.Results.Start(req.ID)
	claimCtx, cancel := context.WithDeadline(ctx, req.DispatchDeadline)
	defer cancel()
	decision, err := d.ClaimKey(claimCtx, c)
	if err != nil || !decision.Won {
		d.Results.End(req.ID, resultcache.Result{State: resultcache.NotRun})
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
	req.ClaimID = fmt.Sprintf("%s/%d/%s", decision.Stream, decision.Offset, req.ID)
	return d.run(ctx, req, c)
}

// run runs a request that won its claim. The request continues when its caller disconnects, because the caller may
// retry with the same key and then gets the result.
func (d *Deduplicator) run(ctx context.Context, req dispatcher.Request, c claimreducer.Claim) (*http.Response, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), attemptTimeout)
	resp, err := d.Dispatch(runCtx, req)
	if err == nil {
		resp.Body = newRecordingBody(resp, func(r resultcache.Result) {
			cancel()
			d.Results.End(req.ID, r)
		})
		return resp, nil
	}
	cancel()
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) && outcomeErr.Kind == outcome.NotRun {
		d.Results.End(req.ID, resultcache.Result{State: resultcache.NotRun})
		d.ReleaseClaim(c.Key, c.Attempt)
		return nil, err
	}
	d.Results.End(req.ID, resultcache.Result{State: resultcache.Unknown})
	return nil, err
}

// KeyOf returns the digest of a request's organisation, deployment and idempotency key.
func KeyOf(req dispatcher.Request) claimreducer.KeyDigest {
	return claimreducer.KeyDigest(digest(string(req.Deployment.Organisation), string(req.Deployment.Name), req.IdempotencyKey))
}

// requestDigest returns the digest of a request's method, path and body.
func requestDigest(req dispatcher.Request) string {
	return digest(req.Method, req.Path, string(req.Body))[:requestDigestLength]
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
