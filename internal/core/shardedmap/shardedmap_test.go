package shardedmap

import (
	"maps"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegdock/nutmegdock/internal/rapidtest"
)

type version struct {
	got  Map[string, int]
	want map[string]int
}

// TestUpdatesKeepEarlierVersions compares every version of a map with a plain copy after all updates.
func TestUpdatesKeepEarlierVersions(t *testing.T) {
	key := rapid.StringMatching("[a-c]{0,3}")
	rapidtest.Check(t, func(_ *testing.T, rt *rapid.T) {
		versions := []version{{want: map[string]int{}}}
		for range rapid.IntRange(1, 30).Draw(rt, "updates") {
			base := versions[rapid.IntRange(0, len(versions)-1).Draw(rt, "version")]
			next := version{want: maps.Clone(base.want)}
			if rapid.Bool().Draw(rt, "set") {
				values := rapid.MapOfN(key, rapid.Int(), 0, 4).Draw(rt, "values")
				next.got = base.got.SetAll(values)
				maps.Copy(next.want, values)
			} else {
				k := key.Draw(rt, "key")
				next.got = base.got.Delete(k)
				delete(next.want, k)
			}
			versions = append(versions, next)
		}
		for _, v := range versions {
			if diff := cmp.Diff(v.want, maps.Collect(v.got.All())); diff != "" || v.got.Len() != len(v.want) {
				rt.Fatal(diff)
			}
		}
	})
}
