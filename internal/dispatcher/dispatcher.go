// Package dispatcher sends a caller's request to an endpoint that serves its deployment, and retries where that is safe.
package dispatcher

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/admitter"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
	"github.com/nutmegdock/nutmegdock/internal/core/prefixhasher"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/retrier"
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
	Digest quarantiner.Digest
	// Before is the time from which on the request must not be handed over; zero leaves it to the dispatcher.
	Before time.Time
	// Claim names the won claim of the key.
	Claim string
	// Wait bounds the time until the head of the answer, and Stall the time between two parts of its body.
	Wait  time.Duration
	Stall time.Duration
	// Resume is the number of tokens that the caller says it has.
	Resume int
	// Cost is the work that the request asks for, such as its number of tokens.
	Cost float64
	// Prefix names the part of the prompt that an engine may have in its cache.
	Prefix prefixhasher.Prefix
}

// Dispatcher sends jobs. Set its fields before use.
type Dispatcher struct {
	// Admit waits until an endpoint has room for a request and returns its lease. Its errors are refusals.
	Admit func(ctx context.Context, q admitter.Query) (*admitter.Lease, error)
	// Forwarder sends the requests.
	Forwarder *forwarder.Forwarder
	// Quarantiner remembers the requests that were running when engines died.
	Quarantiner *quarantiner.Quarantiner
	// Refused is told of an endpoint that refused a request or could not be reached; nil means nobody is.
	Refused func(h ident.Host, r outcome.Reason)
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
	resp, set, err := d.attempt(ctx, p)
	if err != nil {
		return nil, err
	}
	if isStream(resp) {
		resp.Body = newResumed(ctx, d, p, set, resp)
	} else {
		resp.Body = &cleared{ReadCloser: resp.Body, clear: func() { d.Quarantiner.Clear(j.Digest) }}
	}
	return resp, nil
}

// attempt sends the job to one endpoint after the other until one answers or no further attempt may begin. It returns
// the weight set that the answer is made with.
func (d *Dispatcher) attempt(ctx context.Context, p *pass) (*http.Response, ident.WeightSet, error) {
	refusal := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, After: comeBack, Text: "the request ended before it was handed over"}
	for ctx.Err() == nil {
		verdict, err := d.judge(p)
		if err != nil {
			return nil, "", err
		}
		lease, err := d.admit(ctx, p)
		if err != nil && p.mayWait() {
			d.awaitTurn(ctx, p)
			continue
		}
		if err != nil {
			errors.As(err, &refusal)
			break
		}
		p.tried[lease.Candidate.Host] = true
		resp, err := d.send(p.job, lease, verdict == quarantiner.Suspect)
		if err == nil {
			return resp, lease.Candidate.Set, nil
		}
		lease.Fail(err)
		if isBusy(err) && p.mayWait() {
			continue
		}
		d.note(ctx, p, lease.Candidate.Host, err)
		if !p.again(err) {
			break
		}
	}
	return nil, "", p.retrier.Final(refusal)
}

// admit waits for an endpoint, but not beyond the time in which the request may be handed over. Its refusals tell when
// to come back.
func (d *Dispatcher) admit(ctx context.Context, p *pass) (*admitter.Lease, error) {
	if !p.job.Before.IsZero() {
		// The lease lives longer than the wait, so the wait is ended by a cancel instead of a deadline.
		waiting, cancel := context.WithCancel(ctx)
		stop := time.AfterFunc(time.Until(p.job.Before), cancel)
		defer stop.Stop()
		ctx = waiting
	}
	lease, err := d.Admit(ctx, p.query())
	var o *outcome.Error
	if errors.As(err, &o) && o.After == 0 {
		o.After = comeBack
	}
	return lease, err
}

// query asks for an endpoint that was not tried yet.
func (p *pass) query() admitter.Query {
	j, d := p.job, p.job.Deployment
	return admitter.Query{
		Pool: d.Spec.Pool, Organisation: d.Organisation, Deployment: d.Name, Sets: p.sets, Priority: d.Spec.Priority,
		Cost: j.Cost, Prefix: j.Prefix, Whole: j.Stall == 0, Repeatable: j.Repeatable, Tried: maps.Clone(p.tried),
	}
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
func (d *Dispatcher) judge(p *pass) (quarantiner.Verdict, error) {
	verdict, left := d.Quarantiner.Verdict(p.job.Digest)
	var o *outcome.Error
	switch {
	case verdict == quarantiner.Condemned:
		o = &outcome.Error{Reason: outcome.Condemned, Text: "engines died twice while they ran this request; it is not run again for now"}
	case verdict == quarantiner.Suspect && !p.job.Repeatable:
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

// note tells of a refusal, and learns from one for an outdated view which weight sets may serve the deployment by now.
func (d *Dispatcher) note(ctx context.Context, p *pass, from ident.Host, err error) {
	var o *outcome.Error
	if !errors.As(err, &o) || o.Kind != outcome.NotRun {
		return
	}
	if d.Refused != nil {
		d.Refused(from, o.Reason)
	}
	if o.Reason != outcome.Moved {
		return
	}
	delete(p.tried, from)
	if d.Refresh != nil {
		p.job.Deployment = d.Refresh(ctx, p.job.Deployment, from, o.Offset)
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
