package loadverifier

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

const (
	// slack is left between the reads and a command for the closing of the gate and for calls that take longer than the
	// last ones.
	slack = 100 * time.Millisecond
	// maxReportAge is the maximum age of the report when the reads for a command begin.
	maxReportAge = time.Second
)

// attempt is the progress of the reads for one command. It fails when a read becomes too old before the others are made.
type attempt struct {
	// start and previous are when this attempt and the one before it began.
	start, previous time.Duration
	failures        int
	// unverified is the span that is commanded although its reads are too old.
	unverified span
}

// Next returns what is to be done next. It names one chunk at a time as long as calls are fast, and eight to be written or read
// side by side otherwise.
func (v *Verifier) Next(now time.Duration) Step {
	v.seen = max(v.seen, now)
	if len(v.chunks) == 0 || !v.isReportCurrent() || v.engine.report.Loading || v.awaitsEffect() {
		return Step{Kind: StepReport}
	}
	if v.engine.served.Release > v.served.Release {
		return Step{}
	}
	if unproven := v.unproven(); len(unproven) > 0 {
		return v.chunkStep(StepRead, unproven, len(unproven))
	}
	p := v.plan()
	switch {
	case p.isStuck:
		return Step{Kind: StepReport}
	case p.drops:
		return v.commandStep(p.kept)
	case p.missing() == 0:
		return Step{}
	}
	if unwritten := v.unwritten(p); len(unwritten) > 0 {
		return v.chunkStep(StepWrite, unwritten, len(v.chunksOf(p.limit, p.kept)))
	}
	return v.nextLoad(now, p)
}

// awaitsEffect reports whether the engine has answered a command that its reports don't show yet.
func (v *Verifier) awaitsEffect() bool {
	return slices.ContainsFunc(v.commands, func(c command) bool { return c.call.Result == Done })
}

// unproven returns the chunks that have to be read since a layer that the engine holds rests on them.
func (v *Verifier) unproven() []int {
	held := v.heldSpan()
	var out []int
	next := 0
	for layer := held.from; layer < held.to; layer++ {
		a := v.engine.held[layer]
		from, to := v.chunkRange(layer)
		if a.areSound(from, to) || a.isUnprovable(from, to, v.chunks) {
			continue
		}
		for i := max(from, next); i < to; i++ {
			if !a.evidence[i].isSound() {
				out = append(out, i)
			}
		}
		next = max(next, to)
	}
	return out
}

func (v *Verifier) unwritten(p plan) []int {
	return slices.DeleteFunc(v.chunksOf(p.limit, p.kept), func(i int) bool { return v.chunks[i].isStaged })
}

// Staged reports whether all chunks that the wanted layers need have been written.
func (v *Verifier) Staged() bool {
	if len(v.chunks) == 0 {
		return false
	}
	p := v.plan()
	return !p.drops && !p.isStuck && len(v.unwritten(p)) == 0
}

// nextLoad returns the reads for the next command, or the command.
func (v *Verifier) nextLoad(now time.Duration, p plan) Step {
	at := v.acceptedBy(now) + slack
	for layers := p.missing(); layers > 0; layers-- {
		s := p.extend(layers)
		chunks := v.chunksOf(s, p.kept)
		stale := v.stale(chunks, at)
		if len(stale) == 0 {
			return v.commandStep(s)
		}
		if layers > 1 && (layers > p.missing()>>max(0, v.attempt.failures-1) || v.pace.timeFor(len(chunks))+v.acceptedBy(0)+slack > maxAge) {
			continue
		}
		if v.fail(now, chunks, at) {
			return v.nextLoad(now, p)
		}
		stale = v.expiring(chunks, at)
		if layers == 1 && v.attempt.failures > 1 && !v.mayBeRepaired(chunks) {
			stale = slices.DeleteFunc(chunks, func(i int) bool { return v.chunks[i].isReadSince(v.attempt.previous) })
			if len(stale) == 0 {
				v.attempt.unverified = s
				return v.commandStep(s)
			}
		}
		if now-v.engine.call.Ended > maxReportAge && !v.isReadSinceReport(chunks) {
			return Step{Kind: StepReport}
		}
		return v.chunkStep(StepRead, stale, len(chunks))
	}
	return Step{}
}

// expiring returns the chunks that have to be read for a command, with those whose reads would be too old once the others
// have been read. Those whose reads are the oldest come first: if not all can be read in time, the same ones would be read
// over and over otherwise, and the attempt would never fail.
func (v *Verifier) expiring(chunks []int, at time.Duration) []int {
	out := v.stale(chunks, at)
	for {
		more := v.stale(chunks, at+v.pace.timeFor(len(out)))
		if len(more) <= len(out) {
			slices.SortStableFunc(out, func(a, b int) int { return cmp.Compare(v.chunks[a].read.Sent, v.chunks[b].read.Sent) })
			return out
		}
		out = more
	}
}

// acceptedBy returns when a command that is sent now is expected to be answered.
func (v *Verifier) acceptedBy(now time.Duration) time.Duration {
	return now + v.pace.callTime()
}

// fail reports whether the attempt has failed, and begins another one if so.
func (v *Verifier) fail(now time.Duration, chunks []int, at time.Duration) bool {
	hasExpired := slices.ContainsFunc(chunks, func(i int) bool {
		return v.chunks[i].isReadSince(v.attempt.start) && !v.chunks[i].isFresh(at)
	})
	if hasExpired {
		v.attempt.failures++
		v.attempt.previous, v.attempt.start = v.attempt.start, now
	}
	return hasExpired
}

func (v *Verifier) stale(chunks []int, at time.Duration) []int {
	var out []int
	for _, i := range chunks {
		if !v.chunks[i].isFresh(at) {
			out = append(out, i)
		}
	}
	return out
}

func (v *Verifier) mayBeRepaired(chunks []int) bool {
	return slices.ContainsFunc(chunks, func(i int) bool { return v.chunks[i].mayRepair })
}

func (v *Verifier) isReadSinceReport(chunks []int) bool {
	return slices.ContainsFunc(chunks, func(i int) bool { return v.chunks[i].isReadSince(v.engine.call.Sent) })
}

// chunkStep returns a step for the first of the chunks. all is the number of chunks that decides how many calls are made
// side by side.
func (v *Verifier) chunkStep(kind StepKind, chunks []int, all int) Step {
	n := v.pace.sideBySide(all)
	return Step{Kind: kind, Chunks: chunks[:min(n, len(chunks))], Parallel: n}
}

func (v *Verifier) commandStep(s span) Step {
	v.named = v.engine.accepted
	return Step{Kind: StepCommand, Layers: v.rangeOf(s), Accepted: v.named}
}

// MayCommand reports whether a command may be sent now. It is asked right before the command is sent, with the gate closed.
func (v *Verifier) MayCommand(now time.Duration, layers fleetconfig.LayerRange) bool {
	if len(v.chunks) == 0 || !v.isReportCurrent() || v.engine.report.Loading || v.awaitsEffect() {
		return false
	}
	s := v.spanOf(layers)
	return s == v.attempt.unverified || len(v.stale(v.chunksOf(s, v.heldSpan()), v.acceptedBy(now))) == 0
}
