package zonerestrictor_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonerestrictor"
)

func TestRequestRunsOnlyWhereAllListsAllow(t *testing.T) {
	r := &zonerestrictor.Restrictor{
		Regions:     map[ident.Zone]ident.Region{"a1": "a", "a2": "a", "b1": "b"},
		IsEvacuated: func(z ident.Zone) bool { return z == "a2" },
	}
	regions := func(names ...ident.Region) []ident.Region { return names }
	for name, c := range map[string]struct {
		lists   [][]ident.Region
		allowed []ident.Zone
	}{
		"no restriction":             {nil, []ident.Zone{"a1", "b1", "unlisted"}},
		"empty lists":                {[][]ident.Region{nil, {}}, []ident.Zone{"a1", "b1", "unlisted"}},
		"route":                      {[][]ident.Region{regions("a"), nil}, []ident.Zone{"a1"}},
		"route and organisation":     {[][]ident.Region{regions("a", "b"), regions("b")}, []ident.Zone{"b1"}},
		"empty intersection":         {[][]ident.Region{regions("a"), regions("b")}, nil},
		"region without a zone":      {[][]ident.Region{regions("c")}, nil},
		"configurations that narrow": {[][]ident.Region{regions("a", "b"), nil, regions("b", "c"), nil}, []ident.Zone{"b1"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var allowed []ident.Zone
			for _, z := range []ident.Zone{"a1", "a2", "b1", "unlisted"} {
				if r.Allows(z, c.lists...) {
					allowed = append(allowed, z)
				}
			}
			is.Equal(allowed, c.allowed)
			is.Equal(r.AllowsAny(c.lists...), len(c.allowed) > 0)
		})
	}
}

// A restriction that cannot be checked must not be ignored.
func TestWithoutKnownRegionsRestrictedRequestsAreNotAllowed(t *testing.T) {
	is := is.New(t)
	var r zonerestrictor.Restrictor
	is.True(r.Allows("z"))
	is.True(!r.Allows("z", []ident.Region{""}))
	is.True(!r.AllowsAny([]ident.Region{"a"}))
}
