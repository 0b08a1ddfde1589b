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
	NoEndpoint     Reason = "no-endpoint"  // no endpoint serves the deployment
	Unreachable    Reason = "unreachable"  // no connection to the receiving host or back end could be established
	HostLimit      Reason = "host-limit"   // this host lacks a descriptor or a port for the connection
	Refused        Reason = "refused"      // the request could not be sent or was refused before it was run
	HostLeaving    Reason = "leaving"      // the host is shutting down
	Overload       Reason = "overload"     // all endpoints of the deployment are busy
	ConnectionLost Reason = "lost"         // the connection failed or the result is lost
	Deadline       Reason = "deadline"     // the deadline passed or the caller disconnected
	Mismatch       Reason = "mismatch"     // the response is not the expected one, for example from another weight set
	Malformed      Reason = "malformed"    // the response is not valid HTTP
	LogUnavailable Reason = "log-down"     // the log that stores claims is unavailable
	KeyConflict    Reason = "key-conflict" // the idempotency key was used with a different request
	Quarantined    Reason = "condemned"    // the request is quarantined
	SuspectRequest Reason = "suspect"      // the request is a suspect and cannot be run now
	TooLate        Reason = "late"         // the request arrived too late to be run
	AlreadyRunning Reason = "running"      // the attempt may already be running
	Stalled        Reason = "stalled"      // the back end made no progress
	BackendCrashed Reason = "engine-died"  // the back end crashed while it ran the request
	Truncated      Reason = "cut"          // a streamed response ended early
	OtherWeightSet Reason = "moved"        // the endpoint serves another weight set
	EndpointClosed Reason = "closed"       // the endpoint accepts no requests now
	Restricted     Reason = "restricted"   // the request must not run in the zone of the endpoint
	Memory         Reason = "memory"       // too much is buffered for the endpoint
	NoPermit       Reason = "no-permit"    // the endpoint is cold, and the permit for the request is missing or has expired
)

// Error is the end of a request without a response.
type Error struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the delay after which the caller may retry; zero means that it should not.
	RetryAfter time.Duration
	// NoRetry forbids another attempt, whatever the kind.
	NoRetry bool
	// ServedSet is the weight set of an endpoint that refused a request for another weight set.
	ServedSet ident.WeightSet
	// Offset is the configuration offset of the endpoint host that refused.
	Offset  ident.Offset
	Message string
}

// Error names the outcome, the reason and the details.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s (%s): %s", e.Kind, e.Reason, e.Message)
}
