package zonebalancer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
)

const (
	own, other, third ident.Zone = "own", "other", "third"
	pool              ident.Pool = "p"
	lastRound                    = 2
	usualRoundTrip               = 2 * time.Millisecond
)

func share(b *zonebalancer.Balancer, z ident.Zone) float64 {
	return b.Statuses()[z].Share
}

// Guards against requests that leave a zone which has room, and against a full zone that keeps querying its own endpoints.
func TestOwnZoneIsPreferredWhileItHasRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &zonebalancer.Balancer{Zone: own}
		is.True(b.PrefersOwn(pool, 0, lastRound, 0.99))
		is.True(b.PrefersOwn(pool, 1, lastRound, 0.99)) // nothing is known yet
		for range 50 {
			b.RecordSpare(pool, own, 0)
		}
		is.True(b.PrefersOwn(pool, 0, lastRound, 0.99))
		is.True(!b.PrefersOwn(pool, 1, lastRound, 0.99))
		is.True(b.PrefersOwn("another", 1, lastRound, 0.99)) // pools are told apart
		time.Sleep(10 * time.Second)                         // what was known has aged
		is.True(b.PrefersOwn(pool, 1, lastRound, 0.99))
		is.True(!b.PrefersOwn(pool, lastRound, lastRound, 0))
	})
}

// Guards against requests to a zone without spare capacity while another one has some.
func TestZonesAreWeightedBySpareCapacity(t *testing.T) {
	is := is.New(t)
	b := &zonebalancer.Balancer{Zone: own}
	for range 50 {
		b.RecordSpare(pool, other, 0.5)
		b.RecordSpare(pool, third, 0)
	}
	is.True(b.Weight(pool, other, 0.5) > 10*b.Weight(pool, third, 0.5))
	is.True(b.Weight(pool, third, 0.5) > 0)
}

// Guards against a zone that loses requests although its replies are lost, and against one that gets all of them back at
// once. The failure of a single responder must not reduce the share of its zone.
func TestLostRepliesReduceShareAndStepsReturnIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var changes []bool
		b := &zonebalancer.Balancer{Zone: own, OnLinkChange: func(z ident.Zone, isImpaired bool) {
			is.Equal(z, other)
			changes = append(changes, isImpaired)
		}}
		for range 100 {
			b.RecordRoundTrip(own, usualRoundTrip)
			for range 11 {
				b.RecordRoundTrip(other, usualRoundTrip)
			}
			b.RecordMissedReply(other)
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(share(b, other), 1.0)
		for range 10 {
			b.RecordMissedReply(other)
			time.Sleep(110 * time.Millisecond)
		}
		is.True(share(b, other) < 0.05)
		is.Equal(changes, []bool{true})
		for range 10 { // replies arrive again, and reduce the loss
			b.RecordRoundTrip(other, usualRoundTrip)
		}
		before := share(b, other)
		is.True(before < 0.6)
		for range 20 {
			time.Sleep(50 * time.Millisecond)
			b.RecordRoundTrip(other, usualRoundTrip)
			now := share(b, other)
			is.True(now <= before+0.5)
			before = now
		}
		is.Equal(before, 1.0)
		is.Equal(changes, []bool{true, false})
	})
}

// Guards against the delays of a host that is short of processor time being taken for those of a link.
func TestDelaysOfAllZonesDoNotReduceShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &zonebalancer.Balancer{Zone: own}
		record := func(ownTook, otherTook time.Duration) {
			for range 30 {
				time.Sleep(10 * time.Millisecond)
				b.RecordRoundTrip(own, ownTook)
				b.RecordRoundTrip(other, otherTook)
			}
		}
		record(200*time.Microsecond, usualRoundTrip)
		record(9*time.Millisecond, 11*time.Millisecond)
		is.Equal(share(b, other), 1.0)
		for range 20 {
			b.RecordMissedReply(own)
			b.RecordMissedReply(other)
		}
		is.Equal(share(b, other), 1.0)
	})
}

// Guards against requests that wait in the queue of a link whose bandwidth has shrunk.
func TestLongRoundTripsReduceShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &zonebalancer.Balancer{Zone: own}
		for range 50 {
			b.RecordRoundTrip(other, usualRoundTrip)
		}
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			b.RecordRoundTrip(other, usualRoundTrip+10*time.Millisecond)
		}
		is.True(share(b, other) < 0.5)
		margin, roundTrip := b.Margin(other)
		is.True(roundTrip > 10*time.Millisecond)
		is.True(margin > 30*time.Millisecond)
	})
}

// Guards against all requests of a zone returning at once after an evacuation, and against requests to an evacuated zone.
func TestEvacuatedZoneReturnsInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &zonebalancer.Balancer{Zone: own}
		b.RecordEvacuation(other, true)
		b.RecordEvacuation(own, true)
		time.Sleep(time.Minute)
		b.RecordReachable(other)
		b.RecordRoundTrip(other, usualRoundTrip)
		is.Equal(b.Weight(pool, other, 0), 0.0)
		is.True(!b.PrefersOwn(pool, 0, lastRound, 0))
		b.RecordEvacuation(other, false)
		b.RecordEvacuation(own, false)
		var draws int
		for range 9 {
			is.Equal(share(b, own), share(b, other))
			if b.PrefersOwn(pool, 0, lastRound, 0.5) {
				draws++
			}
			b.RecordRoundTrip(other, usualRoundTrip) // does not speed up the return
			time.Sleep(250 * time.Millisecond)
		}
		is.Equal(draws, 5) // the steps from 0.625 on
		is.Equal(share(b, own), 1.0)
		is.Equal(share(b, other), 1.0)
	})
}

// Guards against a zone that was cut off and is never queried again.
func TestCutOffZoneIsProbedAndReturnsInSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &zonebalancer.Balancer{Zone: own}
		b.RecordCutOff(other)
		is.True(b.Weight(pool, other, 0) > 0) // a probe
		is.Equal(b.Weight(pool, other, 0), 0.0)
		time.Sleep(250 * time.Millisecond)
		is.True(b.Weight(pool, other, 0) > 0)
		b.RecordReachable(other)
		is.Equal(share(b, other), 0.25)
		is.Equal(b.Weight(pool, other, 0.5), 0.0)
		is.True(b.Weight(pool, other, 0.2) > 0)
		b.RecordCutOff(own) // the endpoints of the own zone are probed by the host itself
		is.True(b.PrefersOwn(pool, 0, lastRound, 0.99))
	})
}

// Guards against metrics and log events that disagree with what was sent.
func TestSharesAndSpillEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var changes []bool
		b := &zonebalancer.Balancer{Zone: own, OnSpillChange: func(isSpilling bool) { changes = append(changes, isSpilling) }}
		assign := func(z ident.Zone, n int) {
			for range n {
				time.Sleep(10 * time.Millisecond)
				b.RecordAssigned(z)
			}
		}
		assign(own, 75)
		is.Equal(len(changes), 0)
		assign(other, 25)
		is.Equal(changes, []bool{true})
		is.True(b.Statuses()[other].Assigned > 0.24 && b.Statuses()[other].Assigned < 0.28)
		is.Equal(b.Statuses()[other].Share, 1.0)
		assign(own, 4000)
		is.Equal(changes, []bool{true, false})
	})
}
