package assigner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

func newEngineHost(ids ...string) (*assigner.Assigner, []fleetconfig.Endpoint) {
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: engineProfile}})
	var all []fleetconfig.Endpoint
	for _, id := range ids {
		all = append(all, fleetconfig.Endpoint{ID: id, Pool: "p", Zone: "z", Address: id, Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}})
	}
	a.SetEndpoints(all)
	return a, all
}

func predictedFirstEvent(t *testing.T, a *assigner.Assigner) time.Duration {
	c, refusal := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 500, TimeLeft: 10 * time.Second})
	is.New(t).Equal(refusal, assigner.Refusal(""))
	a.Release(c, assigner.NotSent)
	return c.PredictedFirstEvent
}

// A stated pace must end with its age: an engine that does not respond any more states none.
func TestPaceIsUsedWhileItIsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, all := newEngineHost("e")
		normal := predictedFirstEvent(t, a)
		a.SetPace(all[0], assigner.Pace{Value: 2, AgeMs: 100})
		is.Equal(predictedFirstEvent(t, a), 2*normal)
		time.Sleep(399 * time.Millisecond)
		is.Equal(predictedFirstEvent(t, a), 2*normal)
		time.Sleep(2 * time.Millisecond)
		is.Equal(predictedFirstEvent(t, a), normal)
		earlier := all[0]
		earlier.StartTime++
		a.SetPace(earlier, assigner.Pace{Value: 2}) // another incarnation
		is.Equal(predictedFirstEvent(t, a), normal)
	})
}

// Engines of earlier deployments state a pace of one whatever their speed. What hosts learn must still count there.
func TestConstantPaceDoesNotReplaceWhatIsLearned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, all := newEngineHost("e")
		normal := predictedFirstEvent(t, a)
		for range 20 {
			c, _ := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 500, TimeLeft: 10 * time.Second})
			time.Sleep(3 * normal)
			a.RecordFirstEvent(c)
			a.Release(c, assigner.Served)
		}
		a.SetPace(all[0], assigner.Pace{Value: 1})
		is.True(predictedFirstEvent(t, a) > 3*normal/2)
	})
}

// The remaining tokens must fall as responses are generated, and be zero for callers that state no estimate, whose deployments
// must be served as before.
func TestRemainingTokensFallWhileAResponseIsGenerated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, all := newEngineHost("e")
		assign := func(tokens float64) *assigner.Assignment {
			c, refusal := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 500, TimeLeft: 10 * time.Second, ResponseTokens: tokens})
			is.Equal(refusal, assigner.Refusal(""))
			return c
		}
		assign(0)
		is.Equal(a.LocalLoad(all[0]).Response, assigner.ResponseLoad{})
		c := assign(200)
		is.Equal(a.LocalLoad(all[0]).Response, assigner.ResponseLoad{Requests: 1, Tokens: 200})
		time.Sleep(100 * time.Millisecond)
		a.RecordFirstEvent(c)
		before := a.LocalLoad(all[0]).Response
		is.Equal(before.Tokens, 200)
		time.Sleep(time.Second)
		after := a.LocalLoad(all[0]).Response
		is.True(after.Tokens > 80 && after.Tokens < 120) // about 10 ms a token
		is.True(before.After(time.Second).Tokens >= after.Tokens-5 && before.After(time.Second).Tokens <= after.Tokens+5)
		time.Sleep(10 * time.Second)
		is.True(a.LocalLoad(all[0]).Response.Tokens > 0) // longer than estimated
		a.Release(c, assigner.Served)
		is.Equal(a.LocalLoad(all[0]).Response, assigner.ResponseLoad{})
	})
}
