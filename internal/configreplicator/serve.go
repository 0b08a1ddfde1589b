package configreplicator

import (
	"context"
	"time"

	"github.com/nutmegdock/nutmegdock/internal/core/checkpointer"
	"github.com/nutmegdock/nutmegdock/internal/core/ident"
	"github.com/nutmegdock/nutmegdock/internal/messages"
)

// AnswerPull waits until the state is past the offset asked for, or for the time asked for, and returns the records.
func (s *Replicator) AnswerPull(ctx context.Context, q messages.PullQuery) (messages.PullAnswer, error) {
	s.init()
	s.Saw(q.Host, q.Offset)
	s.hold(ctx, q)
	// Ready and age are read before the state, so that they never claim more than the state holds.
	out := messages.PullAnswer{Ready: s.Follower.Ready(), Age: s.Age().Milliseconds()}
	state := s.Follower.Snapshot()
	out.Offset = state.Offset()
	if q.Offset >= state.Offset() {
		return out, nil
	}
	if q.Head {
		return out, nil
	}
	records, ok := s.Follower.Tail(q.Offset, answerSize)
	out.Records, out.State = records, !ok
	if ok && q.Offset+ident.Offset(len(records)) == state.Offset() {
		out.Digest = state.Digest()
	}
	return out, nil
}

// hold waits for the first record, and then for others that follow it closely.
func (s *Replicator) hold(ctx context.Context, q messages.PullQuery) {
	if q.Wait <= 0 || s.Follower.Offset() > q.Offset {
		return
	}
	waitCtx, cancel := context.WithTimeout(ctx, min(time.Duration(q.Wait)*time.Millisecond, maxWait))
	defer cancel()
	if s.Follower.Wait(waitCtx, q.Offset+1) != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(time.Duration(q.Hold)*time.Millisecond, maxHold)):
	}
}

// AnswerState returns one part of the encoded state. The encoding is kept as long as peers can go on from it.
func (s *Replicator) AnswerState(_ context.Context, q messages.StateQuery) (messages.StateAnswer, error) {
	s.init()
	s.blobMu.Lock()
	defer s.blobMu.Unlock()
	if q.Sum == "" {
		if err := s.encode(); err != nil {
			return messages.StateAnswer{}, err
		}
	}
	if q.Sum != "" && q.Sum != s.blob.Sum || q.Part < 0 || q.Part >= len(s.blob.Parts) {
		return messages.StateAnswer{}, &checkpointer.Error{Reason: "state has changed meanwhile; ask for the first part again"}
	}
	return messages.StateAnswer{
		Offset: s.blob.Offset, Sum: s.blob.Sum, Parts: len(s.blob.Parts), Data: s.blob.Parts[q.Part],
	}, nil
}

func (s *Replicator) encode() error {
	if s.blob.Sum != "" {
		if _, ok := s.Follower.Tail(s.blob.Offset, 0); ok {
			return nil
		}
	}
	blob, err := checkpointer.Encode(s.Follower.Snapshot())
	if err != nil {
		return err
	}
	s.blob = blob
	return nil
}

// Saw notes an offset in a message of another process. If it is higher than the own one for long, that process is
// asked for the records.
func (s *Replicator) Saw(h ident.Host, offset ident.Offset) {
	if offset <= s.Follower.Offset() {
		return
	}
	s.init()
	s.mu.Lock()
	if offset > s.hint.offset {
		s.hint = hint{host: h, offset: offset}
	}
	s.mu.Unlock()
	select {
	case s.hinted <- struct{}{}:
	default:
	}
}

// Catch returns once the state has reached an offset that another process showed, or when ctx ends.
func (s *Replicator) Catch(ctx context.Context, h ident.Host, offset ident.Offset) error {
	s.Saw(h, offset)
	return s.Follower.Wait(ctx, offset)
}

// heed pulls from processes that showed a higher offset.
func (s *Replicator) heed(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.hinted:
		}
		s.mu.Lock()
		h := s.hint
		s.hint = hint{}
		p, ok := s.selector.Peer(h.host)
		s.mu.Unlock()
		waitCtx, cancel := context.WithTimeout(ctx, hintTime)
		err := s.Follower.Wait(waitCtx, h.offset)
		cancel()
		if err != nil && ok {
			s.catch(ctx, p, h.offset)
		}
	}
}
