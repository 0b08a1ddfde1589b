// Package reporter sends an endpoint host's state and load to the entry hosts that need them.
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
	// pollInterval is how often the state is looked at.
	pollInterval = 100 * time.Millisecond
	// fullInterval is how often a full report is repeated to all targets.
	fullInterval = 15 * time.Second
	// progressInterval is how often the progress of a fetch is reported.
	progressInterval = time.Second
	// greetInterval is how often entry hosts without a report are looked for.
	greetInterval = time.Second
	// minInterval is the shortest time between two loads.
	minInterval = 250 * time.Millisecond
	// quietInterval is the longest time between two loads, also when nothing changes.
	quietInterval = 5 * time.Second
	callTime      = time.Second
	// loadStep is the part of the slots by which the running requests must change to be reported.
	loadStep = 8
)

// Reporter sends reports when the state changes, and at intervals. Set its fields before Run.
type Reporter struct {
	// Targets returns the entry hosts to report to.
	Targets func() Targets
	// Report returns the current state.
	Report func() messages.Report

	mu      sync.Mutex
	clients map[ident.Host]*rpc.Client
	last    messages.Report
	full    time.Time
	partial time.Time
	greeted time.Time
	known   map[ident.Host]string
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	for {
		r.step(ctx)
		select {
		case <-ctx.Done():
			r.close()
			return nil
		case <-time.After(pollInterval):
		}
	}
}

func (r *Reporter) step(ctx context.Context) {
	report, targets := r.Report(), r.Targets()
	now := time.Now()
	switch {
	case urgent(r.last, report) || now.Sub(r.full) >= fullInterval:
		r.send(ctx, report, targets.All())
	case progressed(r.last, report) && now.Sub(r.partial) >= progressInterval:
		r.send(ctx, report, targets.Near)
	case r.due(report, targets, now):
		r.notify(ctx, report, targets.Near)
	}
	if now.Sub(r.greeted) >= greetInterval {
		r.greeted = now
		r.greet(ctx, report, targets.All())
	}
}

// urgent tells whether entry hosts must learn of a change at once.
func urgent(old, now messages.Report) bool {
	return old.Birth != now.Birth || old.Open != now.Open || old.Leaving != now.Leaving || old.Set != now.Set ||
		old.Want != now.Want || old.Data != now.Data
}

func progressed(old, now messages.Report) bool {
	return old.Chunks != now.Chunks || old.Total != now.Total
}

func (r *Reporter) due(report messages.Report, t Targets, now time.Time) bool {
	age := now.Sub(r.partial)
	if age >= quietInterval {
		return true
	}
	moved := abs(report.Running-r.last.Running) >= max(1, report.Slots/loadStep) || report.Slots != r.last.Slots
	return moved && age >= max(minInterval, t.Interval)
}

func abs(n int) int {
	return max(n, -n)
}

// Send reports to all targets at once and waits for their answers.
func (r *Reporter) Send(ctx context.Context) {
	r.send(ctx, r.Report(), r.Targets().All())
}

func (r *Reporter) send(ctx context.Context, report messages.Report, targets []membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r.mu.Lock()
	r.last, r.full, r.partial = report, time.Now(), time.Now()
	r.mu.Unlock()
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() {
			_, err := rpc.Call[messages.Ack](ctx, r.client(m), messages.ReportMethod, report)
			r.met(m, err == nil)
		})
	}
	wg.Wait()
}

// greet sends a full report to targets that have none yet.
func (r *Reporter) greet(ctx context.Context, report messages.Report, targets []membership.Member) {
	var fresh []membership.Member
	r.mu.Lock()
	for _, m := range targets {
		if r.known[m.Host] != m.Control {
			fresh = append(fresh, m)
		}
	}
	full := r.full
	r.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	r.send(ctx, report, fresh)
	r.mu.Lock()
	r.full = full
	r.mu.Unlock()
}

func (r *Reporter) met(m membership.Member, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil {
		r.known = make(map[ident.Host]string)
	}
	delete(r.known, m.Host)
	if ok {
		r.known[m.Host] = m.Control
	}
}

func (r *Reporter) notify(ctx context.Context, report messages.Report, targets []membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r.mu.Lock()
	r.last, r.partial = report, time.Now()
	r.mu.Unlock()
	load := messages.Load{
		Host: report.Host, Birth: report.Birth, Time: report.Time, Offset: report.Offset, Running: report.Running, Slots: report.Slots,
	}
	var wg sync.WaitGroup
	for _, m := range targets {
		wg.Go(func() {
			if err := rpc.Notify(ctx, r.client(m), messages.LoadMethod, load); err != nil {
				r.met(m, false)
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
		if c != nil {
			go func() { _ = c.Close() }()
		}
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
