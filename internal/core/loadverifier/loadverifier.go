// Package loadverifier decides when a model engine may load what lies in its staging area, and which of the layers that
// it holds are proven to be intact. See docs/design/load-verification.md.
package loadverifier

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
	"github.com/nutmegdock/nutmegdock/internal/core/rolloutplanner"
)

// Verifier follows the staging area, the commands and the layers of one engine. It has no clock: all times are passed in,
// as the time since the start of the agent, suspensions included. It is used by one goroutine at a time.
type Verifier struct {
	served fleetconfig.ServedModel
}

// Inherit sets the last gate state that a former agent announced. It is called before the first report is recorded.
func (v *Verifier) Inherit(i Inherited) {
}

// Begin sets the release that the engine has to load, the numbers of its layers and chunks, and the range of layers that
// the engine has to hold. The zero range stands for all layers. A model without layers counts as one layer. Progress with
// the same release is kept.
func (v *Verifier) Begin(s fleetconfig.ServedModel, layers, chunks int, want fleetconfig.LayerRange) {
	v.served = s
}

// RecordReport records a report of the engine.
func (v *Verifier) RecordReport(c Call, r rolloutplanner.Report) {
}

// RecordWrite records the write of a chunk. current says that its bytes are those of the release of Begin.
func (v *Verifier) RecordWrite(chunk int, c Call, current bool) {
}

// RecordRead records that a chunk was read back. intact says that its bytes are those of the release of Begin. An answer that the
// engine does not have the chunk is Done and not intact.
func (v *Verifier) RecordRead(chunk int, c Call, intact bool) {
}

// RecordCommand records a command to hold a range of layers of the release of Begin, with the count that its step named.
func (v *Verifier) RecordCommand(layers fleetconfig.LayerRange, c Call) {
}

// Next returns what is to be done next.
func (v *Verifier) Next(now time.Duration) Step {
	return Step{}
}

// MayCommand reports whether a command may be sent now. It is asked right before the command is sent, with the gate closed.
func (v *Verifier) MayCommand(now time.Duration, layers fleetconfig.LayerRange) bool {
	return false
}

// Staged reports whether all chunks that the wanted layers need have been written.
func (v *Verifier) Staged() bool {
	return false
}

// Proven reports whether the engine holds layers, all of them are proven, and no command can change that: the gate may open.
func (v *Verifier) Proven() bool {
	return false
}

// OldestRead returns the age of the oldest read on which the layers that the last command added rest.
func (v *Verifier) OldestRead(now time.Duration) time.Duration {
	return 0
}

// Suspect returns the number of layers that have to be dropped and loaded again.
func (v *Verifier) Suspect() int {
	return 0
}

// OpenWrites returns the number of chunks with a write that may still be carried out.
func (v *Verifier) OpenWrites() int {
	return 0
}

// OpenCommands returns the number of commands that may still be accepted.
func (v *Verifier) OpenCommands() int {
	return 0
}
