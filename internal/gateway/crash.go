package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/crashsuspector"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// crashCheckTimeout bounds the test connection to an endpoint that has lost a request. An endpoint that cannot be reached
// within it is cut off rather than crashed.
const crashCheckTimeout = 250 * time.Millisecond

// Reasons of requests that are not sent to an endpoint, or to no further one, because they may crash it.
const (
	reasonQuarantined = "quarantined"
	reasonSuspect     = "suspect"
)

// crashCheck is a test connection to an endpoint, made once for all requests that it has lost.
type crashCheck struct {
	done chan struct{}
	// features are those of the lost requests. They are guarded by the mutex of the checks.
	features []crashsuspector.Feature
	// hasCrashed is the result, valid once done is closed.
	hasCrashed bool
}

// crashChecks holds the checks in progress.
type crashChecks struct {
	mu      sync.Mutex
	running map[fleetconfig.Incarnation]*crashCheck
}

// checkCrash begins to find out whether an endpoint that has lost a request has crashed, unless that is in progress.
func (g *Gateway) checkCrash(e *fleetconfig.Endpoint, features []crashsuspector.Feature) *crashCheck {
	key := e.Incarnation()
	g.checks.mu.Lock()
	defer g.checks.mu.Unlock()
	check := g.checks.running[key]
	if check == nil {
		check = &crashCheck{done: make(chan struct{})}
		if g.checks.running == nil {
			g.checks.running = make(map[fleetconfig.Incarnation]*crashCheck)
		}
		g.checks.running[key] = check
		go g.runCrashCheck(e, check)
	}
	check.features = append(check.features, features...)
	return check
}

// runCrashCheck connects to the endpoint. One that only broke off responses accepts the connection, and one that is cut
// off does not refuse it.
func (g *Gateway) runCrashCheck(e *fleetconfig.Endpoint, check *crashCheck) {
	defer close(check.done)
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	conn, err := g.Sender.Dial(ctx, "tcp", e.Address)
	if err == nil {
		_ = conn.Close() // nothing was sent
	}
	check.hasCrashed = errors.Is(err, syscall.ECONNREFUSED)
	g.checks.mu.Lock()
	delete(g.checks.running, e.Incarnation())
	features := check.features
	g.checks.mu.Unlock()
	if !check.hasCrashed {
		return
	}
	// Other requests at the endpoint may not have been found to be lost yet.
	suspects := append(features, g.attempts.suspects(e.Incarnation())...)
	facts := g.Suspector.RecordCrash(crashID(e), suspects)
	g.announce(facts)
	g.Meter.CountCrash()
	f := log.Fields{"endpoint": e.ID, "address": e.Address, "born": e.StartTime}
	for _, c := range facts.Crashes {
		f["suspects"] = featureList(c.Suspects)
	}
	event.CrashRecorded.Log(g.Logger, f)
}

// crashID returns the id of the end of an incarnation.
func crashID(e *fleetconfig.Endpoint) crashsuspector.CrashID {
	const base = 10
	var h xxhash.Digest
	h.Reset()
	writeStrings(&h, e.ID, "\x00", e.Address, "\x00", strconv.FormatInt(e.StartTime, base))
	return crashsuspector.CrashID(h.Sum64())
}

func (g *Gateway) announce(facts crashsuspector.Facts) {
	if g.Announce != nil && !facts.IsEmpty() {
		g.Announce(facts)
	}
}

// HandleQuarantine withdraws the requests with a feature that has become quarantined from the endpoints that have not
// begun to respond.
func (g *Gateway) HandleQuarantine(f crashsuspector.Feature) {
	g.attempts.quarantine(f)
	g.Meter.AddQuarantined(1)
	event.FeatureQuarantined.Log(g.Logger.WithField("feature", featureText(f)), nil)
}

// HandleLift records that a feature is no longer quarantined.
func (g *Gateway) HandleLift(f crashsuspector.Feature) {
	g.Meter.AddQuarantined(-1)
	event.QuarantineLifted.Log(g.Logger.WithField("feature", featureText(f)), nil)
}

// beginAttempt begins a new attempt of a request, and reports whether it may be made. The attempt is listed before the
// verdict is asked for, so that a feature that becomes quarantined later cancels it.
func (g *Gateway) beginAttempt(req *request, cancel context.CancelFunc) (*attempt, bool) {
	a := &attempt{features: req.features, cancel: cancel}
	g.attempts.add(a)
	return a, g.Suspector.Verdict(req.features) != crashsuspector.Quarantined
}

// recordProgress records that the request does not crash its endpoint once the attempt has received enough events.
func (g *Gateway) recordProgress(req *request, state *requestState) {
	if !state.isHarmless && state.receivedEvents() >= harmlessEvents {
		g.recordHarmless(req, state)
	}
}

func (g *Gateway) recordHarmless(req *request, state *requestState) {
	state.isHarmless = true
	g.attempts.remove(state.attempt)
	g.announce(g.Suspector.RecordSuccess(req.features))
}

// endAttempt finds out whether the endpoint has crashed on the attempt. It returns the reason why the request is not sent
// to another endpoint, if there is one.
func (g *Gateway) endAttempt(ctx context.Context, req *request, state *requestState, isDone bool) (reason string) {
	a := state.attempt
	defer g.attempts.remove(a)
	switch {
	case state.isHarmless:
		return ""
	case isDone && state.responseStatus < http.StatusMultipleChoices:
		g.recordHarmless(req, state)
		return ""
	case isDone:
		return ""
	case a.isQuarantined.Load():
		return reasonQuarantined
	case state.check == nil:
		return ""
	}
	check := state.check
	select {
	case <-check.done:
	case <-ctx.Done():
		return ""
	}
	state.hasCrashed = check.hasCrashed
	if check.hasCrashed && g.Suspector.Verdict(req.features) != crashsuspector.Clean {
		return reasonSuspect
	}
	return ""
}

// suspectRejection returns the response to a request that may crash endpoints. It does not invite the caller to retry.
func (g *Gateway) suspectRejection(req *request, state *requestState, reason string) rejection {
	rej := rejection{status: http.StatusServiceUnavailable, reason: reason, cause: errorText(state.lastErr)}
	if state.mayHaveRun > 0 {
		rej.status = http.StatusBadGateway
	}
	feature, part := g.quarantinedFeature(req)
	if feature == "" {
		rej.details = log.Fields{"features": featureList(req.features)}
		return rej
	}
	rej.details = log.Fields{"feature": feature, "part": part}
	return rej
}
