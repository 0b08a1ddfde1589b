package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// Methods of the spread of configuration.
const (
	// PullMethod asks for the records from an offset on.
	PullMethod = "pull"
	// StateMethod asks for one part of the encoded state.
	StateMethod = "state"
)

// PullQuery asks for the records from the sender's offset on.
type PullQuery struct {
	Host   ident.Host   `json:"host"`
	Offset ident.Offset `json:"offset"`
	// Wait is the time in milliseconds to wait for the first record.
	Wait int `json:"wait,omitempty"`
	// Hold is the time in milliseconds to collect further records after the first.
	Hold int `json:"hold,omitempty"`
	// Head asks for the offset alone.
	Head bool `json:"head,omitempty"`
}

// PullAnswer carries records that follow the offset asked for.
type PullAnswer struct {
	// Offset is the answering process's own.
	Offset  ident.Offset `json:"offset"`
	Records [][]byte     `json:"records,omitempty"`
	// Digest is that of the state after the records, if they reach the answering process's own offset.
	Digest ident.Digest `json:"digest,omitempty"`
	// State says that the records are no longer held, and that the state has to be taken instead.
	State bool `json:"state,omitempty"`
	Ready bool `json:"ready"`
	// Age is the time in milliseconds since the answering process was level with the log.
	Age int64 `json:"age"`
}

// StateQuery asks for one part of the encoded state. An empty Sum asks for the first part of the current one.
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
