// Package retrier decides whether a failed request may be sent again, and which error the caller receives in the end.
package retrier

import (
	"errors"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

// maxOutdatedRefusals bounds the attempts that are refused because this host's information about the endpoint was out
// of date.
const maxOutdatedRefusals = 8

// Retrier tracks the attempts of one request. Set its fields before the first attempt.
type Retrier struct {
	// MaxAttempts is the maximum number of attempts that may have run the request.
	MaxAttempts int
	// MaxRefusals is the maximum number of attempts that did not run it.
	MaxRefusals int
	// Repeatable says that a request that may have run may be sent again.
	Repeatable bool
	// Deadline is the time from which no further attempt may start; zero means that there is no deadline.
	Deadline time.Time
	// SpendBudget consumes one retry from the retry budget and returns false if there is none; nil means that every retry
	// is allowed. It is not called to resume an interrupted stream or after a crash of an engine: such a retry replaces
	// work that was lost, and is bounded by the maximum number of attempts.
	SpendBudget func() bool

	outdatedRefusals int
	possibleRuns     int
	refusals         int
	// unknownFailure is the last failure of an attempt that may have run the request.
	unknownFailure *outcome.Error
	lastFailure    *outcome.Error
}

// ResetRefusals resets the number of refusals after a wait for an endpoint.
func (r *Retrier) ResetRefusals() {
	r.refusals = 0
}

// MayHaveRun reports whether any attempt may have run the request.
func (r *Retrier) MayHaveRun() bool {
	return r.unknownFailure != nil
}

// ShouldRetry records the failure of an attempt and reports whether another attempt may start.
func (r *Retrier) ShouldRetry(err error, now time.Time) bool {
	failure := asOutcome(err)
	r.lastFailure = failure
	if failure.Kind == outcome.NotRun && isOutdated(failure.Reason) && r.outdatedRefusals < maxOutdatedRefusals {
		// The refusal corrects this host's information about the endpoint without work for an engine, so it does not
		// use the retry budget.
		r.outdatedRefusals++
		return r.Deadline.IsZero() || now.Before(r.Deadline)
	}
	if failure.Kind == outcome.NotRun {
		r.refusals++
	} else {
		r.possibleRuns++
		r.unknownFailure = failure
	}
	switch {
	case failure.NoRetry:
		return false
	case failure.Kind != outcome.NotRun && !r.Repeatable:
		return false
	case r.possibleRuns >= r.MaxAttempts || r.refusals >= r.MaxRefusals:
		return false
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		return false
	}
	if failure.Reason == outcome.Truncated || failure.Reason == outcome.BackendCrashed {
		return true
	}
	return r.SpendBudget == nil || r.SpendBudget()
}

// FinalError returns the error for the caller after the last attempt. A request that may have run in any attempt is
// never reported as not run. none is returned if there was no attempt.
func (r *Retrier) FinalError(none *outcome.Error) *outcome.Error {
	switch {
	case r.unknownFailure != nil:
		return r.unknownFailure
	case r.lastFailure != nil:
		return r.lastFailure
	}
	return none
}

// isOutdated reports whether the refusal shows that this host's information about the endpoint was out of date.
func isOutdated(r outcome.Reason) bool {
	return r == outcome.OtherWeightSet || r == outcome.EndpointClosed || r == outcome.HostLeaving
}

func asOutcome(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.ConnectionLost, Message: err.Error()}
}
