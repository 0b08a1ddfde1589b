// Package dispatcher sends a caller's request to an endpoint that serves its deployment, and retries where that is safe.
package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/retrier"
	"github.com/nutmegdock/nutmegdock/internal/core/router"
	"github.com/nutmegdock/nutmegdock/internal/core/suspector"
	"github.com/nutmegdock/nutmegdock/internal/core/view"
	"github.com/nutmegdock/nutmegdock/internal/forwarder"
)

const (
	maxAttempts = 3
	maxRefusals = 8
	comeBack    = time.Second
	// handOverTime is how long after its arrival a request that may not be repeated can be handed over.
	handOverTime = 10 * time.Second
	// turnTime bounds the wait for an endpoint of a request whose endpoint was lost: for one at all, and for one
	// without another suspect.
	turnTime = 20 * time.Second
	turnPoll = 50 * time.Millisecond
)

// Job is one request of a caller, ready to be sent.
type Job struct {
	ID         ident.Request
	Deployment catalog.Effective
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Key        string
	Repeatable bool
	// Digest identifies the request by its deployment, path and body.
	Digest suspector.Digest
	// Before is the time from which on the request must not be handed over; zero leaves it to the dispatcher.
	Before time.Time
	// Claim names the won claim of the key.
	Claim string
	// Wait bounds the time until the head of the answer, and Stall the time between two parts of its body.
	Wait  time.Duration
	Stall time.Duration
	// Resume is the number of tokens that the caller says it has.
	Resume int
}

// Dispatcher sends jobs. Set its fields before use.
type Dispatcher struct {
	// View holds the endpoints' reports.
	View *view.View
	// Router chooses among them.
	Router *router.Router
	// Forwarder sends the requests.
	Forwarder *forwarder.Forwarder
	// Suspector remembers the requests that were running when engines died.
	Suspector *suspector.Suspector
	// Budget grants one retry; nil means that every one is granted.
	Budget func() bool
	// Refresh returns the deployment as it is at a later configuration offset, if this host learns of it soon. Nil
	// leaves it as it is.
	Refresh func(ctx context.Context, e catalog.Effective, from ident.Host, offset ident.Offset) catalog.Effective
	// Logger receives the events.
	Logger log.Interface
}

// pass is one way of a job through the endpoints.
type pass struct {
	job     Job
	sets    []ident.WeightSet
	tried   map[ident.Host]bool
	retrier *retrier.Retrier
	// lost is when an endpoint that ran the request was lost.
	lost time.Time
}

// Do sends a job and returns the answer, whose body the caller must close. Every error is an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, j Job) (*http.Response, error) {
	if j.Before.IsZero() && !j.Repeatable {
		j.Before = time.Now().Add(handOverTime)
	}
	p := &pass{
		job: j, sets: setsOf(j.Deployment), tried: make(map[ident.Host]bool),
		retrier: &retrier.Retrier{Attempts: maxAttempts, Refusals: maxRefusals, Repeatable: j.Repeatable, Deadline: j.Before, Budget: d.Budget},
	}
	resp, c, err := d.attempt(ctx, p)
	if err != nil {
		return nil, err
	}
	if isStream(resp) {
		resp.Body = newResumed(ctx, d, p, c, resp)
	} else {
		resp.Body = &cleared{ReadCloser: resp.Body, clear: func() { d.Suspector.Clear(j.Digest) }}
	}
	return resp, nil
}

// attempt sends the job to one endpoint after the other until one answers or no further attempt may begin.
func (d *Dispatcher) attempt(ctx context.Context, p *pass) (*http.Response, router.Candidate, error) {
	for ctx.Err() == nil {
		verdict, err := d.judge(p)
		if err != nil {
			return nil, router.Candidate{}, err
		}
		c, ok := d.choose(p)
		if !ok && p.mayWait() {
			d.awaitTurn(ctx, p)
			continue
		}
		if !ok {
			break
		}
		p.tried[c.Host] = true
		resp, err := d.send(ctx, p.job, c, verdict == suspector.Suspect)
		if err == nil {
			return resp, c, nil
		}
		if isBusy(err) && p.mayWait() {
			continue
		}
		d.note(ctx, p, c, err)
		if !p.again(err) {
			break
		}
	}
	return nil, router.Candidate{}, p.retrier.Final(&outcome.Error{
		Kind: outcome.NotRun, Reason: outcome.NoEndpoint, After: comeBack, Text: "no endpoint serves the deployment now",
	})
}

// again takes the failure of an attempt and tells whether another one may begin.
func (p *pass) again(err error) bool {
	before := p.retrier.MayHaveRun()
	ok := p.retrier.Again(err, time.Now())
	if !before && p.retrier.MayHaveRun() {
		p.lost = time.Now()
	}
	return ok
}

// judge refuses condemned requests, and suspects that may not be repeated.
func (d *Dispatcher) judge(p *pass) (suspector.Verdict, error) {
	verdict, left := d.Suspector.Verdict(p.job.Digest)
	var o *outcome.Error
	switch {
	case verdict == suspector.Condemned:
		o = &outcome.Error{Reason: outcome.Condemned, Text: "engines died twice while they ran this request; it is not run again for now"}
	case verdict == suspector.Suspect && !p.job.Repeatable:
		o = &outcome.Error{Reason: outcome.Suspect, Text: "a back end died while it ran this request; it is not run again for now"}
	default:
		return verdict, nil
	}
	o.Kind, o.After, o.Final = outcome.NotRun, left, true
	if p.retrier.MayHaveRun() {
		o.Kind = outcome.Unknown
	}
	return verdict, o
}

// isBusy tells whether a suspect was refused because the endpoint runs another one.
func isBusy(err error) bool {
	var o *outcome.Error
	return errors.As(err, &o) && o.Kind == outcome.NotRun && o.Reason == outcome.Suspect
}

// mayWait tells whether the request can wait for an endpoint: it lost one that was running it, and may be run again.
func (p *pass) mayWait() bool {
	return p.job.Repeatable && p.retrier.MayHaveRun() && time.Since(p.lost) < turnTime
}

// awaitTurn waits a little, after which all endpoints may be asked again.
func (d *Dispatcher) awaitTurn(ctx context.Context, p *pass) {
	clear(p.tried)
	p.retrier.Forgive()
	select {
	case <-ctx.Done():
	case <-time.After(turnPoll):
	}
}

func (d *Dispatcher) choose(p *pass) (router.Candidate, bool) {
	for _, set := range p.sets {
		c, ok := d.Router.Choose(d.View.Candidates(p.job.Deployment.Spec.Pool, set), p.tried)
		if ok {
			return c, true
		}
	}
	return router.Candidate{}, false
}

// note learns from a refusal: which weight set the endpoint serves by now, or that it takes no requests for a while.
func (d *Dispatcher) note(ctx context.Context, p *pass, c router.Candidate, err error) {
	var o *outcome.Error
	if !errors.As(err, &o) || o.Kind != outcome.NotRun || o.Reason == outcome.Late || o.Reason == outcome.Suspect {
		return
	}
	if o.Reason != outcome.Moved {
		d.View.Close(c.Host)
		return
	}
	d.View.Serve(c.Host, o.Serves)
	delete(p.tried, c.Host)
	if d.Refresh != nil {
		p.job.Deployment = d.Refresh(ctx, p.job.Deployment, c.Host, o.Offset)
		p.sets = setsOf(p.job.Deployment)
	}
}

// setsOf returns the weight sets that may serve a deployment, the one to prefer first.
func setsOf(e catalog.Effective) []ident.WeightSet {
	out := []ident.WeightSet{e.Set}
	if e.Previous != "" {
		out = append(out, e.Previous)
	}
	return out
}
