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

func (p *process) read(ctx context.Context, stream logclient.Stream, from ident.Offset, limit int, wait time.Duration) (logclient.Page, error) {
	p.waitWhileFrozen()
	if p.cluster.isLogCut(p.zone) {
		return logclient.Page{}, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	page, err := p.cluster.log.read(ctx, stream, from, limit, wait)
	if p.cluster.isLogCut(p.zone) {
		return logclient.Page{}, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	p.waitWhileFrozen()
	return page, err
}

func (p *process) append(ctx context.Context, stream logclient.Stream, data []byte) (ident.Offset, error) {
	p.waitWhileFrozen()
	if p.cluster.isLogCut(p.zone) {
		return 0, waitForTimeout(ctx)
	}
	time.Sleep(remoteLatency)
	// If the process is frozen here, the append is executed when it is unfrozen, even if the deadline has passed by then.
	p.waitWhileFrozen()
	return p.cluster.log.append(stream, data)
}

// waitForTimeout simulates a call that gets no response.
func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// findPeer returns the process on a host and the latency to it, or the error with which a call to it fails.
func (p *process) findPeer(ctx context.Context, to ident.Host) (*process, time.Duration, error) {
	p.cluster.mu.Lock()
	peer, ok := p.cluster.processes[to]
	cut := ok && p.zone != peer.zone && (p.cluster.zoneCut[p.zone] || p.cluster.zoneCut[peer.zone])
	p.cluster.messages++
	p.cluster.mu.Unlock()
	switch {
	case !ok:
		return nil, 0, errRefused
	case cut, peer.killed.Load() && peer.dropsCalls.Load():
		return nil, 0, waitForTimeout(ctx)
	case peer.killed.Load():
		return nil, 0, errRefused
	case p.zone == peer.zone:
		return peer, zoneLatency, nil
	}
	return peer, remoteLatency, nil
}

// call simulates a query from p to the process on a host. respond returns that process's response.
func call[R, Q any](ctx context.Context, p *process, to ident.Host, query Q, respond func(*process) (R, error)) (R, error) {
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
	results := make(chan result, 1)
	go func() {
		peer.waitWhileFrozen()
		response, err := respond(peer)
		peer.waitWhileFrozen()
		results <- result{response, err}
	}()
	select {
	case <-ctx.Done():
		return zero, ctx.Err()
	case r := <-results:
		if peer.killed.Load() {
			return zero, errRefused
		}
		time.Sleep(latency)
		// The response is lost if the network was cut or the peer killed in the meantime.
		if _, _, err := p.findPeer(ctx, to); err != nil {
			return zero, err
		}
		p.waitWhileFrozen()
		size := int64(len(encodeJSON(query)) + len(encodeJSON(r.response)) + 2*headerBytes)
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

func (p *process) sendPull(ctx context.Context, to peerselector.Peer, query messages.PullQuery) (messages.PullResponse, error) {
	return call(ctx, p, to.Host, query, func(peer *process) (messages.PullResponse, error) { return peer.replicator.HandlePull(ctx, query) })
}

func (p *process) sendStateQuery(ctx context.Context, to peerselector.Peer, query messages.StateQuery) (messages.StateResponse, error) {
	return call(ctx, p, to.Host, query, func(peer *process) (messages.StateResponse, error) { return peer.replicator.HandleState(ctx, query) })
}

func (p *process) snapshot() *reducer.Reducer {
	return p.follower.Snapshot()
}
