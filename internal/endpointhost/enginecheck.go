package endpointhost

import (
	"context"
	"fmt"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// newEngineCheck records the engine epoch for which the gate is open, and returns a function that fails unless the
// engine is still in that epoch and serves the set.
func (s *Server) newEngineCheck(set ident.WeightSet) endpointproxy.ConfirmWeights {
	atStart := s.gate.Status()
	return func(ctx context.Context) error {
		state, err := s.reconciler.Loader.State(ctx)
		if err == nil && enginecontroller.WeightsUnchanged(atStart, set, state) {
			return nil
		}
		event.WeightSetMismatch.Log(s.Logger, log.Fields{"set": set, "engine": state.WeightSet})
		if err != nil {
			return fmt.Errorf("weights are not confirmed: %w", err)
		}
		return fmt.Errorf("weights are not confirmed: request is pinned to set %.12q, engine reports %.12q", set, state.WeightSet)
	}
}
