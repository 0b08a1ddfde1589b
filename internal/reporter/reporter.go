// Package reporter sends an endpoint host's state and load to the entry hosts that need them.
package reporter

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
	"github.com/nutmegdock/nutmegdock/internal/rpc"
)

const callTime = time.Second

// Reporter sends reports when the state changes, and at intervals. Set its fields before Run.
type Reporter struct {
	// Targets returns the entry hosts to report to.
	Targets func() Targets
	// Report returns the current state.
	Report func() messages.Report
	// Heard takes the answer to a report that was sent at a time.
	Heard func(from ident.Host, sent time.Time, a messages.Ack)

	mu      sync.Mutex
	clients map[ident.Host]*rpc.Client
	// known maps the entry hosts that hold a full report to their births.
	known map[ident.Host]int64
	// failed maps those that could not be reached to when that was.
	failed   map[ident.Host]time.Time
	schedule schedule
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
	r.mu.Lock()
	what := r.schedule.next(report, targets)
	r.mu.Unlock()
	switch what {
	case fullToAll:
		r.send(ctx, report, targets.List)
	case fullToNear:
		r.send(ctx, report, targets.near())
	case loadToAll:
		r.notify(ctx, report, targets.List)
	case loadToNear:
		r.notify(ctx, report, targets.near())
	}
	if strangers := r.strangers(targets.List); len(strangers) > 0 {
		r.send(ctx, report, strangers)
	}
}

// Send reports to all targets at once and waits for their answers.
func (r *Reporter) Send(ctx context.Context) {
	r.send(ctx, r.Report(), r.Targets().List)
}

func (r *Reporter) send(ctx context.Context, report messages.Report, targets []Target) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range targets {
		report := report
		report.Every = t.every()
		wg.Go(func() {
			sent := time.Now()
			a, err := rpc.Call[messages.Ack](ctx, r.client(t), messages.ReportMethod, report)
			r.met(t, err == nil)
			if err == nil {
				r.Heard(t.Host, sent, a)
			}
		})
	}
	wg.Wait()
}

func (r *Reporter) notify(ctx context.Context, report messages.Report, targets []Target) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	load := messages.Load{
		Host: report.Host, Birth: report.Birth, Time: report.Time, Offset: report.Offset, Running: report.Running, Slots: report.Slots,
	}
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			if err := rpc.Notify(ctx, r.client(t), messages.LoadMethod, load); err != nil {
				r.met(t, false)
			}
		})
	}
	wg.Wait()
}

// strangers returns the targets that have no full report of this host yet, or whose connection was lost since. One that
// could not be reached is tried again after a while.
func (r *Reporter) strangers(targets []Target) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Target
	for _, t := range targets {
		birth, ok := r.known[t.Host]
		ok = ok && birth == t.Birth && r.clients[t.Host].Connected()
		if !ok && time.Since(r.failed[t.Host]) >= greetInterval {
			out = append(out, t)
		}
	}
	return out
}

func (r *Reporter) met(t Target, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.known == nil {
		r.known = make(map[ident.Host]int64)
		r.failed = make(map[ident.Host]time.Time)
	}
	delete(r.known, t.Host)
	delete(r.failed, t.Host)
	if ok {
		r.known[t.Host] = t.Birth
	} else {
		r.failed[t.Host] = time.Now()
	}
}

func (r *Reporter) client(t Target) *rpc.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients == nil {
		r.clients = make(map[ident.Host]*rpc.Client)
	}
	c := r.clients[t.Host]
	if c == nil || c.Address != t.Control {
		if c != nil {
			go func() { _ = c.Close() }()
		}
		c = &rpc.Client{Address: t.Control}
		r.clients[t.Host] = c
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
