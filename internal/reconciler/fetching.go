package reconciler

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/placer"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// fetching is the fetch of one weight set. It is superseded when another set is wanted.
type fetching struct {
	set    ident.WeightSet
	cancel context.CancelFunc
	// ended is closed when the fetch has returned; err is set before.
	ended chan struct{}
	err   error
	retry time.Time
	// done wakes the reconciler.
	done chan struct{}
}

func (f *fetching) running() bool {
	if f.ended == nil {
		return false
	}
	select {
	case <-f.ended:
		return false
	default:
		return true
	}
}

// held tells whether all chunks of the set have been fetched and verified.
func (f *fetching) held(n placer.Need) bool {
	return n.Set != "" && f.set == n.Set && f.ended != nil && !f.running() && f.err == nil
}

func (f *fetching) stop() {
	if f.ended == nil {
		return
	}
	f.cancel()
	<-f.ended
}

// fetch starts the fetch of the wanted set, and stops that of another one. A set that the engine serves already is
// fetched too, so that it can be given to other hosts and loaded again.
func (r *Reconciler) fetch(ctx context.Context, p plan) {
	f := &r.fetching
	n := p.need
	if f.held(n) || (f.set == n.Set && f.running()) {
		return
	}
	f.stop()
	if f.set == n.Set && time.Now().Before(f.retry) {
		return
	}
	f.set = n.Set
	f.ended = nil
	if n.Set == "" {
		return
	}
	ctx, f.cancel = context.WithCancel(ctx)
	ended := make(chan struct{})
	f.ended = ended
	event.BurstStarted.Log(r.Logger, log.Fields{"set": n.Set})
	go func() {
		defer r.wake()
		defer close(ended)
		f.err = r.Fetch(ctx, p.digests())
		if f.err != nil {
			f.retry = time.Now().Add(retryWait)
			event.FetchFailed.Log(r.Logger, log.Fields{"set": n.Set, "error": f.err.Error()})
			return
		}
		event.BurstFinished.Log(r.Logger, log.Fields{"set": n.Set})
	}()
}

func (r *Reconciler) wake() {
	select {
	case r.fetching.done <- struct{}{}:
	default:
	}
}
