package reconciler

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// fetchTask is the fetch of one weight set. It is replaced when another set is wanted.
type fetchTask struct {
	set    ident.WeightSet
	cancel context.CancelFunc
	// finished is closed when the fetch has returned. err is set before that.
	finished chan struct{}
	err      error
	retryAt  time.Time
	// wake wakes the reconciler when a fetch has returned.
	wake chan struct{}
}

func (f *fetchTask) isRunning() bool {
	if f.finished == nil {
		return false
	}
	select {
	case <-f.finished:
		return false
	default:
		return true
	}
}

// isComplete reports whether all chunks of the needed set have been fetched and verified.
func (f *fetchTask) isComplete(n placer.Requirement) bool {
	return n.Set != "" && f.set == n.Set && f.finished != nil && !f.isRunning() && f.err == nil
}

func (f *fetchTask) stop() {
	if f.finished == nil {
		return
	}
	f.cancel()
	<-f.finished
}

// updateFetch starts the fetch of the needed set and stops the fetch of any other. A set that the engine already serves
// is fetched too, so that other hosts can read it from this one and the engine can load it again.
func (r *Reconciler) updateFetch(ctx context.Context, p hostPlan) {
	f := &r.fetch
	n := p.need
	if f.isComplete(n) || (f.set == n.Set && f.isRunning()) {
		return
	}
	f.stop()
	if f.set == n.Set && time.Now().Before(f.retryAt) {
		return
	}
	f.set = n.Set
	f.finished = nil
	if n.Set == "" {
		return
	}
	ctx, f.cancel = context.WithCancel(ctx)
	fetchDone := make(chan struct{})
	f.finished = fetchDone
	event.WeightFetchStarted.Log(r.Logger, log.Fields{"set": n.Set})
	go func() {
		defer r.signalFetchDone()
		defer close(fetchDone)
		f.err = r.Fetch(ctx, p.digests())
		if f.err != nil {
			f.retryAt = time.Now().Add(retryDelay)
			event.WeightFetchFailed.Log(r.Logger, log.Fields{"set": n.Set, "error": f.err.Error()})
			return
		}
		event.WeightFetchFinished.Log(r.Logger, log.Fields{"set": n.Set})
	}()
}

func (r *Reconciler) signalFetchDone() {
	select {
	case r.fetch.wake <- struct{}{}:
	default:
	}
}
