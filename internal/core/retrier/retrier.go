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
	// Attempts is the maximum number of attempts that may have run the request.
	Attempts int
	// Refusals is the maximum number of attempts that did not run it.
	Refusals int
	// Repeatable says that a request that may have run may be sent again.
	Repeatable bool
	// Deadline is the time from which no further attempt may start; zero means that there is no deadline.
	Deadline time.Time
	// Budget consumes one retry from the retry budget and returns false if there is none; nil means that every retry is
	// allowed. It is not called to resume an interrupted stream or after a crash of an engine: such a retry replaces
	// work that was lost, and is bounded by the maximum number of attempts.
	Budget func() bool

	outdatedRefusals int
	possibleRuns     int
	refusals         int
	unknown          *outcome.Error
	last             *outcome.Error
}

// Forgive resets the number of refusals after a wait for an endpoint.
func (r *Retrier) Forgive() {
	r.refusals = 0
}

// MayHaveRun reports whether any attempt may have run the request.
func (r *Retrier) MayHaveRun() bool {
	return r.unknown != nil
}

// Again records the failure of an attempt and reports whether another attempt may start.
func (r *Retrier) Again(err error, now time.Time) bool {
	failure := asOutcome(err)
	r.last = failure
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
		r.unknown = failure
	}
	switch {
	case failure.Final:
		return false
	case failure.Kind != outcome.NotRun && !r.Repeatable:
		return false
	case r.possibleRuns >= r.Attempts || r.refusals >= r.Refusals:
		return false
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		return false
	}
	if failure.Reason == outcome.Cut || failure.Reason == outcome.EngineDied {
		return true
	}
	return r.Budget == nil || r.Budget()
}

// Final returns the error for the caller after the last attempt. A request that may have run in any attempt is never
// reported as not run. none is returned if there was no attempt.
func (r *Retrier) Final(none *outcome.Error) *outcome.Error {
	switch {
	case r.unknown != nil:
		return r.unknown
	case r.last != nil:
		return r.last
	}
	return none
}

// isOutdated reports whether the refusal shows that this host's information about the endpoint was out of date.
func isOutdated(r outcome.Reason) bool {
	return r == outcome.Moved || r == outcome.Closed || r == outcome.Leaving
}

func asOutcome(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return &outcome.Error{Kind: outcome.Unknown, Reason: outcome.Lost, Text: err.Error()}
}
