package attemptkeeper_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/attemptkeeper"
	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

// Guards against an attempt that is ended although its connection is open and no other endpoint has the request.
func TestAttemptIsKeptUntilAnotherEndpointResponds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	k := &attemptkeeper.Keeper{Spares: 2}
	is.True(k.Seek(now))
	is.True(!k.Seek(now)) // one search at a time
	k.RecordFailed(false) // no slot
	is.True(!k.Seek(now.Add(attemptkeeper.RetryInterval / 2)))
	now = now.Add(attemptkeeper.RetryInterval)
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	k.RecordFailed(true) // reset by the other endpoint
	now = now.Add(attemptkeeper.RetryInterval)
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	is.True(k.RecordAccepted())
	is.True(!k.RecordProgress()) // too late: the request goes on there
	is.Equal(k.RecordEnd(false), attemptkeeper.Continue)

	k = &attemptkeeper.Keeper{Spares: 1}
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	is.True(k.RecordProgress()) // the endpoint was only silent
	is.True(!k.RecordAccepted())
	is.True(!k.Seek(now.Add(time.Second))) // two endpoints may have run it
	is.Equal(k.RecordEnd(false), attemptkeeper.Alone)
}

// In any order of evidence, progress, responses and ends, an attempt ends by its own connection or after another endpoint has
// begun to respond, at most one other endpoint has the request, and the request goes on at exactly one.
func TestStateAttemptsEndOnTheirOwnEvidence(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		now := time.Unix(0, 0)
		spares := rapid.IntRange(0, 3).Draw(rt, "spares")
		k := &attemptkeeper.Keeper{Spares: spares}
		mayHaveRun := 0
		var isSought, isSent, isDropped, hasHandedOver, hasEnded, isAwaited bool
		fail := func(text string) { rt.Fatalf("%s: %+v", text, *k) }
		for range rapid.IntRange(0, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0: // indirect evidence
				if k.Seek(now) {
					if isSought || hasEnded || hasHandedOver || mayHaveRun >= spares {
						fail("another endpoint is sought")
					}
					isSought, isSent, isDropped = true, false, false
				}
			case 1: // an endpoint was chosen
				if isSought && !isSent {
					if isSent = k.RecordSent(); isSent == isDropped {
						fail("a request is sent although it goes on, or is not")
					} else if !isSent {
						k.RecordFailed(false)
						isSought = false
					}
				}
			case 2: // the other endpoint refuses, or fails
				if isSought {
					ran := isSent && rapid.Bool().Draw(rt, "ran")
					k.RecordFailed(ran)
					if ran {
						mayHaveRun++
					}
					isSought, isAwaited = false, false
				}
			case 3: // the other endpoint begins to respond
				if isSent && isSought {
					mayHaveRun++
					accepted := k.RecordAccepted()
					if accepted == isDropped {
						fail("the attempts are both passed on, or none")
					}
					isSought, hasHandedOver, isAwaited = false, hasHandedOver || accepted, false
				}
			case 4: // the endpoint sends something
				if !hasEnded && k.RecordProgress() {
					if !isSought || hasHandedOver {
						fail("an attempt is ended that does not exist or has taken over")
					}
					isDropped = true
				}
			default:
				if hasEnded {
					continue
				}
				hasEnded = true
				isOver := rapid.Bool().Draw(rt, "isOver")
				want := attemptkeeper.Alone
				switch {
				case isOver:
					want, isDropped = attemptkeeper.Stop, true
				case hasHandedOver:
					want = attemptkeeper.Continue
				case isSought && !isDropped:
					want, isAwaited = attemptkeeper.Await, true
				default:
					isDropped = true
				}
				if got := k.RecordEnd(isOver); got != want {
					fail("wrong end")
				}
			}
			if mayHaveRun > spares {
				fail("too many endpoints may have run the request")
			}
		}
		if isAwaited && !isSought {
			fail("the request waits for nothing")
		}
	})
}
