package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
)

// ResultMethod requests the result of an attempt from the entry host whose claim won.
const ResultMethod = "result"

// ResultQuery requests the result of an attempt. Wait is the maximum time in milliseconds to wait for its end.
type ResultQuery struct {
	Key     claimreducer.Key `json:"key"`
	Attempt ident.Request    `json:"attempt"`
	Wait    int64            `json:"wait"`
}

// ResultAnswer is the result of the attempt, as far as the entry host knows it.
type ResultAnswer struct {
	Result resultcache.Result `json:"result"`
}

// DeathMethod notifies an entry host of the crash of an engine.
const DeathMethod = "death"

// Death lists the requests that were in flight when an engine crashed. It is sent again until it is acknowledged.
type Death struct {
	ID      quarantiner.Death    `json:"id"`
	Running []quarantiner.Digest `json:"running"`
}

// DeathAck acknowledges a Death.
type DeathAck struct{}

// ClaimMethod sends a claim or its release to the entry host that writes to the claim's stream for the availability zone.
const ClaimMethod = "claim"

// ClaimQuery contains a claim or its release, encoded as in the log.
type ClaimQuery struct {
	Record []byte `json:"record"`
}

// ClaimAnswer is the decision on a claim. Failed is set if there is no decision. Holder is set if another attempt holds
// the key. Written is set if the claim may be in the log, so that it has to be released if it is not used.
type ClaimAnswer struct {
	Offset  ident.Offset        `json:"offset,omitempty"`
	Won     bool                `json:"won,omitempty"`
	Written bool                `json:"written,omitempty"`
	Failed  bool                `json:"failed,omitempty"`
	Holder  *claimreducer.Claim `json:"holder,omitempty"`
}
