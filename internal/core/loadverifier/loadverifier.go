// Package loadverifier decides when a model engine may load what lies in its staging area, and which of the layers that
// it holds are proven to be intact. See docs/design/load-verification.md.
package loadverifier

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// maxAge is the maximum age of the read of a chunk when the engine accepts a command. The users tolerate a chunk that has
// been corrupt for 3 s; 0.5 s are left for the rates of clocks and their resolution.
const maxAge = 2500 * time.Millisecond

// Verifier follows the staging area, the commands and the layers of one engine. It has no clock: all times are passed in,
// as the time since the start of the agent, suspensions included. It is used by one goroutine at a time.
type Verifier struct {
	served    fleetconfig.ServedModel
	layers    int
	hasLayers bool
	want      span
	chunks    []chunk
	inherited Inherited
	pace      pace
	// seen is the newest time that a method has been told.
	seen time.Duration

	engine   engineState
	commands []command
	// named is the count that the last command step names, and commandEnded when the last command ended.
	named        int64
	commandEnded time.Duration
	// commandChunks lists the chunks of the layers that the last command added.
	commandChunks []int
	attempt       attempt
}

// command is a command that the engine may have accepted or may still accept.
type command struct {
	call     Call
	layers   span
	accepted int64
}

// Inherit sets the last gate state that a former agent announced. It is called before the first report is recorded.
func (v *Verifier) Inherit(i Inherited) {
	v.inherited = i
}

// Begin sets the release that the engine has to load, the numbers of its layers and chunks, and the range of layers that
// the engine has to hold. The zero range stands for all layers. A model without layers counts as one layer. Progress with
// the same release is kept.
func (v *Verifier) Begin(s fleetconfig.ServedModel, layers, chunks int, want fleetconfig.LayerRange) {
	isFirst := len(v.chunks) == 0
	isSame := s == v.served && chunks == len(v.chunks) && max(1, layers) == v.layers
	if !isSame {
		v.beginRelease(chunks)
	}
	v.served, v.layers, v.hasLayers = s, max(1, layers), layers > 0
	former := v.want
	v.want = v.spanOf(want)
	if !isSame || v.want != former {
		// A caller that begins again after an error must not lose the failures that lead to a smaller range.
		v.attempt = attempt{start: v.seen, previous: v.seen}
	}
	if isFirst && v.engine.reported {
		early := v.engine
		v.engine = engineState{}
		v.RecordReport(early.call, early.report)
	}
}

// beginRelease forgets what is staged. A write without an answer may put bytes of a former release into the staging area;
// these may also be the right ones, since releases share chunks.
func (v *Verifier) beginRelease(chunks int) {
	// What is staged from now on says nothing about the layers that the engine holds.
	for layer, a := range v.engine.held {
		v.engine.held[layer] = &acceptance{isTrusted: v.isLayerSound(layer, a), isLost: true}
	}
	if v.engine.last != nil {
		v.engine.last = &acceptance{isLost: true}
	}
	former := v.chunks
	v.chunks = make([]chunk, chunks)
	for i := range v.chunks {
		v.chunks[i] = newChunk()
		if i < len(former) {
			v.chunks[i].inherit(former[i])
		}
	}
}

// RecordWrite records the write of a chunk. current says that its bytes are those of the release of Begin.
func (v *Verifier) RecordWrite(chunk int, c Call, current bool) {
	v.record(c)
	v.chunks[chunk].recordWrite(c, current)
}

// RecordRead records that a chunk was read back. intact says that its bytes are those of the release of Begin. An answer
// that the engine does not have the chunk is Done and not intact.
func (v *Verifier) RecordRead(chunk int, c Call, intact bool) {
	v.record(c)
	if c.Result != Done {
		return
	}
	v.chunks[chunk].recordRead(c, intact)
	for _, a := range v.engine.acceptances() {
		a.recordRead(chunk, &v.chunks[chunk], c, intact)
	}
}

// RecordCommand records a command to hold a range of layers of the release of Begin, with the count that its step named.
func (v *Verifier) RecordCommand(layers fleetconfig.LayerRange, c Call) {
	v.record(c)
	v.commandEnded = max(v.commandEnded, c.Ended)
	v.attempt = attempt{start: v.seen, previous: v.seen}
	s := v.spanOf(layers)
	v.commandChunks = v.chunksOf(s, v.heldSpan())
	if c.Result != Refused {
		v.commands = append(v.commands, command{call: c, layers: s, accepted: v.named})
	}
}

func (v *Verifier) record(c Call) {
	v.seen = max(v.seen, c.Ended)
	v.pace.record(c.Ended - c.Sent)
}

// Proven reports whether the engine holds layers, all of them are proven, and no command can change that: the gate may
// open.
func (v *Verifier) Proven() bool {
	if !v.isReportCurrent() || v.engine.report.Loading || len(v.engine.held) == 0 || len(v.commands) > 0 {
		return false
	}
	for layer, a := range v.engine.held {
		if !v.isLayerSound(layer, a) {
			return false
		}
	}
	return true
}

// OldestRead returns the age of the oldest read on which the layers that the last command added rest; zero if it added
// none.
func (v *Verifier) OldestRead(now time.Duration) time.Duration {
	var age time.Duration
	for _, i := range v.commandChunks {
		if i < len(v.chunks) && v.chunks[i].read.Sent > never {
			age = max(age, now-v.chunks[i].read.Sent)
		}
	}
	return age
}

// Suspect returns the number of layers that have to be dropped and loaded again.
func (v *Verifier) Suspect() int {
	n := 0
	h := v.heldSpan()
	for layer := h.from; layer < h.to; layer++ {
		if v.isSuspect(layer) {
			n++
		}
	}
	return n
}

// OpenWrites returns the number of chunks with a write that may still be carried out.
func (v *Verifier) OpenWrites() int {
	n := 0
	for i := range v.chunks {
		if v.chunks[i].mayRepair || v.chunks[i].maySpoil {
			n++
		}
	}
	return n
}

// OpenCommands returns the number of commands that may still be accepted.
func (v *Verifier) OpenCommands() int {
	n := 0
	for _, c := range v.commands {
		if c.call.Result == Open {
			n++
		}
	}
	return n
}

// isReportCurrent reports whether the newest report was asked for after the last command had ended.
func (v *Verifier) isReportCurrent() bool {
	return v.engine.reported && v.engine.call.Sent >= v.commandEnded
}
