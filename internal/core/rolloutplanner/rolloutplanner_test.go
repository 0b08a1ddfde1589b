package rolloutplanner_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/core/directory"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

// At no time may more than about a quarter of the engines change over, and those on the oldest release go first.
func TestTurnsSplitAPoolIntoGroups(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(4, 60).Draw(rt, "engines")
		var all []rolloutplanner.Member
		for i := range n {
			r := directory.Release(rapid.IntRange(0, 3).Draw(rt, "release"))
			all = append(all, rolloutplanner.Member{Host: fmt.Sprint("h", i), Release: r})
		}
		count := make(map[float64]int)
		serving := 0
		for _, a := range all {
			if a.Release == 0 {
				continue
			}
			serving++
			turn := rolloutplanner.Turn(a.Host, all)
			count[turn]++
			if turn < 0 || turn >= 1 {
				rt.Fatalf("turn of %s is %v of the bound", a.Host, turn)
			}
			for _, b := range all {
				if b.Release > a.Release && rolloutplanner.Turn(b.Host, all) < turn {
					rt.Fatalf("%s on release %d goes before %s on %d", b.Host, b.Release, a.Host, a.Release)
				}
			}
		}
		for turn, k := range count {
			if serving >= 4 && k > serving/4+1 {
				rt.Fatalf("%d of %d engines change over at %v of the bound", k, serving, turn)
			}
		}
	})
}

func TestSmallPoolChangesAtOnce(t *testing.T) {
	is := is.New(t)
	all := []rolloutplanner.Member{{Host: "a", Release: 1}, {Host: "b", Release: 1}}
	is.Equal(rolloutplanner.Turn("a", all), rolloutplanner.Turn("b", all))
}

// The spans that are loaded early grow from the first layer and never reach the last, as the whole is loaded last.
func TestEarlySpansGrow(t *testing.T) {
	is := is.New(t)
	is.Equal(rolloutplanner.Early(16), []directory.Span{{To: 8}, {To: 12}})
	is.Equal(len(rolloutplanner.Early(0)), 0)
	for layers := range 40 {
		last := 0
		for _, s := range rolloutplanner.Early(layers) {
			is.True(s.From == 0 && s.To >= last && s.To < layers)
			last = s.To
		}
	}
}
