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

const callTimeout = time.Second

// Reporter sends reports when the state changes, and periodically. Set its fields before Run.
type Reporter struct {
	// Targets returns the entry hosts to report to.
	Targets func() Targets
	// Report returns the current state and load.
	Report func() messages.Report
	// OnAck is called with the response to a report and the time at which the report was sent.
	OnAck func(from ident.Host, sent time.Time, ack messages.ReportAck)

	mu      sync.Mutex
	clients map[ident.Host]*rpc.Client
	// reported maps each entry host that has received a full report to its start time.
	reported map[ident.Host]int64
	// failedAt maps each entry host that could not be reached to the time of the failure.
	failedAt map[ident.Host]time.Time
	schedule schedule
}

// Run sends reports until ctx ends.
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
	due := r.schedule.next(report, targets)
	r.mu.Unlock()
	switch due {
	case fullToAll:
		r.sendReport(ctx, report, targets.List)
	case fullToNear:
		r.sendReport(ctx, report, targets.near())
	case loadToAll:
		r.sendLoad(ctx, report, targets.List)
	case loadToNear:
		r.sendLoad(ctx, report, targets.near())
	}
	if pending := r.pendingTargets(targets.List); len(pending) > 0 {
		r.sendReport(ctx, report, pending)
	}
}

// Send sends a full report to all targets concurrently and waits for their responses.
func (r *Reporter) Send(ctx context.Context) {
	r.sendReport(ctx, r.Report(), r.Targets().List)
}

func (r *Reporter) sendReport(ctx context.Context, report messages.Report, targets []Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, t := range targets {
		report := report
		report.MaxIntervalSeconds = t.maxIntervalSeconds()
		wg.Go(func() {
			sent := time.Now()
			ack, err := rpc.Call[messages.ReportAck](ctx, r.client(t), messages.ReportMethod, report)
			r.recordResult(t, err == nil)
			if err == nil {
				r.OnAck(t.Host, sent, ack)
			}
		})
	}
	wg.Wait()
}

func (r *Reporter) sendLoad(ctx context.Context, report messages.Report, targets []Target) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	load := messages.LoadUpdate{
		Host: report.Host, StartTime: report.StartTime, SentMs: report.SentMs, Offset: report.Offset, InFlight: report.InFlight, Slots: report.Slots,
	}
	var wg sync.WaitGroup
	for _, t := range targets {
		wg.Go(func() {
			if err := rpc.Notify(ctx, r.client(t), messages.LoadUpdateMethod, load); err != nil {
				r.recordResult(t, false)
			}
		})
	}
	wg.Wait()
}

// pendingTargets returns the targets that have not received a full report of this host, have restarted since, or have
// lost the connection. A target that could not be reached is returned again after retryInterval.
func (r *Reporter) pendingTargets(targets []Target) []Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var pending []Target
	for _, t := range targets {
		startTime, isReported := r.reported[t.Host]
		isReported = isReported && startTime == t.StartTime && r.clients[t.Host].Connected()
		if !isReported && time.Since(r.failedAt[t.Host]) >= retryInterval {
			pending = append(pending, t)
		}
	}
	return pending
}

func (r *Reporter) recordResult(t Target, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reported == nil {
		r.reported = make(map[ident.Host]int64)
		r.failedAt = make(map[ident.Host]time.Time)
	}
	delete(r.reported, t.Host)
	delete(r.failedAt, t.Host)
	if ok {
		r.reported[t.Host] = t.StartTime
	} else {
		r.failedAt[t.Host] = time.Now()
	}
}

func (r *Reporter) client(t Target) *rpc.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.clients == nil {
		r.clients = make(map[ident.Host]*rpc.Client)
	}
	c := r.clients[t.Host]
	if c == nil || c.Address != t.ControlAddress {
		if c != nil {
			go func() { _ = c.Close() }()
		}
		c = &rpc.Client{Address: t.ControlAddress}
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
