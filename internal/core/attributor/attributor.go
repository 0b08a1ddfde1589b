// Package attributor decides whether a response is that of the endpoint to a request, from what its head states. The decision
// is made before anything acts on the response, and in one place for all ways on which responses reach callers.
package attributor

import (
	"fmt"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Reason says why a response is not that of the endpoint to the request. Its value is a short, stable word.
type Reason string

// Reasons.
const (
	// OtherRequest means that the response is to another request. The response to this one may follow it.
	OtherRequest Reason = "other"
	// NoID means that a response which says that the request may have run names no request.
	NoID Reason = "no-id"
	// ManyIDs means that the response names several requests, or one of them more than once.
	ManyIDs Reason = "many-ids"
	// NotSigned means that a successful response lacks the signature of an endpoint, or has several.
	NotSigned Reason = "not-signed"
	// Encoded means that the body is in an encoding, which no caller asks for.
	Encoded Reason = "encoded"
)

// Reasons lists all reasons.
var Reasons = []Reason{OtherRequest, NoID, ManyIDs, NotSigned, Encoded}

// Origin is what the head of a response states about the endpoint and the request that it comes from.
type Origin struct {
	Status int
	// IDs lists the ids of requests, without empty ones.
	IDs []ident.RequestID
	// Signed is set if the response has exactly one signature, which is not empty.
	Signed bool
	// IsEncoded is set if the body has a content encoding.
	IsEncoded bool
	// NotRun is set if the response states that the endpoint did not run the request.
	NotRun bool
}

// Error reports a response that is not that of the endpoint to the request. The request may have run.
type Error struct {
	Reason Reason
	Origin Origin
	// ID is the id of the request.
	ID ident.RequestID
}

// Error names the reason and the head.
func (e *Error) Error() string {
	return fmt.Sprintf("response is not that to request %s (%s): status %d, %d ids, signed: %t, encoded: %t", e.ID, e.Reason, e.Origin.Status, len(e.Origin.IDs), e.Origin.Signed, e.Origin.IsEncoded)
}

// Check returns an *Error unless the response is that of the endpoint to the request with the given id. A request without an
// id, which is empty then, cannot be told from others.
//
// An endpoint may refuse a request before it has read its id, so that a response which states that the request has not run
// needs none. Only success needs a signature.
func Check(o Origin, id ident.RequestID) error {
	refuse := func(r Reason) error { return &Error{Reason: r, Origin: o, ID: id} }
	isSuccess := o.Status/100 == 2
	switch {
	case len(o.IDs) > 1:
		return refuse(ManyIDs)
	case id != "" && len(o.IDs) == 1 && o.IDs[0] != id:
		return refuse(OtherRequest)
	case id != "" && len(o.IDs) == 0 && !o.NotRun:
		return refuse(NoID)
	case o.IsEncoded:
		return refuse(Encoded)
	case isSuccess && !o.Signed:
		return refuse(NotSigned)
	default:
		return nil
	}
}
