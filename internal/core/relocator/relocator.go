// Package relocator decides which requests in flight leave an endpoint that stands still, when, in which order, and which are
// ended because they cannot be served in time any more.
//
// It is built for endpoints that stand still for some seconds, while the others have to serve the requests that arrive and
// those that leave. How long it will last is not known. A request therefore leaves at the last moment at which another
// endpoint can serve it in time: one that the endpoint still serves in time after a short standstill stays. Those
// in time leave before those that are late, and the more urgent ones first.
package relocator

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/attemptkeeper"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const (
	// Interval is the time between two decisions.
	Interval = 25 * time.Millisecond
	// RetryInterval is the least time between two attempts to find another endpoint for a request.
	RetryInterval = attemptkeeper.RetryInterval
	// searchTime is the time that it takes to find an endpoint and to reach it.
	searchTime = 20 * time.Millisecond
)

// Request is a request in flight at an endpoint that stands still.
type Request struct {
	// Index identifies the request.
	Index int
	Rank  ident.Rank
	// CanMove says that another endpoint may run the request, and that none is being sought for it.
	CanMove bool
	// WasLate says that the request was late before its endpoint stood still.
	WasLate bool
	// TimeLeft is the time until the next event is late. EventLeft is that until the caller leaves if it gets no event, and
	// DeadlineLeft that until it leaves in any case.
	TimeLeft, EventLeft, DeadlineLeft time.Duration
	// FirstEvent is the time to the first event at another endpoint that has room. NextEvent and Completion are the least times
	// to the next event and to the end of the response at any endpoint, its own included; zero if they are unknown.
	FirstEvent, NextEvent, Completion time.Duration
}

// Plan is what to do with the requests, by their indexes. The others stay.
type Plan struct {
	// Moves lists those that another endpoint is sought for, in this order.
	Moves []int
	// Ends lists those that cannot be served any more.
	Ends []int
}

// Decide returns the plan for the requests of one host, given the retries that it may make.
func Decide(requests []Request, retries int) Plan {
	var plan Plan
	var due []Request
	for _, r := range requests {
		switch {
		case r.servableLeft() <= Interval:
			plan.Ends = append(plan.Ends, r.Index)
		case r.CanMove && r.isDue():
			due = append(due, r)
		}
	}
	slices.SortStableFunc(due, compare)
	for _, r := range due[:min(max(0, retries), len(due))] {
		plan.Moves = append(plan.Moves, r.Index)
	}
	return plan
}

// servableLeft returns the time after which no endpoint can serve the request before its caller leaves, not even its own.
func (r *Request) servableLeft() time.Duration {
	return min(r.EventLeft-r.NextEvent, r.DeadlineLeft-r.Completion)
}

// isLate reports whether the next event is late even if another endpoint is sought now.
func (r *Request) isLate() bool {
	return r.TimeLeft < r.FirstEvent+searchTime
}

// isDue reports whether the request leaves now.
func (r *Request) isDue() bool {
	switch {
	case r.WasLate:
		// Waiting costs its caller nothing until the response would come after the caller has left.
		return r.servableLeft()-max(0, r.FirstEvent-r.NextEvent)-searchTime <= RetryInterval
	case r.isLate():
		return true
	default:
		return r.TimeLeft-r.FirstEvent-searchTime <= Interval
	}
}

// compare orders the requests that leave.
func compare(a, b Request) int {
	if aLate, bLate := a.isLate(), b.isLate(); aLate != bLate {
		if aLate {
			return 1
		}
		return -1
	} else if aLate {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.servableLeft(), b.servableLeft()))
	}
	return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.TimeLeft, b.TimeLeft))
}
