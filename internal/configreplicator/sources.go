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
func (s *Replicator) poll(ctx context.Context) (logclient.Page, error) {
	readCtx, cancel := context.WithTimeout(ctx, logWait+callTime)
	defer cancel()
	page, err := s.Follower.Poll(readCtx, logWait)
	var gap *follower.GapError
	switch {
	case err == nil:
	case !errors.As(err, &gap):
		if ctx.Err() == nil {
			event.LogUnreachable.Log(s.Logger, log.Fields{"error": err.Error()})
		}
	case s.bridge(ctx, gap):
		return s.Follower.Poll(ctx, 0)
	default:
		event.RecordsExpired.Log(s.Logger, log.Fields{"offset": gap.Offset, "first": gap.First})
	}
	return page, err
}

// bridge takes the state from a checkpoint or a peer, and tells whether the log's records follow it.
func (s *Replicator) bridge(ctx context.Context, gap *follower.GapError) bool {
	s.restore(ctx)
	if s.Follower.Offset() >= gap.First {
		return true
	}
	s.askNewcomer(ctx)
	return s.Follower.Offset() >= gap.First
}

func (s *Replicator) restore(ctx context.Context) {
	if s.Restore == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	state, err := s.Restore(ctx)
	if err != nil {
		if ctx.Err() == nil {
			event.CheckpointFailed.Log(s.Logger, log.Fields{"error": err.Error()})
		}
		return
	}
	s.Follower.Adopt(state)
}

// askNewcomer asks several peers at once and takes the state from the one with the highest offset. It tells whether
// a ready peer answered. The process becomes ready once it is level with all that answered, if one of them is ready.
func (s *Replicator) askNewcomer(ctx context.Context) bool {
	s.mu.Lock()
	peers := s.selector.Newcomer(bootPeers, time.Now())
	s.mu.Unlock()
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
			a, err := s.ask(ctx, p)
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
	s.catch(ctx, best.peer, best.answer.Offset)
	if ready && s.Follower.Offset() >= best.answer.Offset {
		s.Follower.SetReady()
	}
	return ready
}

// catch pulls from a peer until an offset is reached or the peer fails.
func (s *Replicator) catch(ctx context.Context, p peerselector.Peer, offset ident.Offset) {
	tries := 0
	for s.Follower.Offset() < offset && tries < hintTries && ctx.Err() == nil {
		before := s.Follower.Offset()
		_, err := s.ask(ctx, p)
		if err != nil || s.Follower.Offset() == before {
			tries++
		}
	}
}

// take pulls once from the lane's source.
func (s *Replicator) take(ctx context.Context, lane int) time.Duration {
	s.mu.Lock()
	p, ok := s.selector.Source(lane, time.Now())
	s.mu.Unlock()
	if !ok {
		return idleTime
	}
	q := messages.PullQuery{Wait: int(pullWait.Milliseconds()), Hold: int(recordHold.Milliseconds())}
	if lane > 0 {
		q.Hold, q.Head = int(headHold.Milliseconds()), true
	}
	a, err := s.send(ctx, p, q)
	if err == nil && a.Offset > s.Follower.Offset() {
		_, err = s.ask(ctx, p)
	}
	if err != nil {
		return minRetry
	}
	return 0
}

// remote pulls once from another zone while the log cannot be read. A process that is not ready asks its zone too.
func (s *Replicator) remote(ctx context.Context) time.Duration {
	if !s.Follower.Ready() {
		s.askNewcomer(ctx)
	}
	s.mu.Lock()
	p, ok := s.selector.Remote(time.Now())
	ok = ok && s.age() > remoteTime && s.reads()
	s.mu.Unlock()
	if !ok {
		return listInterval
	}
	if _, err := s.ask(ctx, p); err != nil {
		return minRetry
	}
	return listInterval
}

// ask pulls from a peer what it has now.
func (s *Replicator) ask(ctx context.Context, p peerselector.Peer) (messages.PullAnswer, error) {
	return s.send(ctx, p, messages.PullQuery{})
}

// send pulls from a peer and folds the answer.
func (s *Replicator) send(ctx context.Context, p peerselector.Peer, q messages.PullQuery) (messages.PullAnswer, error) {
	callCtx, cancel := context.WithTimeout(ctx, time.Duration(q.Wait+q.Hold)*time.Millisecond+callTime)
	defer cancel()
	q.Host, q.Offset = s.Self, s.Follower.Offset()
	a, err := s.Pull(callCtx, p, q)
	s.note(ctx, p, err)
	if err != nil {
		return a, err
	}
	if a.State {
		if err := s.adopt(ctx, p); err != nil {
			return a, err
		}
	}
	offset := s.Follower.Fold(q.Offset, a.Records)
	s.Follower.Compare(q.Offset+ident.Offset(len(a.Records)), a.Digest)
	if offset >= a.Offset {
		s.setLevel(time.Now().Add(-time.Duration(a.Age) * time.Millisecond))
	}
	return a, nil
}

func (s *Replicator) note(ctx context.Context, p peerselector.Peer, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.selector.Answer(p.Host)
	case ctx.Err() == nil:
		s.selector.Fail(p.Host, time.Now())
	}
}

// adopt takes a peer's whole state.
func (s *Replicator) adopt(ctx context.Context, p peerselector.Peer) error {
	select {
	case s.adopting <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.adopting }()
	var parts [][]byte
	var q messages.StateQuery
	for {
		a, err := s.part(ctx, p, q)
		if err != nil {
			return err
		}
		if a.Offset <= s.Follower.Offset() {
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
	s.Follower.Adopt(state)
	return nil
}

func (s *Replicator) part(ctx context.Context, p peerselector.Peer, q messages.StateQuery) (messages.StateAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*callTime)
	defer cancel()
	return s.State(ctx, p, q)
}
