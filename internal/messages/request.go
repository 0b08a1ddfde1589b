package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
)

// ResultMethod requests the result of an attempt from the entry host whose claim won.
const ResultMethod = "result"

// ResultQuery requests the result of an attempt. WaitMs is the maximum time in milliseconds to wait for its end.
type ResultQuery struct {
	Key     claimreducer.KeyDigest `json:"key"`
	Attempt ident.RequestID        `json:"attempt"`
	WaitMs  int64                  `json:"wait"`
}

// ResultResponse is the result of the attempt, as far as the entry host knows it.
type ResultResponse struct {
	Result resultcache.Result `json:"result"`
}

// BackendCrashMethod notifies an entry host of the crash of an engine.
const BackendCrashMethod = "death"

// BackendCrash lists the requests that were in flight when an engine crashed. It is sent again until it is
// acknowledged.
type BackendCrash struct {
	ID       quarantiner.CrashID         `json:"id"`
	InFlight []quarantiner.RequestDigest `json:"running"`
}

// BackendCrashAck acknowledges a BackendCrash.
type BackendCrashAck struct{}

// ClaimMethod sends a claim or its release to the entry host that writes to the claim's stream for the availability
// zone.
const ClaimMethod = "claim"

// ClaimQuery contains a claim or its release, encoded as in the log.
type ClaimQuery struct {
	Record []byte `json:"record"`
}

// ClaimResponse is the decision on a claim. Undecided is set if there is no decision. Holder is set if another attempt
// holds the key. MayBeLogged is set if the claim may be in the log, so that it has to be released if it is not used.
type ClaimResponse struct {
	Offset      ident.Offset        `json:"offset,omitempty"`
	Won         bool                `json:"won,omitempty"`
	MayBeLogged bool                `json:"written,omitempty"`
	Undecided   bool                `json:"failed,omitempty"`
	Holder      *claimreducer.Claim `json:"holder,omitempty"`
}
