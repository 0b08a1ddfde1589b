// Package membership reads the platform's lagging list of hosts.
package membership

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/event"
)

const pollInterval = 500 * time.Millisecond

// Role tells which program a host runs.
type Role string

// Roles of hosts.
const (
	RoleEntry    Role = "entry"
	RoleEndpoint Role = "endpoint"
)

// Member is one host of the list.
type Member struct {
	Host    ident.Host   `json:"host"`
	Role    Role         `json:"role"`
	Zone    ident.Zone   `json:"zone"`
	Region  ident.Region `json:"region"`
	Pool    ident.Pool   `json:"pool,omitempty"`
	Data    string       `json:"data"`
	Control string       `json:"control"`
	Leaving bool         `json:"leaving,omitempty"`
	Birth   int64        `json:"birth"`
}

// List polls the membership service and holds its last answer. Set its fields before Run.
type List struct {
	// URL is the base address of the membership service.
	URL string
	// HTTP sends the requests.
	HTTP *http.Client
	// Self is announced at every poll.
	Self Member
	// Logger receives the events.
	Logger log.Interface

	mu      sync.Mutex
	members []Member
	leaving bool
}

// Run polls until ctx ends.
func (l *List) Run(ctx context.Context) error {
	for {
		if err := l.poll(ctx); err != nil && ctx.Err() == nil {
			event.MembersFailed.Log(l.Logger, log.Fields{"error": err.Error()})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pollInterval):
		}
	}
}

func (l *List) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 4*pollInterval)
	defer cancel()
	self := l.Self
	l.mu.Lock()
	self.Leaving = l.leaving
	l.mu.Unlock()
	body, err := json.Marshal(self)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.URL+"/hosts", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	resp, err := l.HTTP.Do(req)
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	defer resp.Body.Close()
	var members []Member
	if err := json.NewDecoder(resp.Body).Decode(&members); err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members = members
	return nil
}

// Leave announces at once that this host is leaving.
func (l *List) Leave(ctx context.Context) error {
	l.mu.Lock()
	l.leaving = true
	l.mu.Unlock()
	return l.poll(ctx)
}

// Members returns the hosts of one role from the last answer.
func (l *List) Members(role Role) []Member {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.members), func(m Member) bool { return m.Role != role })
}
