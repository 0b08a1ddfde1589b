package loadverifier

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/fleetconfig"
)

// Result is how a call to the engine ended.
type Result int

// Results of calls.
const (
	// Done says that the engine answered that it has carried the call out, or that its effect is there already.
	Done Result = iota
	// Refused says that nothing was done, and nothing will be: the engine answered so, or the connection was refused.
	Refused
	// Open says that there was no answer. A write or a command may still be carried out at any later time.
	Open
)

// Call holds the times of a call to the engine, since the start of the agent, and its result.
type Call struct {
	Sent, Ended time.Duration
	Result      Result
}

// StepKind is what a step is about.
type StepKind int

// Kinds of steps.
const (
	// StepDone says that the engine holds the wanted layers and all that it holds are proven.
	StepDone StepKind = iota
	// StepReport reads the engine's report.
	StepReport
	// StepWrite writes chunks of the wanted release to the staging area.
	StepWrite
	// StepRead reads chunks back.
	StepRead
	// StepCommand commands the engine to hold a range of layers.
	StepCommand
)

// Step is what is to be done next. The caller does it, records the result of each call, and asks for the next step.
type Step struct {
	Kind StepKind
	// Chunks lists the chunks to write or to read. Parallel is how many of them are written or read side by side.
	Chunks   []int
	Parallel int
	// Layers is the range to command, and Accepted the number of accepted commands to name.
	Layers   fleetconfig.LayerRange
	Accepted int64
}

// Inherited is the last gate state that a former agent announced. The zero value stands for an unknown one.
type Inherited struct {
	// StartTime is the incarnation of the engine that the state is about; zero if the state is unknown.
	StartTime int64
	// Served is the release that the state is about.
	Served fleetconfig.ServedModel
	// Closed says that the gate was closed for the release, and OpenWrites that writes had no answer.
	Closed, OpenWrites bool
}
