package reporter

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/messages"
)

const (
	// pollInterval is how often the state is looked at.
	pollInterval = 100 * time.Millisecond
	// FullInterval is how often a full report is repeated to all targets, in case one has lost it.
	FullInterval = 5 * time.Minute
	// progressInterval is how often a full report is sent during a fetch, and while the host waits to switch sets.
	progressInterval = time.Second
	// greetInterval is how often an entry host that cannot be reached is tried.
	greetInterval = time.Second
	// minInterval is the shortest time between two loads.
	minInterval = 250 * time.Millisecond
	// nearInterval is the longest time between two loads to those kept up to date, also when nothing changes.
	nearInterval = 4 * time.Second
	// FarInterval is the time between two loads to the others.
	FarInterval = 30 * time.Second
	// loadStep is the part of the slots by which the running requests must change to be reported.
	loadStep = 8
)

type message int

const (
	nothing message = iota
	fullToAll
	fullToNear
	loadToAll
	loadToNear
)

// schedule decides what is sent when. The zero value has sent nothing. Full is the last full report to all targets and
// told the last to the near ones; far and near are the last messages of any kind.
type schedule struct {
	last messages.Report
	full time.Time
	told time.Time
	far  time.Time
	near time.Time
}

// next returns what is due, and takes it as sent.
func (s *schedule) next(r messages.Report, t Targets) message {
	now := time.Now()
	what := s.due(now, r, t)
	switch what {
	case fullToAll:
		s.full, s.told, s.far, s.near = now, now, now, now
	case loadToAll:
		s.far, s.near = now, now
	case fullToNear:
		s.told, s.near = now, now
	case loadToNear:
		s.near = now
	default:
		return nothing
	}
	s.last = r
	return what
}

func (s *schedule) due(now time.Time, r messages.Report, t Targets) message {
	age := now.Sub(s.near)
	switch {
	case urgent(s.last, r) || now.Sub(s.full) >= FullInterval:
		return fullToAll
	case progressed(s.last, r) && now.Sub(s.told) >= progressInterval:
		return fullToNear
	case now.Sub(s.far) >= FarInterval:
		return loadToAll
	case age >= nearInterval || moved(s.last, r) && age >= max(minInterval, t.Interval):
		return loadToNear
	}
	return nothing
}

// urgent tells whether entry hosts must learn of a change at once.
func urgent(old, now messages.Report) bool {
	return old.Birth != now.Birth || old.Open != now.Open || old.Leaving != now.Leaving || old.Set != now.Set ||
		old.Want != now.Want || old.Since != now.Since || old.Data != now.Data
}

// progressed tells whether a full report is due soon: of a fetch, or to be answered with the counts of a wave.
func progressed(old, now messages.Report) bool {
	waits := now.Open && now.Want != "" && now.Want != now.Set
	return waits || old.Chunks != now.Chunks || old.Total != now.Total
}

func moved(old, now messages.Report) bool {
	delta := now.Running - old.Running
	return max(delta, -delta) >= max(1, now.Slots/loadStep) || now.Slots != old.Slots || now.Offset != old.Offset
}
