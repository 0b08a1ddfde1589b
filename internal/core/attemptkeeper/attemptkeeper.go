// Package attemptkeeper decides when an attempt of a request that is open at an endpoint ends.
//
// The connection of the attempt says itself when the endpoint is gone: it is reset or ends. Everything else, such as a
// failed connection of somebody else or silence, is indirect evidence: the endpoint may be leaving, be full, or stand still
// for a second. Such evidence only starts the search for another endpoint. The attempt is kept until that one has begun to
// respond, and goes on if that one refuses. The same holds for the attempt there: if it is silent as well, a third endpoint is
// sought, and both are kept until it has begun to respond.
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

// Keeper decides about one open attempt, and those at other endpoints that may take its place. It is not safe for concurrent
// use.
type Keeper struct {
	// Spares is the number of further endpoints that may run the request.
	Spares int

	soughtAt time.Time
	// isSeeking says that another endpoint is sought or chosen, and does not have the request.
	isSeeking bool
	// open is the number of other endpoints that may have the request and have not responded, and suspects the number of
	// those among them that may be gone or stand still.
	open, suspects int
	// isHandedOver says that another endpoint has begun to respond, and isOver that no other one is to continue the request.
	isHandedOver, isOver bool
	// isDropped says that the other attempts must not take the place of this one any more, and hasEnded that this one has
	// ended.
	isDropped, hasEnded bool
}

// CanSeek reports whether another endpoint may be sought. While other endpoints have the request, only if there is evidence
// against each of them as well.
func (k *Keeper) CanSeek(now time.Time) bool {
	switch {
	case k.isSeeking || k.isHandedOver || k.isOver || k.isDropped && k.open > 0 || k.hasEnded && k.open == 0:
		return false
	case k.open > k.suspects || k.Spares <= k.open:
		return false
	default:
		return k.soughtAt.IsZero() || now.Sub(k.soughtAt) >= RetryInterval
	}
}

// Seek records that another endpoint is sought because of indirect evidence, and reports whether it may be.
func (k *Keeper) Seek(now time.Time) bool {
	if !k.CanSeek(now) {
		return false
	}
	k.isSeeking, k.soughtAt, k.isDropped = true, now, false
	return true
}

// RecordNotSent records that no other endpoint was found, or that the request was not sent to it.
func (k *Keeper) RecordNotSent() {
	k.isSeeking = false
	k.settle()
}

// RecordSent records that the request is about to be sent to another endpoint, and reports whether it may be.
func (k *Keeper) RecordSent() bool {
	if !k.isSeeking || k.isDropped || k.isHandedOver {
		return false
	}
	k.isSeeking = false
	k.open++
	return true
}

// RecordSuspect records that there is indirect evidence against another endpoint that has the request. It must be called once
// for each.
func (k *Keeper) RecordSuspect() {
	k.suspects++
}

// RecordFailed records that another endpoint has refused the request or failed. The attempt is kept. mayHaveRun says that the
// other endpoint may have run the request, and isSuspect that RecordSuspect was called for it.
func (k *Keeper) RecordFailed(mayHaveRun, isSuspect bool) {
	k.close(isSuspect)
	if mayHaveRun {
		k.Spares--
	}
	k.settle()
}

// RecordAccepted records that another endpoint has begun to respond, and reports whether the request goes on there. If so,
// this attempt and all others end. Otherwise the other one must be ended.
func (k *Keeper) RecordAccepted(isSuspect bool) bool {
	if k.isDropped || k.isHandedOver || k.isOver {
		k.RecordFailed(true, isSuspect)
		return false
	}
	k.close(isSuspect)
	k.isHandedOver = true
	return true
}

// RecordProgress records that the endpoint of the attempt has sent a part of the response, and reports whether attempts at
// other endpoints must be ended, since this one goes on.
func (k *Keeper) RecordProgress() bool {
	if !k.isSeeking && k.open == 0 || k.isDropped || k.isHandedOver {
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
		k.isOver, k.isDropped = true, true
		return Stop
	case k.isHandedOver:
		return Continue
	case (k.isSeeking || k.open > 0) && !k.isDropped:
		return Await
	default:
		k.isOver, k.isDropped = true, true
		return Alone
	}
}

// Awaits reports whether the attempt has ended and another endpoint may still begin to respond.
func (k *Keeper) Awaits() bool {
	return k.hasEnded && !k.isHandedOver && !k.isOver
}

func (k *Keeper) close(isSuspect bool) {
	k.open--
	if isSuspect {
		k.suspects--
	}
}

// settle ends the wait for other endpoints when there is none left.
func (k *Keeper) settle() {
	if k.hasEnded && !k.isSeeking && k.open == 0 && !k.isHandedOver {
		k.isOver = true
	}
}
