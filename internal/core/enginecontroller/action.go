package enginecontroller

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Target is the state that the configuration requires of the endpoint host.
type Target struct {
	// Set is the weight set to serve. It is empty if the host is not assigned to any deployment.
	Set ident.WeightSet
	// Offset is the configuration offset at which the set was assigned.
	Offset ident.Offset
	// Verified reports whether all chunks of the set are held and verified.
	Verified bool
	// SwitchAllowed reports whether the host may stop serving its current set now.
	SwitchAllowed bool
	// AcceptedSets lists the sets that the host may continue to serve until it switches.
	AcceptedSets []ident.WeightSet
	// FallbackSet is an accepted set whose chunks are all held and verified. It is loaded if the engine has lost its
	// weights before the wanted set is verified. It is empty if there is no such set.
	FallbackSet ident.WeightSet
}

// nextSet returns the set to load into an engine that has no weights.
func (target Target) nextSet() ident.WeightSet {
	if target.Set == "" || target.Verified {
		return target.Set
	}
	return target.FallbackSet
}

// ActionKind is the kind of an action.
type ActionKind string

// Kinds of actions.
const (
	// ActionWait does nothing until something changes.
	ActionWait ActionKind = "wait"
	// ActionReadState reads the engine's state.
	ActionReadState ActionKind = "read"
	// ActionOpenGate opens the gate for Action.Set until Action.Until.
	ActionOpenGate ActionKind = "open"
	// ActionCloseGate closes the gate. Action.Set is given if that set is to be loaded next.
	ActionCloseGate ActionKind = "close"
	// ActionLoad sends the engine a command to load Action.Set with the fencing token Action.FencingToken.
	ActionLoad ActionKind = "order"
	// ActionCancelLoad cancels the load command in progress.
	ActionCancelLoad ActionKind = "cancel"
)

// Action is what the caller must do next.
type Action struct {
	Kind         ActionKind
	Set          ident.WeightSet
	Epoch        gate.WeightsEpoch
	Until        time.Time
	FencingToken ident.FencingToken
}

// LoadResult is the result of a load command.
type LoadResult int

// Results of load commands.
const (
	// LoadDone means that the engine responded that it has loaded the set.
	LoadDone LoadResult = iota
	// LoadRefused means that the engine refused the command and did not begin the load.
	LoadRefused
	// LoadFailed means that the engine responded that the load failed.
	LoadFailed
	// LoadResponseLost means that no response arrived; the engine may still execute the command.
	LoadResponseLost
)
