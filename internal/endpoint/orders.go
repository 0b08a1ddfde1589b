package endpoint

import (
	"context"
	"fmt"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/endpointproxy"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

// watch notes the epoch on which the gate is open, and returns a check that the engine is still in it.
func (s *Server) watch(set ident.WeightSet) endpointproxy.Confirm {
	begin := s.gate.Status()
	return func(ctx context.Context) error {
		st, err := s.reconciler.Loader.State(ctx)
		if err == nil && enginecontroller.Unchanged(begin, set, st) {
			return nil
		}
		event.SetMismatch.Log(s.Logger, log.Fields{"set": set, "engine": st.Set})
		if err != nil {
			return fmt.Errorf("weights are not confirmed: %w", err)
		}
		return fmt.Errorf("weights are not confirmed: request is pinned to set %.12q, engine reports %.12q", set, st.Set)
	}
}
