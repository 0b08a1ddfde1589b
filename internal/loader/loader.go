// Package loader gives orders to the engine beside an endpoint host.
package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/manifest"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const maxStateBytes = 64 << 10

// Loader orders one engine, serially. Set its fields before use.
type Loader struct {
	// Engine is the engine's base address.
	Engine string
	// Source is the base address from which the engine reads weights.
	Source string
	// HTTP sends the orders.
	HTTP *http.Client
}

// Error reports an engine that did not do as ordered.
type Error struct {
	Engine string
	Reason string
}

// Error names the engine and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s", e.Engine, e.Reason)
}

// State reads the engine's report on itself.
func (l *Loader) State(ctx context.Context) (engineapi.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Engine+engineapi.StatePath, nil)
	if err != nil {
		return engineapi.State{}, fmt.Errorf("engine state: %w", err)
	}
	return l.do(req)
}

// Load orders the engine to load the artifacts, and returns nil once the engine reports their weight set.
// The fencing number is above floor and above any that the engine reports.
func (l *Loader) Load(ctx context.Context, artifacts []ident.Digest, floor ident.Fence) error {
	st, err := l.State(ctx)
	if err != nil {
		return err
	}
	order := engineapi.Order{Fence: max(floor, st.Fence) + 1, Artifacts: artifacts, Source: l.Source}
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Engine+engineapi.LoadPath, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("engine order: %w", err)
	}
	if _, err := l.do(req); err != nil {
		return err
	}
	st, err = l.State(ctx)
	if err != nil {
		return err
	}
	if want := manifest.Set(artifacts...); st.Set != want {
		return &Error{Engine: l.Engine, Reason: fmt.Sprintf("loaded set %.12q, ordered %.12q", st.Set, want)}
	}
	return nil
}

func (l *Loader) do(req *http.Request) (engineapi.State, error) {
	var st engineapi.State
	resp, err := l.HTTP.Do(req)
	if err != nil {
		return st, fmt.Errorf("engine %s: %w", l.Engine, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxStateBytes))
	if err != nil {
		return st, fmt.Errorf("engine %s: %w", l.Engine, err)
	}
	if resp.StatusCode != http.StatusOK {
		return st, &Error{Engine: l.Engine, Reason: fmt.Sprintf("status %d: %s", resp.StatusCode, body)}
	}
	if err := json.Unmarshal(body, &st); err != nil {
		return st, fmt.Errorf("engine %s: %w", l.Engine, err)
	}
	return st, nil
}
