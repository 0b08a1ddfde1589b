package enginecontroller

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Want is the state that the configuration requires of the endpoint host.
type Want struct {
	// Set is the weight set to serve. It is empty if the host is not assigned to any deployment.
	Set ident.WeightSet
	// Offset is the configuration offset at which the set was assigned.
	Offset ident.Offset
	// Verified reports whether all chunks of the set are held and verified.
	Verified bool
	// Permitted reports whether the host may stop serving its current set now.
	Permitted bool
	// Accepted lists the sets that the host may continue to serve until it switches.
	Accepted []ident.WeightSet
	// Held is an accepted set whose chunks are all held and verified. It is loaded if the engine has lost its weights
	// before the wanted set is verified. It is empty if there is no such set.
	Held ident.WeightSet
}

// nextSet returns the set to load into an engine that has no weights.
func (w Want) nextSet() ident.WeightSet {
	if w.Set == "" || w.Verified {
		return w.Set
	}
	return w.Held
}

// Kind is the kind of an action.
type Kind string

// Kinds of actions.
const (
	// Wait does nothing until something changes.
	Wait Kind = "wait"
	// Read reads the engine's state.
	Read Kind = "read"
	// Open opens the gate for Action.Set until Action.Until.
	Open Kind = "open"
	// Close closes the gate. Action.Set is given if that set is to be loaded next.
	Close Kind = "close"
	// Order sends the engine a command to load Action.Set with the fencing token Action.Fence.
	Order Kind = "order"
	// Cancel cancels the load command in progress.
	Cancel Kind = "cancel"
)

// Action is what the caller must do next.
type Action struct {
	Kind  Kind
	Set   ident.WeightSet
	Epoch gate.Epoch
	Until time.Time
	Fence ident.Fence
}

// Result is the result of a load command.
type Result int

// Results of load commands.
const (
	// Done means that the engine responded that it has loaded the set.
	Done Result = iota
	// Refused means that the engine refused the command and did not begin the load.
	Refused
	// Failed means that the engine responded that the load failed.
	Failed
	// Lost means that no response arrived; the engine may still execute the command.
	Lost
)
