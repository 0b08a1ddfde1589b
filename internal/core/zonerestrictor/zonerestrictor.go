// Package zonerestrictor decides in which availability zones a request may run. It combines the regions that the routes
// and the organisations allow with the zones that the operator has evacuated.
//
// The decision fails closed: if a request is restricted to regions, an endpoint whose zone has no known region is not
// allowed.
package zonerestrictor

import (
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Restrictor decides in which zones requests may run. Set its fields before use. The zero value knows no regions and no
// evacuations.
type Restrictor struct {
	// Regions maps each zone to its region.
	Regions map[ident.Zone]ident.Region
	// IsEvacuated reports whether no request may run in a zone, whatever its restrictions. Nil means that none is
	// evacuated.
	IsEvacuated func(z ident.Zone) bool
}

// Allows reports whether a request may run in a zone. Each of the lists that is not empty restricts it to its regions.
func (r *Restrictor) Allows(z ident.Zone, lists ...[]ident.Region) bool {
	if r.IsEvacuated != nil && r.IsEvacuated(z) {
		return false
	}
	region, isKnown := r.Regions[z]
	for _, allowed := range lists {
		if len(allowed) > 0 && (!isKnown || !slices.Contains(allowed, region)) {
			return false
		}
	}
	return true
}

// AllowsAny reports whether there is a zone in which a request may run.
func (r *Restrictor) AllowsAny(lists ...[]ident.Region) bool {
	isRestricted := slices.ContainsFunc(lists, func(allowed []ident.Region) bool { return len(allowed) > 0 })
	if !isRestricted {
		// Endpoints may be in zones that the settings do not list.
		return true
	}
	for z := range r.Regions {
		if r.Allows(z, lists...) {
			return true
		}
	}
	return false
}
