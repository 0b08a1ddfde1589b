package configreplicator

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/core/peerselector"
	"github.com/nutmegdock/nutmegdock/internal/event"
	"github.com/nutmegdock/nutmegdock/internal/follower"
	"github.com/nutmegdock/nutmegdock/internal/logclient"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// poll reads one page of the log. When records have expired, it looks for the state elsewhere.
func (r *Replicator) poll(ctx context.Context) (logclient.Page, error) {
	readCtx, cancel := context.WithTimeout(ctx, logWait+callTime)
	defer cancel()
	page, err := r.Follower.Poll(readCtx, logWait)
	var gap *follower.GapError
	switch {
	case err == nil:
	case !errors.As(err, &gap):
		if ctx.Err() == nil {
			event.LogUnreachable.Log(r.Logger, log.Fields{"error": err.Error()})
		}
	case r.bridge(ctx, gap):
		return r.Follower.Poll(ctx, 0)
	default:
		event.RecordsExpired.Log(r.Logger, log.Fields{"offset": gap.Offset, "first": gap.First})
	}
	return page, err
}

// bridge takes the state from a checkpoint or a peer, and tells whether the log's records follow it.
func (r *Replicator) bridge(ctx context.Context, gap *follower.GapError) bool {
	r.restore(ctx)
	if r.Follower.Offset() >= gap.First {
		return true
	}
	r.askNewcomer(ctx)
	return r.Follower.Offset() >= gap.First
}

func (r *Replicator) restore(ctx context.Context) {
	if r.Restore == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	state, err := r.Restore(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.CheckpointFailed.Log(r.Logger, log.Fields{"error": err.Error()})
		}
		return
	}
	r.Follower.Adopt(state)
}

// askNewcomer asks several peers at once and takes the state from the one with the highest offset. It tells whether
// a ready peer answered. The process becomes ready once it is level with all that answered, if one of them is ready.
func (r *Replicator) askNewcomer(ctx context.Context) bool {
	r.mu.Lock()
	peers := r.selector.Newcomer(bootPeers, time.Now())
	r.mu.Unlock()
	type found struct {
		peer   peerselector.Peer
		answer messages.PullAnswer
	}
	var mu sync.Mutex
	var best *found
	ready := false
	var wg sync.WaitGroup
	for _, p := range peers {
		wg.Go(func() {
			a, err := r.ask(ctx, p)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			ready = ready || a.Ready
			if best == nil || a.Offset > best.answer.Offset {
				best = &found{p, a}
			}
		})
	}
	wg.Wait()
	if best == nil {
		return false
	}
	r.catch(ctx, best.peer, best.answer.Offset)
	if ready && r.Follower.Offset() >= best.answer.Offset {
		r.Follower.SetReady()
	}
	return ready
}

// catch pulls from a peer until an offset is reached or the peer fails.
func (r *Replicator) catch(ctx context.Context, p peerselector.Peer, offset ident.Offset) {
	tries := 0
	for r.Follower.Offset() < offset && tries < hintTries && ctx.Err() == nil {
		before := r.Follower.Offset()
		_, err := r.ask(ctx, p)
		if err != nil || r.Follower.Offset() == before {
			tries++
		}
	}
}

// take pulls once from the lane's source.
func (r *Replicator) take(ctx context.Context, lane int) time.Duration {
	r.mu.Lock()
	p, ok := r.selector.Source(lane, time.Now())
	r.mu.Unlock()
	if !ok {
		return idleTime
	}
	q := messages.PullQuery{Wait: int(pullWait.Milliseconds()), Hold: int(recordHold.Milliseconds())}
	if lane > 0 {
		q.Hold, q.Head = int(headHold.Milliseconds()), true
	}
	a, err := r.send(ctx, p, q)
	if err == nil && a.Offset > r.Follower.Offset() {
		_, err = r.ask(ctx, p)
	}
	if err != nil {
		return minRetry
	}
	return 0
}

// remote pulls once from another zone while the log cannot be read. A process that is not ready asks its zone too.
func (r *Replicator) remote(ctx context.Context) time.Duration {
	if !r.Follower.Ready() {
		r.askNewcomer(ctx)
	}
	r.mu.Lock()
	p, ok := r.selector.Remote(time.Now())
	ok = ok && r.age() > remoteTime && r.reads()
	r.mu.Unlock()
	if !ok {
		return listInterval
	}
	if _, err := r.ask(ctx, p); err != nil {
		return minRetry
	}
	return listInterval
}

// ask pulls from a peer what it has now.
func (r *Replicator) ask(ctx context.Context, p peerselector.Peer) (messages.PullAnswer, error) {
	return r.send(ctx, p, messages.PullQuery{})
}

// send pulls from a peer and folds the answer.
func (r *Replicator) send(ctx context.Context, p peerselector.Peer, q messages.PullQuery) (messages.PullAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(q.Wait+q.Hold)*time.Millisecond+callTime)
	defer cancel()
	q.Host, q.Offset = r.Self, r.Follower.Offset()
	a, err := r.Pull(callCtx, p, q)
	r.note(ctx, p, err)
	if err != nil {
		return a, err
	}
	if a.State {
		if err := r.adopt(ctx, p); err != nil {
			return a, err
		}
	}
	offset := r.Follower.Fold(q.Offset, a.Records)
	r.Follower.Compare(q.Offset+ident.Offset(len(a.Records)), a.Digest)
	if offset >= a.Offset {
		r.setLevel(time.Now().Add(-time.Duration(a.Age) * time.Millisecond))
	}
	return a, nil
}

func (r *Replicator) note(ctx context.Context, p peerselector.Peer, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case err == nil:
		r.selector.Answer(p.Host)
	case ctx.Err() == nil:
		r.selector.Fail(p.Host, time.Now())
	}
}

// adopt takes a peer's whole state.
func (r *Replicator) adopt(ctx context.Context, p peerselector.Peer) error {
	select {
	case r.adopting <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-r.adopting }()
	var parts [][]byte
	var q messages.StateQuery
	for {
		a, err := r.part(ctx, p, q)
		if err != nil {
			return err
		}
		if a.Offset <= r.Follower.Offset() {
			return nil
		}
		if a.Parts < 1 || a.Parts > checkpointer.MaxParts {
			return &checkpointer.Error{Reason: fmt.Sprintf("peer %s has %d parts", p.Host, a.Parts)}
		}
		parts = append(parts, a.Data)
		q = messages.StateQuery{Sum: a.Sum, Part: len(parts)}
		if len(parts) == a.Parts {
			break
		}
	}
	state, err := checkpointer.Decode(parts, q.Sum)
	if err != nil {
		return err
	}
	r.Follower.Adopt(state)
	return nil
}

func (r *Replicator) part(ctx context.Context, p peerselector.Peer, q messages.StateQuery) (messages.StateAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTime)
	defer cancel()
	return r.State(ctx, p, q)
}
