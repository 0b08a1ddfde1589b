package reporter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// pollInterval is the time between two reads of the host's state.
	pollInterval = 100 * time.Millisecond
	// FullReportInterval is the time after which a full report is repeated to all targets, in case one has lost it.
	FullReportInterval = 5 * time.Minute
	// progressInterval is the time between full reports during a fetch, and while the host waits to switch weight sets.
	progressInterval = time.Second
	// retryInterval is the time between attempts to send a full report to an entry host that cannot be reached.
	retryInterval = time.Second
	// minLoadInterval is the minimum time between two load messages to near targets.
	minLoadInterval = 250 * time.Millisecond
	// maxNearInterval is the maximum time between two messages to near targets, even if the load does not change.
	maxNearInterval = 4 * time.Second
	// MaxFarInterval is the maximum time between two messages to all targets.
	MaxFarInterval = 30 * time.Second
	// loadStepDivisor sets the load change that is reported: a change of the requests in flight by at least the slots
	// divided by it.
	loadStepDivisor = 8
)

// messageKind is a kind of message and the targets that it is sent to.
type messageKind int

const (
	nothing messageKind = iota
	fullToAll
	fullToNear
	loadToAll
	loadToNear
)

// schedule decides which message is due. The zero value has sent nothing.
type schedule struct {
	lastReport messages.Report
	// fullToAllSent is when the last full report was sent to all targets, fullSent when the last was sent to the near
	// targets or to all.
	fullToAllSent time.Time
	fullSent      time.Time
	// farSent and nearSent are when the last message of any kind was sent to all targets and to the near targets.
	farSent  time.Time
	nearSent time.Time
}

// next returns the message that is due and records it as sent.
func (s *schedule) next(r messages.Report, t Targets) messageKind {
	now := time.Now()
	kind := s.due(now, r, t)
	switch kind {
	case fullToAll:
		s.fullToAllSent, s.fullSent, s.farSent, s.nearSent = now, now, now, now
	case loadToAll:
		s.farSent, s.nearSent = now, now
	case fullToNear:
		s.fullSent, s.nearSent = now, now
	case loadToNear:
		s.nearSent = now
	default:
		return nothing
	}
	s.lastReport = r
	return kind
}

func (s *schedule) due(now time.Time, r messages.Report, t Targets) messageKind {
	sinceNear := now.Sub(s.nearSent)
	switch {
	case isUrgent(s.lastReport, r) || now.Sub(s.fullToAllSent) >= FullReportInterval:
		return fullToAll
	case needsFullReport(s.lastReport, r) && now.Sub(s.fullSent) >= progressInterval:
		return fullToNear
	case now.Sub(s.farSent) >= MaxFarInterval:
		return loadToAll
	case sinceNear >= maxNearInterval || loadChanged(s.lastReport, r) && sinceNear >= max(minLoadInterval, t.MinLoadInterval):
		return loadToNear
	}
	return nothing
}

// isUrgent reports whether all entry hosts must receive a change immediately.
func isUrgent(old, now messages.Report) bool {
	return old.StartTime != now.StartTime || old.GateOpen != now.GateOpen || old.Leaving != now.Leaving || old.ServedSet != now.ServedSet ||
		old.AssignedSet != now.AssignedSet || old.AssignedSince != now.AssignedSince || old.DataAddress != now.DataAddress
}

// needsFullReport reports whether full reports are due at progressInterval: the fetch has progressed, or the host waits
// to switch weight sets and needs the replica counts that entry hosts return for a full report.
func needsFullReport(old, now messages.Report) bool {
	isWaiting := now.GateOpen && now.AssignedSet != "" && now.AssignedSet != now.ServedSet
	return isWaiting || old.HeldChunks != now.HeldChunks || old.TotalChunks != now.TotalChunks
}

// loadChanged reports whether the load has changed enough to be sent.
func loadChanged(old, now messages.Report) bool {
	delta := now.InFlight - old.InFlight
	return max(delta, -delta) >= max(1, now.Slots/loadStepDivisor) || now.Slots != old.Slots || now.Offset != old.Offset
}
