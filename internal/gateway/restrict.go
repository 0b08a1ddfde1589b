package gateway

import (
	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

// reasonRestricted is the reason of a request that may run in no zone.
const reasonRestricted = string(assigner.Restricted)

// regionLists returns the lists of regions that restrict a request: those of its route and its organisation in the
// configuration at its arrival, and in the newest one, which may have become narrower since.
func (g *Gateway) regionLists(req *request) [][]ident.Region {
	lists := [][]ident.Region{req.route.Regions}
	if req.org != nil {
		lists = append(lists, req.org.Regions)
	}
	newest := g.config.Load()
	if newest == req.config {
		return lists
	}
	if route := newest.FindRoute(req.r.Host, req.r.URL.Path); route != nil {
		lists = append(lists, route.Regions)
	}
	if org := newest.Keys[req.Key]; org != nil {
		lists = append(lists, org.Regions)
	}
	return lists
}

// mayUse reports whether a request may run in a zone now.
func (g *Gateway) mayUse(req *request, z ident.Zone) bool {
	return g.Restrictor.Allows(z, g.regionLists(req)...)
}

// zoneFilter returns the filter of zones for the next attempt of a request.
func (g *Gateway) zoneFilter(req *request) func(z ident.Zone) bool {
	lists := g.regionLists(req)
	return func(z ident.Zone) bool { return g.Restrictor.Allows(z, lists...) }
}

// beforeWrite returns the reason for not sending an attempt to an endpoint that it is connected to, or an empty one. The
// zone of the endpoint may have been evacuated, or the allowed regions narrowed, since the endpoint was chosen. The
// endpoint may have become cold, or a permit may be too old.
func (g *Gateway) beforeWrite(req *request, a *attempt, choice *assigner.Assignment) outcome.Reason {
	switch {
	case !g.mayUse(req, choice.Endpoint.Zone):
		return outcome.Restricted
	case !g.isPermitted(choice):
		return outcome.NoPermit
	case !a.markSent(&choice.Endpoint):
		return outcome.Quarantined
	default:
		return ""
	}
}
