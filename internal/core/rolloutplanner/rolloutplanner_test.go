package rolloutplanner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

// No more than about a quarter of the engines may switch at the same time, and those with the oldest release switch
// first.
func TestEnginesOfPoolSwitchInGroups(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(rt, "engines")
		var all []rolloutplanner.Member
		for i := range n {
			r := fleetconfig.Release(rapid.IntRange(0, 3).Draw(rt, "release"))
			all = append(all, rolloutplanner.Member{Host: fmt.Sprint("h", i), Release: r})
		}
		count := make(map[float64]int)
		serving := 0
		for _, a := range all {
			if a.Release == 0 {
				continue
			}
			serving++
			switchShare := rolloutplanner.SwitchShare(a.Host, all)
			count[switchShare]++
			if switchShare < 0 || switchShare >= 1 {
				rt.Fatalf("%s switches at %v of the rollout time, want a fraction from 0 to below 1", a.Host, switchShare)
			}
			for _, b := range all {
				if b.Release > a.Release && rolloutplanner.SwitchShare(b.Host, all) < switchShare {
					rt.Fatalf("%s with release %d switches before %s with release %d", b.Host, b.Release, a.Host, a.Release)
				}
			}
		}
		for switchShare, size := range count {
			if serving >= 4 && size > serving/4+1 {
				rt.Fatalf("%d of %d engines switch at %v of the rollout time", size, serving, switchShare)
			}
		}
	})
}

func TestEnginesOfSmallPoolSwitchTogether(t *testing.T) {
	is := is.New(t)
	all := []rolloutplanner.Member{{Host: "a", Release: 1}, {Host: "b", Release: 1}}
	is.Equal(rolloutplanner.SwitchShare("a", all), rolloutplanner.SwitchShare("b", all))
}

// The ranges that are loaded early start at the first layer, grow, and never reach the last layer, because the complete
// model is loaded last.
func TestEarlySpansGrow(t *testing.T) {
	is := is.New(t)
	is.Equal(rolloutplanner.EarlyLayerRanges(16), []fleetconfig.LayerRange{{To: 8}, {To: 12}})
	is.Equal(len(rolloutplanner.EarlyLayerRanges(0)), 0)
	for layers := range 40 {
		previousTo := 0
		for _, s := range rolloutplanner.EarlyLayerRanges(layers) {
			is.True(s.From == 0 && s.To >= previousTo && s.To < layers)
			previousTo = s.To
		}
	}
}
