// Package stalldetector decides when an endpoint stands still, from what it sends and from the replies of the process beside
// it.
//
// It is built for hosts whose processes stop for some seconds while their system still accepts connections. Then neither the
// endpoint nor the process beside it sends anything. A process beside the endpoint that replies shows that the host runs:
// then only a silence that no sound endpoint needs counts. Where there is no such process, that rule is the only one.
package stalldetector

import "time"

const (
	// QuestionSilence is for how long an endpoint that owes a response sends nothing before the process beside it is asked
	// whether the host runs. It is a quarter of the shortest time that callers wait for an event.
	QuestionSilence = 100 * time.Millisecond
	// QuestionInterval is the time between two questions until there is a verdict.
	QuestionInterval = 25 * time.Millisecond
	// verdictInterval is the time between two questions after it.
	verdictInterval = 250 * time.Millisecond
	// hostSilence is for how long questions get no reply from a host that stands still, and minQuestions their least number:
	// a link that loses one packet in thirty loses as many in sequence less than once in ten thousand times.
	hostSilence  = 100 * time.Millisecond
	minQuestions = 4
	// endpointSilence is for how long a response is overdue at an endpoint that stands still by itself. A sound one may fall
	// silent for a second or so.
	endpointSilence = 1500 * time.Millisecond
	// idleHostSilence replaces hostSilence where this host expects no response, so that nothing else speaks against the endpoint.
	idleHostSilence = 150 * time.Millisecond
	// doubtDelay is how long a question waits for its reply before other endpoints are preferred.
	doubtDelay = 15 * time.Millisecond
	// minOverdue is how much later than expected a response must be before an endpoint counts as standing still.
	minOverdue = 50 * time.Millisecond
)

// Detector holds what is known of one endpoint. The zero value is that of an endpoint of which nothing is known. It is not
// safe for concurrent use.
type Detector struct {
	// heardAt is when the endpoint last sent something.
	heardAt time.Time
	// firstAskedAt and lastAskedAt are the times of the first and the last question since the last reply, and questions their
	// number.
	firstAskedAt, lastAskedAt time.Time
	questions                 int
	verdict                   verdict
	// hostRanAt is when the process beside the endpoint replied after the host had stood still.
	hostRanAt time.Time
	// isAlone says that the endpoint sends while the process beside it does not reply, so that questions say nothing.
	isAlone bool
}

// verdict says what stands still.
type verdict int

const (
	nothing verdict = iota
	host
	endpoint
)

// RecordHeard records that the endpoint has sent something, which shows that it runs.
func (d *Detector) RecordHeard(now time.Time) {
	if d.verdict == host || d.questions >= minQuestions && now.Sub(d.firstAskedAt) >= hostSilence {
		d.isAlone = true
	}
	d.heardAt, d.verdict = now, nothing
	d.forgetQuestions()
}

// RecordQuestion records a question to the process beside the endpoint.
func (d *Detector) RecordQuestion(now time.Time) {
	if d.questions == 0 {
		d.firstAskedAt = now
	}
	d.questions++
	d.lastAskedAt = now
}

// RecordReply records a reply of the process beside the endpoint.
func (d *Detector) RecordReply(now time.Time) {
	if d.verdict == host {
		d.verdict, d.hostRanAt = nothing, now
	}
	d.isAlone = false
	d.forgetQuestions()
	d.lastAskedAt = now
}

func (d *Detector) forgetQuestions() {
	d.firstAskedAt, d.questions = time.Time{}, 0
}

// Forget drops what speaks against the endpoint. It is called after this host has not run for a while, during which nothing
// could be received.
func (d *Detector) Forget(now time.Time) {
	d.forgetQuestions()
	d.verdict = nothing
	if !d.heardAt.IsZero() {
		d.heardAt = now
	}
}

// Silence returns for how long the endpoint has sent nothing; zero if it has never sent anything.
func (d *Detector) Silence(now time.Time) time.Duration {
	if d.heardAt.IsZero() {
		return 0
	}
	return now.Sub(d.heardAt)
}

// NeedsQuestion reports whether the process beside the endpoint should be asked now. The silence is counted from waitingSince at
// the earliest, when the first of the requests in flight was sent; the zero time if there is none.
func (d *Detector) NeedsQuestion(now, waitingSince time.Time) bool {
	if d.IsStill() {
		return now.Sub(d.lastAskedAt) >= verdictInterval
	}
	switch {
	case d.isAlone:
		return now.Sub(d.lastAskedAt) >= verdictInterval
	case d.IsDoubtful(now):
		return now.Sub(d.lastAskedAt) >= QuestionInterval
	case waitingSince.IsZero() || now.Sub(latest(d.heardAt, waitingSince)) < QuestionSilence:
		return false
	default:
		return now.Sub(d.lastAskedAt) >= QuestionSilence // the last question had a reply, or waits for it
	}
}

// NextCheck returns the time until the next question may be due.
func (d *Detector) NextCheck(now, waitingSince time.Time) time.Duration {
	switch {
	case d.IsStill() || d.IsDoubtful(now):
		return QuestionInterval
	case waitingSince.IsZero():
		return QuestionSilence
	default:
		return QuestionSilence - now.Sub(latest(d.lastAskedAt, latest(d.heardAt, waitingSince)))
	}
}

// IsDoubtful reports whether other endpoints should be preferred: the last question has no reply, and the endpoint has sent
// nothing since the first one.
func (d *Detector) IsDoubtful(now time.Time) bool {
	return d.questions > 0 && !d.isAlone && now.Sub(d.firstAskedAt) >= doubtDelay
}

// IsDue reports whether a request may ask the process beside the endpoint. While its host is doubtful, that costs the request time
// and a candidate.
func (d *Detector) IsDue(now time.Time) bool {
	return !d.IsDoubtful(now) || now.Sub(d.lastAskedAt) >= verdictInterval
}

// IsStill reports whether the endpoint stands still by the last check.
func (d *Detector) IsStill() bool {
	return d.verdict != nothing
}

// Check decides whether the endpoint stands still. owedSince is the time by which it should have sent the next of the
// responses that this host expects; the zero time if none is expected. canHold says that the endpoint is known to hold
// requests, as one that loads weights does. An endpoint that stands still does so until it sends something, or the process
// beside it replies.
func (d *Detector) Check(now, owedSince time.Time, canHold bool) (isStill bool) {
	isSilent := func(least time.Duration) bool {
		return d.questions >= minQuestions && !d.isAlone && now.Sub(d.firstAskedAt) >= least
	}
	overdue := now.Sub(latest(owedSince, latest(d.heardAt, d.hostRanAt)))
	switch {
	case d.IsStill():
	case owedSince.IsZero():
		if isSilent(idleHostSilence) {
			d.verdict = host
		}
	case overdue < minOverdue:
	case isSilent(hostSilence):
		d.verdict = host
	case overdue >= endpointSilence && !canHold:
		d.verdict = endpoint
	}
	return d.IsStill()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
