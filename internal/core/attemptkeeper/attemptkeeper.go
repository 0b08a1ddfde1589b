// Package attemptkeeper decides when an attempt of a request that is open at an endpoint ends.
//
// The connection of the attempt says itself when the endpoint is gone: it is reset or ends. Everything else, such as a
// failed connection of somebody else or silence, is indirect evidence: the endpoint may be leaving, be full, or stand still
// for a second. Such evidence only starts the search for another endpoint. The attempt is kept until that one has begun to
// respond, and goes on if that one refuses.
package attemptkeeper

import "time"

// RetryInterval is the least time between two searches for another endpoint. Slots become free at the ends of passes of an
// engine, a few times in this period.
const RetryInterval = 150 * time.Millisecond

// End says how a request goes on after its attempt has ended.
type End int

// Ends of attempts.
const (
	// Alone means that no other endpoint has the request.
	Alone End = iota
	// Await means that another endpoint has the request, or is getting it, and has not responded yet.
	Await
	// Continue means that another endpoint has begun to respond, where the request goes on.
	Continue
	// Stop means that the request is over. An attempt at another endpoint must be ended.
	Stop
)

type phase int

const (
	// idle: no other endpoint is sought.
	idle phase = iota
	// seeking: another endpoint is sought or chosen, and does not have the request.
	seeking
	// sent: another endpoint may have the request.
	sent
	// handedOver: another endpoint has begun to respond, and the attempt ends or has ended.
	handedOver
	// over: the attempt has ended, and no other endpoint is to continue the request.
	over
)

// Keeper decides about one open attempt, and the one at another endpoint that may take its place. It is not safe for
// concurrent use.
type Keeper struct {
	// Spares is the number of further endpoints that may run the request.
	Spares int

	phase    phase
	soughtAt time.Time
	// isDropped says that the other attempt must not take the place of this one any more, and hasEnded that this one has
	// ended.
	isDropped, hasEnded bool
}

// CanSeek reports whether another endpoint may be sought.
func (k *Keeper) CanSeek(now time.Time) bool {
	return k.phase == idle && k.Spares > 0 && (k.soughtAt.IsZero() || now.Sub(k.soughtAt) >= RetryInterval)
}

// Seek records that another endpoint is sought because of indirect evidence, and reports whether it may be.
func (k *Keeper) Seek(now time.Time) bool {
	if !k.CanSeek(now) {
		return false
	}
	k.phase, k.soughtAt, k.isDropped = seeking, now, false
	return true
}

// RecordSent records that the request is about to be sent to another endpoint, and reports whether it may be.
func (k *Keeper) RecordSent() bool {
	if k.phase != seeking || k.isDropped {
		return false
	}
	k.phase = sent
	return true
}

// RecordFailed records that no other endpoint was found, or that the other endpoint has refused the request or failed. The
// attempt is kept. mayHaveRun says that the other endpoint may have run the request.
func (k *Keeper) RecordFailed(mayHaveRun bool) {
	if mayHaveRun {
		k.Spares--
	}
	if k.phase == seeking || k.phase == sent {
		k.phase = idle
	}
	if k.hasEnded {
		k.phase = over
	}
}

// RecordAccepted records that another endpoint has begun to respond, and reports whether the request goes on there. If so,
// the attempt ends. Otherwise the other one must be ended.
func (k *Keeper) RecordAccepted() bool {
	if k.phase != sent || k.isDropped {
		k.RecordFailed(true)
		return false
	}
	k.phase = handedOver
	return true
}

// RecordProgress records that the endpoint of the attempt has sent a part of the response, and reports whether an attempt at
// another endpoint must be ended, since this one goes on.
func (k *Keeper) RecordProgress() bool {
	if k.phase != seeking && k.phase != sent || k.isDropped {
		return false
	}
	k.isDropped = true
	return true
}

// RecordEnd records that the attempt has ended, by its own connection, by a handover, or because the request is over: it has
// been served, its caller has left, or it cannot be served in time. It returns how the request goes on.
func (k *Keeper) RecordEnd(isOver bool) End {
	k.hasEnded = true
	switch {
	case isOver:
		k.phase, k.isDropped = over, true
		return Stop
	case k.phase == handedOver:
		return Continue
	case k.phase == sent && !k.isDropped, k.phase == seeking && !k.isDropped:
		return Await
	default:
		k.phase, k.isDropped = over, true
		return Alone
	}
}
