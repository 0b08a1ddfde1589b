// Package dialect abstracts the headers with which requests and responses are written, so that the gateway does not
// depend on header names.
package dialect

import (
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Call is the data in the headers of a caller's request.
type Call struct {
	ID ident.Request
	// Remaining is the time for which the caller still waits; zero if it does not state one.
	Remaining time.Duration
	Key       directory.Key
	Model     directory.Model
	// Prompt is the number of prompt tokens, and Answer the maximum number of response tokens; zero if unknown.
	Prompt, Answer float64
	// After is the id of the last event that the caller has received. It is valid if Resumes is set.
	After   int64
	Resumes bool
}

// Handover is the data that an endpoint is sent in addition to the caller's own headers.
type Handover struct {
	Endpoint string
	// Remaining is the time for which the caller still waits; zero if unknown.
	Remaining    time.Duration
	Organisation ident.Organisation
	Priority     int
	// Release is the release on which the request has to run; zero allows any.
	Release directory.Release
	// After is the id of the event after which the stream resumes. It is valid if Resumes is set.
	After   int64
	Resumes bool
}

// Verdict is the data in a response header beside its status.
type Verdict struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// Moved is set if the response comes from an endpoint other than the one addressed.
	Moved bool
	// Signed is set if the response carries the endpoint's signature.
	Signed bool
	// Release is the release that served the request; zero if unknown.
	Release directory.Release
}

// Dialect holds the functions that read and write one set of headers.
type Dialect struct {
	// Read decodes a caller's request.
	Read func(r *http.Request) Call
	// Compose returns the headers of the request to an endpoint.
	Compose func(r *http.Request, h Handover) http.Header
	// Matches reports whether a response belongs to the request.
	Matches func(id ident.Request, h http.Header) bool
	// Judge decodes a response header.
	Judge func(status int, h http.Header) Verdict
	// Refuse sets the headers that state when a caller may retry. With a delay of zero it sets none.
	Refuse func(h http.Header, retryAfter time.Duration)
}
