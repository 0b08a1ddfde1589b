package configreplicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/configfollower"
	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// pollLog reads one page of the log. If records that follow the state have expired, it obtains a newer state from a
// checkpoint or a peer and reads again.
func (r *Replicator) pollLog(ctx context.Context) (logclient.Page, error) {
	readCtx, cancel := context.WithTimeout(ctx, logPollTimeout+responseTimeout)
	defer cancel()
	page, err := r.Follower.Poll(readCtx, logPollTimeout)
	var gap *configfollower.GapError
	switch {
	case err == nil:
	case !errors.As(err, &gap):
		if ctx.Err() == nil {
			event.LogUnreachable.Log(r.Logger, log.Fields{"error": err.Error()})
		}
	case r.closeGap(ctx, gap):
		return r.Follower.Poll(ctx, 0)
	default:
		event.RecordsExpired.Log(r.Logger, log.Fields{"offset": gap.Offset, "first": gap.First})
	}
	return page, err
}

// closeGap replaces the state by that of a checkpoint or a peer, and reports whether the records in the log follow it.
func (r *Replicator) closeGap(ctx context.Context, gap *configfollower.GapError) bool {
	r.restoreCheckpoint(ctx)
	if r.Follower.Offset() >= gap.First {
		return true
	}
	r.bootstrap(ctx)
	return r.Follower.Offset() >= gap.First
}

// restoreCheckpoint replaces the state by that of the newest usable checkpoint, if it is ahead.
func (r *Replicator) restoreCheckpoint(ctx context.Context) {
	if r.LoadCheckpoint == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxPullWait)
	defer cancel()
	state, err := r.LoadCheckpoint(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.CheckpointFailed.Log(r.Logger, log.Fields{"error": err.Error()})
		}
		return
	}
	r.Follower.ReplaceState(state)
}

// bootstrap pulls from several peers in parallel and then catches up with the one of the highest offset. It reports
// whether a ready peer responded. The process becomes ready once it has reached the highest offset of the peers that
// responded, if one of them is ready.
func (r *Replicator) bootstrap(ctx context.Context) bool {
	r.mu.Lock()
	peers := r.selector.BootstrapPeers(maxBootstrapPeers, time.Now())
	r.mu.Unlock()
	type candidate struct {
		peer     peerselector.Peer
		response messages.PullResponse
	}
	var mu sync.Mutex
	var best *candidate
	ready := false
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			resp, err := r.pullNow(ctx, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ready = ready || resp.Ready
			if best == nil || resp.Offset > best.response.Offset {
				best = &candidate{p, resp}
			}
		})
	}
	wg.Wait()
	if best == nil {
		return false
	}
	r.pullUntil(ctx, best.peer, best.response.Offset)
	if ready && r.Follower.Offset() >= best.response.Offset {
		r.Follower.MarkReady()
	}
	return ready
}

// pullUntil pulls from a peer until an offset is reached, or until maxHintAttempts pulls have failed or delivered
// nothing.
func (r *Replicator) pullUntil(ctx context.Context, p peerselector.Peer, offset ident.Offset) {
	tries := 0
	for r.Follower.Offset() < offset && tries < maxHintAttempts && ctx.Err() == nil {
		before := r.Follower.Offset()
		_, err := r.pullNow(ctx, p)
		if err != nil || r.Follower.Offset() == before {
			tries++
		}
	}
}

// pullFromSource pulls once from one of this process's sources. All sources but the first send their offset alone, and
// records are pulled from them only if they are ahead, so that each record usually arrives once.
func (r *Replicator) pullFromSource(ctx context.Context, index int) time.Duration {
	r.mu.Lock()
	p, ok := r.selector.Source(index, time.Now())
	r.mu.Unlock()
	if !ok {
		return idleDelay
	}
	q := messages.PullQuery{WaitMs: int(pullTimeout.Milliseconds()), CollectMs: int(recordCollectDelay.Milliseconds())}
	if index > 0 {
		q.CollectMs, q.OffsetOnly = int(offsetCollectDelay.Milliseconds()), true
	}
	resp, err := r.pull(ctx, p, q)
	if err == nil && resp.Offset > r.Follower.Offset() {
		_, err = r.pullNow(ctx, p)
	}
	if err != nil {
		return minRetryDelay
	}
	return 0
}

// pullFromFallback pulls once from a fallback peer while this process should read the log but cannot. A process that is
// not ready bootstraps from its peers first.
func (r *Replicator) pullFromFallback(ctx context.Context) time.Duration {
	if !r.Follower.Ready() {
		r.bootstrap(ctx)
	}
	r.mu.Lock()
	p, ok := r.selector.FallbackPeer(time.Now())
	ok = ok && r.ageLocked() > fallbackAge && r.readsLogLocked()
	r.mu.Unlock()
	if !ok {
		return peerListInterval
	}
	if _, err := r.pullNow(ctx, p); err != nil {
		return minRetryDelay
	}
	return peerListInterval
}

// pullNow pulls the records that a peer has now, without waiting.
func (r *Replicator) pullNow(ctx context.Context, p peerselector.Peer) (messages.PullResponse, error) {
	return r.pull(ctx, p, messages.PullQuery{})
}

// pull pulls from a peer and applies the records, or the complete state if the peer no longer holds the records.
func (r *Replicator) pull(ctx context.Context, p peerselector.Peer, q messages.PullQuery) (messages.PullResponse, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMs+q.CollectMs)*time.Millisecond+responseTimeout)
	defer cancel()
	q.Host, q.Offset = r.Self, r.Follower.Offset()
	resp, err := r.RequestRecords(callCtx, p, q)
	r.recordResult(ctx, p, err)
	if err != nil {
		return resp, err
	}
	if resp.StateRequired {
		if err := r.fetchState(ctx, p); err != nil {
			return resp, err
		}
	}
	offset := r.Follower.Apply(q.Offset, resp.Records)
	r.Follower.CheckDigest(q.Offset+ident.Offset(len(resp.Records)), resp.Digest)
	if offset >= resp.Offset {
		r.markSynced(time.Now().Add(-time.Duration(resp.AgeMs) * time.Millisecond))
	}
	return resp, nil
}

// recordResult records whether a peer responded, for the choice of sources.
func (r *Replicator) recordResult(ctx context.Context, p peerselector.Peer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.selector.RecordSuccess(p.Host)
	case ctx.Err() == nil:
		r.selector.RecordFailure(p.Host, time.Now())
	}
}

// fetchState fetches a peer's complete state part by part and replaces the local state by it. Only one fetch runs at a
// time.
func (r *Replicator) fetchState(ctx context.Context, p peerselector.Peer) error {
	select {
	case r.stateFetchSlot <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.stateFetchSlot }()
	var parts [][]byte
	var q messages.StateQuery
	for {
		resp, err := r.fetchStatePart(ctx, p, q)
		if err != nil {
			return err
		}
		if resp.Offset <= r.Follower.Offset() {
			return nil
		}
		if resp.Parts < 1 || resp.Parts > checkpointer.MaxParts {
			return &checkpointer.Error{Reason: fmt.Sprintf("peer %s has %d parts", p.Host, resp.Parts)}
		}
		parts = append(parts, resp.Data)
		q = messages.StateQuery{PartsDigest: resp.PartsDigest, Part: len(parts)}
		if len(parts) == resp.Parts {
			break
		}
	}
	state, err := checkpointer.Decode(parts, q.PartsDigest)
	if err != nil {
		return err
	}
	r.Follower.ReplaceState(state)
	return nil
}

func (r *Replicator) fetchStatePart(ctx context.Context, p peerselector.Peer, q messages.StateQuery) (messages.StateResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*responseTimeout)
	defer cancel()
	return r.RequestState(ctx, p, q)
}
