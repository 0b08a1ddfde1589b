package config_test

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/core/reducer"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

func (p *proc) read(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
	p.gate()
	if p.w.isLogCut(p.zone) {
		return logclient.Page{}, hang(ctx)
	}
	time.Sleep(otherLatency)
	page, err := p.w.log.read(ctx, s, from, limit, wait)
	if p.w.isLogCut(p.zone) {
		return logclient.Page{}, hang(ctx)
	}
	time.Sleep(otherLatency)
	p.gate()
	return page, err
}

func (p *proc) append(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
	p.gate()
	if p.w.isLogCut(p.zone) {
		return 0, hang(ctx)
	}
	time.Sleep(otherLatency)
	// A frozen process's append may take effect after its deadline.
	p.gate()
	return p.w.log.append(s, data)
}

func hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// reach finds the process behind an address, or fails as the network would.
func (p *proc) reach(ctx context.Context, to ident.Host) (*proc, time.Duration, error) {
	p.w.mu.Lock()
	q, ok := p.w.procs[to]
	cut := ok && p.zone != q.zone && (p.w.cut[p.zone] || p.w.cut[q.zone])
	p.w.messages++
	p.w.mu.Unlock()
	switch {
	case !ok:
		return nil, 0, errRefused
	case cut, q.dead.Load() && q.silent.Load():
		return nil, 0, hang(ctx)
	case q.dead.Load():
		return nil, 0, errRefused
	case p.zone == q.zone:
		return q, zoneLatency, nil
	}
	return q, otherLatency, nil
}

func call[A, Q any](ctx context.Context, p *proc, to ident.Host, q Q, answer func(*proc) (A, error)) (A, error) {
	var zero A
	p.gate()
	peer, latency, err := p.reach(ctx, to)
	if err != nil {
		return zero, err
	}
	time.Sleep(latency)
	type result struct {
		a   A
		err error
	}
	out := make(chan result, 1)
	go func() {
		peer.gate()
		a, err := answer(peer)
		peer.gate()
		out <- result{a, err}
	}()
	select {
	case <-ctx.Done():
		return zero, ctx.Err()
	case r := <-out:
		if peer.dead.Load() {
			return zero, errRefused
		}
		time.Sleep(latency)
		if _, _, err := p.reach(ctx, to); err != nil {
			return zero, err
		}
		p.gate()
		size := int64(len(encoded(q)) + len(encoded(r.a)) + 2*frameBytes)
		p.bytes.Add(size)
		peer.bytes.Add(size)
		return r.a, r.err
	}
}

func encoded(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	return data
}

func (p *proc) pull(ctx context.Context, to peerselector.Peer, q messages.PullQuery) (messages.PullResponse, error) {
	return call(ctx, p, to.Host, q, func(peer *proc) (messages.PullResponse, error) { return peer.replicator.HandlePull(ctx, q) })
}

func (p *proc) state(ctx context.Context, to peerselector.Peer, q messages.StateQuery) (messages.StateResponse, error) {
	return call(ctx, p, to.Host, q, func(peer *proc) (messages.StateResponse, error) { return peer.replicator.HandleState(ctx, q) })
}

func (p *proc) snapshot() *reducer.Reducer {
	return p.follow.Snapshot()
}
