// Package retrier decides whether a request may be sent again, and what the caller is told in the end.
package retrier

import (
	"errors"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

// maxMoves bounds the attempts that are refused because this host's view of the endpoint was out of date.
const maxMoves = 8

// Retrier follows the attempts of one request. Set its fields before the first attempt.
type Retrier struct {
	// Attempts bounds the attempts that may have run the request.
	Attempts int
	// Refusals bounds the attempts that did not run it.
	Refusals int
	// Repeatable tells whether a request that may have been run may be run again.
	Repeatable bool
	// Deadline is when no further attempt may begin; zero means never.
	Deadline time.Time
	// Budget grants one retry; nil means that every one is granted. It is not asked for the rest of a cut stream, nor
	// after the death of an engine: both take the place of lost work, and Attempts bounds them.
	Budget func() bool

	moves   int
	ran     int
	refused int
	unknown *outcome.Error
	last    *outcome.Error
}

// Forgive takes back the count of refusals, after a wait for an endpoint.
func (r *Retrier) Forgive() {
	r.refused = 0
}

// MayHaveRun tells whether an attempt so far may have run the request.
func (r *Retrier) MayHaveRun() bool {
	return r.unknown != nil
}

// Again takes the failure of an attempt and tells whether another one may begin.
func (r *Retrier) Again(err error, now time.Time) bool {
	o := asOutcome(err)
	r.last = o
	if o.Kind == outcome.NotRun && isOutdated(o.Reason) && r.moves < maxMoves {
		// The refusal corrects this host's view at no cost to an engine, so it takes nothing from the budget.
		r.moves++
		return r.Deadline.IsZero() || now.Before(r.Deadline)
	}
	if o.Kind == outcome.NotRun {
		r.refused++
	} else {
		r.ran++
		r.unknown = o
	}
	switch {
	case o.Final:
		return false
	case o.Kind != outcome.NotRun && !r.Repeatable:
		return false
	case r.ran >= r.Attempts || r.refused >= r.Refusals:
		return false
	case !r.Deadline.IsZero() && !now.Before(r.Deadline):
		return false
	}
	if o.Reason == outcome.Cut || o.Reason == outcome.EngineDied {
		return true
	}
	return r.Budget == nil || r.Budget()
}

// Final returns what the caller is told when no answer came. A request that may have been run in any attempt is never
// said to be not run. none is told when there was no attempt.
func (r *Retrier) Final(none *outcome.Error) *outcome.Error {
	switch {
	case r.unknown != nil:
		return r.unknown
	case r.last != nil:
		return r.last
	}
	return none
}

// isOutdated tells whether a refusal means that the endpoint's state was not known as it is.
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
