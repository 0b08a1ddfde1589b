// Package headers names the HTTP header fields between the system's processes and towards callers.
package headers

// Header fields.
const (
	// Request carries the id of the caller's request on each hop.
	Request = "Nutmeg-Request"
	// Set names the weight set that a request is pinned to, and that an answer was made with.
	Set = "Nutmeg-Set"
	// Outcome tells whether a request was run.
	Outcome = "Nutmeg-Outcome"
	// Reason tells why a request was not answered.
	Reason = "Nutmeg-Reason"
	// Unfenced marks an answer of an engine that does not check who orders it. The tokens of a cut one are not known to
	// be of one weight set, so that it cannot go on elsewhere.
	Unfenced = "Nutmeg-Unfenced"
	// Offset carries the sender's offset in the configuration log.
	Offset = "Nutmeg-Offset"
	// Key carries the caller's idempotency key between the system's processes. It has a name of its own because
	// net/http sends a request again by itself when it sees the usual one.
	Key = "Nutmeg-Key"
	// Load carries the endpoint host's load with its answers.
	Load = "Nutmeg-Load"
	// Permit carries the right to hand over a request that may not be repeated.
	Permit = "Nutmeg-Permit"
	// Claim names the stream, the offset and the attempt of a won claim.
	Claim = "Nutmeg-Claim"
	// Digest identifies a request by its deployment, path and body.
	Digest = "Nutmeg-Digest"
	// Suspect marks a request that was running when an engine died.
	Suspect = "Nutmeg-Suspect"
	// Death names the death of the engine that a request was running on.
	Death = "Nutmeg-Death"
	// Zone names the availability zone of a host that asks another one for a chunk.
	Zone = "Nutmeg-Zone"
	// Replayed marks an answer that was given before to a request with the same idempotency key.
	Replayed = "Nutmeg-Replayed"
	// CallerKey is the field in which callers and plain services exchange idempotency keys.
	CallerKey = "Idempotency-Key"
)

// Outcome values.
const (
	NotRun   = "not-run"
	Answered = "answered"
	Unknown  = "unknown"
)
