// Package headercodec abstracts the headers with which requests and responses are written, so that the gateway does not
// depend on header names.
package headercodec

import (
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// CallerRequest is the data in the headers of a caller's request.
type CallerRequest struct {
	ID ident.RequestID
	// Remaining is the time for which the caller still waits; zero if it does not state one.
	Remaining time.Duration
	Key       fleetconfig.Key
	Model     fleetconfig.Model
	// PromptTokens is the number of prompt tokens, and MaxResponseTokens the maximum number of response tokens; zero if
	// unknown.
	PromptTokens, MaxResponseTokens float64
	// ResponseTokens is the caller's estimate of the number of response tokens; zero if it states none.
	ResponseTokens float64
	// PromptParts lists the ids of the parts of the prompt that other requests may share, in order.
	PromptParts []string
	// After is the id of the last event that the caller has received. It is valid if HasAfter is set.
	After    int64
	HasAfter bool
}

// EndpointRequest is the data that an endpoint is sent in addition to the caller's own headers.
type EndpointRequest struct {
	Endpoint string
	// Remaining is the time for which the caller still waits; zero if unknown.
	Remaining    time.Duration
	Organisation ident.Organisation
	Priority     int
	// Release is the release on which the request has to run; zero allows any.
	Release fleetconfig.Release
	// After is the id of the event after which the stream resumes. It is valid if HasAfter is set.
	After    int64
	HasAfter bool
}

// ResponseInfo is the data in a response header beside its status.
type ResponseInfo struct {
	// NotRun is set if the endpoint did not run the request and never will.
	NotRun bool
	// IsOtherEndpoint is set if the response comes from an endpoint other than the one addressed.
	IsOtherEndpoint bool
	// IDs lists the ids of the requests that the response is to, without empty ones. A sound response has one.
	IDs []ident.RequestID
	// Signed is set if the response carries the endpoint's signature: exactly one, which is not empty.
	Signed bool
	// IsEncoded is set if the body has a content encoding.
	IsEncoded bool
	// Release is the release that served the request; zero if unknown.
	Release fleetconfig.Release
	// IsLeaving is set if the endpoint says that it is leaving.
	IsLeaving bool
	// Pause is the time for which the endpoint asks the sender for no further requests; zero if it does not ask.
	Pause time.Duration
	// InvalidPause is the text of such a demand that cannot be parsed.
	InvalidPause string
	// IsLimited is set if the endpoint states the highest rate of requests that it takes from all hosts together, which is
	// RateLimit.
	IsLimited bool
	RateLimit ident.Rate
	// InvalidLimit is the text of such a limit that cannot be parsed. It says nothing about a limit that was stated before.
	InvalidLimit string
}

// Codec holds the functions that read and write one set of headers.
type Codec struct {
	// ReadRequest decodes a caller's request.
	ReadRequest func(r *http.Request) CallerRequest
	// EndpointHeader returns the headers of the request to an endpoint.
	EndpointHeader func(r *http.Request, h EndpointRequest) http.Header
	// ReadResponse decodes a response header.
	ReadResponse func(status int, h http.Header) ResponseInfo
	// SetRetryAfter sets the headers that state when a caller may retry. With a delay of zero it sets none.
	SetRetryAfter func(h http.Header, retryAfter time.Duration)
}
