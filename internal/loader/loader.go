// Package loader sends load commands to the engine beside an endpoint host, and reads the engine's state.
package loader

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/enginecontroller"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	maxStateBytes = 64 << 10
	stateTimeout  = time.Second
)

// Loader sends requests to one engine. Load must not be called concurrently. Set its fields before use.
type Loader struct {
	// Engine is the engine's base address.
	Engine string
	// Source is the base address from which the engine reads weights.
	Source string
	// HTTP sends the requests.
	HTTP *http.Client
}

// Error reports an HTTP response of the engine other than 200 OK.
type Error struct {
	Engine string
	// Status is the HTTP status of the response.
	Status int
	Reason string
}

// Error returns the engine's address and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("engine %s: %s", e.Engine, e.Reason)
}

// State returns the engine's current state.
func (l *Loader) State(ctx context.Context) (engineapi.State, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.Engine+engineapi.StatePath, nil)
	if err != nil {
		return engineapi.State{}, fmt.Errorf("engine state: %w", err)
	}
	return l.do(req)
}

// Load sends a load command for the artifacts and waits for the engine's response. The error explains why a load
// has not succeeded.
func (l *Loader) Load(ctx context.Context, artifacts []ident.Digest, token ident.FencingToken) (enginecontroller.LoadResult, error) {
	ctx, cancel := context.WithTimeout(ctx, enginecontroller.LoadTimeout)
	defer cancel()
	command := engineapi.LoadCommand{FencingToken: token, Artifacts: artifacts, Source: l.Source}
	body, err := json.Marshal(command)
	if err != nil {
		return enginecontroller.LoadRefused, fmt.Errorf("load command: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.Engine+engineapi.LoadPath, bytes.NewReader(body))
	if err != nil {
		return enginecontroller.LoadRefused, fmt.Errorf("load command: %w", err)
	}
	_, err = l.do(req)
	return loadResult(err), err
}

func loadResult(err error) enginecontroller.LoadResult {
	var status *Error
	var netErr *net.OpError
	switch {
	case err == nil:
		return enginecontroller.LoadDone
	case errors.As(err, &status) && status.Status == http.StatusConflict:
		return enginecontroller.LoadRefused
	case errors.As(err, &status):
		return enginecontroller.LoadFailed
	case errors.As(err, &netErr) && netErr.Op == "dial":
		return enginecontroller.LoadRefused
	}
	return enginecontroller.LoadResponseLost
}

func (l *Loader) do(req *http.Request) (engineapi.State, error) {
	var state engineapi.State
	resp, err := l.HTTP.Do(req)
	if err != nil {
		return state, fmt.Errorf("engine %s: %w", l.Engine, err)
	}
	defer resp.Body.Close()
	body, err := bodyreader.ReadAll(resp.Body, maxStateBytes)
	if err != nil {
		return state, fmt.Errorf("engine %s: read response: %w", l.Engine, err)
	}
	if resp.StatusCode != http.StatusOK {
		return state, &Error{Engine: l.Engine, Status: resp.StatusCode, Reason: fmt.Sprintf("status %d: %s", resp.StatusCode, body)}
	}
	if err := json.Unmarshal(body, &state); err != nil {
		return state, fmt.Errorf("engine %s: decode state: %w", l.Engine, err)
	}
	return state, nil
}
