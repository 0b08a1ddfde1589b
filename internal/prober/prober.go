// Package prober detects crashes and restarts of the back end beside an endpoint host.
package prober

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/bodyreader"
	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
	"github.com/nutmegdock/nutmegdock/internal/headchecker"
)

const (
	probeTimeout  = 500 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// downProbeInterval is the time between probes of a back end that has crashed.
	downProbeInterval = 50 * time.Millisecond
	maxStateBytes     = 64 << 10
)

// Prober probes one back end. Set its fields before use.
type Prober struct {
	// Kind is the kind of the back end. An engine reports its start time; a plain service can only be probed by opening
	// a connection.
	Kind catalog.BackendKind
	// Backend is the base address of the back end.
	Backend string
	// HTTP sends the probes.
	HTTP *http.Client

	mu        sync.Mutex
	startTime int64
	down      bool
}

// Run records the start time of the back end, and its recovery after a crash, until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		wait := probeInterval
		if p.IsDown() {
			wait = downProbeInterval
		}
		if p.Kind == catalog.KindEngine || p.IsDown() {
			if startTime, err := p.probe(ctx); err == nil {
				p.recordAlive(startTime)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// StartTime returns the last start time that the back end reported, or zero.
func (p *Prober) StartTime() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startTime
}

// HasCrashed reports whether the back end that had the given start time has crashed: it refuses or breaks connections,
// or it reports another start time. A back end whose response is not valid, or does not end, or not in time, counts as alive.
func (p *Prober) HasCrashed(ctx context.Context, previous int64) bool {
	startTime, err := p.probe(context.WithoutCancel(ctx))
	if err == nil {
		p.recordAlive(startTime)
		return previous != 0 && startTime != previous
	}
	var netErr net.Error
	var sizeErr *bodyreader.SizeError
	var headErr *headchecker.Error
	if errors.As(err, &netErr) && netErr.Timeout() || errors.As(err, &sizeErr) || errors.As(err, &headErr) {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	return true
}

// IsDown reports whether the back end has crashed and has not responded to a probe since. A request that is sent to it
// meanwhile is not executed, so its failure is no evidence against the request.
func (p *Prober) IsDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *Prober) recordAlive(startTime int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startTime = startTime
	p.down = false
}

func (p *Prober) probe(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if p.Kind != catalog.KindEngine {
		return 0, p.dial(ctx)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.Backend+engineapi.StatePath, nil)
	if err != nil {
		return 0, fmt.Errorf("probe: %w", err)
	}
	req.Close = true
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return 0, fmt.Errorf("probe: %w", err)
	}
	defer resp.Body.Close()
	data, err := bodyreader.ReadAll(resp.Body, maxStateBytes)
	if err != nil {
		return 0, fmt.Errorf("probe: read engine state: %w", err)
	}
	var state engineapi.State
	if err := json.Unmarshal(data, &state); err != nil {
		return 0, fmt.Errorf("probe: decode engine state: %w", err)
	}
	return state.StartTime, nil
}

func (p *Prober) dial(ctx context.Context) error {
	address, err := url.Parse(p.Backend)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address.Host)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return conn.Close()
}
