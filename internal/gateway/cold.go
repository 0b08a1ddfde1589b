package gateway

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ratelimiter"
)

// needsPermit reports whether a request to an endpoint needs a permit: the endpoint states a limit, or is or may be cold.
func (g *Gateway) needsPermit(e fleetconfig.Endpoint) bool {
	return ratelimiter.NeedsPermit(g.Assigner.Limit(e)) || g.isLimitedAsCold(e)
}

func (g *Gateway) isLimitedAsCold(e fleetconfig.Endpoint) bool {
	return g.NeedsPermit != nil && g.NeedsPermit(e)
}

// isPermitted reports whether a request may be written to its endpoint now. At a cold one it needs a permit that was asked
// for a moment ago: requests of older permits, such as those of a host that was frozen, would arrive together with
// those of new ones.
func (g *Gateway) isPermitted(choice *assigner.Assignment) bool {
	if !g.isLimitedAsCold(choice.Endpoint) {
		return true
	}
	return !choice.PermitAskedAt.IsZero() && time.Since(choice.PermitAskedAt) <= g.PermitLifetime(choice.Endpoint)
}
