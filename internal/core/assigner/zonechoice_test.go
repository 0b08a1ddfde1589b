package assigner_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/assigner"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/zonebalancer"
)

// threeZones returns an assigner in zone z0 with a balancer and four engines in each of three zones.
func threeZones(seed uint64) (*assigner.Assigner, []fleetconfig.Endpoint) {
	a := &assigner.Assigner{Zone: "z0", Random: lockedRandom(seed), Balancer: &zonebalancer.Balancer{Zone: "z0"}}
	a.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", Engine: engineProfile}})
	var all []fleetconfig.Endpoint
	for i := range 12 {
		all = append(all, fleetconfig.Endpoint{
			ID: fmt.Sprint(i), Pool: "p", Zone: ident.Zone(fmt.Sprint("z", i%3)), Address: fmt.Sprint("10.0.0.", i, ":80"), Models: []fleetconfig.ServedModel{{Model: "m", Release: 1}},
		})
	}
	a.SetEndpoints(all)
	return a, all
}

var fullLoad = assigner.Load{Requests: 40, PendingPromptTokens: 40000}

// Guards against a zone that is used although it is restricted for the request, because all others are full, cut off or
// without an endpoint that can be used.
func TestRestrictedZoneIsNeverUsed(t *testing.T) {
	for seed := range uint64(50) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			a, all := threeZones(seed)
			mayUse := func(z ident.Zone) bool { return z != "z2" }
			switch seed % 3 {
			case 1:
				a.Balancer.RecordCutOff("z1")
			case 2:
				for _, e := range all {
					if e.Zone == "z0" {
						a.RecordLeaving(e)
					}
				}
			}
			q := assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 900, TimeLeft: objective, MayUse: mayUse, Among: make(map[string]bool)}
			for round := range assigner.MaxRounds {
				for _, e := range a.Candidates(q, q.Among, round > 0) {
					is.True(e.Zone != "z2")
					a.SetReport(e, fullLoad)
				}
				_, refusal := a.Assign(q)
				is.True(refusal != "")
			}
			for _, among := range []map[string]bool{nil, {"2": true, "5": true}} {
				q.Among = among
				choice, _ := a.Assign(q)
				is.True(choice == nil || choice.Endpoint.Zone != "z2")
			}
		})
	}
}

// Guards against requests to an endpoint of another zone whose load is not known while the own zone has endpoints, as on a
// host that has just started, and against refusals when the own zone has none.
func TestOtherZoneNeedsRecentReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, all := threeZones(1)
		q := assigner.Query{Pool: "p", Model: "m", Release: 1, PromptTokens: 900, TimeLeft: objective, Among: make(map[string]bool)}
		for _, e := range all {
			q.Among[e.ID] = true
			if e.Zone == "z0" {
				a.SetReport(e, fullLoad)
			}
		}
		_, refusal := a.Assign(q)
		is.Equal(refusal, assigner.Overload)
		a.SetReport(all[1], assigner.Load{})
		choice, refusal := a.Assign(q)
		is.Equal(refusal, assigner.Refusal(""))
		is.Equal(choice.Endpoint.ID, "1")
		time.Sleep(300 * time.Millisecond) // the reply is too old
		_, refusal = a.Assign(q)
		is.Equal(refusal, assigner.Overload)
		for _, e := range all {
			if e.Zone == "z0" {
				a.RecordLeaving(e)
			}
		}
		time.Sleep(time.Second) // no mean of reports is in use either
		choice, refusal = a.Assign(q)
		is.Equal(refusal, assigner.Refusal(""))
		is.True(choice.Endpoint.Zone != "z0")
	})
}

// Guards against a zone that was cut off and is used with all requests at once when it returns.
func TestCutOffZoneIsReportedToBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a, all := threeZones(1)
		share := func() float64 { return a.Balancer.Statuses()["z1"].Share }
		a.Balancer.RecordRoundTrip("z1", time.Millisecond)
		is.Equal(share(), 1.0)
		time.Sleep(time.Second) // no endpoint has responded recently
		choice, _ := a.Assign(assigner.Query{Pool: "p", Model: "m", Release: 1, TimeLeft: objective, Among: map[string]bool{all[1].ID: true}})
		a.Release(choice, assigner.Unreachable)
		is.Equal(share(), 0.0)
		for _, p := range a.DueProbes() {
			is.True(a.RecordProbe(p, true))
		}
		is.Equal(share(), 0.25)
	})
}
