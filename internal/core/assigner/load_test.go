package assigner_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// The entry of an endpoint was removed and written again while a request was in progress there, and the end of that request
// was taken off the load of those that had been sent since.
func TestLoadIsTooLowAfterEntryOfEndpointReturned(t *testing.T) {
	is := is.New(t)
	a := &assigner.Assigner{Zone: "z", Random: func() float64 { return 0 }}
	e := fleetconfig.Endpoint{ID: "e", Pool: "p", Address: "e", Zone: "z", Slots: 10}
	assign := func() *assigner.Assignment {
		choice, refusal := a.Assign(assigner.Query{Pool: "p", PromptTokens: 100, Rank: 2, TimeLeft: time.Second})
		is.Equal(refusal, assigner.Refusal(""))
		return choice
	}
	a.SetEndpoints([]fleetconfig.Endpoint{e})
	first, second := assign(), assign()
	a.SetEndpoints(nil)
	a.SetEndpoints([]fleetconfig.Endpoint{e})
	third := assign()
	a.RecordFirstEvent(first)
	a.Release(first, assigner.Served)
	a.Release(second, assigner.Served)
	want := assigner.Load{Requests: 1, PendingPromptTokens: 100}
	want.Classes[2] = assigner.ClassLoad{Requests: 1, Waiting: 1, PendingPromptTokens: 100}
	is.Equal(a.LocalLoad(e), want)
	a.RecordFirstEvent(third)
	want = assigner.Load{Requests: 1}
	want.Classes[2] = assigner.ClassLoad{Requests: 1}
	is.Equal(a.LocalLoad(e), want)
	a.Release(third, assigner.Served)
	is.Equal(a.LocalLoad(e), assigner.Load{})
}
