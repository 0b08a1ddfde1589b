// Package outcome classifies how requests ended by whether they may have been run.
package outcome

import (
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Kind is one of the three outcomes of a request.
type Kind string

// Kinds of outcomes.
const (
	// NotRun means that the request was not run.
	NotRun Kind = "not-run"
	// Answered means that the request was run and its response was received.
	Answered Kind = "answered"
	// Unknown means that the request may have been run.
	Unknown Kind = "unknown"
)

// Reason is the cause of a failure. Its value is a short, stable word.
type Reason string

// Reasons of failures.
const (
	NoEndpoint  Reason = "no-endpoint"  // no endpoint serves the deployment
	Unreachable Reason = "unreachable"  // no connection to the receiving host or back end could be established
	Refused     Reason = "refused"      // the request could not be sent or was refused before it was run
	Leaving     Reason = "leaving"      // the host is shutting down
	Overload    Reason = "overload"     // all endpoints of the deployment are busy
	Lost        Reason = "lost"         // the connection failed or the result is lost
	Deadline    Reason = "deadline"     // the deadline passed or the caller disconnected
	Mismatch    Reason = "mismatch"     // the response is not the expected one, for example from another weight set
	LogDown     Reason = "log-down"     // the log that stores claims is unavailable
	KeyConflict Reason = "key-conflict" // the idempotency key was used with a different request
	Condemned   Reason = "condemned"    // the request is quarantined
	Suspect     Reason = "suspect"      // the request is a suspect and cannot be run now
	Late        Reason = "late"         // the request arrived too late to be run
	Running     Reason = "running"      // the attempt may already be running
	Stalled     Reason = "stalled"      // the back end made no progress
	EngineDied  Reason = "engine-died"  // the back end crashed while it ran the request
	Cut         Reason = "cut"          // a streamed response ended early
	Moved       Reason = "moved"        // the endpoint serves another weight set
	Closed      Reason = "closed"       // the endpoint accepts no requests now
)

// Error is the end of a request without a response.
type Error struct {
	Kind   Kind
	Reason Reason
	// After is the delay after which the caller may retry; zero means that it should not.
	After time.Duration
	// Final forbids another attempt, whatever the kind.
	Final bool
	// Serves is the weight set of an endpoint that refused a request for another weight set.
	Serves ident.WeightSet
	// Offset is the configuration offset of the endpoint host that refused.
	Offset ident.Offset
	Text   string
}

// Error names the outcome, the reason and the details.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s (%s): %s", e.Kind, e.Reason, e.Text)
}
