package reporter

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/membership"
)

// A zone without entry hosts must still be answered with the counts of a wave, or its hosts never switch.
func TestZoneWithoutEntryHostsHasNearTargets(t *testing.T) {
	is := is.New(t)
	entries := []membership.Member{{Host: "a", Zone: "z1"}, {Host: "b", Zone: "z2"}}
	targets := Chooser{Host: "e", Zone: "z3"}.Targets(entries, nil, 1)
	is.True(len(targets.near()) > 0)
}
