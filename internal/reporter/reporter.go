// Package reporter sends an endpoint host's state to the entry hosts.
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/membership"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const (
	interval = 250 * time.Millisecond
	callTime = time.Second
)

// Reporter sends reports at an interval and on demand. Set its fields before Run.
type Reporter struct {
	// Entries returns the entry hosts to report to.
	Entries func() []membership.Member
	// Report returns the current state.
	Report func() messages.Report
	// Heard takes the answer to a report that was sent at a time.
	Heard func(from ident.Host, sent time.Time, a messages.Ack)

	mu      sync.Mutex
	clients map[ident.Host]*rpc.Client
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		r.Send(ctx)
		select {
		case <-ctx.Done():
			r.close()
			return nil
		case <-time.After(interval):
		}
	}
}

// Send reports to all entry hosts at once and waits for their answers.
func (r *Reporter) Send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	report := r.Report()
	var wg sync.WaitGroup
	for _, m := range r.Entries() {
		wg.Go(func() {
			sent := time.Now()
			a, err := rpc.Call[messages.Ack](ctx, r.client(m), messages.ReportMethod, report)
			if err == nil {
				r.Heard(m.Host, sent, a)
			}
		})
	}
	wg.Wait()
}

func (r *Reporter) client(m membership.Member) *rpc.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients == nil {
		r.clients = make(map[ident.Host]*rpc.Client)
	}
	c := r.clients[m.Host]
	if c == nil || c.Address != m.Control {
		c = &rpc.Client{Address: m.Control}
		r.clients[m.Host] = c
	}
	return c
}

func (r *Reporter) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.clients {
		_ = c.Close()
	}
}
