// Package loader gives orders to the engine beside an endpoint host.
package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	maxStateBytes = 64 << 10
	stateTime     = time.Second
)

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
	// Status is the HTTP status of the engine's answer.
	Status int
	Reason string
}

// Error names the engine and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s", e.Engine, e.Reason)
}

// State reads the engine's report on itself.
func (l *Loader) State(ctx context.Context) (engineapi.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Engine+engineapi.StatePath, nil)
	if err != nil {
		return engineapi.State{}, fmt.Errorf("engine state: %w", err)
	}
	return l.do(req)
}

// Order tells the engine to load the artifacts and waits for its answer. The error explains any result but Done.
func (l *Loader) Order(ctx context.Context, artifacts []ident.Digest, fence ident.Fence) (enginecontroller.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, enginecontroller.LoadTime)
	defer cancel()
	order := engineapi.Order{Fence: fence, Artifacts: artifacts, Source: l.Source}
	body, err := json.Marshal(order)
	if err != nil {
		return enginecontroller.Refused, fmt.Errorf("engine order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Engine+engineapi.LoadPath, bytes.NewReader(body))
	if err != nil {
		return enginecontroller.Refused, fmt.Errorf("engine order: %w", err)
	}
	_, err = l.do(req)
	return result(err), err
}

func result(err error) enginecontroller.Result {
	var e *Error
	var op *net.OpError
	switch {
	case err == nil:
		return enginecontroller.Done
	case errors.As(err, &e) && e.Status == http.StatusConflict:
		return enginecontroller.Refused
	case errors.As(err, &e):
		return enginecontroller.Failed
	case errors.As(err, &op) && op.Op == "dial":
		return enginecontroller.Refused
	}
	return enginecontroller.Lost
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
		return st, &Error{Engine: l.Engine, Status: resp.StatusCode, Reason: fmt.Sprintf("status %d: %s", resp.StatusCode, body)}
	}
	if err := json.Unmarshal(body, &st); err != nil {
		return st, fmt.Errorf("engine %s: %w", l.Engine, err)
	}
	return st, nil
}
