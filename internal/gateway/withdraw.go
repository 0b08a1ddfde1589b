package gateway

import (
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// cutoffCheckInterval is the time between two checks of a waiting request for a release that was found meanwhile. It is a
// third of the shortest time after which a release that is found is enforced.
const cutoffCheckInterval = 250 * time.Millisecond

// withdrawal cancels an attempt at the time from which no request may begin on its release, if it is still queued at the
// engine then.
type withdrawal struct {
	gateway *Gateway
	req     *request
	choice  *assigner.Assignment
	cancel  func()

	mu        sync.Mutex
	timer     *time.Timer
	isStopped bool
}

// withdrawAtCutoff starts the withdrawal of an attempt, and returns the function that stops it.
func (g *Gateway) withdrawAtCutoff(req *request, choice *assigner.Assignment, cancel func()) (stop func()) {
	if req.Model == "" {
		return func() {}
	}
	w := &withdrawal{gateway: g, req: req, choice: choice, cancel: cancel}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.nextCheck(), w.check)
	return w.stop
}

func (w *withdrawal) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.isStopped = true
	w.timer.Stop()
}

// cutoff returns the time at which the attempt is withdrawn, or the zero time if there is none.
func (w *withdrawal) cutoff() time.Time {
	return w.gateway.WithdrawalTime(w.req.Model, w.choice.Release)
}

// nextCheck returns the time until the next check. A release that is found while the request waits sets the cutoff or
// brings it forward.
func (w *withdrawal) nextCheck() time.Duration {
	if cutoff := w.cutoff(); !cutoff.IsZero() {
		return min(cutoffCheckInterval, time.Until(cutoff))
	}
	return cutoffCheckInterval
}

func (w *withdrawal) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isStopped || w.gateway.Assigner.HasFirstEvent(w.choice) {
		return
	}
	cutoff := w.cutoff()
	if cutoff.IsZero() || time.Now().Before(cutoff) {
		w.timer.Reset(w.nextCheck())
		return
	}
	event.RequestWithdrawn.Log(w.gateway.Logger.WithFields(w.gateway.logFields(w.req)), log.Fields{
		"endpoint": w.choice.Endpoint.ID, "release": int64(w.choice.Release), "late": time.Since(cutoff).Milliseconds(),
	})
	w.cancel()
}
