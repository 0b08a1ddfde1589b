package relocator_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/relocator"
)

// A request that is late, or less urgent, took the retry of one that could still be in time.
func TestLateRequestTakesRetryOfOneInTime(t *testing.T) {
	const ms = time.Millisecond
	is := is.New(t)
	base := relocator.Request{CanMove: true, EventLeft: 3000 * ms, DeadlineLeft: 5000 * ms, FirstEvent: 150 * ms, NextEvent: 50 * ms, Completion: 900 * ms}
	var requests []relocator.Request
	for i, change := range []func(r *relocator.Request){
		func(r *relocator.Request) { r.TimeLeft = -100 * ms },                        // late
		func(r *relocator.Request) { r.TimeLeft, r.Rank = 180*ms, 1 },                // less urgent
		func(r *relocator.Request) { r.TimeLeft = 190 * ms },                         // the last moment
		func(r *relocator.Request) { r.TimeLeft = 300 * ms },                         // there is time
		func(r *relocator.Request) { r.TimeLeft, r.CanMove = 180*ms, false },         // at most once
		func(r *relocator.Request) { r.TimeLeft, r.WasLate = -100*ms, true },         // was late before
		func(r *relocator.Request) { r.TimeLeft, r.EventLeft = -3000*ms, 60*ms },     // the caller is about to leave
		func(r *relocator.Request) { r.TimeLeft, r.DeadlineLeft = -3000*ms, 900*ms }, // its end would come too late
	} {
		r := base
		r.Index = i
		change(&r)
		requests = append(requests, r)
	}
	is.Equal(relocator.Decide(requests, 10), relocator.Plan{Moves: []int{2, 1, 0}, Ends: []int{6, 7}})
	is.Equal(relocator.Decide(requests, 1).Moves, []int{2})
	is.Equal(len(relocator.Decide(requests, 0).Moves), 0)
}
