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

func (p *process) read(ctx context.Context, s logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
	p.waitWhileFrozen()
	if p.cluster.isLogCut(p.zone) {
		return logclient.Page{}, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	page, err := p.cluster.log.read(ctx, s, from, limit, wait)
	if p.cluster.isLogCut(p.zone) {
		return logclient.Page{}, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	p.waitWhileFrozen()
	return page, err
}

func (p *process) append(ctx context.Context, s logclient.Stream, data []byte) (ident.Offset, error) {
	p.waitWhileFrozen()
	if p.cluster.isLogCut(p.zone) {
		return 0, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	// The append of a frozen process may be executed after its deadline.
	p.waitWhileFrozen()
	return p.cluster.log.append(s, data)
}

// waitForTimeout simulates a call that gets no response.
func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// findPeer returns the process on a host and the latency to it, or fails as the network would.
func (p *process) findPeer(ctx context.Context, to ident.Host) (*process, time.Duration, error) {
	p.cluster.mu.Lock()
	q, ok := p.cluster.processes[to]
	cut := ok && p.zone != q.zone && (p.cluster.zoneCut[p.zone] || p.cluster.zoneCut[q.zone])
	p.cluster.messages++
	p.cluster.mu.Unlock()
	switch {
	case !ok:
		return nil, 0, errRefused
	case cut, q.killed.Load() && q.dropsCalls.Load():
		return nil, 0, waitForTimeout(ctx)
	case q.killed.Load():
		return nil, 0, errRefused
	case p.zone == q.zone:
		return q, zoneLatency, nil
	}
	return q, remoteLatency, nil
}

// call sends a query from p to a host over the simulated network and returns the response of respond.
func call[R, Q any](ctx context.Context, p *process, to ident.Host, q Q, respond func(*process) (R, error)) (R, error) {
	var zero R
	p.waitWhileFrozen()
	peer, latency, err := p.findPeer(ctx, to)
	if err != nil {
		return zero, err
	}
	time.Sleep(latency)
	type result struct {
		response R
		err      error
	}
	out := make(chan result, 1)
	go func() {
		peer.waitWhileFrozen()
		response, err := respond(peer)
		peer.waitWhileFrozen()
		out <- result{response, err}
	}()
	select {
	case <-ctx.Done():
		return zero, ctx.Err()
	case r := <-out:
		if peer.killed.Load() {
			return zero, errRefused
		}
		time.Sleep(latency)
		if _, _, err := p.findPeer(ctx, to); err != nil {
			return zero, err
		}
		p.waitWhileFrozen()
		size := int64(len(encodeJSON(q)) + len(encodeJSON(r.response)) + 2*frameBytes)
		p.controlBytes.Add(size)
		peer.controlBytes.Add(size)
		return r.response, r.err
	}
}

func encodeJSON(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode: %v", err))
	}
	return data
}

func (p *process) sendPull(ctx context.Context, to peerselector.Peer, q messages.PullQuery) (messages.PullResponse, error) {
	return call(ctx, p, to.Host, q, func(peer *process) (messages.PullResponse, error) { return peer.replicator.HandlePull(ctx, q) })
}

func (p *process) sendStateQuery(ctx context.Context, to peerselector.Peer, q messages.StateQuery) (messages.StateResponse, error) {
	return call(ctx, p, to.Host, q, func(peer *process) (messages.StateResponse, error) { return peer.replicator.HandleState(ctx, q) })
}

func (p *process) snapshot() *reducer.Reducer {
	return p.follower.Snapshot()
}
