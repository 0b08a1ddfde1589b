package loadexchanger

import (
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// maxColdTime is the longest time for which a responder believes that an endpoint is cold without being told again. It
// bounds the effect of a wrong message.
const maxColdTime = time.Minute

// coldStatement is a fleetconfig.Coldness with times in milliseconds.
type coldStatement struct {
	_                struct{} `cbor:",toarray"`
	Rate             ident.Rate
	Remaining, Start int64
	IsSure           bool
}

// newColdStatement returns nil if the endpoint cannot be cold.
func newColdStatement(c fleetconfig.Coldness) *coldStatement {
	if !c.IsKnown() {
		return nil
	}
	// Rounded up, so that a host that passes a time on never shortens it.
	ceil := func(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
	return &coldStatement{Rate: c.Rate, Remaining: ceil(c.Remaining), Start: ceil(c.Start), IsSure: c.IsSure}
}

// coldness returns the statement with times that are bounded by maxColdTime.
func (s *coldStatement) coldness() fleetconfig.Coldness {
	if s == nil || s.Rate <= 0 {
		return fleetconfig.Coldness{}
	}
	bounded := func(ms int64) time.Duration {
		return time.Duration(min(max(0, ms), maxColdTime.Milliseconds())) * time.Millisecond
	}
	return fleetconfig.Coldness{Rate: s.Rate, Remaining: bounded(s.Remaining), Start: bounded(s.Start), IsSure: s.IsSure}
}

// coldClaimOf returns what this host knows about an endpoint that may be cold, or nil if it is none.
func (x *Exchanger) coldClaimOf(e fleetconfig.Endpoint) *coldStatement {
	if x.Cold == nil {
		return nil
	}
	return newColdStatement(x.Cold(e))
}

// permitShare returns the part of the permits for an endpoint that this process may give.
func (x *Exchanger) permitShare(endpoint string, s *coldStatement) float64 {
	if x.PermitShare == nil || s == nil {
		return 1
	}
	return x.PermitShare(endpoint)
}

// notifyCold passes on what the responder says about an endpoint.
func (x *Exchanger) notifyCold(e fleetconfig.Endpoint, s *coldStatement) {
	if c := s.coldness(); x.OnCold != nil && c.IsKnown() {
		x.OnCold(e, c)
	}
}

// recordCold merges what a host says about an endpoint that may be cold, and returns what this responder knows. An
// incarnation that this process has not known before may be cold without its knowledge. share is the part of the permits
// that this process may give; without any, it vouches for nothing.
func (e *endpointTracker) recordCold(c fleetconfig.Coldness, share float64) fleetconfig.Coldness {
	if !c.IsKnown() {
		return fleetconfig.Coldness{}
	}
	rate := c.Rate * ident.Rate(share)
	if !e.hasColdClaim || share <= 0 {
		e.hasColdClaim = true
		e.limiter.RecordUnsure(rate, c.Start)
	}
	e.limiter.RecordCold(rate, c.Remaining)
	out := fleetconfig.Coldness{Rate: c.Rate, Start: c.Start}
	out.Remaining, out.IsSure = e.limiter.ColdRemaining()
	return out
}

// rateChange returns the log fields of the rate of the permits for an endpoint that may be cold, or nil if it is as
// before.
func (e *endpointTracker) rateChange(id string, startTime int64) log.Fields {
	if !e.hasColdClaim {
		return nil
	}
	stated, cold, applies := e.limiter.Rates()
	if applies == e.applies && cold == e.coldRate {
		return nil
	}
	e.applies, e.coldRate = applies, cold
	f := log.Fields{"endpoint": id, "born": startTime, "applies": applies}
	if stated > 0 {
		f["stated"] = float64(stated)
	}
	if cold > 0 {
		f["cold"] = float64(cold)
	}
	return f
}

// logRateChange logs a change of the rate of the permits, unless fields is nil.
func (x *Exchanger) logRateChange(fields log.Fields) {
	if fields != nil {
		event.PermitRateChanged.Log(x.Logger, fields)
	}
}
