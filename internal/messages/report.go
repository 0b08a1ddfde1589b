package messages

import (
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/waver"
)

// ReportMethod carries an endpoint host's Report to an entry host.
const ReportMethod = "report"

// Report is an endpoint host's state, as entry hosts use it for routing and status.
type Report struct {
	Host    ident.Host   `json:"host"`
	Zone    ident.Zone   `json:"zone"`
	Region  ident.Region `json:"region"`
	Pool    ident.Pool   `json:"pool"`
	Data    string       `json:"data"`
	Birth   int64        `json:"birth"`
	Offset  ident.Offset `json:"offset"`
	Open    bool         `json:"open"`
	Leaving bool         `json:"leaving"`
	// Unfenced marks an engine that does not check who orders it.
	Unfenced bool            `json:"unfenced,omitempty"`
	Set      ident.WeightSet `json:"set,omitempty"`
	Want     ident.WeightSet `json:"want,omitempty"`
	// Since is the configuration offset at which Want became what it is.
	Since   ident.Offset `json:"since,omitempty"`
	Running int          `json:"running"`
	Slots   int          `json:"slots"`
	Chunks  int          `json:"chunks"`
	Total   int          `json:"total"`
	// Bytes is where the host's chunks came from since it started.
	Bytes SourceBytes `json:"bytes,omitzero"`
}

// Ack answers a Report with the receiver's offset. Wave is given while the reporting host is to leave the set it serves.
type Ack struct {
	Offset ident.Offset  `json:"offset"`
	Wave   []waver.Count `json:"wave,omitempty"`
}
