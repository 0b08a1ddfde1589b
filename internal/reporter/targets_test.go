package reporter

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/membership"
)

// TestZoneWithoutEntryHostsHasNearTargets verifies that the endpoint hosts of a zone without entry hosts have near
// targets in other zones. Otherwise they would receive no replica counts and never switch weight sets.
func TestZoneWithoutEntryHostsHasNearTargets(t *testing.T) {
	is := is.New(t)
	entries := []membership.Member{{Host: "a", Zone: "z1"}, {Host: "b", Zone: "z2"}}
	targets := TargetSelector{Host: "e", Zone: "z3"}.Select(entries, nil, 1)
	is.True(len(targets.near()) > 0)
}
