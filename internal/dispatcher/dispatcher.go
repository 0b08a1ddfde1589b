// Package dispatcher sends a caller's request to an endpoint that serves its deployment, and retries it when that is
// safe.
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
	maxAttempts        = 3
	maxRefusedAttempts = 8
	defaultRetryAfter  = time.Second
	// dispatchTimeout bounds the time from the arrival of a request that is not repeatable until it is sent to an endpoint.
	dispatchTimeout = 10 * time.Second
	// endpointWaitTimeout bounds how long a request whose endpoint failed waits for another one. It covers both the wait
	// for any available endpoint and the wait for one that is not running another suspect request.
	endpointWaitTimeout  = 20 * time.Second
	endpointPollInterval = 50 * time.Millisecond
)

// Request is one request of a caller, ready to be sent to an endpoint.
type Request struct {
	ID         ident.RequestID
	Deployment catalog.EffectiveDeployment
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	// IdempotencyKey is the caller's idempotency key; empty if there is none.
	IdempotencyKey string
	// Repeatable says that running the request more than once is safe.
	Repeatable bool
	// Digest identifies the request by its organisation, deployment, method, path and body.
	Digest quarantiner.RequestDigest
	// DispatchDeadline is the deadline for sending the request to an endpoint. If it is zero, the dispatcher sets one for
	// requests that are not repeatable.
	DispatchDeadline time.Time
	// ClaimID identifies the claim that the request holds on its idempotency key.
	ClaimID string
	// HeaderTimeout bounds the time until the response header.
	HeaderTimeout time.Duration
	// StallTimeout bounds each read of the response body. Zero means no timeout, and marks a response that is not
	// streamed.
	StallTimeout time.Duration
	// ResumeTokens is the number of response tokens that the caller already has.
	ResumeTokens int
	// Cost is the estimated work of the request, such as its number of tokens.
	Cost float64
	// PromptPrefix identifies the beginning of the prompt, which an engine may have in its cache.
	PromptPrefix prefixhasher.Prefix
}

// Dispatcher sends requests to endpoints. Set its fields before use.
type Dispatcher struct {
	// Admit waits until an endpoint has capacity for a request and returns a lease on it. Its errors are refusals.
	Admit func(ctx context.Context, q admitter.AdmissionRequest) (*admitter.Lease, error)
	// Forwarder sends the requests.
	Forwarder *forwarder.Forwarder
	// Quarantiner records the requests that were in flight when engines crashed.
	Quarantiner *quarantiner.Quarantiner
	// OnRefusal is called when an endpoint refused a request or could not be reached. It may be nil.
	OnRefusal func(h ident.Host, r outcome.Reason)
	// SpendRetryBudget consumes one retry from the retry budget and reports whether it was available. Nil allows every
	// retry.
	SpendRetryBudget func() bool
	// RefreshDeployment waits briefly for the configuration at offset, which host from already has, and returns the
	// deployment in it. If the configuration does not arrive in time, the deployment is unchanged. Nil disables the
	// refresh.
	RefreshDeployment func(ctx context.Context, e catalog.EffectiveDeployment, from ident.Host, offset ident.Offset) catalog.EffectiveDeployment
	// Logger receives the events.
	Logger log.Interface
}

// requestState is the state of one request across its attempts.
type requestState struct {
	request    Request
	weightSets []ident.WeightSet
	// isPinned says that the response has begun, so that only its weight set may continue it.
	isPinned bool
	tried    map[ident.Host]bool
	retrier  *retrier.Retrier
	// firstUnknownAt is the time of the first failure of an attempt that may have run.
	firstUnknownAt time.Time
}

// Do sends a request and returns the response, whose body the caller must close. Every error is an *outcome.Error.
func (d *Dispatcher) Do(ctx context.Context, req Request) (*http.Response, error) {
	if req.DispatchDeadline.IsZero() && !req.Repeatable {
		req.DispatchDeadline = time.Now().Add(dispatchTimeout)
	}
	s := &requestState{
		request: req, weightSets: weightSetsOf(req.Deployment), tried: make(map[ident.Host]bool),
		retrier: &retrier.Retrier{MaxAttempts: maxAttempts, MaxRefusals: maxRefusedAttempts, Repeatable: req.Repeatable, Deadline: req.DispatchDeadline, SpendBudget: d.SpendRetryBudget},
	}
	resp, set, err := d.tryEndpoints(ctx, s)
	if err != nil {
		return nil, err
	}
	if isStream(resp) {
		resp.Body = newResumableBody(ctx, d, s, set, resp)
	} else {
		resp.Body = &clearOnEOF{ReadCloser: resp.Body, clear: func() { d.Quarantiner.ClearCrashes(req.Digest) }}
	}
	return resp, nil
}

// tryEndpoints sends the request to one endpoint after another until one responds or no further attempt is allowed. It
// returns the response and the weight set that the endpoint was chosen for.
func (d *Dispatcher) tryEndpoints(ctx context.Context, s *requestState) (*http.Response, ident.WeightSet, error) {
	refusal := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.Deadline, RetryAfter: defaultRetryAfter, Message: "the request ended before it was handed over"}
	for ctx.Err() == nil {
		verdict, err := d.checkQuarantine(s)
		if err != nil {
			return nil, "", err
		}
		lease, err := d.admit(ctx, s)
		if err != nil && s.mayWaitForEndpoint() {
			d.waitBeforeRetry(ctx, s)
			continue
		}
		if err != nil {
			errors.As(err, &refusal)
			break
		}
		s.tried[lease.Candidate.Host] = true
		resp, err := d.send(s.request, lease, verdict == quarantiner.Suspect)
		if err == nil {
			return resp, lease.Candidate.WeightSet, nil
		}
		lease.Fail(err)
		if isSuspectBusy(err) && s.mayWaitForEndpoint() {
			continue
		}
		d.handleRefusal(ctx, s, lease.Candidate.Host, err)
		if !s.shouldRetry(err) {
			break
		}
	}
	return nil, "", s.retrier.FinalError(refusal)
}

// admit waits for an endpoint, at most until the deadline for sending the request. Its refusals carry a retry delay.
func (d *Dispatcher) admit(ctx context.Context, s *requestState) (*admitter.Lease, error) {
	if !s.request.DispatchDeadline.IsZero() {
		// The lease keeps this context for the attempt, which a context deadline would also end. A timer that is stopped
		// after the wait bounds only the wait.
		waitCtx, cancel := context.WithCancel(ctx)
		stop := time.AfterFunc(time.Until(s.request.DispatchDeadline), cancel)
		defer stop.Stop()
		ctx = waitCtx
	}
	lease, err := d.Admit(ctx, s.admissionRequest())
	var o *outcome.Error
	if errors.As(err, &o) && o.RetryAfter == 0 {
		o.RetryAfter = defaultRetryAfter
	}
	return lease, err
}

// admissionRequest returns the request for an endpoint that was not tried yet.
func (s *requestState) admissionRequest() admitter.AdmissionRequest {
	req, d := s.request, s.request.Deployment
	return admitter.AdmissionRequest{
		Pool: d.Spec.Pool, Organisation: d.Organisation, Deployment: d.Name, WeightSets: s.weightSets, Priority: d.Spec.Priority,
		Cost: req.Cost, PromptPrefix: req.PromptPrefix, NonStreaming: req.StallTimeout == 0, Repeatable: req.Repeatable, TriedHosts: maps.Clone(s.tried),
	}
}

// shouldRetry records the failure of an attempt and reports whether another attempt may start.
func (s *requestState) shouldRetry(err error) bool {
	mayHaveRunBefore := s.retrier.MayHaveRun()
	ok := s.retrier.ShouldRetry(err, time.Now())
	if !mayHaveRunBefore && s.retrier.MayHaveRun() {
		s.firstUnknownAt = time.Now()
	}
	return ok
}

// checkQuarantine refuses quarantined requests, and suspect requests that are not repeatable.
func (d *Dispatcher) checkQuarantine(s *requestState) (quarantiner.Verdict, error) {
	verdict, remaining := d.Quarantiner.Verdict(s.request.Digest)
	var o *outcome.Error
	switch {
	case verdict == quarantiner.Quarantined:
		o = &outcome.Error{Reason: outcome.Quarantined, Message: "engines died twice while they ran this request; it is not run again for now"}
	case verdict == quarantiner.Suspect && !s.request.Repeatable:
		o = &outcome.Error{Reason: outcome.SuspectRequest, Message: "a back end died while it ran this request; it is not run again for now"}
	default:
		return verdict, nil
	}
	o.Kind, o.RetryAfter, o.NoRetry = outcome.NotRun, remaining, true
	if s.retrier.MayHaveRun() {
		o.Kind = outcome.Unknown
	}
	return verdict, o
}

// isSuspectBusy reports whether a suspect request was refused because the endpoint is running another one.
func isSuspectBusy(err error) bool {
	var o *outcome.Error
	return errors.As(err, &o) && o.Kind == outcome.NotRun && o.Reason == outcome.SuspectRequest
}

// mayWaitForEndpoint reports whether the request may wait for an endpoint. A repeatable request may, until
// endpointWaitTimeout after the first failure of an attempt that may have run.
func (s *requestState) mayWaitForEndpoint() bool {
	return s.request.Repeatable && s.retrier.MayHaveRun() && time.Since(s.firstUnknownAt) < endpointWaitTimeout
}

// waitBeforeRetry pauses briefly, allows all endpoints to be tried again and resets the count of refusals.
func (d *Dispatcher) waitBeforeRetry(ctx context.Context, s *requestState) {
	clear(s.tried)
	s.retrier.ResetRefusals()
	select {
	case <-ctx.Done():
	case <-time.After(endpointPollInterval):
	}
}

// handleRefusal passes a refusal to OnRefusal and ignores other errors. If the endpoint serves another weight set than
// this host expected, it also allows the endpoint to be tried again and refreshes the deployment and its weight sets.
func (d *Dispatcher) handleRefusal(ctx context.Context, s *requestState, from ident.Host, err error) {
	var o *outcome.Error
	if !errors.As(err, &o) || o.Kind != outcome.NotRun {
		return
	}
	if d.OnRefusal != nil {
		d.OnRefusal(from, o.Reason)
	}
	if o.Reason != outcome.OtherWeightSet || s.isPinned {
		return
	}
	delete(s.tried, from)
	if d.RefreshDeployment != nil {
		s.request.Deployment = d.RefreshDeployment(ctx, s.request.Deployment, from, o.Offset)
		s.weightSets = weightSetsOf(s.request.Deployment)
	}
}

// weightSetsOf returns the weight sets that may serve a deployment, the preferred one first.
func weightSetsOf(e catalog.EffectiveDeployment) []ident.WeightSet {
	sets := []ident.WeightSet{e.WeightSet}
	if e.PreviousWeightSet != "" {
		sets = append(sets, e.PreviousWeightSet)
	}
	return sets
}
