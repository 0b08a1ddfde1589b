// Package outcome classifies how a request ended, by whether it may have been run.
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
	NotRun   Kind = "not-run"
	Answered Kind = "answered"
	Unknown  Kind = "unknown"
)

// Reason is a short, stable word for the cause of a failure.
type Reason string

// Reasons of failures.
const (
	NoEndpoint  Reason = "no-endpoint"
	Unreachable Reason = "unreachable"
	Refused     Reason = "refused"
	Leaving     Reason = "leaving"
	Overload    Reason = "overload"
	Lost        Reason = "lost"
	Deadline    Reason = "deadline"
	Mismatch    Reason = "mismatch"
	LogDown     Reason = "log-down"
	KeyConflict Reason = "key-conflict"
	Condemned   Reason = "condemned"
	Suspect     Reason = "suspect"
	Late        Reason = "late"
	Running     Reason = "running"
	Stalled     Reason = "stalled"
	EngineDied  Reason = "engine-died"
	Cut         Reason = "cut"
	Moved       Reason = "moved"
	Closed      Reason = "closed"
)

// Error is the end of a request without an answer.
type Error struct {
	Kind   Kind
	Reason Reason
	// After is when the caller may try again; zero means that it should not.
	After time.Duration
	// Final forbids a further attempt, whatever the kind.
	Final bool
	// Serves is the weight set that an endpoint serves which refused a request for another one.
	Serves ident.WeightSet
	// Offset is the configuration offset of the endpoint host that refused.
	Offset ident.Offset
	Text   string
}

// Error names the outcome, the reason and the details.
func (e *Error) Error() string {
	return fmt.Sprintf("request %s (%s): %s", e.Kind, e.Reason, e.Text)
}
