package loadverifier

import (
	"slices"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

// reportLag is the maximum age of what a report says. The engine states some hundred ms; its own machine gets fresh ones.
const reportLag = time.Second

// engineState is what the reports of the engine say.
type engineState struct {
	reported bool
	// call and report are the newest report.
	call   Call
	report rolloutplanner.Report
	// accepted is the number of commands that the engine has accepted.
	accepted int64
	// served is the release whose layers are held, and held when each of them was taken.
	served fleetconfig.ServedModel
	held   map[int]*acceptance
	// last is the newest acceptance. Layers that appear were taken at it.
	last *acceptance
	// hasFormer says that a former agent may have sent a command that names the current count.
	hasFormer bool
}

// acceptances returns the acceptances that reads can prove.
func (e *engineState) acceptances() []*acceptance {
	var out []*acceptance
	if e.last != nil {
		out = append(out, e.last)
	}
	for _, a := range e.held {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// RecordReport records a report of the engine.
func (v *Verifier) RecordReport(c Call, r rolloutplanner.Report) {
	v.seen = max(v.seen, c.Ended)
	e := &v.engine
	if c.Result != Done {
		return
	}
	if len(v.chunks) == 0 {
		// It is recorded again once the release is known.
		e.reported, e.call, e.report = true, c, r
		return
	}
	switch {
	case !e.reported:
		v.adopt(c, r)
	case c.Sent < e.call.Sent:
		return
	case r.StartTime != e.report.StartTime:
		v.recordRestart()
	case r.LoadCommands < e.accepted:
		return // older than an answer or another report
	}
	if r.LoadCommands > e.accepted {
		v.recordAcceptance(c, r)
	}
	e.reported, e.call, e.report = true, c, r
	v.commands = slices.DeleteFunc(v.commands, func(o command) bool {
		// A command that is done, but has not been accepted, was in effect already.
		return o.accepted < e.accepted || o.call.Result == Done && c.Sent >= o.call.Ended+reportLag
	})
	v.updateHeld(c, r)
}

// adopt takes over an engine whose state is that of a former agent.
func (v *Verifier) adopt(c Call, r rolloutplanner.Report) {
	e := &v.engine
	isKnown := v.inherited.StartTime != 0 && v.inherited.StartTime == r.StartTime
	for i := range v.chunks {
		if isKnown && v.inherited.OpenWrites {
			v.chunks[i].mayRepair, v.chunks[i].maySpoil, v.chunks[i].openSent = true, true, c.Sent
		}
	}
	// A gate opens only once no command can be accepted late. Nothing is known about a former agent without a state.
	e.accepted, e.hasFormer = r.LoadCommands, isKnown && v.inherited.Closed
	e.last = newAcceptance(never, c.Ended, v.chunks)
	if isKnown && v.inherited.Closed {
		return
	}
	release, layers := v.reported(r)
	e.served, e.held = release, make(map[int]*acceptance)
	trusted := &acceptance{isTrusted: true}
	for layer := layers.from; layer < layers.to; layer++ {
		e.held[layer] = trusted
	}
}

// recordRestart forgets what the engine has forgotten. What was sent since the newest report of the former incarnation may
// have reached the new one.
func (v *Verifier) recordRestart() {
	e := &v.engine
	for i := range v.chunks {
		v.chunks[i].forgetOpen(e.call.Sent)
		v.chunks[i].forgetStaged()
	}
	v.commands = slices.DeleteFunc(v.commands, func(o command) bool { return o.call.Sent < e.call.Sent || o.accepted > 0 })
	for i := range v.commands {
		v.commands[i].call.Result = Open // an answer may be that of the former incarnation
	}
	v.attempt = attempt{start: v.seen, previous: v.seen}
	v.engine = engineState{}
}

// recordAcceptance records that the engine has accepted a command since the last report.
func (v *Verifier) recordAcceptance(c Call, r rolloutplanner.Report) {
	e := &v.engine
	isSingle := r.LoadCommands == e.accepted+1
	sent, known := c.Sent, c.Ended
	hasCommand := false
	for _, o := range v.commands {
		if o.accepted < e.accepted {
			continue
		}
		hasCommand = true
		sent = min(sent, o.call.Sent)
		if isSingle && o.call.Result == Done {
			// Its range was not the one that was held, so that the answer says that it or an equal one had been accepted.
			known = min(known, o.call.Ended)
		}
	}
	if !hasCommand || e.hasFormer {
		sent = never
	}
	if e.reported {
		sent = max(sent, e.call.Sent-reportLag) // the last report says that it had not been accepted
	}
	e.last = newAcceptance(sent, known, v.chunks)
	e.accepted, e.hasFormer = r.LoadCommands, false
	if !isSingle {
		e.held = nil // layers may have been dropped and loaded again in between
	}
}

// updateHeld sets the layers that the engine holds. Those that it held before it has kept.
func (v *Verifier) updateHeld(c Call, r rolloutplanner.Report) {
	e := &v.engine
	release, layers := v.reported(r)
	former := e.held
	if release != e.served {
		former = nil
	}
	e.served, e.held = release, make(map[int]*acceptance)
	taken := e.last
	switch {
	case release != v.served:
		// Accepted late: what was staged is no longer, or was not even then, what the report names.
		taken = &acceptance{isLost: true}
	case taken == nil:
		taken = newAcceptance(never, c.Ended, v.chunks)
		e.last = taken
	}
	for layer := layers.from; layer < layers.to; layer++ {
		e.held[layer] = taken
		if a, ok := former[layer]; ok {
			e.held[layer] = a
		}
	}
}

// reported returns the release and the layers that a report shows.
func (v *Verifier) reported(r rolloutplanner.Report) (fleetconfig.ServedModel, span) {
	s := fleetconfig.ServedModel{Model: v.served.Model, Release: r.LoadedRelease(v.served.Model)}
	if s.Release == 0 {
		return s, span{}
	}
	return s, v.spanOf(r.Layers)
}
