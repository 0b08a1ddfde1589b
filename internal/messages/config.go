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
	// Wait is the time in milliseconds for which the receiver waits for the first record.
	Wait int `json:"wait,omitempty"`
	// Hold is the time in milliseconds for which the receiver collects further records after the first.
	Hold int `json:"hold,omitempty"`
	// Head requests the receiver's offset without the records.
	Head bool `json:"head,omitempty"`
}

// PullAnswer contains the records that follow the requested offset.
type PullAnswer struct {
	// Offset is the configuration offset of the responding process.
	Offset  ident.Offset `json:"offset"`
	Records [][]byte     `json:"records,omitempty"`
	// Digest is the digest of the state after the records, if they reach the responding process's offset.
	Digest ident.Digest `json:"digest,omitempty"`
	// State is set if the records are no longer held, so that the complete state has to be fetched instead.
	State bool `json:"state,omitempty"`
	Ready bool `json:"ready"`
	// Age is the time in milliseconds since the responding process was last known to be up to date with the log.
	Age int64 `json:"age"`
}

// StateQuery requests one part of the encoded state with the digest Sum. An empty Sum requests a part of the current
// state.
type StateQuery struct {
	Sum  ident.Digest `json:"sum,omitempty"`
	Part int          `json:"part"`
}

// StateAnswer is one part of the encoded state.
type StateAnswer struct {
	Offset ident.Offset `json:"offset"`
	Sum    ident.Digest `json:"sum"`
	Parts  int          `json:"parts"`
	Data   []byte       `json:"data"`
}
