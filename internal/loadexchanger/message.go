package loadexchanger

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/presencetracker"
	"github.com/nutmegdock/nutmegdock/internal/factexchanger"
)

// message is one datagram. Exactly one of its fields beside Host is set.
type message struct {
	Host   ident.Host             `cbor:"host,omitempty"`
	Report *Report                `cbor:"load,omitempty"`
	Reply  *Reply                 `cbor:"reply,omitempty"`
	Beat   *presencetracker.Beat  `cbor:"beat,omitempty"`
	Gate   *assigner.GateState    `cbor:"gate,omitempty"`
	Facts  *factexchanger.Message `cbor:"facts,omitempty"`
}

// Report states the load of the sender at one incarnation of an endpoint. It replaces the earlier ones, so that the
// next report makes up for a lost one.
type Report struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  string
	StartTime int64
	Load      assigner.Load
	// Process identifies the start of the sending process, and Serial orders its reports.
	Process, Serial uint64
	// IsLeaving says that the endpoint has told the sender that it is leaving.
	IsLeaving bool
	// Query identifies the reply that the sender waits for; zero if it waits for none.
	Query uint64
}

// Reply states the load of all hosts at an endpoint but the one that has sent the query.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Query     uint64
	Load      assigner.Load
	IsLeaving bool
	// Gate is the gate state of the engine, if the sender is beside one and has something to announce.
	Gate *assigner.GateState
}

func encode(m message) ([]byte, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode load message: %w", err)
	}
	return data, nil
}

// EncodeGate returns the datagram that announces the gate state of an engine.
func EncodeGate(g assigner.GateState) ([]byte, error) {
	return encode(message{Gate: &g})
}
