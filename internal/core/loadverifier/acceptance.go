package loadverifier

import "time"

// acceptance is the moment at which the engine accepted a command, and what reads say about the chunks at that moment. It
// lies between sent, when the first command that may have been the accepted one was sent, and known, when it was known to
// have been accepted.
type acceptance struct {
	sent, known time.Duration
	evidence    []evidence
	// isTrusted says that a former agent has announced the layers as proven, or that nothing is known about them.
	isTrusted bool
	// isLost says that the layers can't be proven any more.
	isLost bool
}

// evidence is what is known about a chunk at the moment of an acceptance.
type evidence struct {
	// isProven says that the chunk has not been corrupt for longer than the users tolerate.
	isProven bool
	// needsCheck says that a write without an answer may have spoilt the chunk, so that it has to be read after the acceptance
	// too; isChecked says that it has been.
	needsCheck, isChecked bool
	// isFailed says that a read after the acceptance found the chunk corrupt.
	isFailed bool
}

func (e evidence) isSound() bool {
	return e.isProven && (!e.needsCheck || e.isChecked)
}

// newAcceptance returns an acceptance with the evidence of the newest read of each chunk.
func newAcceptance(sent, known time.Duration, chunks []chunk) *acceptance {
	a := &acceptance{sent: sent, known: known, evidence: make([]evidence, len(chunks))}
	for i := range chunks {
		a.evidence[i].needsCheck = chunks[i].maySpoil
		if chunks[i].read.Sent > never {
			a.recordRead(i, &chunks[i], chunks[i].read, true)
		}
	}
	return a
}

func (a *acceptance) recordRead(number int, c *chunk, r Call, intact bool) {
	if number >= len(a.evidence) {
		return
	}
	e := &a.evidence[number]
	isAfter := r.Sent >= a.known
	switch {
	case !intact:
		e.isFailed = e.isFailed || isAfter && !e.isSound()
	case r.Ended <= a.sent || !c.mayBeRepaired(a.sent):
		e.isProven = e.isProven || r.Sent >= a.known-maxAge
		e.isChecked = e.isChecked || isAfter
	default:
		e.isChecked = e.isChecked || isAfter
	}
}

// areSound reports whether all chunks of a range are proven.
func (a *acceptance) areSound(from, to int) bool {
	if a.isTrusted {
		return true
	}
	if a.isLost || to > len(a.evidence) {
		return false
	}
	for _, e := range a.evidence[from:to] {
		if !e.isSound() {
			return false
		}
	}
	return true
}

// isUnprovable reports whether no later read can prove one of the chunks.
func (a *acceptance) isUnprovable(from, to int, chunks []chunk) bool {
	if a.isTrusted {
		return false
	}
	if a.isLost || to > len(a.evidence) {
		return true
	}
	for i := from; i < to; i++ {
		e := a.evidence[i]
		if !e.isSound() && (e.isFailed || !e.isProven && chunks[i].mayBeRepaired(a.sent)) {
			return true
		}
	}
	return false
}
