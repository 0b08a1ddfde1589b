package messages

import "github.com/nutmegdock/nutmegdock/internal/core/ident"

// ReportMethod carries an endpoint host's Report to an entry host.
const ReportMethod = "report"

// Report is an endpoint host's state, as entry hosts use it for routing and status.
type Report struct {
	Host    ident.Host      `json:"host"`
	Zone    ident.Zone      `json:"zone"`
	Region  ident.Region    `json:"region"`
	Pool    ident.Pool      `json:"pool"`
	Data    string          `json:"data"`
	Birth   int64           `json:"birth"`
	Offset  ident.Offset    `json:"offset"`
	Open    bool            `json:"open"`
	Leaving bool            `json:"leaving"`
	Set     ident.WeightSet `json:"set,omitempty"`
	Want    ident.WeightSet `json:"want,omitempty"`
	Running int             `json:"running"`
	Slots   int             `json:"slots"`
	Chunks  int             `json:"chunks"`
	Total   int             `json:"total"`
	// Time is when the report was made, in milliseconds since Birth by a clock that is never set.
	Time int64 `json:"time"`
}

// Ack answers a Report with the receiver's offset.
type Ack struct {
	Offset ident.Offset `json:"offset"`
}
