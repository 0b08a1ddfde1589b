// Package prober tells whether the back end beside an endpoint host has died.
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

	"github.com/nutmegdock/nutmegdock/internal/core/catalog"
	"github.com/nutmegdock/nutmegdock/internal/engineapi"
)

const (
	probeTime = 500 * time.Millisecond
	interval  = 500 * time.Millisecond
	// downInterval is the time between probes of a back end that has died.
	downInterval = 50 * time.Millisecond
)

// Prober watches one back end. Set its fields before use.
type Prober struct {
	// Kind tells what the back end is. An engine tells its birth; a plain service only takes connections.
	Kind catalog.Kind
	// Backend is its base address.
	Backend string
	// HTTP sends the probes.
	HTTP *http.Client

	mu    sync.Mutex
	birth int64
	down  bool
}

// Run notes the birth of the back end, and its return after a death, until ctx ends.
func (p *Prober) Run(ctx context.Context) error {
	for {
		wait := interval
		if p.Down() {
			wait = downInterval
		}
		if p.Kind == catalog.KindEngine || p.Down() {
			if birth, err := p.probe(ctx); err == nil {
				p.set(birth)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// Birth returns the birth that was seen last, or zero.
func (p *Prober) Birth() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.birth
}

// Dead tells whether the back end with a birth has died: it refuses or breaks connections, or it has another birth
// now. One that does not answer in time counts as alive.
func (p *Prober) Dead(ctx context.Context, since int64) bool {
	birth, err := p.probe(context.WithoutCancel(ctx))
	if err == nil {
		p.set(birth)
		return since != 0 && birth != since
	}
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = true
	return true
}

// Down tells whether the back end has died and not been seen alive since. What is sent to it meanwhile is not run, and
// says nothing about the request.
func (p *Prober) Down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.down
}

func (p *Prober) set(birth int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.birth = birth
	p.down = false
}

func (p *Prober) probe(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
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
	var st engineapi.State
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return 0, fmt.Errorf("probe: %w", err)
	}
	return st.Birth, nil
}

func (p *Prober) dial(ctx context.Context) error {
	u, err := url.Parse(p.Backend)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	return c.Close()
}
