package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/claimreducer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/quarantiner"
	"github.com/nutmegdock/nutmegdock/internal/core/resultcache"
)

// ResultMethod asks the entry host that won a claim for the result of its attempt.
const ResultMethod = "result"

// ResultQuery names an attempt. Wait is how long the answer may wait for its end, in milliseconds.
type ResultQuery struct {
	Key     claimreducer.Key `json:"key"`
	Attempt ident.Request    `json:"attempt"`
	Wait    int64            `json:"wait"`
}

// ResultAnswer is what the entry host knows of the attempt.
type ResultAnswer struct {
	Result resultcache.Result `json:"result"`
}

// DeathMethod tells an entry host of the death of an engine.
const DeathMethod = "death"

// Death names the requests that were running when an engine died. It is sent again until it is acknowledged.
type Death struct {
	ID      quarantiner.Death    `json:"id"`
	Running []quarantiner.Digest `json:"running"`
}

// DeathAck acknowledges a Death.
type DeathAck struct{}

// ClaimMethod brings a claim or a release to the entry host that writes its stream for the availability zone.
const ClaimMethod = "claim"

// ClaimQuery holds a claim or a release, in the form that it gets in the log.
type ClaimQuery struct {
	Record []byte `json:"record"`
}

// ClaimAnswer is the decision on a claim. Failed tells that there is none. Holder is given if another attempt holds the
// key.
type ClaimAnswer struct {
	Offset  ident.Offset        `json:"offset,omitempty"`
	Won     bool                `json:"won,omitempty"`
	Written bool                `json:"written,omitempty"`
	Failed  bool                `json:"failed,omitempty"`
	Holder  *claimreducer.Claim `json:"holder,omitempty"`
}
