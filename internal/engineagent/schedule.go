package engineagent

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/releasescheduler"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// newerPollInterval is the time between two checks of the progress of a newer release while an engine waits for its turn.
const newerPollInterval = 50 * time.Millisecond

func (h *Agent) newMeter(s fleetconfig.ServedModel) *releasescheduler.Meter {
	return releasescheduler.NewMeter(func() float64 { return h.Replicator.HeldShare(s) })
}

// middleRelease returns the newest release between the served and the newest one that may still be served for some time;
// zero if there is none.
func (h *Agent) middleRelease(newest fleetconfig.ServedModel, served fleetconfig.Release) fleetconfig.ServedModel {
	n := h.tracker.Between(newest.Model, served, newest.Release)
	if n == 0 || !time.Now().Before(h.tracker.BeginDeadline(newest.Model, n)) {
		return fleetconfig.ServedModel{}
	}
	return fleetconfig.ServedModel{Model: newest.Model, Release: n}
}

// nextRelease returns the release to fetch and load next. It is the newest, unless a release between it and the served one
// is complete first, or the newest does not arrive.
func (h *Agent) nextRelease(newest fleetconfig.ServedModel, served fleetconfig.Release) fleetconfig.ServedModel {
	middle := h.middleRelease(newest, served)
	if middle.Release == 0 || h.Replicator.HeldShare(newest) >= 1 {
		return newest
	}
	if h.Replicator.HeldShare(middle) >= 1 || h.stalled == newest {
		return middle
	}
	return newest
}

// fetchStop returns a function that reports whether the fetch of a release is to end because another release comes first.
func (h *Agent) fetchStop(s fleetconfig.ServedModel, served fleetconfig.Release) func() bool {
	meter := h.newMeter(s)
	return func() bool {
		progress := meter.Measure()
		newest, ok := h.target()
		if !ok {
			return false
		}
		if newest.Release > s.Release {
			return releasescheduler.Abandons(progress, h.stalled == newest)
		}
		middle := h.middleRelease(newest, served)
		return middle.Release > 0 && progress.IsStalled()
	}
}

// recordFetchFailure records that a release did not arrive. The next fetch is of a release before it, if there is one that
// is not complete either, and otherwise of the newest again.
func (h *Agent) recordFetchFailure(s, newest fleetconfig.ServedModel, served fleetconfig.Release) {
	h.stalled = fleetconfig.ServedModel{}
	middle := h.middleRelease(newest, served)
	if s != newest || middle.Release == 0 {
		return
	}
	h.stalled = newest
	event.ReleaseStalled.Log(h.Logger, log.Fields{"model": string(s.Model), "release": int64(s.Release), "held": h.Replicator.HeldShare(s), "next": int64(middle.Release)})
}

// newerFetch is the fetch of a newer release while an engine waits for its turn to load another one.
type newerFetch struct {
	release fleetconfig.ServedModel
	meter   *releasescheduler.Meter
	cancel  context.CancelFunc
	done    chan struct{}
}

func (h *Agent) startNewerFetch(ctx context.Context, s fleetconfig.ServedModel) *newerFetch {
	ctx, cancel := context.WithCancel(ctx)
	f := &newerFetch{release: s, meter: h.newMeter(s), cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(f.done)
		h.Replicator.SetFetchOrder(nil)
		for ctx.Err() == nil {
			if _, err := h.Replicator.Fetch(ctx, s, func() bool { return h.isSuperseded(s) }); err == nil || h.isSuperseded(s) {
				return
			}
			select {
			case <-ctx.Done():
			case <-time.After(retryDelay):
			}
		}
	}()
	return f
}

// stop ends the fetch, if there is one. The chunks that have arrived stay.
func (f *newerFetch) stop() {
	if f == nil {
		return
	}
	f.cancel()
	<-f.done
}
