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

// Guards against a prediction for a cold endpoint from those that are not cold, and the other way round.
func TestSlowdownOfColdEndpointsIsLearnedApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		isCold := map[string]bool{"cold1": true, "cold2": true}
		a := &assigner.Assigner{IsCold: func(e fleetconfig.Endpoint) bool { return isCold[e.ID] }, Random: func() float64 { return 0 }}
		a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: &fleetconfig.EngineProfile{
			Slots: 12, StepsPerPass: 5, StepTime: 10 * time.Millisecond, PrefillRate: 20000, PromptTokens: 1000, ResponseTokens: 100,
		}}})
		var all []fleetconfig.Endpoint
		for _, id := range []string{"cold1", "cold2", "warm"} {
			all = append(all, fleetconfig.Endpoint{ID: id, Pool: "p", Address: id + ":80", Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}}})
		}
		a.SetEndpoints(all)
		predict := func(id string) time.Duration {
			c, refusal := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 1000, TimeLeft: 10 * time.Second, Among: map[string]bool{id: true}})
			is.Equal(refusal, assigner.Refusal(""))
			a.Release(c, assigner.NotSent)
			return c.PredictedFirstEvent
		}
		nominal := predict("warm")
		is.Equal(predict("cold1"), nominal)
		for range 10 {
			c, _ := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 1000, TimeLeft: 10 * time.Second, Among: map[string]bool{"cold1": true}})
			time.Sleep(3 * nominal)
			a.RecordFirstEvent(c)
			a.Release(c, assigner.Served)
		}
		is.Equal(predict("warm"), nominal)
		ratio := float64(predict("cold2")) / float64(nominal) // of what was observed at the other cold endpoint
		is.True(ratio > 2.9 && ratio < 3.1)
		isCold = nil
		is.Equal(predict("cold1"), nominal)
	})
}
