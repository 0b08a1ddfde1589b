package coldtracker_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/nutmegdock/nutmegdock/internal/core/coldtracker"
	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

const start = 3 * time.Second

func endpoint(id string, startTime int64) fleetconfig.Endpoint {
	return fleetconfig.Endpoint{ID: id, Pool: "p", Zone: "z", StartTime: startTime, ReadAt: time.Now()}
}

// newTracker returns the tracker of a host that has known endpoint a for long.
func newTracker() *coldtracker.Tracker {
	t := &coldtracker.Tracker{Overshoot: 1.5, Slack: 5}
	t.SetPools(map[ident.Pool]*fleetconfig.Pool{
		"p": {Name: "p", ColdRate: 17, ColdStart: start, Engine: &fleetconfig.EngineProfile{}}, "plain": {Name: "plain", ColdRate: 17, ColdStart: start},
		"off": {Name: "off", ColdStart: start}, "off2": {Name: "off2", ColdRate: 17},
	})
	t.SetEndpoints([]fleetconfig.Endpoint{endpoint("a", 1)})
	time.Sleep(start)
	return t
}

// Guards against an endpoint that is not taken for cold for one of the reasons, or for longer or shorter than it is.
func TestEndpointIsColdForEachReason(t *testing.T) {
	for reason, c := range map[coldtracker.Reason]func(tr *coldtracker.Tracker, e *fleetconfig.Endpoint){
		coldtracker.Entry: func(_ *coldtracker.Tracker, e *fleetconfig.Endpoint) {
			e.WarmupRemaining, e.ReadAt = start, time.Now()
		},
		coldtracker.Start:      func(_ *coldtracker.Tracker, e *fleetconfig.Endpoint) { e.StartTime = 2 },
		coldtracker.Evacuation: func(tr *coldtracker.Tracker, _ *fleetconfig.Endpoint) { tr.RecordEvacuationEnd("z") },
		coldtracker.Responder: func(tr *coldtracker.Tracker, e *fleetconfig.Endpoint) {
			tr.RecordResponder(*e, fleetconfig.Coldness{Rate: 17, Remaining: start})
		},
	} {
		t.Run(string(reason), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				tr := newTracker()
				e := endpoint("a", 1)
				is.True(!tr.IsCold(e))
				is.True(!tr.NeedsPermit(e))
				var changes []bool
				var reasons []coldtracker.Reason
				tr.OnChange = func(_ fleetconfig.Endpoint, isCold bool, r coldtracker.Reason, _ time.Duration) {
					changes, reasons = append(changes, isCold), append(reasons, r)
				}
				c(tr, &e)
				tr.SetEndpoints([]fleetconfig.Endpoint{e})
				is.True(tr.IsCold(e))
				is.True(tr.NeedsPermit(e))
				is.Equal(tr.ColdEndpoints(), 1)
				is.Equal(reasons[0], reason)
				// What a responder has said is not told to responders again.
				is.Equal(tr.Claim(e).Remaining > 0, reason != coldtracker.Responder)
				time.Sleep(start - time.Millisecond)
				is.True(tr.IsCold(e))
				time.Sleep(2 * time.Millisecond)
				tr.SetEndpoints([]fleetconfig.Endpoint{e})
				is.True(!tr.IsCold(e))
				is.True(!tr.NeedsPermit(e))
				is.Equal(changes, []bool{true, false})
			})
		})
	}
}

// Guards against any effect on pools without both settings.
func TestNothingIsColdWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTracker()
		tr.IsCurrent = func() bool { return false }
		for _, pool := range []ident.Pool{"off", "off2", "unknown"} {
			e := endpoint("x", 1)
			e.Pool, e.WarmupRemaining = pool, start
			tr.SetEndpoints([]fleetconfig.Endpoint{e})
			tr.RecordEvacuationEnd("z")
			tr.RecordResponder(e, fleetconfig.Coldness{Rate: 17, Remaining: start})
			is.True(!tr.IsCold(e))
			is.True(!tr.NeedsPermit(e))
			is.True(!tr.Claim(e).IsKnown())
			is.Equal(tr.ColdEndpoints(), 0)
		}
	})
}

// Guards against requests without permits of a host that has just started, has not read the store, or was suspended.
func TestHostThatKnowsTooLittleNeedsPermits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTracker()
		isCurrent := true
		tr.IsCurrent = func() bool { return isCurrent }
		a := endpoint("a", 1)
		is.True(!tr.NeedsPermit(a))
		isCurrent = false
		is.True(tr.NeedsPermit(a))
		tr.RecordResponder(a, fleetconfig.Coldness{Rate: 17})
		is.True(tr.NeedsPermit(a)) // the responder is not sure
		tr.RecordResponder(a, fleetconfig.Coldness{Rate: 17, IsSure: true})
		is.True(!tr.NeedsPermit(a))
		time.Sleep(300 * time.Millisecond)
		is.True(tr.NeedsPermit(a))
		isCurrent = true
		is.True(!tr.NeedsPermit(a))
		tr.RecordSuspension()
		is.True(tr.NeedsPermit(a))
		time.Sleep(start)
		is.True(!tr.NeedsPermit(a))
		is.True(tr.NeedsPermit(endpoint("unlisted", 1)))
		started := &coldtracker.Tracker{}
		started.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", ColdRate: 17, ColdStart: start}})
		is.True(started.NeedsPermit(a))
		started.SetEndpoints([]fleetconfig.Endpoint{a})
		is.True(!started.IsCold(a))
		is.True(started.NeedsPermit(a))
	})
}

// Guards against an entry that disappears and returns and counts as a new start.
func TestKnownIncarnationThatReturnsIsNotCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTracker()
		tr.SetEndpoints(nil)
		time.Sleep(time.Second)
		tr.SetEndpoints([]fleetconfig.Endpoint{endpoint("a", 1)})
		is.True(!tr.NeedsPermit(endpoint("a", 1)))
	})
}

// Guards against permits of all responders together that exceed the bound, and against a rate that is used too little.
func TestPermitsFitIntoTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr := newTracker()
		const bound, burst = 30.5, 1.5
		e := endpoint("a", 1)
		lifetime := tr.PermitLifetime(e)
		is.Equal(tr.Claim(e).Rate, ident.Rate(17))
		is.True(17*(1+lifetime.Seconds())+burst <= bound)
		plain := e
		plain.Pool = "plain"
		lifetime = tr.PermitLifetime(plain)
		excess := tr.Excess("plain")
		is.True(excess >= 1)
		const responders = 6
		is.True(excess*17*(1+lifetime.Seconds())+responders*burst <= bound)
		strict := &coldtracker.Tracker{}
		strict.SetPools(map[ident.Pool]*fleetconfig.Pool{"p": {Name: "p", ColdRate: 17, ColdStart: start, Engine: &fleetconfig.EngineProfile{}}})
		is.True(float64(strict.Claim(e).Rate)*(1+strict.PermitLifetime(e).Seconds())+burst <= 17.0001)
	})
}
