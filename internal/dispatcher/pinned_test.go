package dispatcher

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/outcome"
)

// A stream that resumes is refused by an endpoint that has moved to another weight set. The refusal refreshes the
// deployment of a request that has not begun; one that has begun stays on its weight set.
func TestResumedStreamStaysOnItsWeightSet(t *testing.T) {
	is := is.New(t)
	refreshed := catalog.EffectiveDeployment{WeightSet: "new", PreviousWeightSet: "old"}
	d := &Dispatcher{RefreshDeployment: func(context.Context, catalog.EffectiveDeployment, ident.Host, ident.Offset) catalog.EffectiveDeployment {
		return refreshed
	}}
	refusal := &outcome.Error{Kind: outcome.NotRun, Reason: outcome.OtherWeightSet}
	for _, isPinned := range []bool{false, true} {
		s := &requestState{weightSets: []ident.WeightSet{"old"}, isPinned: isPinned, tried: map[ident.Host]bool{"h": true}}
		d.handleRefusal(context.Background(), s, "h", refusal)
		if !isPinned {
			is.Equal(s.weightSets, []ident.WeightSet{"new", "old"})
			is.True(!s.tried["h"])
			continue
		}
		is.Equal(s.weightSets, []ident.WeightSet{"old"})
		is.True(s.tried["h"]) // the endpoint does not serve the set any more
	}
}
