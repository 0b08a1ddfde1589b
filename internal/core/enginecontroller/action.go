package enginecontroller

import (
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/gate"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
)

// Want is what the configuration asks of the host.
type Want struct {
	// Set is the weight set to serve; empty means that the host has no part.
	Set ident.WeightSet
	// Offset is the configuration offset that asked for the set.
	Offset ident.Offset
	// Verified tells that all chunks of the set are held and verified.
	Verified bool
	// Permitted tells that the host may stop serving another set now.
	Permitted bool
	// Accepted are the sets that the host may go on serving meanwhile.
	Accepted []ident.WeightSet
	// Held is an accepted set whose chunks are all held and verified, to be loaded when the engine has lost its
	// weights while the wanted set is not verified yet. Empty means none.
	Held ident.WeightSet
}

// next returns the set to load into an engine that serves nothing.
func (w Want) next() ident.WeightSet {
	if w.Set == "" || w.Verified {
		return w.Set
	}
	return w.Held
}

// Kind is a kind of action.
type Kind string

// Kinds of actions.
const (
	// Wait means that there is nothing to do until something changes.
	Wait Kind = "wait"
	// Read means that the engine's state is to be read.
	Read Kind = "read"
	// Open means that the gate is to be opened on Set until Until.
	Open Kind = "open"
	// Close means that the gate is to be closed. Set is named when it is to be loaded next.
	Close Kind = "close"
	// Order means that the engine is to be ordered to load Set with Fence.
	Order Kind = "order"
	// Cancel means that the order in progress is to be given up.
	Cancel Kind = "cancel"
)

// Action is what the caller has to do next.
type Action struct {
	Kind  Kind
	Set   ident.WeightSet
	Epoch gate.Epoch
	Until time.Time
	Fence ident.Fence
}

// Result tells how an order ended.
type Result int

// Results of orders.
const (
	// Done means that the engine answered that it has loaded the set.
	Done Result = iota
	// Refused means that the engine refused the order and did not begin it.
	Refused
	// Failed means that the engine answered that the load failed.
	Failed
	// Lost means that no answer came, so that the order may still be carried out.
	Lost
)
