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
	k.RecordNotSent()     // no slot
	is.True(!k.Seek(now.Add(attemptkeeper.RetryInterval / 2)))
	now = now.Add(attemptkeeper.RetryInterval)
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	k.RecordFailed(true, false) // reset by the other endpoint
	now = now.Add(attemptkeeper.RetryInterval)
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	is.True(k.RecordAccepted(false))
	is.True(!k.RecordProgress()) // too late: the request goes on there
	is.Equal(k.RecordEnd(false), attemptkeeper.Continue)

	k = &attemptkeeper.Keeper{Spares: 1}
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	is.True(k.RecordProgress()) // the endpoint was only silent
	is.True(!k.RecordAccepted(false))
	is.True(!k.Seek(now.Add(time.Second))) // two endpoints may have run it
	is.Equal(k.RecordEnd(false), attemptkeeper.Alone)
}

// Guards against a request that waits for another endpoint which stands still too, until its caller leaves.
func TestThirdEndpointIsSoughtIfTheSecondIsSilent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	k := &attemptkeeper.Keeper{Spares: 2}
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	now = now.Add(time.Second)
	is.True(!k.Seek(now)) // the second endpoint has the request
	k.RecordSuspect()
	is.True(k.Seek(now))
	is.True(k.RecordSent())
	k.RecordSuspect()
	is.True(!k.Seek(now.Add(time.Second))) // three endpoints may run it
	is.Equal(k.RecordEnd(false), attemptkeeper.Await)
	k.RecordFailed(true, true)
	is.True(k.Awaits())
	is.True(k.RecordAccepted(true))
	is.True(!k.Awaits())
}

// other is an attempt of the model at another endpoint.
type other struct{ isSuspect, isDropped bool }

// In any order of evidence, progress, responses and ends, an attempt ends by its own connection or after another endpoint has
// begun to respond, a further endpoint gets the request only if there is evidence against all that have it, no more than the
// spares may run it, and it goes on at exactly one.
func TestStateAttemptsEndOnTheirOwnEvidence(t *testing.T) {
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		now := time.Unix(0, 0)
		spares := rapid.IntRange(0, 3).Draw(rt, "spares")
		k := &attemptkeeper.Keeper{Spares: spares}
		var others []*other
		ran := 0
		var isSought, isSoughtDropped, hasHandedOver, hasEnded, isOver bool
		fail := func(text string) { rt.Fatalf("%s: %+v", text, *k) }
		pick := func() int { return rapid.IntRange(0, max(0, len(others)-1)).Draw(rt, "other") }
		for range rapid.IntRange(0, 80).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 7).Draw(rt, "event") {
			case 0: // indirect evidence against the endpoint of the attempt
				if !k.Seek(now) {
					continue
				}
				if isSought || hasHandedOver || isOver || hasEnded && len(others) == 0 || ran+len(others) >= spares {
					fail("another endpoint is sought")
				}
				for _, o := range others {
					if !o.isSuspect || o.isDropped {
						fail("another endpoint is sought although one has the request")
					}
				}
				isSought, isSoughtDropped = true, false
			case 1: // an endpoint was chosen, or none was found
				if !isSought {
					continue
				}
				isSought = false
				if rapid.Bool().Draw(rt, "found") {
					if sent := k.RecordSent(); sent == (isSoughtDropped || hasHandedOver) {
						fail("a request is sent although it goes on, or is not")
					} else if sent {
						others = append(others, &other{})
						continue
					}
				}
				k.RecordNotSent()
			case 2: // indirect evidence against another endpoint
				if len(others) > 0 {
					if o := others[pick()]; !o.isSuspect {
						o.isSuspect = true
						k.RecordSuspect()
					}
				}
			case 3, 4: // another endpoint refuses, fails, or begins to respond
				if len(others) == 0 {
					continue
				}
				i := pick()
				o := others[i]
				others = append(others[:i:i], others[i+1:]...)
				responds := rapid.Bool().Draw(rt, "responds")
				if !responds {
					mayHaveRun := rapid.Bool().Draw(rt, "ran")
					k.RecordFailed(mayHaveRun, o.isSuspect)
					if mayHaveRun {
						ran++
					}
					continue
				}
				ran++
				accepted := k.RecordAccepted(o.isSuspect)
				if accepted == (o.isDropped || hasHandedOver) {
					fail("the attempts are both passed on, or none")
				}
				hasHandedOver = hasHandedOver || accepted
			case 5: // the endpoint sends something
				if !hasEnded && k.RecordProgress() {
					if !isSought && len(others) == 0 || hasHandedOver {
						fail("an attempt is ended that does not exist or has taken over")
					}
					isSoughtDropped = true
					for _, o := range others {
						o.isDropped = true
					}
				}
			default:
				if hasEnded {
					continue
				}
				hasEnded = true
				isStopped := rapid.Bool().Draw(rt, "isStopped")
				isAwaited := isSought && !isSoughtDropped || len(others) > 0 && !others[0].isDropped
				want := attemptkeeper.Alone
				switch {
				case isStopped:
					want = attemptkeeper.Stop
				case hasHandedOver:
					want = attemptkeeper.Continue
				case isAwaited:
					want = attemptkeeper.Await
				}
				if want == attemptkeeper.Stop || want == attemptkeeper.Alone {
					isOver, isSoughtDropped = true, true
					for _, o := range others {
						o.isDropped = true
					}
				}
				if got := k.RecordEnd(isStopped); got != want {
					fail("wrong end")
				}
			}
			if hasEnded && !hasHandedOver && !isSought && len(others) == 0 {
				isOver = true
			}
			if k.Awaits() != (hasEnded && !hasHandedOver && !isOver) {
				fail("the request waits for nothing, or does not wait")
			}
			if ran > spares {
				fail("too many endpoints may have run the request")
			}
		}
	})
}
