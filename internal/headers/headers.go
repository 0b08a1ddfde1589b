// Package headers defines the HTTP header fields that hosts exchange with each other, with back ends and with callers.
package headers

// Header fields.
const (
	// RequestID carries the id of the caller's request from process to process.
	RequestID = "Nutmeg-Request"
	// WeightSet names the weight set that a request is pinned to, or that a response was generated with.
	WeightSet = "Nutmeg-Set"
	// Outcome says whether a request was run; see the outcome values.
	Outcome = "Nutmeg-Outcome"
	// Reason says why a request received no response from the back end.
	Reason = "Nutmeg-Reason"
	// Unfenced marks a response of an engine that does not check fencing tokens. If such a response is interrupted, its
	// tokens may come from more than one weight set, so it cannot be resumed elsewhere.
	Unfenced = "Nutmeg-Unfenced"
	// ConfigOffset carries the sender's offset in the configuration log.
	ConfigOffset = "Nutmeg-Offset"
	// IdempotencyKey carries the caller's idempotency key between hosts. It is not the field that callers use, because
	// net/http may send a request with that field again by itself.
	IdempotencyKey = "Nutmeg-Key"
	// EndpointLoad carries the endpoint host's load in its responses.
	EndpointLoad = "Nutmeg-Load"
	// RunPermit carries the permit to run a request that is not repeatable.
	RunPermit = "Nutmeg-Permit"
	// Claim identifies the claim that a request holds on its idempotency key, by stream, offset and attempt.
	Claim = "Nutmeg-Claim"
	// RequestDigest identifies a request by its organisation, deployment, method, path and body.
	RequestDigest = "Nutmeg-Digest"
	// Suspect marks a request that was in flight when an engine crashed.
	Suspect = "Nutmeg-Suspect"
	// CrashID identifies the crash of the back end during a request.
	CrashID = "Nutmeg-Death"
	// Zone names the availability zone of a host that requests a chunk from another host.
	Zone = "Nutmeg-Zone"
	// Replayed marks the repeated response to an earlier request with the same idempotency key.
	Replayed = "Nutmeg-Replayed"
	// CallerIdempotencyKey carries the idempotency key in requests from callers and to plain services.
	CallerIdempotencyKey = "Idempotency-Key"
)

// Outcome values.
const (
	NotRun   = "not-run"
	Answered = "answered"
	Unknown  = "unknown"
)
