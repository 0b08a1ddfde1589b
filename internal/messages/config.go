package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Methods of the replication of the configuration.
const (
	// PullMethod requests the log records from an offset on.
	PullMethod = "pull"
	// StateMethod requests one part of the encoded configuration state.
	StateMethod = "state"
)

// PullQuery requests the log records from the sender's offset on.
type PullQuery struct {
	Host   ident.Host   `json:"host"`
	Offset ident.Offset `json:"offset"`
	// WaitMs is the time in milliseconds for which the receiver waits for the first record.
	WaitMs int `json:"wait,omitempty"`
	// CollectMs is the time in milliseconds for which the receiver collects further records after the first.
	CollectMs int `json:"hold,omitempty"`
	// OffsetOnly requests the receiver's offset without the records.
	OffsetOnly bool `json:"head,omitempty"`
}

// PullResponse contains the records that follow the requested offset.
type PullResponse struct {
	// Offset is the configuration offset of the responding process.
	Offset  ident.Offset `json:"offset"`
	Records [][]byte     `json:"records,omitempty"`
	// Digest is the digest of the state after the records, if they reach the responding process's offset.
	Digest ident.Digest `json:"digest,omitempty"`
	// StateRequired is set if the records are no longer held, so that the complete state has to be fetched instead.
	StateRequired bool `json:"state,omitempty"`
	Ready         bool `json:"ready"`
	// AgeMs is the time in milliseconds since the responding process was last known to be up to date with the log.
	AgeMs int64 `json:"age"`
}

// StateQuery requests one part of the encoded state with the digest PartsDigest. An empty one requests a part of the
// current state.
type StateQuery struct {
	PartsDigest ident.Digest `json:"sum,omitempty"`
	Part        int          `json:"part"`
}

// StateResponse is one part of the encoded state.
type StateResponse struct {
	Offset      ident.Offset `json:"offset"`
	PartsDigest ident.Digest `json:"sum"`
	Parts       int          `json:"parts"`
	Data        []byte       `json:"data"`
}
