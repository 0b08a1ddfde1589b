package engineagent

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

const (
	// paceInterval is the time between two reads of the pace: a sixth of the shortest slow phase of known engines.
	paceInterval = 100 * time.Millisecond
	// maxPaceAge is the age from which a pace is not stated any more, because the engine does not respond.
	maxPaceAge = time.Second
)

// enginePace is the pace that the engine has reported.
type enginePace struct {
	value float64
	at    time.Time
}

// recordPace records the pace of a report that was asked for at a time.
func (h *Agent) recordPace(r rolloutplanner.Report, askedAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pace = enginePace{value: r.Slowdown, at: askedAt}
}

// currentPace returns the pace to state in replies, or nil if the engine does not state one.
func (h *Agent) currentPace() *assigner.Pace {
	h.mu.Lock()
	defer h.mu.Unlock()
	age := time.Since(h.pace.at)
	if h.pace.value <= 0 || age > maxPaceAge {
		return nil
	}
	return &assigner.Pace{Value: float32(h.pace.value), AgeMs: uint32(age.Milliseconds())}
}

// followPace reads the engine's report often while the engine states a pace.
func (h *Agent) followPace(ctx context.Context) error {
	for {
		pause := reportInterval
		h.mu.Lock()
		if h.pace.value > 0 {
			pause = paceInterval
		}
		h.mu.Unlock()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		if pause == paceInterval {
			// An engine that does not respond states no pace; the reconciliation logs it.
			_, _ = h.readReport(ctx)
		}
	}
}
