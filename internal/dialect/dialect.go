// Package dialect says how requests are written on the wire that a gateway serves, so that the gateway itself knows
// no names of headers.
package dialect

import (
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Call is what a caller's request says of itself.
type Call struct {
	ID ident.Request
	// Remaining is how long the caller still waits; zero if it does not say.
	Remaining time.Duration
	Key       directory.Key
	Model     directory.Model
	// Prompt and Answer are the tokens of the prompt, and the most of the answer; zero if unknown.
	Prompt, Answer float64
	// After is the id of the last event that the caller has; Resumes says that it has one.
	After   int64
	Resumes bool
}

// Handover is what an endpoint is told beside the caller's own headers.
type Handover struct {
	Endpoint string
	// Remaining is how long the caller still waits; zero if unknown.
	Remaining    time.Duration
	Organisation ident.Organisation
	Priority     int
	// Release pins the weights; zero does not.
	Release directory.Release
	// After is the event after which a stream goes on; Resumes says that there is one.
	After   int64
	Resumes bool
}

// Verdict is what the head of an answer says beside its status.
type Verdict struct {
	// NotRun says that the endpoint did not run the request, and never will.
	NotRun bool
	// Moved says that another endpoint than the one named answered.
	Moved bool
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Release is that of the weights which answer; zero if unknown.
	Release directory.Release
}

// Dialect holds the functions of one wire.
type Dialect struct {
	// Read decodes a caller's request.
	Read func(r *http.Request) Call
	// Compose returns the headers for an endpoint.
	Compose func(r *http.Request, h Handover) http.Header
	// Matches tells whether an answer belongs to the request.
	Matches func(id ident.Request, h http.Header) bool
	// Judge decodes the head of an answer.
	Judge func(status int, h http.Header) Verdict
	// Refuse sets the headers by which a caller is told when to come back; zero sets none.
	Refuse func(h http.Header, after time.Duration)
}
