package peerselector

import (
	"maps"
	"slices"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func sortedZones(m map[ident.Zone][]ident.Host) []ident.Zone {
	return slices.Sorted(maps.Keys(m))
}
