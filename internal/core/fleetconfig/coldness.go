package fleetconfig

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Coldness is what one process knows about an endpoint that may be cold. The zero value means that its pool has no cold
// endpoints.
type Coldness struct {
	// Rate is the number of requests that one responder may permit per second while the endpoint is cold.
	Rate ident.Rate
	// Remaining is how much longer the endpoint is cold, as far as the process knows.
	Remaining time.Duration
	// Start is how long an endpoint of the pool stays cold after its start.
	Start time.Duration
	// IsSure says that the process is a responder that has known the endpoint for longer than Start, so that one without
	// Remaining is not cold.
	IsSure bool
}

// IsKnown reports whether the endpoint may be cold at all.
func (c Coldness) IsKnown() bool {
	return c.Rate > 0
}

// HasColdEndpoints reports whether endpoints of the pool may be cold. A nil pool has none.
func (p *Pool) HasColdEndpoints() bool {
	return p != nil && p.ColdRate > 0 && p.ColdStart > 0
}
