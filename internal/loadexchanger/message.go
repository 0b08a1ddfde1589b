package loadexchanger

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcometracker"
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
	// Limit is what the sender knows of the limit at the endpoint of the load, the reply, the permit or the grant.
	Limit  *limitStatement `cbor:"limit,omitempty"`
	Permit *permitRequest  `cbor:"permit,omitempty"`
	Grant  *grant          `cbor:"grant,omitempty"`
	// Cold is what the sender knows of the endpoint of the load, the reply, the permit or the grant, if it may be cold.
	Cold     *coldStatement `cbor:"cold,omitempty"`
	Handover *handover      `cbor:"handover,omitempty"`
	// GateQuery is the address of the engine whose gate state the sender asks for.
	GateQuery string `cbor:"gates,omitempty"`
}

// permitRequest asks the responder of an endpoint for a permit for one request. The grant names the query.
type permitRequest struct {
	_         struct{} `cbor:",toarray"`
	Endpoint  string
	StartTime int64
	Query     uint64
}

// grant answers a permitRequest. Without OK, Wait is the time until there will be a permit.
type grant struct {
	_     struct{} `cbor:",toarray"`
	Query uint64
	OK    bool
	Wait  time.Duration
}

// transitMargin is the longest time that a message is expected to take.
const transitMargin = 100 * time.Millisecond

// limitStatement is a fleetconfig.RateLimit with times as their ages, since hosts have different clocks.
type limitStatement struct {
	_                    struct{} `cbor:",toarray"`
	ID                   uint64
	IsLimited            bool
	Rate                 ident.Rate
	SentAge, ReceivedAge time.Duration
}

// newLimitStatement returns nil if nothing is known.
func newLimitStatement(l fleetconfig.RateLimit) *limitStatement {
	if !l.IsKnown() {
		return nil
	}
	now := time.Now()
	return &limitStatement{ID: l.ID, IsLimited: l.IsLimited, Rate: l.Rate, SentAge: now.Sub(l.SentAt), ReceivedAge: now.Sub(l.ReceivedAt)}
}

// rateLimit returns the statement as of now. The time for which the message was on its way is not known, so the statement
// may be older by transitMargin.
func (s *limitStatement) rateLimit() fleetconfig.RateLimit {
	if s == nil {
		return fleetconfig.RateLimit{}
	}
	now := time.Now()
	return fleetconfig.RateLimit{ID: s.ID, IsLimited: s.IsLimited, Rate: s.Rate, SentAt: now.Add(-s.SentAge - transitMargin), ReceivedAt: now.Add(-s.ReceivedAge)}
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
	// Outcomes holds the numbers of the sender's requests by outcome; nil if it does not count them.
	Outcomes *outcometracker.Totals
	// Sharing is nil if it would be empty.
	Sharing *Sharing
}

// Reply states the load of all hosts at an endpoint but the one that has sent the query.
type Reply struct {
	_         struct{} `cbor:",toarray"`
	Query     uint64
	Load      assigner.Load
	IsLeaving bool
	// Gate is the gate state of the engine, if the sender is beside one and has something to announce.
	Gate *assigner.GateState
	// Outcomes holds the outcomes at the endpoint; nil if none are known.
	Outcomes *outcometracker.Sums
	// Pace is the pace of the engine; nil if it states none.
	Pace *assigner.Pace
	// Share is nil if the query names no requester, or while there is no contention.
	Share *Share
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
