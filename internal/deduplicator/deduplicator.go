// Package deduplicator runs a non-idempotent request with an idempotency key at most once across all entry hosts.
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
	// ClaimTime is how long after its arrival a claimed request may be handed over.
	ClaimTime = 3 * time.Second
	// runTime bounds a claimed request, which goes on when its caller leaves.
	runTime     = 60 * time.Second
	comeBack    = time.Second
	digestBytes = 16
	// bodyDigits is the length of the digest that tells bodies of one key apart.
	bodyDigits = 16
)

// Deduplicator stands before the dispatcher. Set its fields before use.
type Deduplicator struct {
	// Control is the own entry host's address for calls.
	Control string
	// Claim claims a key in the log.
	Claim func(ctx context.Context, c claimreducer.Claim) (claimwriter.Ticket, error)
	// Release gives up a claim whose attempt was not run.
	Release func(k claimreducer.Key, attempt ident.Request)
	// Results keeps the results of the own attempts.
	Results *resultcache.Cache
	// Next runs a request.
	Next func(ctx context.Context, j dispatcher.Job) (*http.Response, error)
	// Fetch asks another entry host for a result; it waits for its end up to wait.
	Fetch func(ctx context.Context, c claimreducer.Claim, wait time.Duration) (resultcache.Result, error)
}

// Do runs a job, or returns the answer that was given to its key. Every error is an *outcome.Error.
func (d *Deduplicator) Do(ctx context.Context, j dispatcher.Job) (*http.Response, error) {
	if j.Key == "" || j.Repeatable {
		return d.Next(ctx, j)
	}
	j.Before = time.Now().Add(ClaimTime)
	c := claimreducer.Claim{Key: KeyOf(j), Body: bodyOf(j), Attempt: j.ID, Control: d.Control}
	d.Results.Begin(j.ID)
	claimCtx, cancel := context.WithDeadline(ctx, j.Before)
	defer cancel()
	t, err := d.Claim(claimCtx, c)
	if err != nil || !t.Won {
		d.Results.End(j.ID, resultcache.Result{State: resultcache.NotRun})
		if t.Written {
			d.Release(c.Key, c.Attempt)
		}
	}
	if err != nil {
		return nil, err
	}
	if !t.Won {
		return d.follow(ctx, c, t.Holder)
	}
	j.Claim = fmt.Sprintf("%s/%d/%s", t.Stream, t.Offset, j.ID)
	return d.run(ctx, j, c)
}

// run hands a won request over. It goes on without its caller, who may come back for the result.
func (d *Deduplicator) run(ctx context.Context, j dispatcher.Job, c claimreducer.Claim) (*http.Response, error) {
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), runTime)
	resp, err := d.Next(runCtx, j)
	if err == nil {
		resp.Body = newTee(resp, func(r resultcache.Result) {
			cancel()
			d.Results.End(j.ID, r)
		})
		return resp, nil
	}
	cancel()
	var o *outcome.Error
	if errors.As(err, &o) && o.Kind == outcome.NotRun {
		d.Results.End(j.ID, resultcache.Result{State: resultcache.NotRun})
		d.Release(c.Key, c.Attempt)
		return nil, err
	}
	d.Results.End(j.ID, resultcache.Result{State: resultcache.Unknown})
	return nil, err
}

// KeyOf returns the digest of a job's organisation, deployment and idempotency key.
func KeyOf(j dispatcher.Job) claimreducer.Key {
	return claimreducer.Key(sum(string(j.Deployment.Organisation), string(j.Deployment.Name), j.Key))
}

func bodyOf(j dispatcher.Job) string {
	return sum(j.Method, j.Path, string(j.Body))[:bodyDigits]
}

func sum(parts ...string) string {
	h := sha256.New()
	for _, p := range parts {
		fmt.Fprintf(h, "%d:%s", len(p), p)
	}
	return hex.EncodeToString(h.Sum(nil)[:digestBytes])
}

func replay(j ident.Request, r resultcache.Result) *http.Response {
	h := http.Header(r.Header).Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set(headers.Replayed, string(j))
	return response(r.Status, h, r.Body)
}
